package committer

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// TestSizing guards against objects above 512 KB and against more than
// maxStoreWrites store writes per second at 6,700 requests/s.
func TestSizing(t *testing.T) {
	r := sizing(1, []clock.Millis{20 * clock.Second})
	for _, g := range r.Targets {
		if !g.Met() {
			t.Errorf("%s: got %v, want at most %v", g.Name, g.Measured, g.Limit)
		}
	}
}

// BenchmarkCommit measures the CPU cost of one commit to a segment near its size
// bound.
func BenchmarkCommit(b *testing.B) {
	s := newSimulation(workloads()[0], 1)
	s.runUntil(25 * clock.Second)
	b.ReportAllocs()
	for b.Loop() {
		s.runUntil(s.clock.Now() + s.options.Interval)
	}
	b.ReportMetric(float64(s.writtenBytes)/float64(s.writes), "B/write")
}
