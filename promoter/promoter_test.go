package promoter

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
)

// newEstimate returns the counts of n answers with the given error rate, and of
// n/10 ratings of mean quality q and standard deviation 0.1.
func newEstimate(n, errors, q float64) estimator.Estimate {
	return estimator.Estimate{
		Served: n, Errors: n * errors, Rated: n / 10, Sum: n / 10 * q, Squares: n / 10 * (q*q + 0.01),
	}
}

// Guards against a worse version that keeps its share, an equal one whose share
// does not rise, and a stop, a withdrawal or a halt that is ignored.
func TestDecide(t *testing.T) {
	one := func(e estimator.Estimate) []estimator.Estimate { return []estimator.Estimate{e} }
	old, equal := one(newEstimate(1e6, 0.01, 0.8)), one(newEstimate(1e5, 0.01, 0.8))
	failing, unrated := one(newEstimate(200, 0.2, 0.8)), one(estimator.Estimate{Served: 1e6})
	stops := []StopRecord{{Version: "m@2", Instance: "elsewhere"}}
	tests := map[string]struct {
		rollout Rollout
		now     clock.Millis
		share   float64
		reason  string
		stop    bool
	}{
		"start":        {Rollout{Ceiling: 1, Baseline: old}, 0, 0.01, ReasonHeld, false},
		"more errors":  {Rollout{Ceiling: 1, Baseline: old, Candidate: failing}, 0, 0, ReasonErrors, true},
		"equal, early": {Rollout{Ceiling: 1, Baseline: old, Candidate: equal}, 1, 0.01, ReasonDwell, false},
		"equal, late":  {Rollout{Ceiling: 1, Baseline: old, Candidate: equal}, 2 * clock.Hour, 1, ReasonComplete, false},
		"halted":       {Rollout{Ceiling: 0.05, Baseline: old, Candidate: equal}, clock.Hour, 0.05, ReasonCeiling, false},
		"halted, more errors": {
			Rollout{Ceiling: 0.05, Baseline: old, Candidate: failing}, clock.Hour, 0, ReasonErrors, true,
		},
		"no ratings": {
			Rollout{Ceiling: 1, Baseline: unrated, Candidate: unrated}, clock.Hour, 0.01, ReasonHeld, false,
		},
		"lower quality": {
			Rollout{Ceiling: 1, Baseline: old, Candidate: one(newEstimate(2000, 0.01, 0.6))}, 0, 0, ReasonQuality, true,
		},
		"few ratings": {
			Rollout{Ceiling: 1, Baseline: old, Candidate: one(newEstimate(600, 0.01, 0.8))}, clock.Hour, 0.01, ReasonHeld, false,
		},
		"withdrawn": {
			Rollout{Ceiling: 1, Withdrawn: true, Baseline: old, Candidate: equal}, clock.Hour, 0, ReasonWithdrawn, false,
		},
		"stopped by another instance": {
			Rollout{Ceiling: 1, Stops: stops, Baseline: old, Candidate: equal}, clock.Hour, 0, ReasonStopped, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.rollout.Version, test.rollout.Current = "m@2", "m@1"
			share, reason, stop := Default("here").Decide(&test.rollout, test.now)
			if share != test.share || reason != test.reason || (stop != nil) != test.stop {
				t.Errorf("got %v %q %+v, want %v %q, stop %v", share, reason, stop, test.share, test.reason, test.stop)
			}
			if stop != nil && (stop.Version != "m@2" || stop.Instance != "here" || stop.Samples <= 0) {
				t.Errorf("got incomplete stop record %+v", *stop)
			}
		})
	}
}

// Guards against an error probability that grows with the number of evaluations,
// by evaluating both one-sided tests after every value.
func TestAlwaysValid(t *testing.T) {
	const runs, n, alpha = 400, 600, 0.05
	for name, draw := range map[string]func(*rand.Rand) float64{
		"errors": func(r *rand.Rand) float64 {
			if r.Float64() < 0.02 {
				return 1
			}
			return 0
		},
		"ratings": func(r *rand.Rand) float64 { return 0.6 + 0.4*r.Float64() },
	} {
		mean := map[string]float64{"errors": 0.02, "ratings": 0.8}[name]
		r := rand.New(rand.NewPCG(1, 2))
		threshold, above, below := -math.Log(alpha), 0, 0
		for range runs {
			var s sample
			high, low := false, false
			for range n {
				x := draw(r)
				s.n, s.sum, s.sumOfSquares = s.n+1, s.sum+x, s.sumOfSquares+x*x
				one := strata{candidate: []sample{s}, baseline: []float64{mean}, baselineError: []float64{0}}
				high = high || one.logEValue(0, 0) >= threshold
				low = low || one.complement().logEValue(0, 0) >= threshold
			}
			if high {
				above++
			}
			if low {
				below++
			}
		}
		if limit := int(alpha * runs); above > limit || below > limit {
			t.Errorf("%s: got %d and %d false rejections in %d runs, want at most %d", name, above, below, runs, limit)
		}
	}
}

// Guards against sessions that leave a version when its share rises, and against
// a fraction of sessions that differs from the share.
func TestInShare(t *testing.T) {
	const n = 20000
	small, large := 0, 0
	for i := range n {
		session := strconv.Itoa(i)
		inSmall := InShare("m@2", session, 0.05)
		if inSmall {
			small++
		}
		if InShare("m@2", session, 0.2) {
			large++
		} else if inSmall {
			t.Fatalf("session %s left when the share grew", session)
		}
	}
	if small < n*4/100 || small > n*6/100 || large < n*19/100 || large > n*21/100 {
		t.Errorf("got %d and %d of %d, want 5%% and 20%%", small, large, n)
	}
}
