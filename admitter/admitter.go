package admitter

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// Options are the settings of an admitter. All fields must be set.
type Options struct {
	Now            func() clock.Millis
	MaxQueued      int          // requests that may wait in front of one pool
	InitialSlots   int          // of a pool whose slots have not been set
	InitialService clock.Millis // expected time of a request before the first has ended
}

// Admitter holds the queues. It is safe for concurrent use.
type Admitter struct {
	o       Options
	mu      sync.Mutex
	pools   map[string]*pool
	slots   map[string]int
	weights map[string]float64
}

// New returns an admitter without queues.
func New(o Options) *Admitter {
	return &Admitter{o: o, pools: map[string]*pool{}, slots: map[string]int{}}
}

// Enter waits until the request may start in a pool. The returned function must
// be called once when the request has ended there. Errors are refusals with run
// state "no".
func (a *Admitter) Enter(ctx context.Context, name string, i scheduler.Item) (leave func(succeeded bool), err error) {
	return a.pool(name).enter(ctx, i)
}

func (a *Admitter) pool(name string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[name]
	if !ok {
		slots, set := a.slots[name]
		if !set {
			slots = a.o.InitialSlots
		}
		p = &pool{
			s: scheduler.New(scheduler.Options{
				Slots: slots, Weights: a.weights, InitialService: a.o.InitialService,
			}),
			waiting: map[string]chan error{}, now: a.o.Now, max: a.o.MaxQueued,
		}
		a.pools[name] = p
	}
	return p
}

// SetSlots sets how many requests may run at once in each pool.
func (a *Admitter) SetSlots(slots map[string]int) {
	a.mu.Lock()
	a.slots = slots
	a.mu.Unlock()
	for name, p := range a.all() {
		if n, ok := slots[name]; ok {
			p.setSlots(n)
		}
	}
}

// SetWeights sets the shares of the workspaces.
func (a *Admitter) SetWeights(weights map[string]float64) {
	a.mu.Lock()
	a.weights = weights
	a.mu.Unlock()
	for _, p := range a.all() {
		p.setWeights(weights)
	}
}

// Tick starts the requests that may start now and refuses expired ones.
func (a *Admitter) Tick() {
	for _, p := range a.all() {
		p.tick()
	}
}

// Load returns the numbers of running and waiting requests over all pools.
func (a *Admitter) Load() (running, waiting int) {
	for _, p := range a.all() {
		r, w := p.load()
		running, waiting = running+r, waiting+w
	}
	return running, waiting
}

// all returns the pools at this moment.
func (a *Admitter) all() map[string]*pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := make(map[string]*pool, len(a.pools))
	for name, p := range a.pools {
		pools[name] = p
	}
	return pools
}
