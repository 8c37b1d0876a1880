package shedder

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// times returns demand that is multiplied for all, and for workspace 3 once more.
func times(all, three float64) func(int, int) float64 {
	return func(w, _ int) float64 {
		if w == 3 {
			return all * three
		}
		return all
	}
}

// burst returns demand of which one kind is multiplied.
func burst(kind int, factor float64) func(int, int) float64 {
	return func(_, k int) float64 {
		if k == kind {
			return factor
		}
		return 1
	}
}

func (o *outcome) served() bool { return !math.IsInf(o.first, 1) }

// Guards against a shortage in which all requests wait until all are late, and
// against one workspace that takes the room of the others. Each load is run with and
// without the part; gain is the least additional share of requests on time.
func TestShortage(t *testing.T) {
	tests := map[string]struct {
		load   load
		gain   float64
		others bool // the requests of workspace 3 do not count
	}{
		"one workspace at six times its rate": {load{until: 38 * clock.Second, demand: times(1.05, 6)}, 0.2, true},
		"burst of one kind":                   {load{until: 30 * clock.Second, demand: burst(1, 2.4)}, 0.1, false},
		"capacity halved for three seconds":   {load{until: 23 * clock.Second, speed: 0.5}, 0.05, false},
		"restart of all under full load": {
			load{until: 32 * clock.Second, demand: times(1.3, 1), restart: 25 * clock.Second}, 0.1, false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var filter func(*outcome) bool
			if tt.others {
				filter = func(o *outcome) bool { return o.workspace != 3 }
			}
			with := run(1, tt.load)
			tt.load.without = true
			without := run(1, tt.load)
			got, n := share(with, filter, (*outcome).onTime)
			before, _ := share(without, filter, (*outcome).onTime)
			three, _ := share(with, func(o *outcome) bool { return o.workspace == 3 }, (*outcome).onTime)
			t.Logf("of %d on time: %.3f with, %.3f without; workspace 3: %.3f", n, got, before, three)
			if got < before+tt.gain {
				t.Errorf("on time: got %.3f, want at least %.3f", got, before+tt.gain)
			}
		})
	}
}

// Guards against refusals without a shortage.
func TestQuiet(t *testing.T) {
	for _, o := range run(1, load{until: 32 * clock.Second}) {
		if o.refusals > 0 {
			t.Fatalf("a request of workspace %d and %.0f tokens was refused", o.workspace, o.size)
		}
	}
}

// Guards against a class of requests that gets less than a fifth of what it asks for,
// and against large requests that are served less than half as often as their kind.
func TestStarvation(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) { checkStarvation(t, seed+1) })
	}
}

// group is a class of requests by name.
type group struct{ by, name string }

func checkStarvation(t *testing.T, seed uint64) {
	t.Helper()
	list := run(seed, load{until: 35 * clock.Second, demand: times(1.8, 6)})
	asked, served := make(map[group]int), make(map[group]int)
	z := &sizes{}
	for _, o := range list {
		if o.kind == 0 {
			z.add(o.size)
		}
	}
	for _, o := range list {
		keys := []group{
			{"kind and rank", fmt.Sprint(o.kind)}, {"workspace", fmt.Sprint(o.workspace)}, {"session", o.session},
		}
		if o.kind == 0 {
			keys = append(keys, group{"size", z.decile(o.size)})
		}
		for _, k := range keys {
			asked[k]++
			if o.served() {
				served[k]++
			}
		}
	}
	for k, n := range asked {
		if served[k] < n/5 { // whole requests
			t.Errorf("%v: %d of %d served, want at least a fifth", k, served[k], n)
		}
	}
	largest, kind := group{"size", "9"}, group{"kind and rank", "0"}
	got := float64(served[largest]) / float64(asked[largest])
	if want := float64(served[kind]) / float64(asked[kind]) / 2; got < want {
		t.Errorf("largest tenth: got %.3f served, want at least %.3f", got, want)
	}
}

