package storeemulator

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/storeclient"
)

// FaultInjector is a store that injects random faults, drawn from a seed, into the
// calls to an emulator: failed reads, stale reads, writes that are not executed,
// writes whose answer is lost, and writes that take effect after the caller was
// told that their outcome is unknown. It is safe for concurrent use.
type FaultInjector struct {
	// DuringWrite, if set, is called before and after some writes, so that a test
	// can simulate a concurrent writer. Calls do not overlap: it may write through
	// this store without being called again.
	DuringWrite func()

	emulator *Emulator
	inner    storeclient.Store

	mu         sync.Mutex
	random     *rand.Rand
	rate       float64  // probability of each fault, see NewFaultInjector
	down       bool     // all reads and writes fail
	inCallback bool     // a call of DuringWrite is in progress
	delayed    []func() // writes that have not taken effect yet
}

// NewFaultInjector returns a store in which each possible fault has the probability
// rate, and an unavailable store half of it.
func NewFaultInjector(e *Emulator, seed uint64, rate float64) *FaultInjector {
	return &FaultInjector{emulator: e, inner: e.Store(), random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// Store returns the store whose Get and Put have faults. The other operations are
// the emulator's.
func (f *FaultInjector) Store() storeclient.Store {
	s := f.inner
	s.Get, s.Put = f.get, f.put
	return s
}

// DrawFault draws, with the probability rate, whether a fault that the caller itself
// simulates happens.
func (f *FaultInjector) DrawFault() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.rate
}

// IntN returns a random integer in [0, n).
func (f *FaultInjector) IntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// SetDown starts or ends an outage in which all reads and writes fail.
func (f *FaultInjector) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// EndFaults ends all faults and applies all delayed writes.
func (f *FaultInjector) EndFaults() {
	f.mu.Lock()
	f.rate, f.down = 0, false
	delayed := f.delayed
	f.delayed = nil
	f.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// applyDelayedWrite applies a random delayed write with the probability rate.
func (f *FaultInjector) applyDelayedWrite() {
	if !f.DrawFault() {
		return
	}
	f.mu.Lock()
	var write func()
	if n := len(f.delayed); n > 0 {
		i := f.random.IntN(n)
		write = f.delayed[i]
		f.delayed[i] = f.delayed[n-1]
		f.delayed = f.delayed[:n-1]
	}
	f.mu.Unlock()
	if write != nil {
		write()
	}
}

// runCallback calls DuringWrite with the probability rate unless a call is in progress.
func (f *FaultInjector) runCallback() {
	if f.DuringWrite == nil || !f.DrawFault() {
		return
	}
	f.mu.Lock()
	running := f.inCallback
	f.inCallback = true
	f.mu.Unlock()
	if running {
		return
	}
	f.DuringWrite()
	f.mu.Lock()
	f.inCallback = false
	f.mu.Unlock()
}

// callFails draws whether a call fails because the store is unavailable.
func (f *FaultInjector) callFails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down || f.random.Float64() < f.rate/2
}

func (f *FaultInjector) get(ctx context.Context, key string) (storeclient.Object, error) {
	f.applyDelayedWrite()
	if f.callFails() {
		return storeclient.Object{}, storeclient.ErrUnavailable
	}
	if f.DrawFault() {
		if o, ok := f.emulator.previousVersion(key); ok {
			return o, nil
		}
	}
	return f.inner.Get(ctx, key)
}

// put executes the write, or draws one of three faults whose outcome is unknown
// to the caller: the write is applied now, applied later or never applied.
func (f *FaultInjector) put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	f.applyDelayedWrite()
	f.runCallback()
	if f.callFails() {
		return 0, storeclient.ErrUnavailable
	}
	if !f.DrawFault() {
		return f.inner.Put(ctx, key, value, expect)
	}
	write := func() { _, _ = f.inner.Put(context.Background(), key, value, expect) }
	switch f.IntN(3) {
	case 0:
		write()
		f.runCallback()
	case 1:
		f.mu.Lock()
		f.delayed = append(f.delayed, write)
		f.mu.Unlock()
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
