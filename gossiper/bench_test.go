package gossiper

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// BenchmarkFleet measures one simulated fleet per size with a fixed seed. The
// bytes are those sent and received, with the CBOR envelopes and the WebSocket
// frames. CPU is the time of the whole simulation per instance and second, an
// upper bound of that of the state machine.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 32, 64, 128, 370} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	const seed = 7
	before := heapBytes()
	w := newNetwork(b, seed)
	w.startFleet(n)
	formed := w.timeUntilAllAlive(2 * clock.Minute)
	w.run(clock.Minute)
	b.ReportMetric(float64(formed), "formed_ms")
	b.ReportMetric(float64(heapBytes()-before)/float64(n)/1024, "KB/instance")

	w.resetCounts()
	begin := time.Now()
	w.run(clock.Minute)
	b.ReportMetric(float64(time.Since(begin).Microseconds())/float64(n)/60, "us_cpu/instance_s")
	b.ReportMetric(w.bytesPerSecond(60), "idle_B/s")

	w.resetCounts()
	dead := w.nodes[n/2]
	dead.stopped = true
	b.ReportMetric(float64(w.timeUntil(clock.Minute, dead.member.ID, Dead)), "detect_ms")

	w.lossRate = 0.05
	w.resetCounts()
	removed := map[string]bool{}
	for range 600 {
		w.run(clock.Second)
		for _, o := range w.running() {
			for _, m := range o.Members() {
				if m.State == Dead && m.ID != dead.member.ID {
					removed[m.ID+fmt.Sprint(m.Incarnation)] = true
				}
			}
		}
	}
	b.ReportMetric(float64(len(removed)), "false_removals/600s")
	b.ReportMetric(w.bytesPerSecond(600), "lossy_B/s")
}

func (w *network) resetCounts() {
	for _, n := range w.nodes {
		n.sentBytes = 0
	}
}

// bytesPerSecond returns the mean bytes sent and received per instance and
// second.
func (w *network) bytesPerSecond(seconds int) float64 {
	var sent int
	for _, n := range w.nodes {
		sent += n.sentBytes
	}
	return 2 * float64(sent) / float64(len(w.running())) / float64(seconds)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
