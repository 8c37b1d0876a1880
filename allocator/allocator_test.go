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

var errUnreachable = errors.New("peer is unreachable")

// testFleet is a set of allocators that call each other directly under one manual
// clock. Everything runs in one goroutine except the permit requests; each step waits
// for their end.
type testFleet struct {
	clock      *clock.Manual
	store      *storeemulator.Emulator
	allocators []*Allocator
	down       map[int]bool // instances whose process does not run
	leaving    map[int]bool // instances that left gracefully
	restarts   uint64       // of the whole fleet
	process    permitter.Process
	running    []activeRequest
}

// activeRequest is a request that an instance has started at an endpoint.
type activeRequest struct {
	instance int
	request  permitter.RunningRequest
	endsAt   clock.Millis
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{
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
	o.MaxRequestTime = 5 * clock.Second
	return o
}

func (f *testFleet) newAllocator(i int, o permitter.Options) *Allocator {
	random := rand.New(rand.NewPCG(1, uint64(i)))
	a := New(MemberName(fmt.Sprint(i), 1+f.restarts), f.store.Store(), o, f.clock.Clock(), random)
	a.Processes = func() []permitter.Process { return []permitter.Process{f.process} }
	a.Members = func() []gossiper.Member {
		var all []gossiper.Member
		for j := range f.allocators {
			id := fmt.Sprint(j)
			m := gossiper.Member{ID: id, Address: id, Incarnation: gossiper.FirstIncarnation(1 + f.restarts)}
			switch {
			case f.leaving[j]: // stays in this state after the end of its process
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
			return nil, errUnreachable
		}
		return f.allocators[to].Handlers()[kind](ctx, body)
	}
	return a
}

// coordinator returns the instance that wrote the first assignment.
func (f *testFleet) coordinator() int {
	var names []string
	for i := range f.allocators {
		names = append(names, MemberName(fmt.Sprint(i), 1))
	}
	return slices.Index(names, coordinator(names))
}

// step advances the clock by one tick, updates all running allocators and lets each
// try to start a request.
func (f *testFleet) step(random *rand.Rand) {
	now := f.clock.Advance(tickInterval)
	ctx := context.Background()
	for i, a := range f.allocators {
		if f.down[i] {
			continue
		}
		a.UpdateAssignment(ctx)
		a.Tick(ctx)
		a.Wait()
		if r, ok := a.Start(f.process, now+2*clock.Second); ok {
			f.running = append(f.running, activeRequest{i, r, now + clock.Millis(200+random.IntN(1500))})
		}
	}
	running := f.running[:0]
	for _, r := range f.running {
		if now < r.endsAt {
			running = append(running, r)
			continue
		}
		if !f.down[r.instance] {
			f.allocators[r.instance].Finish(r.request, false) // does not count towards a higher limit
		}
	}
	f.running = running
}

// TestWholeFleetRestart guards against a fleet that issues no permits after all
// its instances were replaced at once: no former member is left to vote for the
// new assignment, or to report which members had no running requests.
func TestWholeFleetRestart(t *testing.T) {
	cases := map[string]struct {
		graceful bool
		within   clock.Millis // from the restart to the first permit
	}{
		"graceful": {true, 10 * clock.Second},
		"crash":    {false, 10*clock.Second + testOptions().TakeoverWait()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(4)
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
			f.process.Restart = "r2" // the endpoint's former process and its requests have ended
			f.running = nil
			f.restarts++
			for i := range f.allocators {
				f.allocators[i] = f.newAllocator(i, testOptions())
			}
			for end := f.clock.Now() + c.within; len(f.running) == 0; f.step(random) {
				if f.clock.Now() > end {
					t.Fatalf("no request started within %d ms after the restart", c.within)
				}
			}
		})
	}
}

func (f *testFleet) finishAll() {
	for _, r := range f.running {
		f.allocators[r.instance].Finish(r.request, false)
	}
	f.running = nil
}

// TestColdLimit guards against more concurrent requests at a cold endpoint than
// its limit when several instances hold permits, when the store is down or loses
// answers, and when the coordinator or the granter ends while requests are running.
// It also guards against permits that are never issued again after the fault.
func TestColdLimit(t *testing.T) {
	cases := map[string]struct {
		injectFault func(f *testFleet, step int)
		starts      int // least number of requests that must start after step 800
	}{
		"healthy": {func(*testFleet, int) {}, 50},
		"store down": {func(f *testFleet, step int) {
			f.store.SetFaults(storeemulator.Faults{Down: step > 400})
		}, 50},
		"lost answers": {func(f *testFleet, step int) {
			if step%40 == 0 {
				f.store.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1})
			}
		}, 10},
		"instance dies": {func(f *testFleet, step int) { f.down[1] = step > 400 }, 10},
		"coordinator leaves": {func(f *testFleet, step int) {
			if step > 400 {
				f.leaving[f.coordinator()], f.down[f.coordinator()] = true, true
			}
		}, 10},
		"instance returns": {func(f *testFleet, step int) {
			f.down[2] = step > 400 && step < 600
		}, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(4)
			random := rand.New(rand.NewPCG(7, 7))
			limit := permitter.DefaultOptions().ColdLimit
			started, before := 0, 0
			for step := range 2400 {
				c.injectFault(f, step)
				f.step(random)
				if got := len(f.running); got > limit {
					t.Fatalf("step %d: got %d requests at a cold endpoint, want at most %d", step, got, limit)
				}
				if len(f.running) > before && step > 800 {
					started++
				}
				before = len(f.running)
			}
			if started < c.starts {
				t.Errorf("requests started after the fault: got %d, want at least %d", started, c.starts)
			}
		})
	}
}
