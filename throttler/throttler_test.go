package throttler

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against larger models that slow down every stream when endpoints are
// away, and against ones that are held back while there is room. Patterns: a
// quarter of the engines crashes, a data centre is emptied, a burst.
func TestFactor(t *testing.T) {
	tests := map[string]struct {
		perSecond int     // requests of this instance
		large     float64 // part of them that asks for a larger model
		endpoints int
		instances int
		low, high float64
	}{
		"usual load":             {8, 0.5, 18, 9, 1, 1},
		"a quarter crashed":      {8, 0.5, 13, 9, 0.3, 1},
		"half are away":          {8, 0.5, 9, 9, 0.1, 0.6},
		"burst on half of them":  {16, 0.5, 9, 9, 0, 0.3},
		"no endpoint":            {8, 0.5, 0, 9, 0, 0},
		"nothing asked for more": {8, 0, 9, 9, 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := New(Options{Span: 3000, Share: 0.55})
			now := clock.Millis(0)
			for ; now < 15000; now += clock.Second / clock.Millis(tt.perSecond) {
				x.Base(now, 25)
				if tt.large > 0 {
					x.Demand(now, 0, 200*tt.large)
				}
			}
			if got := x.Factor(now, 0, Others{}, tt.endpoints, tt.instances); got < tt.low || got > tt.high {
				t.Errorf("factor: got %.2f, want %.2f to %.2f", got, tt.low, tt.high)
			}
		})
	}
}

// Guards against a load of long ago that still holds larger models back.
func TestForgets(t *testing.T) {
	x := New(Options{Span: 3000, Share: 0.55})
	for now := clock.Millis(0); now < 10000; now += 50 {
		x.Demand(now, 0, 500)
	}
	if got := x.Factor(10000, 0, Others{}, 1, 1); got > 0.2 {
		t.Errorf("under load: got %.2f, want at most 0.2", got)
	}
	if got := x.Factor(30000, 0, Others{}, 1, 1); got < 1 {
		t.Errorf("20 s later: got %.2f, want 1", got)
	}
}

// Guards against an instance that holds back because of one large prompt of
// its own, while the fleet has room.
func TestOthersSmoothOwnPeaks(t *testing.T) {
	x := New(Options{Span: 3000, Share: 0.55})
	x.Demand(0, 0, 4000)
	if got := x.Factor(0, 0, Others{}, 1, 1); got > 0.6 {
		t.Errorf("alone: got %.2f, want at most 0.6", got)
	}
	if got := x.Factor(0, 0, Others{Base: 1, Demand: 2, Instances: 18}, 15, 19); got < 1 {
		t.Errorf("with 18 others: got %.2f, want 1", got)
	}
}

// Guards against a crowd of less urgent requests that takes the larger models
// from the urgent ones, and against kinds that are left without any. Pattern: a
// burst of one kind while half of the engines are away.
func TestUrgentFirst(t *testing.T) {
	x := New(Options{Span: 3000, Share: 0.5})
	now := clock.Millis(0)
	for ; now < 30000; now += 100 {
		x.Demand(now, 0, 20)
		x.Demand(now, 2, 80)
	}
	// All together ask for 1 ms per ms; half of it fits.
	urgent, other := x.Factor(now, 0, Others{}, 1, 1), x.Factor(now, 2, Others{}, 1, 1)
	if urgent < 0.75 || other < 0.3 || other > 0.5 {
		t.Errorf("got %.2f of the urgent and %.2f of the others, want 0.75 or more, and 0.3 to 0.5", urgent, other)
	}
	if sum := 0.2*urgent + 0.8*other; sum < 0.45 || sum > 0.55 {
		t.Errorf("larger models that fit: got %.2f, want 0.5", sum)
	}
	if got := x.Factor(now, 1, Others{}, 1, 1); got < 0.4 || got > 0.6 {
		t.Errorf("a rank that was not seen yet: got %.2f, want about 0.5", got)
	}
}
