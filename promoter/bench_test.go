package promoter

import "testing"

// BenchmarkDecide measures one decision over 12 spans of time. An instance makes
// one on every tick.
func BenchmarkDecide(b *testing.B) {
	rollout := Rollout{Version: "m@2", Ceiling: 1}
	for range 12 {
		rollout.Baseline = append(rollout.Baseline, newEstimate(1e6, 0.01, 0.8))
		rollout.Candidate = append(rollout.Candidate, newEstimate(1e4, 0.01, 0.8))
	}
	p := Default("here")
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(&rollout, 0)
	}
}
