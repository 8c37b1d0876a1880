package surgedetector

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// surgeTest is a pattern of requests from ten workspaces.
type surgeTest struct {
	hotFactor   float64 // on the rate of workspace 3 from second 30 to 36
	largeFactor float64 // on the rate of workspace 0 at all times
	burstFactor float64 // on all rates from second 30 to 36
	minDetected float64 // share of workspace 3's requests in seconds 32 to 36 that count as a surge
	maxDetected float64
	maxFalse    float64 // largest share of all other requests that may count as a surge
}

// rate returns the requests per second of a workspace.
func (x surgeTest) rate(workspace int, now clock.Millis) float64 {
	rate := 0.5
	if workspace == 0 {
		rate *= x.largeFactor
	}
	if now <= 30*clock.Second || now >= 36*clock.Second {
		return rate
	}
	if workspace == 3 {
		rate *= x.hotFactor
	}
	return rate * x.burstFactor
}

// Guards against one workspace that sends many times its usual load and delays
// all others, and against a false detection for a large workspace, a burst of
// all workspaces or the start of traffic.
func TestSurge(t *testing.T) {
	tests := map[string]surgeTest{
		"hot workspace":            {7, 1, 1, 0.7, 1, 0.02},
		"hot with a large one":     {10, 5, 1, 0.6, 1, 0.03},
		"hot in a burst":           {7, 1, 1.7, 0.7, 1, 0.02},
		"always large":             {1, 8, 1, 0, 0.02, 0.03},
		"burst of all":             {1, 3, 3, 0, 0.02, 0.03},
		"steady":                   {1, 1, 1, 0, 0.02, 0.02},
		"slightly more than usual": {1.3, 1, 1, 0, 0.05, 0.02},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			var hot, hotDetected, other, otherDetected float64
			for range 40 { // instances
				d := New(Default())
				for now := clock.Second; now < 40*clock.Second; now += 10 {
					for w := range 10 {
						if r.Float64() > tt.rate(w, now)/100 {
							continue
						}
						detected := 0.0
						if d.Add(now, fmt.Sprint("w", w), 100) {
							detected = 1
						}
						switch {
						case w != 3:
							other++
							otherDetected += detected
						case now > 32*clock.Second && now < 36*clock.Second:
							hot++
							hotDetected += detected
						}
					}
				}
			}
			if got := hotDetected / hot; got < tt.minDetected || got > tt.maxDetected {
				t.Errorf("detected share of the hot workspace: got %.2f, want %.2f to %.2f", got, tt.minDetected, tt.maxDetected)
			}
			if got := otherDetected / other; got > tt.maxFalse {
				t.Errorf("false detections: got %.3f, want at most %.3f", got, tt.maxFalse)
			}
		})
	}
}

// Guards against unbounded growth of the table of workspaces.
func TestSweep(t *testing.T) {
	d := New(Default())
	for i := range 100 {
		d.Add(clock.Second, fmt.Sprint("w", i), 1)
	}
	d.Sweep(5 * clock.Minute)
	if got := len(d.workspaces); got != 0 {
		t.Errorf("workspaces after five minutes without requests: got %d, want 0", got)
	}
}
