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
	simulatedSeeds     = 8
)

// longLoad simulates instances and engines without a network. An engine reads one
// prompt after the other; a stream is late if the engine reads prompts for longer
// than the gap without a pause.
type longLoad struct {
	t         *testing.T
	clock     *clock.Manual
	random    *rand.Rand
	catalog   *cataloger.Cataloger
	oldBuilds int // instances that ignore long prompts
	instances []*Dispatcher
	long      [8]float64            // reported rate of each instance
	loads     [8]map[uint64]float64 // reported work of each instance
	engines   map[string]*simulatedEngine
	active    []*simulatedSend
	isolated  bool             // the instances' reports are lost
	all, late map[bool]float64 // long requests, and short ones; late by first event or gap
}

type simulatedEngine struct{ busySince, freeAt clock.Millis }

type simulatedSend struct {
	*choice
	d              *Dispatcher
	q              *criteria
	long, late     bool
	start, firstAt clock.Millis
}

func newLongLoad(t *testing.T, oldBuilds int, seed uint64) *longLoad {
	s := &longLoad{
		t: t, clock: clock.NewManual(clock.Minute), catalog: cataloger.New(), oldBuilds: oldBuilds,
		random: rand.New(rand.NewPCG(7, seed)), all: make(map[bool]float64), late: make(map[bool]float64),
	}
	s.list("a", "b")
	s.start()
	return s
}

// list lists twelve endpoints in each of the data centres.
func (s *longLoad) list(dataCentres ...string) {
	var list []cataloger.Endpoint
	s.engines = make(map[string]*simulatedEngine)
	for i := range 12 * len(dataCentres) {
		dc := dataCentres[i/12]
		list = append(list, cataloger.Endpoint{
			ID: fmt.Sprint(dc, i), Service: "s", DataCentre: dc, Version: "v", Slots: 24,
		})
		s.engines[list[i].ID] = new(simulatedEngine)
	}
	s.catalog.Replace(s.clock.Now(), list)
}

// start starts four instances in each of two data centres.
func (s *longLoad) start() {
	s.instances, s.active = nil, nil
	for i := range s.long {
		f := &fleet{t: s.t, catalog: s.catalog, stager: stager.New(stager.Options{}), quarantine: quarantiner.New()}
		o := f.options(s.clock.Clock())
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
		s.long[i], s.loads[i] = 0, nil
		s.instances = append(s.instances, New(o))
	}
}

func (s *longLoad) run(duration clock.Millis) {
	for until := s.clock.Now() + duration; s.clock.Now() < until; s.clock.Advance(5) {
		now := s.clock.Now()
		s.active = slices.DeleteFunc(s.active, func(x *simulatedSend) bool { return s.advance(now, x) })
		for i, d := range s.instances {
			if now%200 == 0 {
				d.Rates(func(_ string, _, _, long float64) { s.long[i] = long })
				s.loads[i] = make(map[uint64]float64)
				d.Loads(func(e string, w float64, _ int, _ float64) { s.loads[i][matcher.Hash("endpoint", e)] = w })
			}
		}
		if s.random.Float64() < 0.5 { // 100 per second
			s.send(now, 830, false)
		}
		if s.random.Float64() < 0.05 { // 10 per second
			s.send(now, min(54600, 3000*math.Pow(1-s.random.Float64(), -0.8)), true)
		}
	}
}

// advance updates a send and reports whether it has ended.
func (s *longLoad) advance(now clock.Millis, x *simulatedSend) bool {
	e, end := s.engines[x.endpoint.ID], x.firstAt+simulatedStreamFor
	if e == nil {
		return true // lost
	}
	if x.work > 0 && x.firstAt <= now {
		x.d.recordFirstEvent(now, x.choice, x.q, now-x.start)
		x.late = x.firstAt-x.start > simulatedTarget
	}
	x.late = x.late || min(now, e.freeAt, end)-max(e.busySince, x.firstAt) > simulatedGap
	if now < end {
		return false
	}
	x.d.release(now, x.choice, true)
	s.all[x.long]++
	if x.late {
		s.late[x.long]++
	}
	return true
}

func (s *longLoad) send(now clock.Millis, tokens float64, long bool) {
	i := s.random.IntN(len(s.instances))
	q := &criteria{
		service: "s", salt: fmt.Sprint(s.random.Uint64()), prompt: prompt{tokens: tokens}, bodyBytes: int(4 * tokens),
		config: &matcher.Service{Name: "s", CacheTokens: 1},
	}
	if i >= s.oldBuilds {
		q.eventGap = simulatedGap
	}
	x := &simulatedSend{choice: s.instances[i].choose(now, q), d: s.instances[i], q: q, long: long, start: now}
	e := s.engines[x.endpoint.ID]
	if e.freeAt < now {
		e.busySince, e.freeAt = now, now
	}
	e.freeAt += clock.Millis(0.0485*tokens + 5.5e-7*tokens*tokens)
	x.firstAt = e.freeAt
	s.active = append(s.active, x)
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
		// Queues in an overload amplify any difference, so that a single seed shows nothing.
		run := func(oldBuilds int) (lateShort, lateLong float64) {
			for seed := range uint64(simulatedSeeds) {
				s := newLongLoad(t, oldBuilds, seed)
				s.run(20 * clock.Second)
				tt.change(s)
				s.run(40 * clock.Second)
				lateShort += s.late[false] / s.all[false] / simulatedSeeds
				lateLong += s.late[true] / s.all[true] / simulatedSeeds
			}
			return lateShort, lateLong
		}
		short, long := run(8)
		gotShort, gotLong := run(tt.oldBuilds)
		t.Logf("%s: late streams of short requests %.4f instead of %.4f, late long requests %.4f instead of %.4f",
			name, gotShort, short, gotLong, long)
		if gotShort > tt.maxShare*short || gotLong > long {
			t.Errorf("%s: got more late ones, want at most %v of the short ones and all of the long ones", name, tt.maxShare)
		}
	}
}

// Guards against prompts that count as long for a smaller model or on a route without
// EventGap, against requests of such routes at reserved endpoints, and against
// reserved endpoints for a service of which no route has one.
func TestWhichPromptsAreLong(t *testing.T) {
	tests := map[string]struct {
		tokens     float64
		larger     int
		gap, other clock.Millis // EventGap of the route, and of another one of the service
		long       bool
	}{
		"long":                       {20000, 0, 1500, 1500, true},
		"short":                      {10000, 0, 1500, 1500, false},
		"smaller model":              {20000, 1, 1500, 1500, false},
		"larger gap":                 {20000, 0, 2500, 1500, false},
		"route without gap":          {20000, 0, 0, 1500, false},
		"service without any gap":    {20000, 0, 0, 0, false},
		"longest, for smaller model": {70000, 1, 1500, 1500, true},
	}
	for name, tt := range tests {
		s := newLongLoad(t, 0, 1)
		s.long[1] = 0.5
		q := &criteria{service: "s", config: &matcher.Service{CacheTokens: 1}, eventGap: tt.other}
		s.instances[0].choose(s.clock.Now(), q)
		q.prompt.tokens, q.largerModels, q.eventGap = tt.tokens, tt.larger, tt.gap
		c := s.instances[0].choose(s.clock.Now(), q)
		p := s.instances[0].partitions["s"]
		reserved, want := p != nil && p.Reserved(c.endpoint.ID), tt.long
		if q.long != want || reserved != want || (p != nil) != (tt.other > 0) {
			t.Errorf("%s: got long %v, at reserved endpoint %v, want %v", name, q.long, reserved, want)
		}
	}
}
