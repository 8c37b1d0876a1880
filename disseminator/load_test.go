package disseminator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/supervisor"
)

const (
	loadSeed    = 1
	loadSeconds = 120
	frameBytes  = 8
)

// loadMeasurement is one point of BenchmarkLoad; messages, bytes and cpuMicros
// are means per instance and second.
type loadMeasurement struct {
	instances, records, messages, bytes, cpuMicros float64
	knownShare                                     float64 // of the fleet's counts, mean over all instances
}

// measureLoad runs a fleet of n instances that count requests of 10 workspaces,
// 3 kinds and 2 versions; rate is the number of requests per instance and second.
func measureLoad(n, records, rate int) loadMeasurement {
	random := rand.New(rand.NewPCG(loadSeed, uint64(n)))
	now := 1000 * clock.Hour
	members := make([]gossiper.Member, n)
	estimators, disseminators := make([]*estimator.Estimator, n), make([]*Disseminator, n)
	index := map[string]int{}
	p := loadMeasurement{instances: float64(n), records: float64(records)}
	var known []supervisor.Record
	for i := range records {
		known = append(known, supervisor.Record{Entry: fmt.Sprintf("model-%d@v%d canary 10 1", i%4, i), Since: now})
	}
	for i := range n {
		id := fmt.Sprintf("entry-%04d", i)
		members[i] = gossiper.Member{ID: id, Address: id, Incarnation: 1}
		index[id] = i
		estimators[i] = estimator.New(id, 1764830000000, 6*clock.Hour, 50_000)
		s := supervisor.New(storeclient.Store{}, estimators[i], promoter.Default(id))
		s.Merge(known)
		disseminators[i] = New(id, estimators[i], s, rand.New(rand.NewPCG(loadSeed, uint64(i))))
		disseminators[i].Members = func() []gossiper.Member { return members }
		disseminators[i].Send = func(address, kind string, body []byte) error {
			e, err := messenger.Envelope{Kind: kind, From: id, Incarnation: 1764830000000, Body: body}.Encode()
			p.messages++
			p.bytes += float64(len(e) + frameBytes)
			if err != nil {
				return err
			}
			return disseminators[index[address]].Receive(now, body)
		}
	}
	begin := time.Now()
	for range loadSeconds {
		now += clock.Second
		for i, r := range estimators {
			for range rate {
				r.CountAnswer(estimator.Key{
					Workspace: fmt.Sprintf("workspace-%d", random.IntN(10)), Kind: fmt.Sprintf("kind-%d", random.IntN(3)),
					Version: fmt.Sprintf("large@v%d", random.IntN(2)),
				}, now, now, false)
			}
			// The position in the digest is that of follower.CountsDigest.
			binary.BigEndian.PutUint64(members[i].Digest[12:], r.Digest())
		}
		for _, s := range disseminators {
			if err := s.Tick(false); err != nil {
				panic(err)
			}
		}
	}
	scale := float64(n) * loadSeconds
	p.cpuMicros = float64(time.Since(begin).Microseconds()) / scale
	for _, r := range estimators {
		for _, e := range r.Totals(func(estimator.Key) bool { return true }, now-clock.Hour, now) {
			p.knownShare += e.Served / (scale * float64(rate)) / float64(n)
		}
	}
	p.messages, p.bytes = p.messages/scale, 2*p.bytes/scale
	return p
}

// BenchmarkLoad measures the messages, the bytes sent and received and the
// processor time per instance and second, and the share of the fleet's counts
// that an instance knows. It fits lines through the bytes and times by number of
// instances and through the bytes by number of records. Run it with
// -benchtime 1x.
func BenchmarkLoad(b *testing.B) {
	run := func(instances, records, rate int) (p loadMeasurement) {
		b.Run(fmt.Sprintf("instances=%d/records=%d/rate=%d", instances, records, rate), func(b *testing.B) {
			p = measureLoad(instances, records, rate)
			b.ReportMetric(p.messages, "messages/s")
			b.ReportMetric(p.bytes, "B/s")
			b.ReportMetric(p.cpuMicros, "us_cpu/instance_s")
			b.ReportMetric(p.knownShare, "known_share")
		})
		return p
	}
	fit := func(name string, xs, ys []float64) {
		b.Run("fit/"+name, func(b *testing.B) {
			intercept, slope := stat.LinearRegression(xs, ys, nil, false)
			b.ReportMetric(slope, "slope")
			b.ReportMetric(intercept, "intercept")
			b.ReportMetric(stat.RSquared(xs, ys, nil, intercept, slope), "R2")
		})
	}
	var xs, bytes, micros []float64
	for _, n := range []int{9, 32, 64, 128} {
		run(n, 0, 2)
		p := run(n, 0, 18)
		xs, bytes, micros = append(xs, p.instances), append(bytes, p.bytes), append(micros, p.cpuMicros)
	}
	fit("bytes_by_instances", xs, bytes)
	fit("us_by_instances", xs, micros)
	xs, bytes = nil, nil
	for _, k := range []int{0, 8, 64, 256} {
		p := run(9, k, 18)
		xs, bytes = append(xs, p.records), append(bytes, p.bytes)
	}
	fit("bytes_by_records", xs, bytes)
}
