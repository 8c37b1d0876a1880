package allocator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gonum.org/v1/gonum/stat"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

const (
	loadSeed           = 1
	loadWarmUp         = 20 * clock.Second // before the measurement
	loadDuration       = 30 * clock.Second // of the measurement; two renewals of an unlimited permit
	loadRequestRate    = 18                // requests/s per instance
	loadRequestTime    = clock.Second / 2  // duration of a request
	frameHeaderBytes   = 8                 // WebSocket header and mask
	projectedInstances = 370
	projectedEndpoints = 690
	loadIncarnation    = 1764830000000
	loadAddressPrefix  = "10.20.30.40:7000"
)

// loadFleet is a fleet of allocators whose calls and message bytes are counted.
type loadFleet struct {
	clock      *clock.Manual
	store      *storeemulator.Emulator
	allocators []*Allocator
	handlers   []map[string]func(context.Context, []byte) ([]byte, error)
	members    []gossiper.Member
	processes  []permitter.Process
	instances  map[string]int // address to instance
	running    []activeRequest

	mu    sync.Mutex
	calls map[string]int
	bytes map[string]int
}

func loadMembers(n int) []gossiper.Member {
	var all []gossiper.Member
	for i := range n {
		all = append(all, gossiper.Member{
			ID: fmt.Sprintf("entry-%04d", i), Address: fmt.Sprintf("%s/%d", loadAddressPrefix, i),
			Incarnation: gossiper.FirstIncarnation(loadIncarnation),
		})
	}
	return all
}

func loadProcesses(n int) []permitter.Process {
	var all []permitter.Process
	for i := range n {
		all = append(all, permitter.Process{Endpoint: fmt.Sprintf("worker-%04d", i), Restart: fmt.Sprintf("r-%08d", i)})
	}
	return all
}

func newLoadFleet(n, endpoints int, o permitter.Options) *loadFleet {
	f := &loadFleet{
		clock: clock.NewManual(clock.Hour), store: storeemulator.New(), members: loadMembers(n),
		processes: loadProcesses(endpoints), instances: map[string]int{}, calls: map[string]int{}, bytes: map[string]int{},
	}
	for i, m := range f.members {
		a := New(MemberName(m.ID, m.Process()), f.store.Store(), o, f.clock.Clock(),
			rand.New(rand.NewPCG(loadSeed, uint64(i))))
		a.Processes = func() []permitter.Process { return f.processes }
		a.Members = func() []gossiper.Member { return f.members }
		a.Call = func(ctx context.Context, address, kind string, body []byte) ([]byte, error) {
			answer, err := f.handlers[f.instances[address]][kind](ctx, body)
			f.count(kind, m.ID, body, answer)
			return answer, err
		}
		f.instances[m.Address] = i
		f.allocators, f.handlers = append(f.allocators, a), append(f.handlers, a.Handlers())
	}
	return f
}

// count adds a call, including its envelopes and frame headers.
func (f *loadFleet) count(kind, from string, body, answer []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[kind]++
	f.bytes[kind] += wireBytes(kind, from, body) + wireBytes("answer", from, answer)
}

func wireBytes(kind, from string, body []byte) int {
	b, err := messenger.Envelope{Kind: kind, From: from, Incarnation: loadIncarnation, ID: 1 << 20, Body: body}.Encode()
	if err != nil {
		panic(err)
	}
	return len(b) + frameHeaderBytes
}

func (f *loadFleet) run(duration clock.Millis, random *rand.Rand) {
	ctx := context.Background()
	for end := f.clock.Now() + duration; f.clock.Now() < end; {
		now := f.clock.Advance(tickInterval)
		for i, a := range f.allocators {
			if now%(4*tickInterval) == 0 {
				a.UpdateAssignment(ctx)
			}
			a.Tick(ctx)
			a.Wait()
			if random.Float64() >= loadRequestRate*float64(tickInterval)/float64(clock.Second) {
				continue
			}
			p := f.processes[random.IntN(len(f.processes))]
			if r, ok := a.Start(p, now+2*clock.Second); ok {
				f.running = append(f.running, activeRequest{i, r, now + loadRequestTime})
			}
		}
		running := f.running[:0]
		for _, r := range f.running {
			if now < r.endsAt {
				running = append(running, r)
				continue
			}
			f.allocators[r.instance].Finish(r.request, true)
		}
		f.running = running
	}
}

// loadPoint is a measurement of a fleet. Calls, bytes sent and received, and
// microseconds of processor time are per instance and second.
type loadPoint struct{ instances, endpoints, requestCalls, requestBytes, assignmentBytes, micros float64 }

// measureLoad measures a fleet of n instances. If warm is set, an endpoint is warm
// after its first request; otherwise many of them are still warming up.
func measureLoad(n, endpoints int, warm bool) loadPoint {
	o := permitter.DefaultOptions()
	if warm {
		o.ColdLimit, o.WarmLimit, o.FinishedPerUnit = 1, 2, 1
	}
	f := newLoadFleet(n, endpoints, o)
	random := rand.New(rand.NewPCG(loadSeed, loadSeed))
	f.run(loadWarmUp, random)
	clear(f.calls)
	clear(f.bytes)
	begin := time.Now()
	f.run(loadDuration, random)
	scale := float64(n) * float64(loadDuration) / float64(clock.Second)
	return loadPoint{
		instances: float64(n), endpoints: float64(endpoints),
		requestCalls:    float64(f.calls[KindAsk]) / scale,
		requestBytes:    2 * float64(f.bytes[KindAsk]) / scale,
		assignmentBytes: 2 * float64(f.bytes[KindAssignment]) / scale,
		micros:          float64(time.Since(begin).Microseconds()) / scale,
	}
}

