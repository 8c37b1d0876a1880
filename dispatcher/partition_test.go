package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/throttler"
)

const (
	simulatedGap       = 1500 // longest gap in ms between the events of a timely stream
	simulatedTarget    = 4000 // longest time in ms to a timely first event
	simulatedStreamFor = 2000 // time in ms from the first to the last event
	simulatedReport    = 200  // ms between two reports to the other instances
)

// longLoad simulates instances and engines without a network. An engine reads one
// prompt after the other; a stream is late if the engine reads prompts for longer
// than the gap without a pause.
type longLoad struct {
	clock     *clock.Manual
	random    *rand.Rand
	f         *fleet
	oldBuilds int // instances that ignore long prompts
	instances []*Dispatcher
	long      []float64            // reported rate of each instance
	loads     []map[uint64]float64 // reported work of each instance
	engines   map[string]*simulatedEngine
	active    []*simulatedSend
	isolated  bool // the instances' reports are lost

	streams, lateStreams int // of short requests
	prompts, latePrompts int // of long requests; late by first event or gap
}

type simulatedEngine struct{ busySince, freeAt clock.Millis }

type simulatedSend struct {
	d              *Dispatcher
	c              *choice
	q              *criteria
	short, late    bool
	start, firstAt clock.Millis
}

func newLongLoad(t *testing.T, oldBuilds int, seed uint64) *longLoad {
	s := &longLoad{
		clock: clock.NewManual(clock.Minute), random: rand.New(rand.NewPCG(7, seed+7)), oldBuilds: oldBuilds,
		engines: make(map[string]*simulatedEngine),
		f: &fleet{
			t: t, catalog: cataloger.New(), stager: stager.New(stager.Options{SessionAge: 6000}),
			evacuated: map[string]bool{}, quarantine: quarantiner.New(),
		},
	}
	s.list("a", "b")
	s.start()
	return s
}

// add adds the results of another simulation.
func (s *longLoad) add(o *longLoad) {
	s.streams, s.lateStreams = s.streams+o.streams, s.lateStreams+o.lateStreams
	s.prompts, s.latePrompts = s.prompts+o.prompts, s.latePrompts+o.latePrompts
}

// list lists twelve endpoints in each of the data centres.
func (s *longLoad) list(dataCentres ...string) {
	var list []cataloger.Endpoint
	for _, dc := range dataCentres {
		for i := range 12 {
			id := fmt.Sprint(dc, i)
			list = append(list, cataloger.Endpoint{ID: id, Service: "s", DataCentre: dc, Version: "v", Slots: 24})
			if s.engines[id] == nil {
				s.engines[id] = new(simulatedEngine)
			}
		}
	}
	s.f.catalog.Replace(s.clock.Now(), list)
}

// start starts four instances in each data centre.
func (s *longLoad) start() {
	s.instances, s.long, s.loads = nil, make([]float64, 8), make([]map[uint64]float64, 8)
	for i := range 8 {
		o := s.f.options(s.clock.Clock())
		o.DataCentre = []string{"a", "b"}[i%2]
		o.PeerRates = func(string) (r throttler.PeerRates) {
			for k, long := range s.long {
				if k != i && !s.isolated {
					r.Long += long
				}
			}
			return r
		}
		o.PeerLoad = func(endpoint uint64) (work float64, _ int, _ float64) {
			for k, l := range s.loads {
				if k != i {
					work += l[endpoint]
				}
			}
			return work, 0, 0
		}
		s.instances = append(s.instances, New(o))
	}
}

func (s *longLoad) run(until clock.Millis) {
	for ; s.clock.Now() < until; s.clock.Advance(5) {
		now := s.clock.Now()
		s.advance(now)
		if now%simulatedReport == 0 {
			for i, d := range s.instances {
				d.Rates(func(_ string, _, _, long float64) { s.long[i] = long })
				s.loads[i] = make(map[uint64]float64)
				d.Loads(func(e string, w float64, _ int, _ float64) { s.loads[i][matcher.Hash("endpoint", e)] = w })
			}
		}
		if s.random.Float64() < 0.5 { // 100 per second
			s.send(now, 830, true)
		}
		if s.random.Float64() < 0.05 { // 10 per second
			s.send(now, min(54600, 3000*math.Pow(1-s.random.Float64(), -0.8)), false)
		}
	}
}

// advance ends prefills and streams.
func (s *longLoad) advance(now clock.Millis) {
	s.active = slices.DeleteFunc(s.active, func(x *simulatedSend) bool {
		e := s.engines[x.c.endpoint.ID]
		if x.c.work > 0 && x.firstAt <= now {
			x.d.recordFirstEvent(now, x.c, x.q, now-x.start)
		}
		end := x.firstAt + simulatedStreamFor
		x.late = x.late || min(now, e.freeAt, end)-max(e.busySince, x.firstAt) > simulatedGap
		if now < end {
			return false
		}
		x.d.release(now, x.c, true)
		if x.short {
			s.streams++
			if x.late {
				s.lateStreams++
			}
			return true
		}
		s.prompts++
		if x.late || x.firstAt-x.start > simulatedTarget {
			s.latePrompts++
		}
		return true
	})
}

