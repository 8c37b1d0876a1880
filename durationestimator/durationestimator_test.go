package durationestimator

import (
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against an estimate that many tasks exceed, or that is far longer than they are.
func TestUpper(t *testing.T) {
	tests := map[string]struct {
		next     func(r *rand.Rand) float64 // ms
		exceeded float64                    // largest share of later tasks that exceed the estimate
		longest  clock.Millis               // largest mean of the estimates
	}{
		"constant": {func(*rand.Rand) float64 { return 5000 }, 0, 5001},
		"normal":   {func(r *rand.Rand) float64 { return 5000 + 500*r.NormFloat64() }, 0.1, 6000},
		"uniform":  {func(r *rand.Rand) float64 { return 1000 + 4000*r.Float64() }, 0.1, 5500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			e := New()
			now, exceeded, sum := clock.Millis(0), 0, clock.Millis(0)
			const settle, count = 50, 2000
			for i := range settle + count {
				took := clock.Millis(tt.next(r))
				if i >= settle {
					upper := e.Upper(now, "k")
					sum += upper
					if took > upper {
						exceeded++
					}
				}
				now += 10
				e.Record(now, "k", took)
			}
			if got := float64(exceeded) / count; got > tt.exceeded {
				t.Errorf("%.3f of the tasks exceed the estimate, want at most %v", got, tt.exceeded)
			}
			if got := sum / count; got > tt.longest {
				t.Errorf("mean estimate %d ms, want at most %d", got, tt.longest)
			}
		})
	}
}

// Guards against estimates of other kinds, of kinds without tasks, and of long ago, and
// against kinds that are kept for good.
func TestExpiry(t *testing.T) {
	e := New()
	e.Record(1000, "a", 400)
	e.Record(1000, "a", -1)
	for name, tt := range map[string]struct {
		now  clock.Millis
		kind string
		want clock.Millis
	}{
		"first":        {1000, "a", 800},
		"other kind":   {1000, "b", 0},
		"just in time": {1000 + maxAge, "a", 800},
		"expired":      {1001 + maxAge, "a", 0},
	} {
		if got := e.Upper(tt.now, tt.kind); got != tt.want {
			t.Errorf("%s: got %d ms, want %d", name, got, tt.want)
		}
	}
	e.Sweep(1000 + maxAge)
	if got := len(e.kinds); got != 1 {
		t.Errorf("before the expiry: %d kinds, want 1", got)
	}
	e.Sweep(1001 + maxAge)
	if got := len(e.kinds); got != 0 {
		t.Errorf("after the expiry: %d kinds, want 0", got)
	}
}
