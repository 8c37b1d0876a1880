package commander

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/placer"
)

// Endpoint is a model engine of the data centre that may be commanded: it is
// neither out nor leaving.
type Endpoint struct {
	ID      string
	Address string
	Slots   int // versions that fit
}

// Options are the connections and settings of a commander. All functions must
// be set. Of the settings, only Keyed and Placer.Sizes and Stages may be zero.
type Options struct {
	Lease     *placer.Lease
	Now       func() clock.Millis
	Compete   func() bool       // whether this instance may take the lease
	Out       func() bool       // whether the data centre is taken out
	Endpoints func() []Endpoint // of the data centre, in service
	// Wanted returns the share of the traffic of each version that must be
	// loaded. It is empty while the configuration is not confirmed; then the
	// placement stays as it is and no commands are sent.
	Wanted func() map[string]float64
	// LongestWork returns how long a request may run after its arrival.
	LongestWork func() clock.Millis
	Load        func(ctx context.Context, address string) (engineclient.Load, error)
	Command     func(ctx context.Context, address string, number uint64, action, version string) error
	Event       func(name string)
	Set         func(name string, value float64)
	// Each calls run for 0 to n-1, concurrently or not, and waits.
	Each func(n int, run func(k int))

	Placer      placer.Options
	Keyed       bool         // commands carry a key, so that endpoints can check who sends
	RenewEvery  clock.Millis // well under the lifetime of the lease
	CallTimeout clock.Millis // of one read or command
	ReportLag   clock.Millis // bound of the age of a load report
	Settle      clock.Millis // a withdrawn version gets no new work after this time
	Absent      clock.Millis // an endpoint that cannot be read for so long gets no versions
	// ForbiddenPause is the time without commands to an endpoint that has
	// refused the command key.
	ForbiddenPause clock.Millis
}

// Commander commands the endpoints of one data centre while it holds the lease.
// It is safe for concurrent use.
type Commander struct {
	o       Options
	leaving atomic.Bool

	mu      sync.Mutex
	renew   clock.Millis // next use of the store
	placer  *placer.Placer
	term    clock.Millis
	states  map[string]*state
	decided string // inputs of the desired placement
}

// New returns a commander without the lease.
func New(o Options) *Commander { return &Commander{o: o, states: map[string]*state{}} }

// Tick takes or renews the lease and, while it is held, brings the endpoints one
// step closer to the wanted versions. It returns when all calls have ended.
func (c *Commander) Tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving.Load() {
		return
	}
	c.tickLease(ctx)
	if !c.o.Lease.Held() {
		c.o.Set("placement_lease_held", 0)
		c.o.Set("placement_loads_waiting", 0)
		return
	}
	c.o.Set("placement_lease_held", 1)
	c.tickTerm()
	list := c.o.Endpoints()
	readable := c.read(ctx, list)
	shares := c.o.Wanted()
	if len(shares) == 0 && !c.o.Out() {
		return
	}
	c.decide(ctx, list, readable, shares)
	if len(shares) == 0 || c.o.Out() {
		return
	}
	c.command(ctx, readable, shares)
}

// Leave releases the lease. No command is sent afterwards.
func (c *Commander) Leave(ctx context.Context) error {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.o.Lease.Held() {
		return nil
	}
	return c.o.Lease.Release(ctx)
}

// Close ends the commander without a release, as a crash would.
func (c *Commander) Close() { c.leaving.Store(true) }

// tickLease uses the store only as often as the lease needs it.
func (c *Commander) tickLease(ctx context.Context) {
	l := c.o.Lease
	if now := c.o.Now(); now < c.renew || !l.Held() && !c.o.Compete() {
		return
	}
	c.renew = c.o.Now() + c.o.RenewEvery
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout.Duration())
	defer cancel()
	held := l.Held()
	if err := l.Tick(ctx); err != nil {
		c.renew = 0 // a lost answer is resolved at the next tick
		c.o.Event("placement_store_failed")
		if held && !l.Held() {
			klog.Warningf("commander: lost the lease of %s: %v", l.Key, err)
		}
	}
}

// tickTerm forgets what belongs to a former term of this instance.
func (c *Commander) tickTerm() {
	if c.placer != nil && c.term == c.o.Lease.Taken() {
		return
	}
	c.term = c.o.Lease.Taken()
	c.placer = placer.New(c.term, c.o.Placer)
	c.states, c.decided = map[string]*state{}, ""
	c.o.Event("placement_lease_taken")
	klog.Infof("commander: holds the lease of %s under number %d", c.o.Lease.Key, c.o.Lease.Record().Number)
}
