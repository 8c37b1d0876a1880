package estimator

import (
	"fmt"
	"runtime"
	"testing"

	"gonum.org/v1/gonum/stat"

	"rosemaryarch.example/rosemaryarch/clock"
)

const loadNow = 1000 * clock.Hour

func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// loadEstimator returns an estimator with cells of 10 workspaces, 3 kinds of request and
// 370 instances, newest buckets first.
func loadEstimator(cells int) *Estimator {
	r := New("entry-0000", 1, 6*clock.Hour, cells)
	for i := range cells {
		k := Key{Workspace: fmt.Sprintf("workspace-%d", i%10), Kind: fmt.Sprintf("kind-%d", i/10%3), Version: "large@v12"}
		o := origin{instance: fmt.Sprintf("entry-%04d", i/30%370), incarnation: 1, bucket: r.bucket(loadNow) - int64(i/11100)}
		c := r.cell(k, o)
		c.counts[served] = uint64(i + 1)
		r.markChanged(c)
	}
	return r
}

// BenchmarkCells measures the memory of a cell, and the time of a snapshot, a
// digest, the totals of a roll-out and an estimate by the number of cells.
func BenchmarkCells(b *testing.B) {
	var xs, ys []float64
	for _, n := range []int{2_000, 10_000, 25_000, 50_000} {
		before := liveHeapBytes()
		r := loadEstimator(n)
		xs, ys = append(xs, float64(n)), append(ys, liveHeapBytes()-before)
		name := fmt.Sprintf("cells=%d/", n)
		b.Run(name+"snapshot_all", func(b *testing.B) {
			for b.Loop() {
				_, _, _ = r.Snapshot(0, 1200)
			}
		})
		b.Run(name+"snapshot_none", func(b *testing.B) {
			for b.Loop() {
				_, _, _ = r.Snapshot(r.seq, 1200)
			}
		})
		b.Run(name+"digest", func(b *testing.B) {
			for b.Loop() {
				r.Digest()
			}
		})
		b.Run(name+"totals", func(b *testing.B) {
			match := func(k Key) bool { return k.Version == "large@v12" }
			for b.Loop() {
				r.Totals(match, loadNow-24*clock.Hour, loadNow)
			}
		})
		b.Run(name+"estimate", func(b *testing.B) {
			k := Key{Workspace: "workspace-1", Kind: "kind-1", Version: "large@v12"}
			for b.Loop() {
				r.Estimate(k, loadNow)
			}
		})
		runtime.KeepAlive(r)
	}
	var intercept, slope float64
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			intercept, slope = stat.LinearRegression(xs, ys, nil, false)
		}
		b.ReportMetric(slope, "B/cell")
		b.ReportMetric(intercept, "B_intercept")
		b.ReportMetric(stat.RSquared(xs, ys, nil, intercept, slope), "R2")
		b.ReportMetric(ys[0], "B_least")
		b.ReportMetric(ys[len(ys)-1], "B_most")
	})
}
