package allocator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

var errCut = errors.New("link is cut")

// fleet is a few allocators that call each other directly. All steps run in one
// goroutine but the asks, which are waited for.
type fleet struct {
	clock      *clock.Manual
	store      *storeemulator.Emulator
	allocators []*Allocator
	down       map[int]bool
	leaving    map[int]bool
	generation uint64 // of the processes, from 0
	process    permitter.Process
	work       []held
}

type held struct {
	instance int
	work     permitter.Work
	until    clock.Millis
}

func newFleet(n int) *fleet {
	f := &fleet{
		clock: clock.NewManual(clock.Hour), store: storeemulator.New(), down: map[int]bool{}, leaving: map[int]bool{},
		process: permitter.Process{Endpoint: "e1", Restart: "r1"},
	}
	for i := range n {
		f.allocators = append(f.allocators, f.newAllocator(i, testOptions()))
	}
	return f
}

func testOptions() permitter.Options {
	o := permitter.DefaultOptions()
	o.Work = 5 * clock.Second
	return o
}

func (f *fleet) newAllocator(i int, o permitter.Options) *Allocator {
	random := rand.New(rand.NewPCG(1, uint64(i)))
	a := New(MemberName(fmt.Sprint(i), 1+f.generation), f.store.Store(), o, f.clock.Clock(), random)
	a.Processes = func() []permitter.Process { return []permitter.Process{f.process} }
	a.Members = func() []gossiper.Member {
		var all []gossiper.Member
		for j := range f.allocators {
			id := fmt.Sprint(j)
			m := gossiper.Member{ID: id, Address: id, Incarnation: gossiper.FirstIncarnation(1 + f.generation)}
			switch {
			case f.leaving[j]: // stays in this state after the process has ended
				m.State = gossiper.Leaving
			case f.down[j]:
				m.State = gossiper.Dead
			}
			all = append(all, m)
		}
		return all
	}
	a.Call = func(ctx context.Context, address, kind string, body []byte) ([]byte, error) {
		var to int
		if _, err := fmt.Sscan(address, &to); err != nil {
			return nil, err
		}
		if f.down[i] || f.down[to] {
			return nil, errCut
		}
		return f.allocators[to].Handlers()[kind](ctx, body)
	}
	return a
}

// coordinator returns the instance that wrote the first assignment.
func (f *fleet) coordinator() int {
	var names []string
	for i := range f.allocators {
		names = append(names, MemberName(fmt.Sprint(i), 1))
	}
	return slices.Index(names, coordinator(names))
}

// step advances all live allocators by one tick and lets each try to start a request.
func (f *fleet) step(random *rand.Rand) {
	now := f.clock.Advance(tickInterval)
	ctx := context.Background()
	for i, a := range f.allocators {
		if f.down[i] {
			continue
		}
		a.Keep(ctx)
		a.Tick(ctx)
		a.Wait()
		if w, ok := a.Start(f.process, now+2*clock.Second); ok {
			f.work = append(f.work, held{i, w, now + clock.Millis(200+random.IntN(1500))})
		}
	}
	kept := f.work[:0]
	for _, h := range f.work {
		if now < h.until {
			kept = append(kept, h)
			continue
		}
		if !f.down[h.instance] {
			f.allocators[h.instance].Finish(h.work, false) // never earns a higher limit
		}
	}
	f.work = kept
}

// TestWholeFleetRestart guards against a fleet that gives no permits any more
// after all its instances were replaced at once: nobody is left to vote for the
// new assignment or to remember who had no running requests.
func TestWholeFleetRestart(t *testing.T) {
	cases := map[string]struct {
		graceful bool
		within   clock.Millis // from the restart to the first permit
	}{
		"graceful": {true, 10 * clock.Second},
		"crash":    {false, 10*clock.Second + testOptions().Quiet()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4)
			random := rand.New(rand.NewPCG(7, 7))
			for range 200 {
				f.step(random)
			}
			if c.graceful {
				f.finishAll()
				for i, a := range f.allocators {
					f.down[i] = true
					a.Leave()
				}
				f.down = map[int]bool{}
			}
			f.process.Restart = "r2" // the endpoint's work of before has ended with it
			f.work = nil
			f.generation++
			for i := range f.allocators {
				f.allocators[i] = f.newAllocator(i, testOptions())
			}
			for end := f.clock.Now() + c.within; len(f.work) == 0; f.step(random) {
				if f.clock.Now() > end {
					t.Fatalf("no request started within %d ms after the restart", c.within)
				}
			}
		})
	}
}

func (f *fleet) finishAll() {
	for _, h := range f.work {
		f.allocators[h.instance].Finish(h.work, false)
	}
	f.work = nil
}

// TestColdLimitHolds guards against more work at a cold endpoint than it can
// handle when several instances hold permits, when the store is down, and when
// the coordinator or the granter dies with work running. It also guards against
// permits that are never given out again.
func TestColdLimitHolds(t *testing.T) {
	cases := map[string]struct {
		disturb func(f *fleet, step int)
		starts  int // at least this many requests must have started after the fault
	}{
		"healthy": {func(*fleet, int) {}, 50},
		"store down": {func(f *fleet, step int) {
			f.store.SetFaults(storeemulator.Faults{Down: step > 400})
		}, 50},
		"lost answers": {func(f *fleet, step int) {
			if step%40 == 0 {
				f.store.SetFaults(storeemulator.Faults{LoseWrites: 1})
			}
		}, 10},
		"instance dies": {func(f *fleet, step int) { f.down[1] = step > 400 }, 10},
		"coordinator leaves": {func(f *fleet, step int) {
			if step > 400 {
				f.leaving[f.coordinator()], f.down[f.coordinator()] = true, true
			}
		}, 10},
		"instance returns": {func(f *fleet, step int) {
			f.down[2] = step > 400 && step < 600
		}, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4)
			random := rand.New(rand.NewPCG(7, 7))
			limit := permitter.DefaultOptions().ColdLimit
			started, before := 0, 0
			for step := range 2400 {
				c.disturb(f, step)
				f.step(random)
				if got := len(f.work); got > limit {
					t.Fatalf("step %d: got %d requests at a cold endpoint, want at most %d", step, got, limit)
				}
				if len(f.work) > before && step > 800 {
					started++
				}
				before = len(f.work)
			}
			if started < c.starts {
				t.Errorf("requests started after the fault: got %d, want at least %d", started, c.starts)
			}
		})
	}
}
