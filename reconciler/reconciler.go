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
// neither taken out of service nor leaving.
type Endpoint struct {
	ID      string
	Address string
	Slots   int // versions that fit
}

// Options are the dependencies and settings of a reconciler. All functions must be
// set. Of the settings, only Keyed, Placer.Sizes and Placer.Stages may be zero.
type Options struct {
	Lease        *placer.Lease
	Now          func() clock.Millis
	MayTakeLease func() bool       // whether this instance may take the lease
	Out          func() bool       // whether the data centre is taken out of service
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
	termStart     clock.Millis              // start of the present term
	states        map[string]*endpointState // by endpoint id
	decidedInputs string                    // encoded inputs from which the desired placement was computed
}

// New returns a reconciler without the lease.
func New(o Options) *Reconciler { return &Reconciler{options: o, states: map[string]*endpointState{}} }

// Tick takes or renews the lease. While the lease is held, it reads the endpoints,
// updates the record and sends the commands that are due. It returns when all calls
// have ended.
func (r *Reconciler) Tick(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving.Load() {
		return
	}
	r.renewLease(ctx)
	if !r.options.Lease.Held() {
		r.options.SetGauge("placement_lease_held", 0)
		r.options.SetGauge("placement_loads_waiting", 0)
		return
	}
	r.options.SetGauge("placement_lease_held", 1)
	r.startTerm()
	list := r.options.Endpoints()
	readable := r.readBack(ctx, list)
	shares := r.options.RequiredShares()
	if len(shares) == 0 && !r.options.Out() {
		return
	}
	r.updateRecord(ctx, list, readable, shares)
	if len(shares) == 0 || r.options.Out() {
		return
	}
	r.sendCommands(ctx, readable, shares)
}

// Leave releases the lease. No command is sent afterwards.
func (r *Reconciler) Leave(ctx context.Context) error {
	r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.options.Lease.Held() {
		return nil
	}
	return r.options.Lease.Release(ctx)
}

// Close stops the reconciler without a release of the lease, as a crash would.
func (r *Reconciler) Close() { r.leaving.Store(true) }

// renewLease takes or renews the lease if Options.RenewEvery has passed since the
// last store access.
func (r *Reconciler) renewLease(ctx context.Context) {
	l := r.options.Lease
	if now := r.options.Now(); now < r.nextRenewal || !l.Held() && !r.options.MayTakeLease() {
		return
	}
	r.nextRenewal = r.options.Now() + r.options.RenewEvery
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout.Duration())
	defer cancel()
	held := l.Held()
	if err := l.Tick(ctx); err != nil {
		r.nextRenewal = 0 // the next tick resolves a lost answer
		r.options.CountEvent("placement_store_failed")
		if held && !l.Held() {
			klog.Warningf("reconciler: lost the lease of %s: %v", l.Key, err)
		}
	}
}

// startTerm discards the state of a former term of this instance if a new term has
// begun.
func (r *Reconciler) startTerm() {
	if r.placer != nil && r.termStart == r.options.Lease.AcquiredAt() {
		return
	}
	r.termStart = r.options.Lease.AcquiredAt()
	r.placer = placer.New(r.termStart, r.options.Placer)
	r.states, r.decidedInputs = map[string]*endpointState{}, ""
	r.options.CountEvent("placement_lease_taken")
	klog.Infof("reconciler: took the lease of %s under number %d",
		r.options.Lease.Key, r.options.Lease.Record().FencingNumber)
}