// Guards against a class that is always refused while the others are admitted: the victim's
// workspace never has credit, as if its requests came at the wrong times.
func TestGuarantee(t *testing.T) {
	tests := map[string]struct {
		change func(*Request) // makes a request one of the class
		want   float64        // least served share
	}{
		"session":      {func(r *Request) { r.Session = "x" }, 0.2},
		"rank":         {func(r *Request) { r.Rank = 7 }, 0.2},
		"workspace":    {func(r *Request) { r.Workspace = "x" }, 0.2},
		"largest size": {func(r *Request) { r.Size = 9000 }, 0.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, r := short(maxRefused, "w")
			admitted := 0
			const count = 200
			for i := range 10 * count {
				now := clock.Millis(1100 + 20*i)
				r.ID, r.Session, r.Size, r.Rank, r.Workspace = uint64(1000+i), fmt.Sprint(i%7), float64(i%10), 0, "w"
				r.Idle = i%10 != 0
				if !r.Idle {
					tt.change(&r)
					s.services["s"].workspaces["w"].credit, s.services["s"].controls["k"].refused = -1, maxRefused
					if w := s.services["s"].workspaces["x"]; w != nil {
						w.credit = -1
					}
				}
				if s.Decide(now, r).Admitted && !r.Idle {
					admitted++
				}
			}
			if got := float64(admitted) / count; got < tt.want-0.02 {
				t.Errorf("served share: got %.3f, want at least %.2f", got, tt.want)
			}
		})
	}
}

// Guards against a request that is kept though its caller leaves before it can be
// served, and against the refusal of one for which an endpoint is free.
func TestDecide(t *testing.T) {
	base := Request{ID: 1, Service: "s", Kind: "k", Workspace: "w", Work: 100, Target: 1000, Remaining: 3000}
	tests := map[string]struct {
		change func(*Request)
		want   bool
	}{
		"in time":                         {func(r *Request) { r.Expected = 500 }, true},
		"too late for the caller":         {func(r *Request) { r.Expected = 3001 }, false},
		"too late, but a free endpoint":   {func(r *Request) { r.Expected, r.Idle = 3001, true }, true},
		"its own work exceeds the target": {func(r *Request) { r.Expected, r.Work = 2900, 2600 }, true},
		"no target":                       {func(r *Request) { r.Expected, r.Target = 2900, 0 }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Options{})
			r := base
			r.Expected = 100
			for i := range 20 {
				r.ID = uint64(i)
				s.Decide(clock.Millis(1000+50*i), r)
			}
			r = base
			tt.change(&r)
			if got := s.Decide(2000, r).Admitted; got != tt.want {
				t.Errorf("admitted: got %v, want %v", got, tt.want)
			}
		})
	}
}

// short returns a Shedder of which service "s" refuses the given share of its work. The
// workspaces have sent equal work, and the expected time stays just over the target.
func short(refused float64, workspaces ...string) (*Shedder, Request) {
	s := New(Options{})
	r := Request{
		Service: "s", Kind: "k", Work: 100, Target: 1000, Remaining: 3000, Expected: 1001,
	}
	for i := range 90 {
		r.ID, r.Workspace, r.Rank = uint64(i), workspaces[i%len(workspaces)], i%3
		s.Decide(clock.Millis(1000+i), r)
	}
	c := s.services["s"].controls["k"]
	c.refused, c.shortUntil = refused, clock.Hour
	return s, r
}

// Guards against callers that all return at the same time, before there is room, later
// than they honour, or in another order than that of their ranks.
func TestRetryAfter(t *testing.T) {
	s, r := short(maxRefused, "w")
	previous := clock.Millis(0)
	for rank := range 3 {
		r.Rank, r.Expected = rank, 1100
		least, most := clock.Millis(math.MaxInt32), clock.Millis(0)
		for i := range 100 {
			r.ID = uint64(i) * 0x9E3779B97F4A7C15
			after := s.retryAfter(s.services["s"], r)
			least, most = min(least, after), max(most, after)
		}
		if least < previous || least < 1100-planningShare*1000 || most > 1000 || most-least < 50 {
			t.Errorf("rank %d: got %d to %d ms, want at least 50 ms apart, after %d, 500 to 1000", rank, least, most, previous)
		}
		previous = most
	}
}

// Guards against a returning request that starts again at the end of its workspace.
func TestReturningFirst(t *testing.T) {
	s, r := short(maxRefused/2, "w")
	var newOnes, returning, returned int
	for i := range 600 {
		now := clock.Millis(1100 + i)
		r.ID, r.Rank = uint64(1000+i), 1
		if i%10 == 9 { // one that was refused some time before
			s.waiting[r.attempt()] = now - 1
			returned++
		}
		s.services["s"].controls["k"].refused = maxRefused / 2
		if s.Decide(now, r).Admitted {
			if i%10 == 9 {
				returning++
			} else {
				newOnes++
			}
		}
	}
	if 540*returning <= returned*newOnes {
		t.Errorf("admitted: got %d of %d that return and %d of 540 new ones, want the former more often",
			returning, returned, newOnes)
	}
}

