package planner

import (
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/estimator"
)

// BenchmarkPlan measures one plan with a prepared table of three versions.
func BenchmarkPlan(b *testing.B) {
	e := newEstimate(1000, 0.85, 600, 400)
	p, r := Default(), rand.New(rand.NewPCG(1, 2))
	t := p.Prepare(Table{
		Version: []string{"small@1", "medium@1", "large@1"}, Permitted: []bool{true, true, true},
		Cost: []float64{1, 4, 15}, Prior: []float64{0.7, 0.8, 0.9}, Only: []estimator.Estimate{e, e, e},
		First: []estimator.Estimate{e, e, e}, Escalated: []estimator.Estimate{e, e, e, e, e, e, e, e, e},
		HasCheck: true, Target: 0.8, Achieved: []estimator.Estimate{newEstimate(10000, 0.85, 0, 0)},
	})
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(&t, r)
	}
}
