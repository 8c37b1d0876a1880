package averager

import (
	"math"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against an average that does not reach a steady rate or does not fall without
// work, and against one value that is no number and stays in it.
func TestRate(t *testing.T) {
	r := Rate{Span: 3 * clock.Second}
	now := clock.Millis(0)
	for ; now < 30*clock.Second; now += 10 {
		r.Add(now, 5)
		for _, v := range []float64{math.NaN(), math.Inf(1), -5} {
			r.Add(now, v)
		}
	}
	if got := r.Value(now); math.Abs(got-0.5) > 0.01 {
		t.Errorf("steady: got %v, want 0.5", got)
	}
	if got := r.Value(now + 3*clock.Second); math.Abs(got-0.5/math.E) > 0.01 {
		t.Errorf("after a span without work: got %v, want %v", got, 0.5/math.E)
	}
}
