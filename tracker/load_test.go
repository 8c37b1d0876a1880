package tracker

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"gonum.org/v1/gonum/stat"

	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newLoadTracker returns a tracker with n endpoints that serve 33 versions in 8
// data centres and have each sent a load report, and the arguments of its
// SetEndpoints.
func newLoadTracker(n int) (t *Tracker, endpoints []Endpoint, versions, centres []string) {
	for i := range 33 {
		versions = append(versions, fmt.Sprintf("model-%d@v%d", i%4, i))
	}
	for i := range 8 {
		centres = append(centres, fmt.Sprintf("centre-%d", i))
	}
	for i := range n {
		endpoints = append(endpoints, Endpoint{
			ID: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("http://10.20.%d.%d:8000", i/256, i%256),
			DataCentre: centres[i%8], Limit: 32,
		})
	}
	t = New(Options{
		DataCentre: centres[0], Distance: func(string, string) float32 { return 1 },
		Random: rand.New(rand.NewPCG(1, 1)), Breaker: breaker.Options{
			Window: clock.Second, MinRequests: 10, ErrorRate: 0.5, ConsecutiveErrors: 5, OpenFor: clock.Second,
			OpenMax: 4 * clock.Second, MaxProbes: 1, ProbeSuccesses: 3, ProbeTimeout: 2 * clock.Second, MaxOpenShare: 0.5,
		},
		Permits: Permits{AvailableUnits: func(permitter.Process) int { return permitter.Unlimited }},
	})
	t.SetEndpoints(endpoints, versions, centres, 1)
	for i, e := range endpoints {
		t.Report(e.ID, engineclient.Load{RestartID: "r1", Versions: versions[i%30 : i%30+3]}, 2*clock.Second)
	}
	return t, endpoints, versions, centres
}

// BenchmarkRows measures the memory per endpoint, and the time that a tick, an
// update from the instance list and a listing take for all endpoints.
func BenchmarkRows(b *testing.B) {
	var xs, ys []float64
	for _, n := range []int{24, 60, 120, 240, 690} {
		before := heapBytes()
		t, endpoints, versions, centres := newLoadTracker(n)
		xs, ys = append(xs, float64(n)), append(ys, heapBytes()-before)
		name := fmt.Sprintf("rows=%d/", n)
		b.Run(name+"adopt", func(b *testing.B) {
			for b.Loop() {
				t.SetEndpoints(endpoints, versions, centres, clock.Minute)
			}
		})
		b.Run(name+"tick", func(b *testing.B) {
			for b.Loop() {
				t.Tick(clock.Minute)
			}
		})
		b.Run(name+"rows", func(b *testing.B) {
			for b.Loop() {
				t.EndpointStates(clock.Minute)
			}
		})
		runtime.KeepAlive(t)
	}
	var intercept, slope float64
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			intercept, slope = stat.LinearRegression(xs, ys, nil, false)
		}
		b.ReportMetric(slope, "B/row")
		b.ReportMetric(intercept, "B_intercept")
		b.ReportMetric(stat.RSquared(xs, ys, nil, intercept, slope), "R2")
		b.ReportMetric(ys[0], "B_least")
		b.ReportMetric(ys[len(ys)-1], "B_most")
	})
}
