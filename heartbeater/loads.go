package heartbeater

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// delayHalfLife is the half-life in ms of the weight of a reported delay.
	delayHalfLife = 500
	// tableMaxAge is how long a table of loads is reused. Reported work decreases
	// by one ms per ms, so the error is at most this age, and a request, which
	// looks up all endpoints, builds the table at most once.
	tableMaxAge = 25 * clock.Millis(1)
	// summaryHoldTime is the age of a summary below which one of less than half as
	// many instances does not replace it. At this age, two further summaries of the
	// data centre are overdue.
	summaryHoldTime = 2*remoteInterval + 200
	// A summary lists an endpoint if it has at least minSummaryWork ms of work or
	// a delay of at least minSummaryDelay ms, and at most maxSummaryLoads
	// endpoints, those with the largest sum of work and delay. Work below
	// minSummaryWork is less than the latency between data centres and does not
	// affect the choice of an endpoint.
	minSummaryWork  = 20
	minSummaryDelay = 30
	maxSummaryLoads = 96
)

// Summary is the sum of the loads and rates of a data centre's instances, as
// sent to other data centres.
type Summary struct {
	_         struct{} `cbor:",toarray"`
	Instances int
	Age       int64 // ms since the oldest message in the sum
	Loads     []summaryLoad
	Rates     []Rate
}

// summaryLoad is the work that a data centre's instances have placed on one
// endpoint.
type summaryLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // low half of the hash of the endpoint's id
	Work     uint32   // ms
	Running  uint32   // requests
	Delay    uint32   // largest recent waiting time, in ms
}

// receivedSummary is the latest summary of another data centre.
type receivedSummary struct {
	Summary
	receivedAt clock.Millis
	demands    []Demand
}

// endpointLoad is the sum of the work that other instances have reported for
// one endpoint.
type endpointLoad struct {
	work         float64 // ms, as reported
	workTimesAge float64 // sum of each report's work times its age, in ms²
	running      int     // requests
	delay        float64 // largest reported waiting time in ms, weighted by its age
}

// add returns l plus a report of the given age: work and delay in ms, and the
// number of running requests.
func (l endpointLoad) add(work float64, running int, delay float64, age clock.Millis) endpointLoad {
	return endpointLoad{
		work: l.work + work, workTimesAge: l.workTimesAge + work*float64(age), running: l.running + running,
		delay: max(l.delay, delay*math.Exp2(-float64(age)/delayHalfLife)),
	}
}

// remaining returns the work in ms that is not done yet. An endpoint does one ms
// of work per ms in total, so the sum decreases by the mean age of the reports,
// weighted by their work. If finished work still counted, all instances would
// avoid the endpoint at the same time.
func (l endpointLoad) remaining() float64 {
	if l.work <= 0 {
		return 0
	}
	return max(0, l.work-l.workTimesAge/l.work)
}

// loadTable holds the sums of allLoads, as of an instant. The key is the low half
// of the hash of the endpoint's id.
type loadTable struct {
	builtAt clock.Millis
	loads   map[uint32]endpointLoad
}

// reportingNeighbours yields the live neighbours that have reported their loads
// and rates. The lock is held.
func (h *Heartbeater) reportingNeighbours(now clock.Millis) iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for p := range h.peers.ordered() {
			if p.reported && h.isAlive(now, p) && !yield(p) {
				return
			}
		}
	}
}

// neighbourLoads sums the loads that live neighbours have reported, by endpoint.
// The lock is held.
func (h *Heartbeater) neighbourLoads(now clock.Millis) map[uint32]endpointLoad {
	sums := make(map[uint32]endpointLoad, len(h.loadTable.loads))
	for p := range h.reportingNeighbours(now) {
		age := now - p.lastHeard
		for _, l := range p.loads {
			key := uint32(l.Endpoint)
			sums[key] = sums[key].add(float64(l.Work), l.Running, float64(l.Delay), age)
		}
	}
	return sums
}

// buildSummary returns the summary of this data centre: the reports of the live
// neighbours and this instance's own message. The lock is held.
func (h *Heartbeater) buildSummary(now clock.Millis, own *Message) *Summary {
	loads := h.neighbourLoads(now)
	for _, l := range own.Loads {
		key := uint32(l.Endpoint)
		loads[key] = loads[key].add(float64(l.Work), l.Running, float64(l.Delay), 0)
	}
	s := &Summary{Instances: 1}
	for key, l := range loads {
		if work := l.remaining(); work >= minSummaryWork || l.delay >= minSummaryDelay {
			s.Loads = append(s.Loads, summaryLoad{
				Endpoint: key, Work: uint32(work), Running: uint32(l.running), Delay: uint32(l.delay),
			})
		}
	}
	slices.SortFunc(s.Loads, func(x, y summaryLoad) int { return cmp.Compare(y.Work+y.Delay, x.Work+x.Delay) })
	s.Loads = s.Loads[:min(len(s.Loads), maxSummaryLoads)]
	rates := make(map[uint64]Rate)
	for _, r := range own.Rates {
		rates[r.Service] = r
	}
	for p := range h.reportingNeighbours(now) {
		s.Instances++
		s.Age = max(s.Age, int64(now-p.lastHeard))
		for _, r := range p.rates {
			rates[r.Service] = rates[r.Service].add(r)
		}
	}
	for service, r := range rates {
		r.Service = service
		s.Rates = append(s.Rates, r)
	}
	return s
}

// Load returns the remaining work in ms that other instances have placed on an
// endpoint, the number of their running requests, and the largest waiting time
// in ms that one of them has recently observed there. The endpoint is given by
// the hash of its id.
func (h *Heartbeater) Load(endpoint uint64) (work float64, running int, delay float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	if now-h.loadTable.builtAt >= tableMaxAge || h.loadTable.loads == nil {
		h.loadTable = loadTable{builtAt: now, loads: h.allLoads(now)}
	}
	l := h.loadTable.loads[uint32(endpoint)]
	return l.remaining(), l.running, l.delay
}

// allLoads sums the loads that live neighbours and other data centres have
// reported, by endpoint. The lock is held.
func (h *Heartbeater) allLoads(now clock.Millis) map[uint32]endpointLoad {
	sums := h.neighbourLoads(now)
	for _, s := range h.summaries {
		age := now - s.receivedAt
		if age >= remoteTimeout {
			continue
		}
		for _, l := range s.Loads {
			sums[l.Endpoint] = sums[l.Endpoint].add(float64(l.Work), int(l.Running), float64(l.Delay), age)
		}
	}
	return sums
}

// Rates returns the sum of the rates that other live instances have reported for
// a service, the number of these instances, and the age of the oldest message.
// The service is given by the hash of its name.
func (h *Heartbeater) Rates(service uint64) (sum Rate, instances int, age clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	addRates := func(rates []Rate) {
		for _, r := range rates {
			if r.Service == service {
				sum = sum.add(r)
			}
		}
	}
	for p := range h.reportingNeighbours(now) {
		instances++
		age = max(age, now-p.lastHeard)
		addRates(p.rates)
	}
	for _, s := range h.summaries {
		if now-s.receivedAt >= remoteTimeout {
			continue
		}
		instances += s.Instances
		age = max(age, now-s.receivedAt+clock.Millis(s.Age))
		addRates(s.Rates)
	}
	return sum, instances, age
}
