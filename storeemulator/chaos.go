package storeemulator

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/storer"
)

// Chaos is a store that injects random faults, from a seed, into the calls to
// an emulator: failed reads, older answers to reads, writes that are not
// executed, writes whose answer is lost, and writes that take effect after
// their answer was given up. It is safe for concurrent use.
type Chaos struct {
	// Beside, if set, is called beside some writes, so that a test can let
	// another writer in. It is not called while it runs.
	Beside func()

	emulator *Emulator
	inner    storer.Store

	mu     sync.Mutex
	random *rand.Rand
	rate   float64
	down   bool
	busy   bool // Beside runs
	late   []func()
}

// NewChaos returns a store in which each possible fault has the probability rate.
func NewChaos(e *Emulator, seed uint64, rate float64) *Chaos {
	return &Chaos{emulator: e, inner: e.Store(), random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// Store returns the store with faults. Its other operations are the emulator's.
func (c *Chaos) Store() storer.Store {
	s := c.inner
	s.Get, s.Put = c.get, c.put
	return s
}

// Hit reports whether a fault of the caller's own happens.
func (c *Chaos) Hit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.rate
}

// IntN returns a random number from 0 to n-1.
func (c *Chaos) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// SetDown starts or ends an outage, in which every read and write fails.
func (c *Chaos) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Calm ends all faults and lets every late write reach the emulator.
func (c *Chaos) Calm() {
	c.mu.Lock()
	c.rate, c.down = 0, false
	late := c.late
	c.late = nil
	c.mu.Unlock()
	for _, land := range late {
		land()
	}
}

// landOne lets a late write reach the emulator.
func (c *Chaos) landOne() {
	if !c.Hit() {
		return
	}
	c.mu.Lock()
	var land func()
	if n := len(c.late); n > 0 {
		i := c.random.IntN(n)
		land = c.late[i]
		c.late[i] = c.late[n-1]
		c.late = c.late[:n-1]
	}
	c.mu.Unlock()
	if land != nil {
		land()
	}
}

func (c *Chaos) beside() {
	if c.Beside == nil || !c.Hit() {
		return
	}
	c.mu.Lock()
	busy := c.busy
	c.busy = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.Beside()
	c.mu.Lock()
	c.busy = false
	c.mu.Unlock()
}

func (c *Chaos) fails() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down || c.random.Float64() < c.rate/2
}

func (c *Chaos) get(ctx context.Context, key string) (storer.Object, error) {
	c.landOne()
	if c.fails() {
		return storer.Object{}, storer.ErrUnavailable
	}
	if c.Hit() {
		if o, ok := c.emulator.older(key); ok {
			return o, nil
		}
	}
	return c.inner.Get(ctx, key)
}

func (c *Chaos) put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	c.landOne()
	c.beside()
	if c.fails() {
		return 0, storer.ErrUnavailable
	}
	if !c.Hit() {
		return c.inner.Put(ctx, key, value, expect)
	}
	write := func() { _, _ = c.inner.Put(context.Background(), key, value, expect) }
	switch c.IntN(3) {
	case 0:
		write()
		c.beside()
	case 1:
		c.mu.Lock()
		c.late = append(c.late, write)
		c.mu.Unlock()
	}
	return 0, storer.ErrUnknown
}

// older returns the version of an object before the newest one.
func (e *Emulator) older(key string) (storer.Object, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.previous[key]
	return clone(o), ok
}
