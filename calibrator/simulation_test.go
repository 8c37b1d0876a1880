package calibrator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// simulation is a service without a network: instances that choose endpoints by
// reports of each other's load, and endpoints that read prompts one after another.
type simulation struct {
	endpoints, instances int
	perSecond            float64 // requests to the service
	speed                func(now clock.Millis, endpoint int) float64
	dataCentres          int  // among which both are divided
	factors              bool // instances use a Calibrator
	seed                 uint64
	restartAt            clock.Millis // of all instances; 0: never

	random      *rand.Rand
	ids         []Endpoint
	calibrators []*Calibrator
	busyUntil   []float64
	reported    []float64     // work in ms reported for each endpoint, of predicted durations
	queued      []float64     // the same at present
	own         []([]float64) // work that an instance has sent since the last report
	later       map[clock.Millis][]func(now clock.Millis)
	requests    []simulated
}

// simulated is the result of one request.
type simulated struct {
	at       clock.Millis
	endpoint int
	work     float64 // predicted, in ms
	took     float64 // until the first event, in ms
}

const (
	simulatedTarget   = 3000 // ms until the first event
	simulatedInterval = 500  // ms between two reports of loads
	simulatedPace     = 50   // ms per event
	simulatedRemote   = 90   // cost in ms of another data centre
)

func (s *simulation) start() {
	s.random = rand.New(rand.NewPCG(s.seed, 2))
	s.ids = make([]Endpoint, s.endpoints)
	for i := range s.ids {
		id := fmt.Sprint("e", i)
		s.ids[i] = Endpoint{Key: matcher.Hash("endpoint", id), ID: id, Service: "s", Slots: 16}
	}
	for _, list := range []*[]float64{&s.busyUntil, &s.reported, &s.queued} {
		*list = make([]float64, s.endpoints)
	}
	s.later = make(map[clock.Millis][]func(clock.Millis))
	s.restart()
}

func (s *simulation) restart() {
	s.calibrators, s.own = make([]*Calibrator, s.instances), make([][]float64, s.instances)
	for i := range s.calibrators {
		s.calibrators[i], s.own[i] = New(Options{Plain: 30}), make([]float64, s.endpoints)
	}
}

func (s *simulation) run(length clock.Millis) {
	s.start()
	for now := clock.Millis(1); now < length; now++ {
		s.step(now)
	}
}

func (s *simulation) step(now clock.Millis) {
	if now == s.restartAt {
		s.restart()
	}
	for _, f := range s.later[now] {
		f(now)
	}
	delete(s.later, now)
	if now%simulatedInterval == 0 {
		s.report(now)
	}
	for p := s.perSecond / 1000; p > 0; p-- {
		if s.random.Float64() < p {
			s.send(now, s.random.IntN(s.instances))
		}
	}
}

func (s *simulation) report(now clock.Millis) {
	copy(s.reported, s.queued)
	for i, c := range s.calibrators {
		c.Reports(now, func(r Report) {
			for j := i % s.dataCentres; j < s.instances; j += s.dataCentres {
				if j != i {
					s.calibrators[j].Merge(now, r)
				}
			}
		})
	}
	for i := range s.own {
		clear(s.own[i])
	}
}

// prompt returns the prefill time of a random prompt: of a long one with a heavy
// tail, or of a short one.
func (s *simulation) prompt() float64 {
	if s.random.Float64() < 0.26 {
		return min(1000, 300*math.Exp(0.8*s.random.NormFloat64()))
	}
	return 20 + 40*s.random.Float64()
}

func (s *simulation) send(now clock.Millis, instance int) {
	work, salt := s.prompt(), fmt.Sprint("r", len(s.requests))
	c := s.calibrators[instance]
	known := func(i int) Endpoint {
		e := s.ids[i]
		e.Local = (instance-i)%s.dataCentres == 0
		return e
	}
	list := make([]balancer.Candidate, s.endpoints)
	age := float64(now % simulatedInterval)
	for i := range list {
		queued := max(0, s.reported[i]-age) + s.own[instance][i]
		list[i] = balancer.Candidate{ID: s.ids[i].ID, Local: known(i).Local, Work: queued}
		if s.factors {
			f := c.Speed(now, known(i)).Factor
			list[i].Work *= f
			if list[i].Factor = f; f > 1 && work < 100 && matcher.Hash(salt, s.ids[i].ID)%64 == 0 {
				list[i].Factor = 0.5
			}
		}
	}
	i := balancer.Default().Pick(balancer.Query{Prompt: work, RemoteCost: simulatedRemote}, list, salt)
	ahead := list[i].Work
	s.own[instance][i] += work
	s.queued[i] += work
	speed := s.speed(now, i)
	end := max(s.busyUntil[i], float64(now)) + work*speed
	s.busyUntil[i] = end
	took := end - float64(now) + 30
	s.requests = append(s.requests, simulated{now, i, work, took})
	s.at(now+clock.Millis(took), func(now clock.Millis) {
		s.queued[i] -= work
		if ahead < work && work > 30 {
			c.RecordFirst(now, known(i), "m", 1, took, work+30)
		}
	})
	pace := simulatedPace * speed * (0.9 + 0.2*s.random.Float64())
	s.at(now+clock.Millis(took+8*pace), func(now clock.Millis) {
		if s.random.Float64() < 0.55 { // the others have fewer events
			c.RecordPace(now, known(i), "m", 1, pace)
		}
	})
}

