package shedder

import (
	"math"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
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
		"one workspace at six times its rate": {load{until: 32 * clock.Second, demand: times(1.1, 6)}, 0.2, true},
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
	list := run(2, load{until: 32 * clock.Second, demand: times(1.8, 6)})
	asked, served := make(map[class]int), make(map[class]int)
	z := &sizes{}
	for _, o := range list {
		if o.kind == 0 {
			z.add(o.size)
		}
	}
	for _, o := range list {
		keys := []class{
			{"kind", string(rune('0' + o.kind))}, {"workspace", string(rune('a' + o.workspace))}, {"session", o.session},
		}
		if o.kind == 0 {
			keys = append(keys, class{"size", z.decile(o.size)})
		}
		for _, k := range keys {
			asked[k]++
			if o.served() {
				served[k]++
			}
		}
	}
	for k, n := range asked {
		if n >= 5 && float64(served[k]) < float64(n)/5 {
			t.Errorf("%v: %d of %d served, want at least a fifth", k, served[k], n)
		}
	}
	largest, kind := class{"size", "9"}, class{"kind", "0"}
	got := float64(served[largest]) / float64(asked[largest])
	if want := float64(served[kind]) / float64(asked[kind]) / 2; got < want {
		t.Errorf("largest tenth: got %.3f served, want at least %.3f", got, want)
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
