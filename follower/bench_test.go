package follower

import (
	"fmt"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// BenchmarkFleet measures, with a fixed seed, the store calls, the control
// bytes sent and received per instance, the confirmation age and the time until
// a change is in force, for several numbers of instances in four data centres.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 32, 64, 128, 370} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	const span = 60
	w := newFleet(b, 31, n)
	w.run(30 * clock.Second)
	calls, begin := w.storeCalls(), time.Now()
	w.resetBytes()
	var oldest clock.Millis
	for range span * 10 {
		w.run(100)
		for _, m := range w.nodes {
			age, _ := m.ConfirmationAge(w.clock.Now())
			oldest = max(oldest, age)
		}
	}
	b.ReportMetric(float64(w.storeCalls()-calls)/span, "store_calls/s")
	b.ReportMetric(float64(time.Since(begin).Microseconds())/span/float64(n), "us_cpu/instance_s")
	gossip, rest := w.bytesPerSecond(span)
	b.ReportMetric(gossip, "gossip_B/s")
	b.ReportMetric(rest, "follower_B/s")
	b.ReportMetric(float64(oldest), "oldest_age_ms")
	b.ReportMetric(float64(w.timeInForce(w.takeDataCentreOut(w.nodes[0], "oita"), inForceBound, "")), "in_force_ms")

	w.store.SetFaults(storeemulator.Faults{Down: true})
	w.run(5 * clock.Second)
	calls = w.storeCalls()
	w.resetBytes()
	stale := 0
	for range span * 10 {
		w.run(100)
		for _, m := range w.nodes {
			if fresh, _ := m.Fresh(w.clock.Now()); !fresh {
				stale++
			}
		}
	}
	b.ReportMetric(float64(stale)/float64(n*span*10), "outage_stale_share")
	b.ReportMetric(float64(w.storeCalls()-calls)/span, "outage_calls/s")
	_, rest = w.bytesPerSecond(span)
	b.ReportMetric(rest, "outage_follower_B/s")
}

func (w *fleet) storeCalls() int {
	c := w.store.Counts()
	return c.Reads + c.Writes + c.Watches
}

func (w *fleet) resetBytes() {
	for _, n := range w.nodes {
		n.controlBytes, n.gossipBytes = 0, 0
	}
}

// bytesPerSecond returns the mean bytes sent and received per instance and
// second.
func (w *fleet) bytesPerSecond(seconds float64) (gossip, rest float64) {
	for _, n := range w.nodes {
		gossip += float64(n.gossipBytes)
		rest += float64(n.controlBytes)
	}
	share := 2 / float64(len(w.nodes)) / seconds
	return gossip * share, rest * share
}
