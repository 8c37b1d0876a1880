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

// fixture is a tracker with two engines, e1 and e2, in one data centre. It counts
// the calls of the permit functions.
type fixture struct {
	t          *testing.T
	tracker    *Tracker
	units      int // units of every process
	started    []permitter.Process
	normal     int // requests that count towards a higher limit
	cold       int // reports that a process is cold
	now        clock.Millis
	out        map[string]bool   // by endpoint
	leaving    map[string]bool   // by endpoint
	restartIDs map[string]string // by endpoint
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, units: permitter.Unlimited, now: clock.Hour, out: map[string]bool{}, leaving: map[string]bool{},
		restartIDs: map[string]string{"e1": "r1", "e2": "r1"},
	}
	f.tracker = New(Options{
		DataCentre: "a", Random: rand.New(rand.NewPCG(1, 1)),
		Distance: func(string, string) float32 { return 0 },
		Breaker: breaker.Options{
			Window: clock.Second, MinRequests: 4, ErrorRate: 0.5, ConsecutiveErrors: 4, OpenFor: clock.Second,
			OpenMax: clock.Second, MaxProbes: 1, ProbeSuccesses: 1, ProbeTimeout: clock.Second, MaxOpenShare: 0.5,
		},
		Permits: Permits{
			AvailableUnits: func(permitter.Process) int { return f.units },
			Start: func(p permitter.Process, _ clock.Millis) (permitter.RunningRequest, bool) {
				f.started = append(f.started, p)
				return permitter.RunningRequest{Process: p}, true
			},
			Finish: func(_ permitter.RunningRequest, normal bool) {
				if normal {
					f.normal++
				}
			},
			MarkCold:     func(permitter.Process) { f.cold++ },
			RecordDemand: func(permitter.Process) {},
		},
	})
	f.setEndpoints()
	f.report(true)
	return f
}

// setEndpoints sets the endpoints of the tracker with their current flags.
func (f *fixture) setEndpoints() {
	var all []Endpoint
	for _, id := range []string{"e1", "e2"} {
		all = append(all, Endpoint{
			ID: id, Address: "http://" + id, DataCentre: "a", Limit: 8, Out: f.out[id], Leaving: f.leaving[id],
		})
	}
	f.tracker.SetEndpoints(all, []string{"m@v1"}, []string{"a"}, f.now)
	f.tracker.Tick(f.now)
}

// report sends a load report of both engines one second later.
func (f *fixture) report(warm bool) {
	f.now += clock.Second
	for id, r := range f.restartIDs {
		l := engineclient.Load{AsOf: f.now, Warm: warm, RestartID: r, Versions: []string{"m@v1"}}
		f.tracker.Report(id, l, f.now)
	}
	f.tracker.Tick(f.now)
}

// endpoints returns the endpoints that receive at least one of 20 requests.
func (f *fixture) endpoints() map[string]bool {
	f.t.Helper()
	found := map[string]bool{}
	for range 20 {
		s, err := f.tracker.Acquire(Requirement{Class: "m@v1", Prompt: "p"}, f.now)
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

// runOnce runs a request at e1 with the given outcome.
func (f *fixture) runOnce(r Result) {
	f.t.Helper()
	s, err := f.tracker.Acquire(Requirement{Class: "m@v1", Exclude: []string{"e2"}}, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.tracker.Release(s, r, f.now)
}

// TestAcquire guards against requests to an endpoint that is out, leaving, behind
// an open circuit breaker, without a permit, or whose process may have changed,
// and against an endpoint that receives no requests after the reason has ceased.
func TestAcquire(t *testing.T) {
	cases := map[string]struct {
		change func(f *fixture)
		want   int // number of endpoints that receive requests after the change
		undo   func(f *fixture)
	}{
		"out": {
			func(f *fixture) { f.out["e1"] = true; f.setEndpoints() }, 1,
			func(f *fixture) { f.out["e1"] = false; f.setEndpoints(); f.report(true); f.report(true) },
		},
		"leaving": {
			func(f *fixture) { f.leaving["e1"] = true; f.setEndpoints() }, 1,
			func(f *fixture) { f.leaving["e1"] = false; f.setEndpoints() },
		},
		"back in service, report possibly older": {
			func(f *fixture) {
				f.out["e1"] = true
				f.setEndpoints()
				f.out["e1"] = false
				f.setEndpoints()
				f.tracker.Report("e1", engineclient.Load{AsOf: f.now, RestartID: "r1", Versions: []string{"m@v1"}}, f.now+1)
			}, 1,
			func(f *fixture) { f.report(true); f.report(true) },
		},
		"connection lost": {
			func(f *fixture) { f.runOnce(Result{Failed: true, ConnectionLost: true}) }, 1,
			func(f *fixture) { f.report(true) },
		},
		"process ended": {
			func(f *fixture) { f.tracker.ForgetProcess("http://e1", f.now) }, 1,
			func(f *fixture) { f.report(true) },
		},
		"circuit breaker open": {
			func(f *fixture) {
				f.endpoints() // makes both known to the breaker, which opens at most half of the circuits
				for range 4 {
					f.runOnce(Result{Failed: true})
				}
			}, 1,
			func(f *fixture) { f.report(true); f.report(true); f.runOnce(Result{}) },
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
				t.Errorf("endpoints with requests: got %d, want %d", got, c.want)
			}
			c.undo(f)
			if got, want := len(f.endpoints()), 2; got != want {
				t.Errorf("endpoints with requests afterwards: got %d, want %d", got, want)
			}
		})
	}
}

// TestReleaseOutcomes guards against requests that count towards a higher limit
// while the endpoint is still cold, and against a late first token at a busy
// endpoint that is taken as an indication of a cold one.
func TestReleaseOutcomes(t *testing.T) {
	cases := map[string]struct {
		warm         bool
		running      int // running requests in the load report of the endpoint
		result       Result
		normal, cold int
	}{
		"warm":            {true, 0, Result{}, 1, 0},
		"still cold":      {false, 0, Result{}, 0, 0},
		"refused":         {true, 0, Result{Cold: true}, 0, 1},
		"late":            {true, 0, Result{Late: true}, 0, 1},
		"late under load": {true, 8, Result{Late: true}, 0, 0},
		"failed":          {true, 0, Result{Failed: true}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.report(c.warm)
			s, err := f.tracker.Acquire(Requirement{Class: "m@v1"}, f.now)
			if err != nil {
				t.Fatal(err)
			}
			f.now++
			l := engineclient.Load{
				AsOf: f.now, Warm: c.warm, RestartID: "r1", Versions: []string{"m@v1"}, Running: c.running,
			}
			f.tracker.Report(s.Endpoint, l, f.now)
			f.tracker.Release(s, c.result, f.now)
			if f.normal != c.normal || f.cold != c.cold {
				t.Errorf("normal and cold: got %d and %d, want %d and %d", f.normal, f.cold, c.normal, c.cold)
			}
		})
	}
}
