package planner

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/estimator"
)

// newEstimate returns the counts of n answers, all rated with quality q, and of
// the given numbers of passed and failed checks.
func newEstimate(n, q, passed, failed float64) estimator.Estimate {
	return estimator.Estimate{
		Served: n, Asked: n, Rated: n, Sum: n * q, Squares: n * q * q, Passed: passed, Failed: failed,
	}
}

func drawEstimate(t *rapid.T) estimator.Estimate {
	n := float64(rapid.IntRange(0, 2000).Draw(t, "rated"))
	passed := float64(rapid.IntRange(0, 2000).Draw(t, "passed"))
	failed := float64(rapid.IntRange(0, 2000).Draw(t, "failed"))
	return newEstimate(n, rapid.Float64Range(0, 1).Draw(t, "quality"), passed, failed)
}

// drawTable draws a table of up to four versions with arbitrary counts.
func drawTable(t *rapid.T) Table {
	n := rapid.IntRange(0, 4).Draw(t, "versions")
	table := Table{HasCheck: rapid.Bool().Draw(t, "check"), Target: rapid.Float64Range(0, 1).Draw(t, "target"),
		Achieved: []estimator.Estimate{drawEstimate(t), drawEstimate(t)}}
	for range n {
		table.Version = append(table.Version, "m@1")
		table.Permitted = append(table.Permitted, rapid.Bool().Draw(t, "permitted"))
		table.Cost = append(table.Cost, rapid.Float64Range(0.1, 10).Draw(t, "cost"))
		table.Prior = append(table.Prior, rapid.Float64Range(0, 1).Draw(t, "prior"))
		table.Only = append(table.Only, drawEstimate(t))
		table.First = append(table.First, drawEstimate(t))
	}
	for range n * n {
		table.Escalated = append(table.Escalated, drawEstimate(t))
	}
	if rapid.Bool().Draw(t, "pooled") {
		pooled := table
		pooled.Only = []estimator.Estimate{drawEstimate(t), drawEstimate(t), drawEstimate(t), drawEstimate(t)}
		table.Pooled = &pooled
	}
	return table
}

// Guards against a plan with a version that is not permitted, also if it was
// permitted when the table was prepared, against a chain whose lower bound is below
// the target but is said to meet it, and against exploration while the achieved
// quality does not exceed the target.
func TestPlanOnlyPermitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		p := Default()
		if rapid.Bool().Draw(t, "prepared") {
			table = p.Prepare(table)
			for v := range table.Permitted {
				table.Permitted[v] = table.Permitted[v] && rapid.Bool().Draw(t, "still permitted")
			}
		}
		plan := p.Plan(&table, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		if anyPermitted := slices.Contains(table.Permitted, true); (plan.First >= 0) != anyPermitted {
			t.Fatalf("got plan %+v, want a version: %v", plan, anyPermitted)
		}
		for _, v := range []int{plan.First, plan.Second} {
			if v >= 0 && !table.Permitted[v] {
				t.Fatalf("got version %d in %+v, which is not permitted", v, plan)
			}
		}
		if (plan.Reason == ReasonBound || plan.Reason == ReasonMix) && plan.Lower < table.Target {
			t.Fatalf("got lower bound %v below the target %v", plan.Lower, table.Target)
		}
		if lower := p.achievedQuality(table.Achieved); lower <= table.Target &&
			(plan.Reason == ReasonExplore || plan.Reason == ReasonTrial) {
			t.Fatalf("got exploration at achieved quality %v, target %v", lower, table.Target)
		}
	})
}

