package reconciler

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/placer"
)

// Endpoint is a model engine of the data centre that may get commands: it is
// neither taken out nor leaving.
type Endpoint struct {
	ID      string
	Address string
	Slots   int // versions that fit
}

// Options are the dependencies and settings of a commander. All functions must be
// set. Of the settings, only Keyed, Placer.Sizes and Placer.Stages may be zero.
type Options struct {
	Lease        *placer.Lease
	Now          func() clock.Millis
	MayTakeLease func() bool       // whether this instance may take the lease
	Out          func() bool       // whether the data centre is taken out
	Endpoints    func() []Endpoint // of the data centre, in service
	// RequiredShares returns the share of the traffic of each version that must be
	// loaded. It is empty while the configuration is not confirmed; the placement
	// is then not changed and no commands are sent.
	RequiredShares func() map[string]float64
	// MaxRequestTime returns how long a request may run after its arrival.
	MaxRequestTime func() clock.Millis
	// Load reads the load report of an endpoint.
	Load func(ctx context.Context, address string) (engineclient.Load, error)
	// Command sends a command under a fencing number to an endpoint.
	Command func(ctx context.Context, address string, number uint64, action, version string) error
	// CountEvent counts an event.
	CountEvent func(name string)
	// SetGauge sets a gauge.
	SetGauge func(name string, value float64)
	// ForEach calls run for 0 to n-1, concurrently or not, and waits for all calls.
	ForEach func(n int, run func(k int))

	Placer            placer.Options
	Keyed             bool         // commands carry a key, so that endpoints can check their sender
	RenewEvery        clock.Millis // interval of lease renewals, well below the lifetime of the lease
	CallTimeout       clock.Millis // of one read, command or store access
	ReportLag         clock.Millis // largest age of a load report
	PropagationTime   clock.Millis // a withdrawn version gets no new requests after this time
	UnreadableTimeout clock.Millis // an endpoint that could not be read for this time gets no versions
	// ForbiddenPause is the time without commands to an endpoint after it has
	// refused the command key.
	ForbiddenPause clock.Millis
}

// Reconciler sends commands to the endpoints of one data centre while it holds the
// lease. It is safe for concurrent use.
type Reconciler struct {
	options Options
	leaving atomic.Bool

	mu            sync.Mutex
	nextRenewal   clock.Millis              // time of the next store access for the lease
	placer        *placer.Placer            // of the present term
	term          clock.Millis              // start of the present term
	states        map[string]*endpointState // by endpoint id
	decidedInputs string                    // encoded inputs of the desired placement
}

// New returns a commander without the lease.
func New(o Options) *Reconciler { return &Reconciler{options: o, states: map[string]*endpointState{}} }

// Tick takes or renews the lease. While the lease is held, it reads the endpoints,
// updates the record and sends the commands that are due. It returns when all calls
// have ended.
func (c *Reconciler) Tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving.Load() {
		return
	}
	c.renewLease(ctx)
	if !c.options.Lease.Held() {
		c.options.SetGauge("placement_lease_held", 0)
		c.options.SetGauge("placement_loads_waiting", 0)
		return
	}
	c.options.SetGauge("placement_lease_held", 1)
	c.startTerm()
	list := c.options.Endpoints()
	readable := c.readBack(ctx, list)
	shares := c.options.RequiredShares()
	if len(shares) == 0 && !c.options.Out() {
		return
	}
	c.updateRecord(ctx, list, readable, shares)
	if len(shares) == 0 || c.options.Out() {
		return
	}
	c.command(ctx, readable, shares)
}

// Leave releases the lease. No command is sent afterwards.
func (c *Reconciler) Leave(ctx context.Context) error {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.options.Lease.Held() {
		return nil
	}
	return c.options.Lease.Release(ctx)
}

// Close stops the commander without a release of the lease, as a crash would.
func (c *Reconciler) Close() { c.leaving.Store(true) }

// renewLease takes or renews the lease if Options.RenewEvery has passed since the
// last store access.
func (c *Reconciler) renewLease(ctx context.Context) {
	l := c.options.Lease
	if now := c.options.Now(); now < c.nextRenewal || !l.Held() && !c.options.MayTakeLease() {
		return
	}
	c.nextRenewal = c.options.Now() + c.options.RenewEvery
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout.Duration())
	defer cancel()
	held := l.Held()
	if err := l.Tick(ctx); err != nil {
		c.nextRenewal = 0 // the next tick resolves a lost answer
		c.options.CountEvent("placement_store_failed")
		if held && !l.Held() {
			klog.Warningf("commander: lost the lease of %s: %v", l.Key, err)
		}
	}
}

// startTerm discards the state of a former term of this instance if a new term has
// begun.
func (c *Reconciler) startTerm() {
	if c.placer != nil && c.term == c.options.Lease.AcquiredAt() {
		return
	}
	c.term = c.options.Lease.AcquiredAt()
	c.placer = placer.New(c.term, c.options.Placer)
	c.states, c.decidedInputs = map[string]*endpointState{}, ""
	c.options.CountEvent("placement_lease_taken")
	klog.Infof("commander: took the lease of %s under number %d", c.options.Lease.Key, c.options.Lease.Record().FencingNumber)
}
