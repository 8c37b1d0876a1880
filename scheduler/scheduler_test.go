package scheduler

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// loop drives a scheduler with requests that all take the same time.
type loop struct {
	s       *Scheduler
	service clock.Millis
	ends    map[clock.Millis][]string
	arrived map[string]clock.Millis
	waited  map[string][]clock.Millis // by workspace
}

func newLoop(o Options) *loop {
	return &loop{
		s: New(o), service: o.InitialService, ends: map[clock.Millis][]string{},
		arrived: map[string]clock.Millis{}, waited: map[string][]clock.Millis{},
	}
}

func (l *loop) step(now clock.Millis) {
	for _, id := range l.ends[now] {
		l.s.Done(now, id, true)
	}
	delete(l.ends, now)
	for {
		i, _, ok := l.s.Next(now)
		if !ok {
			return
		}
		l.ends[now+l.service] = append(l.ends[now+l.service], i.ID)
		l.waited[i.Workspace] = append(l.waited[i.Workspace], now-l.arrived[i.ID])
	}
}

func (l *loop) arrive(now, patience clock.Millis, workspace string, n int) error {
	id := fmt.Sprintf("%s/%d/%d", workspace, now, n)
	l.arrived[id] = now
	return l.s.Enqueue(now, Item{ID: id, Workspace: workspace, Deadline: now + patience})
}

// TestLargeWorkspace guards against one workspace with ten times its share that
// delays or displaces nine others that stay within theirs, and against slots
// left idle when the others use less.
func TestLargeWorkspace(t *testing.T) {
	l := newLoop(Options{Slots: 20, InitialService: 100})
	refused := map[string]int{}
	const steps = 20000
	for now := clock.Millis(0); now < steps; now++ {
		for n := range 2 {
			if err := l.arrive(now, 2000, "large", n); err != nil {
				refused["large"]++
			}
		}
		for w := range 9 {
			if int(now)%100 != 11*w {
				continue
			}
			name := fmt.Sprintf("small%d", w)
			if err := l.arrive(now, 2000, name, 0); err != nil {
				refused[name]++
			}
		}
		l.step(now)
	}
	for w := range 9 {
		name := fmt.Sprintf("small%d", w)
		var longest clock.Millis
		for _, d := range l.waited[name] {
			longest = max(longest, d)
		}
		if got, want := longest, clock.Millis(100); got > want || refused[name] > 0 {
			t.Errorf("%s: longest wait %d ms, %d refused, want at most %d ms and 0", name, got, refused[name], want)
		}
	}
	// 20 slots serve 0.2 requests per ms; the small workspaces use 0.09 of them.
	if got, want := len(l.waited["large"]), steps*11/100-300; got < want {
		t.Errorf("large: %d served, want at least %d", got, want)
	}
}

// TestShares guards against weights that are ignored while all workspaces are
// backlogged.
func TestShares(t *testing.T) {
	l := newLoop(Options{Slots: 10, InitialService: 50, Weights: map[string]float64{"a": 3, "b": 1, "c": 1}})
	for now := clock.Millis(0); now < 20000; now++ {
		for _, w := range []string{"a", "b", "c"} {
			_ = l.arrive(now, 1000, w, 0)
		}
		l.step(now)
	}
	a, b, c := len(l.waited["a"]), len(l.waited["b"]), len(l.waited["c"])
	if got, want := float64(a)/float64(b+c), 1.5; got < 0.95*want || got > 1.05*want {
		t.Errorf("served %d, %d, %d: ratio of a to the others is %.2f, want %.2f", a, b, c, got, want)
	}
}

// TestRefusals guards against a request that waits although it cannot start in
// time, and against a refusal that does not say "not run".
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		waiting  int
		patience clock.Millis
		want     error
	}{
		"free slot":                  {0, 100, nil},
		"no time for the work":       {0, 99, refuser.ErrDeadline},
		"queue short enough":         {3, 500, nil},
		"queue too long":             {8, 500, refuser.ErrQueueFull},
		"no time for work and queue": {8, 50, refuser.ErrDeadline},
	}
	for name, c := range cases {
		s := New(Options{Slots: 1, InitialService: 100})
		for n := range c.waiting {
			if err := s.Enqueue(0, Item{ID: fmt.Sprint(n), Workspace: "w", Deadline: 10000}); err != nil {
				t.Fatalf("%s: fill the queue: %v", name, err)
			}
		}
		err := s.Enqueue(0, Item{ID: "x", Workspace: "w", Deadline: c.patience})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
		if err != nil && refuser.From(err).Run != refuser.RunNo {
			t.Errorf("%s: got run state %q, want %q", name, refuser.From(err).Run, refuser.RunNo)
		}
	}
}

// TestOrder guards against priorities that are ignored, cancelled or expired
// requests that run, and a slot that is freed twice.
func TestOrder(t *testing.T) {
	s := New(Options{Slots: 1, InitialService: 10})
	for _, i := range []Item{
		{ID: "low", Workspace: "w", Deadline: 1000},
		{ID: "cancelled", Workspace: "w", Priority: 1, Deadline: 1000},
		{ID: "high", Workspace: "w", Priority: 2, Deadline: 1000},
		{ID: "expired", Workspace: "w", Priority: 1, Deadline: 60},
	} {
		if err := s.Enqueue(0, i); err != nil {
			t.Fatalf("enqueue %s: %v", i.ID, err)
		}
	}
	if !s.Cancel("w", "cancelled") || s.Cancel("w", "cancelled") {
		t.Error("a waiting request must be cancelled exactly once")
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

// BenchmarkRequest measures one request through a scheduler with ten
// workspaces, nine of which have requests waiting.
func BenchmarkRequest(b *testing.B) {
	s := New(Options{Slots: 1, InitialService: 1})
	for n := range 900 {
		_ = s.Enqueue(0, Item{ID: fmt.Sprint(n), Workspace: fmt.Sprint(n % 9), Deadline: clock.Hour})
	}
	for b.Loop() {
		_ = s.Enqueue(0, Item{ID: "x", Workspace: "9", Deadline: clock.Hour})
		i, _, _ := s.Next(0)
		s.Done(0, i.ID, true)
	}
}