// Guards against a cascade whose first version mostly fails its check, against
// the choice of a cheap version without ratings, and against a chain that no
// longer meets the target.
func TestPlanReasons(t *testing.T) {
	unknown := estimator.Estimate{}
	good, poor := newEstimate(2000, 0.9, 0, 0), newEstimate(2000, 0.6, 0, 0)
	tests := map[string]struct {
		only, first, escalated []estimator.Estimate // escalated holds the element from version 0 to version 1
		forbidden              int                  // index of the version that is not permitted, or -1
		want                   Plan
	}{
		"no ratings": {
			only: []estimator.Estimate{unknown, unknown}, first: []estimator.Estimate{unknown, unknown}, forbidden: -1,
			escalated: []estimator.Estimate{unknown}, want: Plan{First: 1, Second: -1, Reason: ReasonBest},
		},
		"cheap version meets the target": {
			only: []estimator.Estimate{good, good}, first: []estimator.Estimate{unknown, unknown}, forbidden: -1,
			escalated: []estimator.Estimate{unknown}, want: Plan{First: 0, Second: -1, Reason: ReasonBound},
		},
		"cascade meets the target": {
			only: []estimator.Estimate{poor, good}, first: []estimator.Estimate{newEstimate(2000, 0.9, 1600, 400), unknown},
			escalated: []estimator.Estimate{good}, forbidden: -1, want: Plan{First: 0, Second: 1, Reason: ReasonBound},
		},
		"cheap version mostly fails its check": {
			only: []estimator.Estimate{poor, good}, first: []estimator.Estimate{newEstimate(2000, 0.9, 100, 1900), unknown},
			escalated: []estimator.Estimate{good}, forbidden: -1, want: Plan{First: 1, Second: -1, Reason: ReasonBound},
		},
		"best version is not permitted": {
			only: []estimator.Estimate{poor, good}, first: []estimator.Estimate{unknown, unknown}, forbidden: 1,
			escalated: []estimator.Estimate{unknown}, want: Plan{First: 0, Second: -1, Reason: ReasonBest},
		},
		"no version meets the target": {
			only: []estimator.Estimate{poor, poor}, first: []estimator.Estimate{unknown, unknown}, forbidden: -1,
			escalated: []estimator.Estimate{unknown}, want: Plan{First: 1, Second: -1, Reason: ReasonBest},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := Table{
				Version: []string{"cheap@1", "best@1"}, Permitted: []bool{test.forbidden != 0, test.forbidden != 1},
				Cost: []float64{1, 10}, Prior: []float64{0.5, 0.9}, Only: test.only, First: test.first,
				Escalated: []estimator.Estimate{unknown, test.escalated[0], unknown, unknown},
				HasCheck:  true, CheckCost: 0.1, Target: 0.8,
			}
			got := Default().Plan(&table, rand.New(rand.NewPCG(1, 2)))
			got.Lower, got.Cost, got.RatingProbability = 0, 0, 0
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against an achieved quality that weights chains by their ratings: a poor
// chain that gives most of the answers but is rarely rated must have the weight of
// its answers.
func TestAchievedQuality(t *testing.T) {
	poor, good := newEstimate(1000, 0.5, 0, 0), newEstimate(1000, 0.9, 0, 0)
	poor.Served = 9000
	if got := Default().achievedQuality([]estimator.Estimate{poor, good}); got < 0.5 || got > 0.54 {
		t.Errorf("got achieved quality %v, want a bound slightly below 0.54", got)
	}
	if got := Default().achievedQuality(nil); got != 0 {
		t.Errorf("got achieved quality %v without answers, want 0", got)
	}
}

// Guards against a table that mixes up the counts of workspaces, kinds or steps.
func TestWithCounts(t *testing.T) {
	est := estimator.New("a", 1, 1000, 100)
	add := func(workspace, kind, version, from string, step uint8) {
		k := estimator.Key{Workspace: workspace, Kind: kind, Version: version, From: from, Step: step}
		est.CountAnswer(k, 0, 0, false)
		est.CountRating(k, 0, 0, 0.5)
	}
	add("w", "k", "a", "", estimator.StepOnly)
	add("w", "k", "a", "", estimator.StepFirst)
	add("w", "k", "b", "a", estimator.StepEscalated)
	add("w", "other", "a", "", estimator.StepOnly)
	add("v", "k", "a", "", estimator.StepOnly)
	got := Table{Version: []string{"a", "b"}}.WithCounts(est, "w", "k", []string{"k", "other"}, 0)
	if got.Only[0].Rated != 1 || got.First[0].Rated != 1 || got.Escalated[1].Rated != 1 || len(got.Achieved) != 4 {
		t.Errorf("got only %v, first %v, escalated %v, achieved %v, want 1, 1, 1, 4",
			got.Only[0].Rated, got.First[0].Rated, got.Escalated[1].Rated, len(got.Achieved))
	}
}
