package tracker

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// fixture is a tracker over two engines in one data centre, with counted permits.
type fixture struct {
	t        *testing.T
	tracker  *Tracker
	units    int // of every process
	started  []permitter.Process
	earned   int // requests that count for a higher limit
	cold     int
	now      clock.Millis
	out      map[string]bool
	leaving  map[string]bool
	restarts map[string]string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, units: permitter.Unlimited, now: clock.Hour, out: map[string]bool{}, leaving: map[string]bool{},
		restarts: map[string]string{"e1": "r1", "e2": "r1"},
	}
	f.tracker = New(Options{
		DataCentre: "a", Random: rand.New(rand.NewPCG(1, 1)),
		Distance: func(string, string) float32 { return 0 },
		Breaker: breaker.Options{
			Window: clock.Second, MinRequests: 4, ErrorRate: 0.5, Consecutive: 4, OpenFor: clock.Second,
			OpenMax: clock.Second, Probes: 1, Successes: 1, ProbeTimeout: clock.Second, MaxShare: 0.5,
		},
		Permits: Permits{
			Units: func(permitter.Process) int { return f.units },
			Start: func(p permitter.Process, _ clock.Millis) (permitter.Work, bool) {
				f.started = append(f.started, p)
				return permitter.Work{Process: p}, true
			},
			Finish: func(_ permitter.Work, normal bool) {
				if normal {
					f.earned++
				}
			},
			Cold:   func(permitter.Process) { f.cold++ },
			Wanted: func(permitter.Process) {},
		},
	})
	f.adopt()
	f.report(true)
	return f
}

func (f *fixture) adopt() {
	var all []Endpoint
	for _, id := range []string{"e1", "e2"} {
		all = append(all, Endpoint{
			ID: id, Address: "http://" + id, DataCentre: "a", Limit: 8, Out: f.out[id], Leaving: f.leaving[id],
		})
	}
	f.tracker.Adopt(all, []string{"m@v1"}, []string{"a"}, f.now)
	f.tracker.Tick(f.now)
}

func (f *fixture) report(warm bool) {
	f.now += clock.Second
	for id, r := range f.restarts {
		l := engineclient.Load{AsOf: f.now, Warm: warm, RestartID: r, Versions: []string{"m@v1"}}
		f.tracker.Report(id, l, f.now)
	}
	f.tracker.Tick(f.now)
}

// endpoints returns the endpoints that take some of many requests.
func (f *fixture) endpoints() map[string]bool {
	f.t.Helper()
	found := map[string]bool{}
	for range 20 {
		s, err := f.tracker.Acquire(Want{Class: "m@v1", Prompt: "p"}, f.now)
		if errors.Is(err, refuser.ErrNoEndpoint) {
			continue
		}
		if err != nil {
			f.t.Fatal(err)
		}
		found[s.Endpoint] = true
		f.tracker.Release(s, Result{}, f.now)
	}
	return found
}

func (f *fixture) failOnce(r Result) {
	f.t.Helper()
	s, err := f.tracker.Acquire(Want{Class: "m@v1", Exclude: []string{"e2"}}, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.tracker.Release(s, r, f.now)
}

// TestAcquire guards against work at an endpoint that is out, leaving, broken,
// without a permit, or whose process may have changed, and against an endpoint
// that stays without work after the reason has gone.
func TestAcquire(t *testing.T) {
	cases := map[string]struct {
		change func(f *fixture)
		want   int // endpoints that take work
		undo   func(f *fixture)
	}{
		"out": {
			func(f *fixture) { f.out["e1"] = true; f.adopt() }, 1,
			func(f *fixture) { f.out["e1"] = false; f.adopt(); f.report(true); f.report(true) },
		},
		"leaving": {
			func(f *fixture) { f.leaving["e1"] = true; f.adopt() }, 1,
			func(f *fixture) { f.leaving["e1"] = false; f.adopt() },
		},
		"back, and only a report that may be older": {
			func(f *fixture) {
				f.out["e1"] = true
				f.adopt()
				f.out["e1"] = false
				f.adopt()
				f.tracker.Report("e1", engineclient.Load{AsOf: f.now, RestartID: "r1", Versions: []string{"m@v1"}}, f.now+1)
			}, 1,
			func(f *fixture) { f.report(true); f.report(true) },
		},
		"connection lost": {
			func(f *fixture) { f.failOnce(Result{Failed: true, Lost: true}) }, 1,
			func(f *fixture) { f.report(true) },
		},
		"process ended": {
			func(f *fixture) { f.tracker.Distrust("http://e1", f.now) }, 1,
			func(f *fixture) { f.report(true) },
		},
		"broken": {
			func(f *fixture) {
				f.endpoints() // the breaker knows both, so that one of them may open
				for range 4 {
					f.failOnce(Result{Failed: true})
				}
			}, 1,
			func(f *fixture) { f.report(true); f.report(true); f.failOnce(Result{}) },
		},
		"no permits": {
			func(f *fixture) { f.units = 0; f.tracker.Tick(f.now) }, 0,
			func(f *fixture) { f.units = permitter.Unlimited; f.tracker.Tick(f.now) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c.change(f)
			if got := len(f.endpoints()); got != c.want {
				t.Errorf("endpoints with work: got %d, want %d", got, c.want)
			}
			c.undo(f)
			if got, want := len(f.endpoints()), 2; got != want {
				t.Errorf("endpoints with work afterwards: got %d, want %d", got, want)
			}
		})
	}
}

// TestEarnedLimit guards against requests that raise the limit of an endpoint
// that is still cold, and against a late first token at a busy endpoint that is
// taken for a sign of cold.
func TestEarnedLimit(t *testing.T) {
	cases := map[string]struct {
		warm         bool
		running      int // requests that the endpoint reports
		result       Result
		earned, cold int
	}{
		"warm":         {true, 0, Result{}, 1, 0},
		"still cold":   {false, 0, Result{}, 0, 0},
		"refused":      {true, 0, Result{Cold: true}, 0, 1},
		"late":         {true, 0, Result{Late: true}, 0, 1},
		"late in load": {true, 8, Result{Late: true}, 0, 0},
		"failed":       {true, 0, Result{Failed: true}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.report(c.warm)
			s, err := f.tracker.Acquire(Want{Class: "m@v1"}, f.now)
			if err != nil {
				t.Fatal(err)
			}
			f.now++
			l := engineclient.Load{
				AsOf: f.now, Warm: c.warm, RestartID: "r1", Versions: []string{"m@v1"}, Running: c.running,
			}
			f.tracker.Report(s.Endpoint, l, f.now)
			f.tracker.Release(s, c.result, f.now)
			if f.earned != c.earned || f.cold != c.cold {
				t.Errorf("earned and cold: got %d and %d, want %d and %d", f.earned, f.cold, c.earned, c.cold)
			}
		})
	}
}
