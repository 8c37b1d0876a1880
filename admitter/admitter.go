package admitter

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// Options are the settings of an admitter. All fields must be set.
type Options struct {
	Now                func() clock.Millis
	MaxQueued          int          // greatest number of waiting requests of one pool
	InitialSlots       int          // slots of a pool for which SetSlots has set none
	InitialServiceTime clock.Millis // expected service time until the first request has completed
}

// Admitter holds the queues of all pools. It is safe for concurrent use.
type Admitter struct {
	opts    Options
	mu      sync.Mutex
	pools   map[string]*pool
	slots   map[string]int     // by pool
	weights map[string]float64 // by workspace
}

// New returns an admitter without queues. A queue is created when its pool is
// first used.
func New(o Options) *Admitter {
	return &Admitter{opts: o, pools: map[string]*pool{}, slots: map[string]int{}}
}

// Admit waits until the request may start in a pool. If the error is nil, release
// must be called once when the request has ended. Errors are refusals; the request
// did not run.
func (a *Admitter) Admit(
	ctx context.Context, pool string, request scheduler.Request,
) (release func(succeeded bool), err error) {
	return a.pool(pool).admit(ctx, request)
}

// pool returns the queue of a pool, which it creates if necessary.
func (a *Admitter) pool(name string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[name]
	if !ok {
		slots, set := a.slots[name]
		if !set {
			slots = a.opts.InitialSlots
		}
		p = &pool{
			scheduler: scheduler.New(scheduler.Options{
				Slots: slots, Weights: a.weights, InitialServiceTime: a.opts.InitialServiceTime,
			}),
			waiting: map[string]chan error{}, now: a.opts.Now, maxQueued: a.opts.MaxQueued,
		}
		a.pools[name] = p
	}
	return p
}

// SetSlots sets the greatest number of running requests of each pool. Pools that
// are not listed keep their slots.
func (a *Admitter) SetSlots(slots map[string]int) {
	a.mu.Lock()
	a.slots = slots
	a.mu.Unlock()
	for name, p := range a.currentPools() {
		if n, ok := slots[name]; ok {
			p.setSlots(n)
		}
	}
}

// SetWeights sets the relative shares of the workspaces in all pools.
func (a *Admitter) SetWeights(weights map[string]float64) {
	a.mu.Lock()
	a.weights = weights
	a.mu.Unlock()
	for _, p := range a.currentPools() {
		p.setWeights(weights)
	}
}

// Tick starts the requests that may start now and refuses those that can no
// longer complete before their deadline. It must be called regularly, since
// requests expire without any other event.
func (a *Admitter) Tick() {
	for _, p := range a.currentPools() {
		p.tick()
	}
}

// Load returns the numbers of running and waiting requests over all pools.
func (a *Admitter) Load() (running, waiting int) {
	for _, p := range a.currentPools() {
		r, w := p.load()
		running, waiting = running+r, waiting+w
	}
	return running, waiting
}

// currentPools returns a copy of the map of pools.
func (a *Admitter) currentPools() map[string]*pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := make(map[string]*pool, len(a.pools))
	for name, p := range a.pools {
		pools[name] = p
	}
	return pools
}
