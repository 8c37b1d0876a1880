package storeemulator

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/storeclient"
)

// FaultInjector is a store that injects random faults, drawn from a seed, into the calls
// to an emulator: failed reads, stale reads, writes that are not executed, writes
// whose answer is lost, and writes that take effect after the caller was told
// that their outcome is unknown. It is safe for concurrent use.
type FaultInjector struct {
	// DuringWrite, if set, is called before and after some writes, so that a test can
	// simulate a concurrent writer. Calls do not overlap: it may write through
	// this store without being called again.
	DuringWrite func()

	emulator *Emulator
	inner    storeclient.Store

	mu         sync.Mutex
	random     *rand.Rand
	rate       float64
	down       bool
	inCallback bool     // a call of Beside is in progress
	delayed    []func() // writes that have not taken effect yet
}

// NewFaultInjector returns a store in which each possible fault has the probability
// rate, and an unavailable store half of it.
func NewFaultInjector(e *Emulator, seed uint64, rate float64) *FaultInjector {
	return &FaultInjector{emulator: e, inner: e.Store(), random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// Store returns the store whose Get and Put have faults. The other operations are
// the emulator's.
func (c *FaultInjector) Store() storeclient.Store {
	s := c.inner
	s.Get, s.Put = c.get, c.put
	return s
}

// DrawFault draws, with the probability rate, whether a fault that the caller itself
// simulates happens.
func (c *FaultInjector) DrawFault() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.rate
}

// IntN returns a random integer in [0, n).
func (c *FaultInjector) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// SetDown starts or ends an outage in which all reads and writes fail.
func (c *FaultInjector) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// EndFaults ends all faults and applies all delayed writes.
func (c *FaultInjector) EndFaults() {
	c.mu.Lock()
	c.rate, c.down = 0, false
	delayed := c.delayed
	c.delayed = nil
	c.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// applyDelayedWrite applies a random delayed write with the probability rate.
func (c *FaultInjector) applyDelayedWrite() {
	if !c.DrawFault() {
		return
	}
	c.mu.Lock()
	var write func()
	if n := len(c.delayed); n > 0 {
		i := c.random.IntN(n)
		write = c.delayed[i]
		c.delayed[i] = c.delayed[n-1]
		c.delayed = c.delayed[:n-1]
	}
	c.mu.Unlock()
	if write != nil {
		write()
	}
}

// runCallback calls Beside with the probability rate unless a call is in progress.
func (c *FaultInjector) runCallback() {
	if c.DuringWrite == nil || !c.DrawFault() {
		return
	}
	c.mu.Lock()
	running := c.inCallback
	c.inCallback = true
	c.mu.Unlock()
	if running {
		return
	}
	c.DuringWrite()
	c.mu.Lock()
	c.inCallback = false
	c.mu.Unlock()
}

// callFails draws whether a call fails because the store is unavailable.
func (c *FaultInjector) callFails() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down || c.random.Float64() < c.rate/2
}

func (c *FaultInjector) get(ctx context.Context, key string) (storeclient.Object, error) {
	c.applyDelayedWrite()
	if c.callFails() {
		return storeclient.Object{}, storeclient.ErrUnavailable
	}
	if c.DrawFault() {
		if o, ok := c.emulator.previousVersion(key); ok {
			return o, nil
		}
	}
	return c.inner.Get(ctx, key)
}

// put executes the write, or draws one of three faults whose outcome is unknown
// to the caller: the write is applied now, applied later or never applied.
func (c *FaultInjector) put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	c.applyDelayedWrite()
	c.runCallback()
	if c.callFails() {
		return 0, storeclient.ErrUnavailable
	}
	if !c.DrawFault() {
		return c.inner.Put(ctx, key, value, expect)
	}
	write := func() { _, _ = c.inner.Put(context.Background(), key, value, expect) }
	switch c.IntN(3) {
	case 0:
		write()
		c.runCallback()
	case 1:
		c.mu.Lock()
		c.delayed = append(c.delayed, write)
		c.mu.Unlock()
	}
	return 0, storeclient.ErrUnknown
}

// previousVersion returns the version of an object before the latest one.
func (e *Emulator) previousVersion(key string) (storeclient.Object, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.previous[key]
	return clone(o), ok
}
