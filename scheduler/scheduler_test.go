package scheduler

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// simulation runs a scheduler with requests that all have the same service time.
type simulation struct {
	s        *Scheduler
	service  clock.Millis              // service time of every request
	endingAt map[clock.Millis][]string // IDs of the running requests by the instant at which they end
	arrived  map[string]clock.Millis   // instant of arrival by request ID
	waits    map[string][]clock.Millis // waits of the started requests by workspace
}

func newSimulation(o Options) *simulation {
	return &simulation{
		s: New(o), service: o.InitialServiceTime, endingAt: map[clock.Millis][]string{},
		arrived: map[string]clock.Millis{}, waits: map[string][]clock.Millis{},
	}
}

// step ends the requests that are due at the instant now and starts others.
func (sim *simulation) step(now clock.Millis) {
	for _, id := range sim.endingAt[now] {
		sim.s.Done(now, id, true)
	}
	delete(sim.endingAt, now)
	for {
		next, _, ok := sim.s.Next(now)
		if !ok {
			return
		}
		sim.endingAt[now+sim.service] = append(sim.endingAt[now+sim.service], next.ID)
		sim.waits[next.Workspace] = append(sim.waits[next.Workspace], now-sim.arrived[next.ID])
	}
}

// arrive queues a request that must complete within the timeout.
func (sim *simulation) arrive(now, timeout clock.Millis, workspace string, n int) error {
	id := fmt.Sprintf("%s/%d/%d", workspace, now, n)
	sim.arrived[id] = now
	return sim.s.Enqueue(now, Request{ID: id, Workspace: workspace, Deadline: now + timeout})
}

// TestLargeWorkspace guards against a workspace that requests ten times its share
// and thereby delays nine others that stay within theirs or causes refusals for
// them, and against idle slots when the others use less than their shares.
func TestLargeWorkspace(t *testing.T) {
	sim := newSimulation(Options{Slots: 20, InitialServiceTime: 100})
	refused := map[string]int{}
	const steps = 20000
	for now := clock.Millis(0); now < steps; now++ {
		for n := range 2 {
			if err := sim.arrive(now, 2000, "large", n); err != nil {
				refused["large"]++
			}
		}
		for w := range 9 {
			if int(now)%100 != 11*w {
				continue
			}
			name := fmt.Sprintf("small%d", w)
			if err := sim.arrive(now, 2000, name, 0); err != nil {
				refused[name]++
			}
		}
		sim.step(now)
	}
	for w := range 9 {
		name := fmt.Sprintf("small%d", w)
		var longest clock.Millis
		for _, d := range sim.waits[name] {
			longest = max(longest, d)
		}
		if got, want := longest, clock.Millis(100); got > want || refused[name] > 0 {
			t.Errorf("%s: longest wait %d ms, %d refused, want at most %d ms and 0", name, got, refused[name], want)
		}
	}
	// 20 slots serve 0.2 requests per ms; the small workspaces use 0.09 of them.
	if got, want := len(sim.waits["large"]), steps*11/100-300; got < want {
		t.Errorf("large: %d served, want at least %d", got, want)
	}
}

// TestShares guards against weights that are ignored while all workspaces have
// waiting requests.
func TestShares(t *testing.T) {
	sim := newSimulation(Options{Slots: 10, InitialServiceTime: 50, Weights: map[string]float64{"a": 3, "b": 1, "c": 1}})
	for now := clock.Millis(0); now < 20000; now++ {
		for _, w := range []string{"a", "b", "c"} {
			_ = sim.arrive(now, 1000, w, 0)
		}
		sim.step(now)
	}
	a, b, c := len(sim.waits["a"]), len(sim.waits["b"]), len(sim.waits["c"])
	if got, want := float64(a)/float64(b+c), 1.5; got < 0.95*want || got > 1.05*want {
		t.Errorf("served %d, %d, %d: ratio of a to the others is %.2f, want %.2f", a, b, c, got, want)
	}
}

// TestRefusals guards against queueing a request that cannot complete before its
// deadline, and against a refusal whose execution state is not NotExecuted.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		waiting int
		timeout clock.Millis
		want    error
	}{
		"slot free":                                  {0, 100, nil},
		"deadline before completion":                 {0, 99, refuser.ErrDeadline},
		"queue short enough":                         {3, 500, nil},
		"queue too long":                             {8, 500, refuser.ErrQueueFull},
		"deadline before completion, queue too long": {8, 50, refuser.ErrDeadline},
	}
	for name, c := range cases {
		s := New(Options{Slots: 1, InitialServiceTime: 100})
		for n := range c.waiting {
			if err := s.Enqueue(0, Request{ID: fmt.Sprint(n), Workspace: "w", Deadline: 10000}); err != nil {
				t.Fatalf("%s: fill the queue: %v", name, err)
			}
		}
		err := s.Enqueue(0, Request{ID: "x", Workspace: "w", Deadline: c.timeout})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
		if err != nil && refuser.From(err).Execution != refuser.NotExecuted {
			t.Errorf("%s: got execution state %q, want %q", name, refuser.From(err).Execution, refuser.NotExecuted)
		}
	}
}

// TestOrder guards against ignored priorities, against cancelled or expired
// requests that start, and against a slot that is freed twice.
func TestOrder(t *testing.T) {
	s := New(Options{Slots: 1, InitialServiceTime: 10})
	for _, request := range []Request{
		{ID: "low", Workspace: "w", Deadline: 1000},
		{ID: "cancelled", Workspace: "w", Priority: 1, Deadline: 1000},
		{ID: "high", Workspace: "w", Priority: 2, Deadline: 1000},
		{ID: "expired", Workspace: "w", Priority: 1, Deadline: 60},
	} {
		if err := s.Enqueue(0, request); err != nil {
			t.Fatalf("enqueue %s: %v", request.ID, err)
		}
	}
	if !s.Cancel("w", "cancelled") || s.Cancel("w", "cancelled") {
		t.Error("Cancel must report true for a waiting request, and only once")
	}
	first, _, _ := s.Next(0)
	if _, _, ok := s.Next(0); first.ID != "high" || ok {
		t.Errorf("got %q first and a second start %v, want high and none", first.ID, ok)
	}
	s.Done(100, "high", true)
	s.Done(100, "high", true)
	second, expired, _ := s.Next(100)
	if second.ID != "low" || len(expired) != 1 || expired[0].ID != "expired" {
		t.Errorf("got %q and expired %v, want low and the expired request", second.ID, expired)
	}
}

// BenchmarkRequest measures queueing, starting and ending one request in a
// scheduler with ten workspaces, nine of which have waiting requests.
func BenchmarkRequest(b *testing.B) {
	s := New(Options{Slots: 1, InitialServiceTime: 1})
	for n := range 900 {
		_ = s.Enqueue(0, Request{ID: fmt.Sprint(n), Workspace: fmt.Sprint(n % 9), Deadline: clock.Hour})
	}
	for b.Loop() {
		_ = s.Enqueue(0, Request{ID: "x", Workspace: "9", Deadline: clock.Hour})
		next, _, _ := s.Next(0)
		s.Done(0, next.ID, true)
	}
}