func (s *longLoad) send(now clock.Millis, tokens float64, short bool) {
	i := s.random.IntN(len(s.instances))
	q := &criteria{
		service: "s", model: "m", salt: fmt.Sprint(s.random.Uint64()), prompt: prompt{tokens: tokens},
		eventGap: simulatedGap, config: &matcher.Service{Name: "s", CacheTokens: 1}, bodyBytes: int(4 * tokens),
	}
	if i < s.oldBuilds {
		q.eventGap = 0
	}
	d := s.instances[i]
	c := d.choose(now, q)
	e := s.engines[c.endpoint.ID]
	if e.freeAt < now {
		e.busySince, e.freeAt = now, now
	}
	e.freeAt += clock.Millis(0.0485*tokens + 5.5e-7*tokens*tokens)
	s.active = append(s.active, &simulatedSend{d: d, c: c, q: q, short: short, start: now, firstAt: e.freeAt})
}

// Guards against long prompts that make the streams of short requests late, and
// against reserved endpoints that make the long prompts late instead: in quiet times,
// beside instances of the previous build, after a restart of all instances, without a
// data centre, and without messages between instances.
func TestStreamsBesideLongPrompts(t *testing.T) {
	tests := map[string]struct {
		oldBuilds int
		change    func(s *longLoad)
		maxShare  float64 // late streams relative to those without reserved endpoints
	}{
		"quiet":            {0, func(*longLoad) {}, 0.5},
		"mixed builds":     {4, func(*longLoad) {}, 1},
		"restart of all":   {0, (*longLoad).start, 0.5},
		"data centre lost": {0, func(s *longLoad) { s.list("a") }, 1},
		"no messages":      {0, func(s *longLoad) { s.isolated = true }, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run := func(oldBuilds int) *longLoad {
				var sum longLoad
				for seed := range uint64(3) {
					s := newLongLoad(t, oldBuilds, seed)
					s.run(clock.Minute + 20000)
					tt.change(s)
					s.run(clock.Minute + 60000)
					sum.add(s)
				}
				return &sum
			}
			without, with := run(8), run(tt.oldBuilds)
			share := func(late, all int) float64 { return float64(late) / float64(all) }
			got, want := share(with.lateStreams, with.streams), tt.maxShare*share(without.lateStreams, without.streams)
			if got > want {
				t.Errorf("late streams: got %.3f, want at most %.3f", got, want)
			}
			got, want = share(with.latePrompts, with.prompts), share(without.latePrompts, without.prompts)
			if got > want {
				t.Errorf("late first events of long requests: got %.3f, want at most %.3f", got, want)
			}
		})
	}
}

// Guards against prompts that count as long for a smaller model or on a route without
// EventGap, against requests of such routes at reserved endpoints, and against
// reserved endpoints for a service of which no route has one.
func TestWhichPromptsAreLong(t *testing.T) {
	tests := map[string]struct {
		tokens           float64
		larger           int
		gap, other       clock.Millis // EventGap of the route, and of another one of the service
		long, atReserved bool
	}{
		"long":                       {20000, 0, 1500, 1500, true, true},
		"short":                      {10000, 0, 1500, 1500, false, false},
		"smaller model":              {20000, 1, 1500, 1500, false, false},
		"larger gap":                 {20000, 0, 2000, 1500, false, false},
		"route without gap":          {20000, 0, 0, 1500, false, false},
		"service without any gap":    {20000, 0, 0, 0, false, false},
		"longest, for smaller model": {70000, 1, 1500, 1500, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLongLoad(t, 0, 1)
			s.long[1] = 0.5
			d, now := s.instances[0], s.clock.Now()
			request := func(tokens float64, larger int, gap clock.Millis) (*criteria, *choice) {
				q := &criteria{
					service: "s", model: fmt.Sprint(larger), largerModels: larger, salt: "x", prompt: prompt{tokens: tokens},
					eventGap: gap, config: &matcher.Service{Name: "s", CacheTokens: 1},
				}
				c := d.choose(now, q)
				d.cancel(c)
				return q, c
			}
			request(10, 0, tt.other)
			q, c := request(tt.tokens, tt.larger, tt.gap)
			p := d.partitions["s"]
			reserved := p != nil && p.Reserved(c.endpoint.ID)
			if q.long != tt.long || reserved != tt.atReserved {
				t.Errorf("got long %v, at reserved endpoint %v, want %v, %v", q.long, reserved, tt.long, tt.atReserved)
			}
			if exists := p != nil; exists != (tt.other > 0) {
				t.Errorf("partition of the service: got %v, want %v", exists, tt.other > 0)
			}
		})
	}
}
