package surger

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// surgeTest is a pattern of requests of ten workspaces.
type surgeTest struct {
	hot     float64 // factor on workspace 3 from second 30 to 36
	large   float64 // factor on workspace 0 all the time
	burst   float64 // factor on all from second 30 to 36
	least   float64 // part of workspace 3's requests in seconds 32 to 36 that surge
	most    float64
	mistake float64 // part of all others that may count as a surge
}

// rate returns the requests a second of a workspace.
func (x surgeTest) rate(workspace int, now clock.Millis) float64 {
	rate := 0.5
	if workspace == 0 {
		rate *= x.large
	}
	if now <= 30*clock.Second || now >= 36*clock.Second {
		return rate
	}
	if workspace == 3 {
		rate *= x.hot
	}
	return rate * x.burst
}

// Guards against one workspace that sends many times its usual and slows down
// all others, and against a large workspace, a burst of all, or the start of
// traffic that is taken for it. Patterns: hot tenant, burst.
func TestSurge(t *testing.T) {
	tests := map[string]surgeTest{
		"hot workspace":              {7, 1, 1, 0.7, 1, 0.02},
		"hot beside a large one":     {10, 5, 1, 0.6, 1, 0.03},
		"hot in a burst":             {7, 1, 1.7, 0.7, 1, 0.02},
		"large as ever":              {1, 8, 1, 0, 0.02, 0.03},
		"burst of all":               {1, 3, 3, 0, 0.02, 0.03},
		"nothing of note":            {1, 1, 1, 0, 0.02, 0.02},
		"a little more is no matter": {1.3, 1, 1, 0, 0.05, 0.02},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			var hot, hotSurges, other, otherSurges float64
			for range 40 { // instances
				s := New(Default())
				for now := clock.Second; now < 40*clock.Second; now += 10 {
					for w := range 10 {
						if r.Float64() > tt.rate(w, now)/100 {
							continue
						}
						surges := 0.0
						if s.Add(now, fmt.Sprint("w", w), 100) {
							surges = 1
						}
						switch {
						case w != 3:
							other++
							otherSurges += surges
						case now > 32*clock.Second && now < 36*clock.Second:
							hot++
							hotSurges += surges
						}
					}
				}
			}
			if got := hotSurges / hot; got < tt.least || got > tt.most {
				t.Errorf("surges of the hot workspace: got %.2f, want %.2f to %.2f", got, tt.least, tt.most)
			}
			if got := otherSurges / other; got > tt.mistake {
				t.Errorf("surges of others: got %.3f, want at most %.3f", got, tt.mistake)
			}
		})
	}
}

// Guards against the table of workspaces that only grows.
func TestSweep(t *testing.T) {
	s := New(Default())
	for i := range 100 {
		s.Add(clock.Second, fmt.Sprint("w", i), 1)
	}
	s.Sweep(5 * clock.Minute)
	if got := len(s.workspaces); got != 0 {
		t.Errorf("workspaces after five minutes of silence: got %d, want 0", got)
	}
}
