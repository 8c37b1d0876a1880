package beater

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// delayHalf is the time in ms after which half of an observed delay counts.
	delayHalf = 500
	// tableAge is how long a table of loads is used: work shrinks by one ms in a
	// ms, and requests ask for all endpoints at a time.
	tableAge = 25 * clock.Millis(1)
	// summaryKept is the age from which a summary of fewer instances replaces
	// another one: two that are due have not come by then.
	summaryKept = 2*farInterval + 200
	// leastWork and leastDelay are what an endpoint must have, in ms, to be named
	// in a summary, and maxLoads is the number of endpoints that one names: those
	// with most work. Less work than leastWork is below the distance between data
	// centres and changes no choice.
	leastWork  = 20
	leastDelay = 30
	maxLoads   = 96
)

// Summary is what the instances of a data centre together have told, for
// instances of other data centres.
type Summary struct {
	_         struct{} `cbor:",toarray"`
	Instances int
	Age       int64 // of the oldest part, in ms
	Loads     []loadSum
	Rates     []Rate
}

// loadSum is the work of several instances on one endpoint.
type loadSum struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // low half of the hash of the endpoint's id
	Work     uint32   // ms
	Running  uint32
	Delay    uint32 // ms
}

// summary is the newest one of another data centre.
type summary struct {
	Summary
	heard clock.Millis
}

// endpointLoad is the work on one endpoint.
type endpointLoad struct {
	work    float64 // ms, as told
	aging   float64 // sum of each part of work times its age
	running int
	delay   float64
}

// plus adds what was told some time ago.
func (l endpointLoad) plus(work float64, running int, delay float64, age clock.Millis) endpointLoad {
	return endpointLoad{
		work: l.work + work, aging: l.aging + work*float64(age), running: l.running + running,
		delay: max(l.delay, delay*math.Exp2(-float64(age)/delayHalf)),
	}
}

// left returns the work that is still to be done: an endpoint does one ms of it
// in a ms, whoever has sent it. Work that is over would send all instances
// elsewhere at once.
func (l endpointLoad) left() float64 {
	if l.work <= 0 {
		return 0
	}
	return max(0, l.work-l.aging/l.work)
}

// loadTable holds the work of all other instances, by the low half of the hash
// of the endpoint's id.
type loadTable struct {
	at    clock.Millis
	loads map[uint32]endpointLoad
}

// loaded yields the living neighbours that have told their loads and rates. The
// lock is held.
func (b *Beater) loaded(now clock.Millis) iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for p := range b.peers.ordered() {
			if p.loaded && b.isAlive(now, p) && !yield(p) {
				return
			}
		}
	}
}

// neighbourLoads sums what living neighbours have told. The lock is held.
func (b *Beater) neighbourLoads(now clock.Millis) map[uint32]endpointLoad {
	sums := make(map[uint32]endpointLoad, len(b.table.loads))
	for p := range b.loaded(now) {
		age := now - p.heard
		for _, l := range p.loads {
			key := uint32(l.Endpoint)
			sums[key] = sums[key].plus(float64(l.Work), l.Running, float64(l.Delay), age)
		}
	}
	return sums
}

// sums adds this instance's own message to what the neighbours have told.
// The lock is held.
func (b *Beater) sums(now clock.Millis, own *Message) *Summary {
	loads := b.neighbourLoads(now)
	for _, l := range own.Loads {
		key := uint32(l.Endpoint)
		loads[key] = loads[key].plus(float64(l.Work), l.Running, float64(l.Delay), 0)
	}
	s := &Summary{Instances: 1}
	for key, l := range loads {
		if work := l.left(); work >= leastWork || l.delay >= leastDelay {
			s.Loads = append(s.Loads, loadSum{
				Endpoint: key, Work: uint32(work), Running: uint32(l.running), Delay: uint32(l.delay),
			})
		}
	}
	slices.SortFunc(s.Loads, func(x, y loadSum) int { return cmp.Compare(y.Work+y.Delay, x.Work+x.Delay) })
	s.Loads = s.Loads[:min(len(s.Loads), maxLoads)]
	rates := make(map[uint64]Rate)
	for _, r := range own.Rates {
		rates[r.Service] = r
	}
	for p := range b.loaded(now) {
		s.Instances++
		s.Age = max(s.Age, int64(now-p.heard))
		for _, r := range p.rates {
			rates[r.Service] = rates[r.Service].plus(r)
		}
	}
	for service, r := range rates {
		r.Service = service
		s.Rates = append(s.Rates, r)
	}
	return s
}

// Load returns the work that other instances have placed on an endpoint, and
// the longest delay that one of them has seen there lately.
func (b *Beater) Load(endpoint uint64) (work float64, running int, delay float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	if now-b.table.at >= tableAge || b.table.loads == nil {
		b.table = loadTable{at: now, loads: b.loads(now)}
	}
	l := b.table.loads[uint32(endpoint)]
	return l.left(), l.running, l.delay
}

// loads sums the work that all living instances have told. The lock is held.
func (b *Beater) loads(now clock.Millis) map[uint32]endpointLoad {
	sums := b.neighbourLoads(now)
	for _, s := range b.summaries {
		age := now - s.heard
		if age >= farDead {
			continue
		}
		for _, l := range s.Loads {
			sums[l.Endpoint] = sums[l.Endpoint].plus(float64(l.Work), int(l.Running), float64(l.Delay), age)
		}
	}
	return sums
}

// Rates returns the sum of what living instances have told of a service, their
// number and the age of the oldest message.
func (b *Beater) Rates(service uint64) (sum Rate, instances int, age clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	add := func(rates []Rate) {
		for _, r := range rates {
			if r.Service == service {
				sum = sum.plus(r)
			}
		}
	}
	for p := range b.loaded(now) {
		instances++
		age = max(age, now-p.heard)
		add(p.rates)
	}
	for _, s := range b.summaries {
		if now-s.heard >= farDead {
			continue
		}
		instances += s.Instances
		age = max(age, now-s.heard+clock.Millis(s.Age))
		add(s.Rates)
	}
	return sum, instances, age
}