// BenchmarkLoad measures the calls, the bytes sent and received, and the processor
// time per instance and second of a fleet without faults, at 18 requests/s per
// instance, and fits lines through the measurements. Run it with -benchtime 1x.
func BenchmarkLoad(b *testing.B) {
	b.Run("warm", func(b *testing.B) { benchmarkLoad(b, true) })
	b.Run("warming", func(b *testing.B) { benchmarkLoad(b, false) })
}

func benchmarkLoad(b *testing.B, warm bool) {
	var points []loadPoint
	for _, n := range []int{9, 32, 64, 128} {
		for _, endpoints := range []int{24, 60, 120, 240} {
			if n*n*endpoints > 128*128*24 {
				continue // takes minutes
			}
			b.Run(fmt.Sprintf("instances=%d/endpoints=%d", n, endpoints), func(b *testing.B) {
				p := measureLoad(n, endpoints, warm)
				b.ReportMetric(p.requestCalls, "ask_calls/s")
				b.ReportMetric(p.requestBytes, "ask_B/s")
				b.ReportMetric(p.assignmentBytes, "question_B/s")
				b.ReportMetric(p.micros, "us_cpu/instance_s")
				points = append(points, p)
			})
		}
	}
	fit := func(name string, x, y func(loadPoint) float64) {
		var xs, ys []float64
		for _, p := range points {
			xs, ys = append(xs, x(p)), append(ys, y(p))
		}
		b.Run("fit/"+name, func(b *testing.B) {
			intercept, slope := stat.LinearRegression(xs, ys, nil, false)
			b.ReportMetric(slope, "slope")
			b.ReportMetric(intercept, "intercept")
			b.ReportMetric(stat.RSquared(xs, ys, nil, intercept, slope), "R2")
		})
	}
	endpoints := func(p loadPoint) float64 { return p.endpoints }
	instances := func(p loadPoint) float64 { return p.instances }
	product := func(p loadPoint) float64 { return p.instances * p.endpoints }
	fit("ask_calls_by_endpoints", endpoints, func(p loadPoint) float64 { return p.requestCalls })
	fit("ask_bytes_by_endpoints", endpoints, func(p loadPoint) float64 { return p.requestBytes })
	fit("question_bytes_by_instances", instances, func(p loadPoint) float64 { return p.assignmentBytes })
	fit("us_by_instances_x_endpoints", product, func(p loadPoint) float64 { return p.micros })
}

// BenchmarkFuture measures one instance among 370 with 690 warm endpoints:
// a tick with stubs of the granters, a batch of one permit request that it answers,
// and an answer about the assignment.
func BenchmarkFuture(b *testing.B) {
	f := newLoadFleet(projectedInstances, projectedEndpoints, permitter.DefaultOptions())
	a := f.allocators[0]
	assignment := permitter.Assignment{}
	var names []string
	for _, m := range f.members {
		names = append(names, MemberName(m.ID, m.Process()))
	}
	assignment = assignment.Next(names[0], names, nil)
	a.adoptAssignment(assignment)
	a.Call = func(_ context.Context, _, kind string, body []byte) ([]byte, error) {
		var q permitRequestBatch
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, err
		}
		var r permitBatch
		for _, k := range q.Requests {
			r.Permits = append(r.Permits, permitter.Permit{
				Process: k.Process, Holder: k.Holder, Epoch: k.Epoch, Sequence: k.Sequence, Units: permitter.Unlimited,
				Round: 1 << 60, Lifetime: permitter.DefaultOptions().WarmLifetime,
			})
		}
		answer, err := cbor.Marshal(r)
		f.count(kind, "entry-0000", body, answer)
		return answer, err
	}
	tick := func(span clock.Millis) {
		for end := f.clock.Now() + span; f.clock.Now() < end; {
			f.clock.Advance(tickInterval)
			a.Tick(context.Background())
			a.Wait()
		}
	}
	tick(30 * clock.Second)
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			tick(tickInterval)
		}
	})
	b.Run("asks", func(b *testing.B) {
		clear(f.calls)
		clear(f.bytes)
		for range b.N {
			tick(loadDuration)
		}
		seconds := float64(b.N) * float64(loadDuration) / float64(clock.Second)
		b.ReportMetric(float64(f.calls[KindAsk])/seconds, "calls/s")
		b.ReportMetric(float64(f.bytes[KindAsk])/seconds, "B/s_one_side")
	})
	b.Run("grant", func(b *testing.B) {
		q := permitRequestBatch{Requests: []permitter.PermitRequest{
			{Process: f.processes[0], Holder: names[1], Epoch: 1, Sequence: 1, Want: 1},
		}}
		for b.Loop() {
			a.grant(q)
		}
	})
	b.Run("assignment", func(b *testing.B) {
		var answer []byte
		for b.Loop() {
			answer, _ = cbor.Marshal(a.assignmentReply(assignmentRequest{}))
		}
		b.ReportMetric(float64(wireBytes("answer", "entry-0000", answer)), "B/answer")
	})
}