// Guards against the refusal of urgent requests while less urgent ones of the same
// workspace are admitted, and of workspaces within their share.
func TestPlan(t *testing.T) {
	s, _ := short(0.2, "a", "b", "c")
	v := s.services["s"]
	tests := map[string]struct {
		others Demand
		want   float64 // refused share of "a"
	}{
		"equal":                     {Demand{}, 0.2},
		"another has more":          {Demand{Reporting: 1, Rates: map[uint64]float64{matcher.Hash("workspace", "b"): 5}}, 0},
		"unknown count as reported": {Demand{Unknown: 7}, 0.2},
		"another has more elsewhere": {
			Demand{Unknown: 7, Sums: []Sum{{Instances: 7, Rates: map[uint64]float64{matcher.Hash("workspace", "c"): 40}}}}, 0,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := v.controls["k"]
			c.plan, c.refused = plan{}, 0.2
			v.update(1100, c, "s", func(clock.Millis, string) Demand { return tt.others })
			got := c.plan.refusedShare(matcher.Hash("workspace", "a"), 1)
			if math.Abs(got-tt.want) > 0.03 {
				t.Errorf("refused share: got %.3f, want %.3f", got, tt.want)
			}
		})
	}
	w := &workspace{}
	for rank := range 3 {
		w.addRank(1100, rank, 100)
	}
	for rank, want := range []float64{0, 0.1, maxRefused} {
		if got := w.refusedShare(1100, rank, 0.3); math.Abs(got-want) > 1e-6 {
			t.Errorf("refused share of rank %d: got %.3f, want %.3f", rank, got, want)
		}
	}
}

// Guards against a shortage that is reported with each refusal, or whose end is not.
func TestShortageEvents(t *testing.T) {
	s, r := short(0, "w")
	var got []Shortage
	s.options.Changed = func(x Shortage) { got = append(got, x) }
	for i := range 3 {
		r.ID, r.Expected = uint64(i), 5000
		s.Decide(2000, r)
	}
	s.Sweep(2500)
	s.Sweep(2001 + shortageEnd)
	want := []Shortage{
		{Service: "s", Begins: true, Expected: 5000, Refused: 1}, {Service: "s", Expected: 5000, Refused: 3},
	}
	for i := range got {
		got[i].Workspaces = 0
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against the refusal of requests that are expected in time while a shortage lasts,
// whatever has been measured before.
func TestBelowTarget(t *testing.T) {
	s, r := short(maxRefused, "w")
	for i := range 100 {
		s.Observe(clock.Millis(1000+i), "s", "k", 100, 5000)
	}
	for i, expected := range []clock.Millis{0, 599, 600, 601, 900, 1000} {
		for j := range 50 {
			r.ID, r.Session, r.Expected = uint64(1000+100*i+j), fmt.Sprint(j), expected
			if !s.Decide(clock.Millis(1200+50*i+j), r).Admitted {
				t.Fatalf("refused at an expected time of %d ms, target 1000 ms", expected)
			}
		}
	}
}

// Guards against a route without a target, or with a shorter one, whose expected times
// make a route refuse that has had no shortage.
func TestOtherTarget(t *testing.T) {
	tests := map[string]struct {
		kind   string
		target clock.Millis
	}{
		"no target, same route": {"k", 0}, "no target, another route": {"l", 0}, "shorter target": {"l", 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Options{})
			r := Request{Service: "s", Workspace: "w", Work: 100, Remaining: 3000}
			r.Kind, r.Target, r.Expected = tt.kind, tt.target, 2900
			for i := range 100 {
				r.ID = uint64(i)
				s.Decide(clock.Millis(1000+50*i), r)
			}
			r.Kind, r.Target, r.Expected = "k", 1000, 1100
			for i := range 20 {
				r.ID = uint64(1000 + i)
				if !s.Decide(6000, r).Admitted {
					t.Fatalf("request %d after the others: refused, want admitted", i)
				}
			}
		})
	}
}

// Guards against refusals by a share that was found before a pause in the requests, in
// which the queue has shrunk.
func TestRefusedDecays(t *testing.T) {
	s, r := short(maxRefused, "w")
	at := s.services["s"].controls["k"].at
	r.Expected = 1001
	s.Decide(at+10*clock.Second, r)
	// The request itself may raise the share by what one request accounts for.
	want := 0.01 + float64(maxStep)/float64(controlTime)
	if got := s.services["s"].controls["k"].refused; got > want {
		t.Errorf("refused share after 10 s without requests: got %.3f, want at most %.3f", got, want)
	}
}
