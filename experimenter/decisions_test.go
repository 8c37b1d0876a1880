package experimenter

import (
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// TestExperimentsRepeat guards against results that differ between runs with the
// same seed. It runs shortened versions of three experiments.
func TestExperimentsRepeat(t *testing.T) {
	costAndRatings := func() [2]float64 {
		r, run, m := rand.New(rand.NewPCG(1, 2)), newCascadeRun(1), newCascadeTotals()
		for now := clock.Millis(0); now < 3*clock.Minute; now += cascadeTick {
			run.tick(now)
			for range cascadeRequestRate {
				q := drawCascadeRequest(r)
				run.request(&q, m, now)
			}
		}
		return [2]float64{m.cost, run.ratingsRequested}
	}
	if got, want := costAndRatings(), costAndRatings(); got != want {
		t.Errorf("cascade: got cost and ratings %v, want %v", got, want)
	}
	outcome := func() rolloutOutcome { return newRolloutRun(rolloutScenarios[2], 1, 1).run() }
	if got, want := outcome(), outcome(); got != want || !got.stopped {
		t.Errorf("rollout: got %+v, want %+v, stopped", got, want)
	}
	trace := newTrace(1, 0.02)
	meanFirstToken := func() float64 {
		c := newChoiceRun(trace, chooseLeastReported, 1)
		c.run()
		return c.firstToken.Mean()
	}
	if got, want := meanFirstToken(), meanFirstToken(); got != want || got == 0 {
		t.Errorf("endpoint_choice: got mean %v, want %v", got, want)
	}
}