func (s *simulation) at(now clock.Millis, f func(clock.Millis)) {
	s.later[now] = append(s.later[now], f)
}

// late returns the share of the requests of a time whose first event is late,
// weighted by their work, and the share of the work at endpoints that were slow.
func (s *simulation) late(from, to clock.Millis) (late, slow float64) {
	total := 0.0
	for _, r := range s.requests {
		if r.at < from || r.at >= to {
			continue
		}
		total += r.work
		if r.took > simulatedTarget {
			late += r.work
		}
		if s.speed(r.at, r.endpoint) > 1 {
			slow += r.work
		}
	}
	return late / total, slow / total
}

// Guards against prompts that wait at slow endpoints while faster ones have room, and
// against slow endpoints that get no requests at all. Each request's load is known to the others half a second late.
func TestLatenessByEndpointSpeed(t *testing.T) {
	tests := map[string]struct {
		speed    func(now clock.Millis, endpoint int) float64
		maxShare float64 // of the late work without factors
		seeds    uint64  // gains of a quarter need more of them
	}{
		"speeds one to three": {func(_ clock.Millis, i int) float64 { return []float64{1, 1.5, 2, 3}[i%4] }, 0.5, 2},
		"another seventh slow every 0.6 s": {func(now clock.Millis, i int) float64 {
			speed := []float64{1, 1.6, 2.4}[i%3]
			if int(now/600)%7 == i%7 {
				speed *= 2.5
			}
			return speed
		}, 0.75, 12},
		"a few slow for 10 s": {func(now clock.Millis, i int) float64 {
			if now/10000 == 2 && i < 6 {
				return 3
			}
			return 1
		}, 0.75, 2},
		"a few slow for good": {func(now clock.Millis, i int) float64 {
			if now > 15000 && i < 6 {
				return 3
			}
			return 1
		}, 0.5, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var lates, slows [2]float64
			for i, factors := range []bool{false, true} {
				for seed := range tt.seeds {
					s := &simulation{
						endpoints: 36, instances: 6, dataCentres: 1, perSecond: 120, speed: tt.speed, factors: factors, seed: seed,
					}
					s.run(40000)
					late, slow := s.late(15000, 40000)
					lates[i], slows[i] = lates[i]+late/float64(tt.seeds), slows[i]+slow/float64(tt.seeds)
				}
			}
			t.Logf("late work %.4f without and %.4f with factors, at slow endpoints %.3f and %.3f",
				lates[0], lates[1], slows[0], slows[1])
			if lates[1] > tt.maxShare*lates[0] {
				t.Errorf("late work: got %.4f, want at most %v of %.4f", lates[1], tt.maxShare, lates[0])
			}
			if slows[1] < slows[0]/32 {
				t.Errorf("work at slow endpoints: got %.4f, without factors %.4f", slows[1], slows[0])
			}
		})
	}
}

// Guards against endpoints that count as slow because all become slow at once, by which
// their queues grow.
func TestAllSlowAtOnce(t *testing.T) {
	const slowAt = 20000
	s := &simulation{
		endpoints: 36, instances: 6, dataCentres: 1, perSecond: 120, factors: true,
		speed: func(now clock.Millis, _ int) float64 {
			if now >= slowAt {
				return 2.4
			}
			return 1
		},
	}
	s.start()
	for now := clock.Millis(1); now < 30000; now++ {
		s.step(now)
		_, largest, _ := s.calibrators[0].Changes(now)
		if now > slowAt && largest > slowFrom {
			t.Errorf("largest factor at %d: got %.2f, want at most %v", now, largest, slowFrom)
		}
	}
}

// Guards against factors that only instances with many requests can learn, and that
// take long to come back: 89 instances and 140 endpoints in four data centres, of which
// each pair meets once in ten seconds or less, before and after all instances restart.
func TestFewRequestsPerInstance(t *testing.T) {
	var before, after [2]float64
	for i, factors := range []bool{false, true} {
		for seed := range uint64(2) {
			s := &simulation{
				endpoints: 140, instances: 89, dataCentres: 4, perSecond: 420, factors: factors, seed: seed,
				speed:     func(_ clock.Millis, i int) float64 { return []float64{1, 1.3, 1.8, 2.4, 2}[i%5] },
				restartAt: 25000,
			}
			s.run(40000)
			late, _ := s.late(10000, 25000)
			before[i] += late / 2
			late, _ = s.late(26000, 40000)
			after[i] += late / 2
		}
	}
	t.Logf("late work %.4f without and %.4f with factors, after a restart %.4f and %.4f",
		before[0], before[1], after[0], after[1])
	if before[1] > before[0]/2 {
		t.Errorf("late work: got %.4f, want at most half of %.4f", before[1], before[0])
	}
	if after[1] > after[0] {
		t.Errorf("late work after a restart: got %.4f, without factors %.4f", after[1], after[0])
	}
}
