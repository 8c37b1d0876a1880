package roller

import "testing"

// BenchmarkDecide measures one decision, which an instance takes each tick.
func BenchmarkDecide(b *testing.B) {
	t := Rollout{Version: "m@2", Ceiling: 1}
	for range 12 {
		t.Baseline = append(t.Baseline, counted(1e6, 0.01, 0.8))
		t.Candidate = append(t.Candidate, counted(1e4, 0.01, 0.8))
	}
	r := Default("here")
	b.ReportAllocs()
	for b.Loop() {
		r.Decide(&t, 0)
	}
}
