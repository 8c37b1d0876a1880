package throttler

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options are the settings of a throttler.
type Options struct {
	// Span is the time in ms over which rates are averaged.
	Span clock.Millis
	// Share is the part of an endpoint's time that prompts may take.
	Share float64
}

// Throttler holds the rates of one service on one instance. It is not safe for
// concurrent use.
type Throttler struct {
	options Options
	base    rate // first models
	demand  rate // larger models, if none were held back
	// ranks is the demand by rank, over mixSpan times the span: one instance sees
	// too few requests for a shorter one.
	ranks map[int]*rate
}

// mixSpan is the number of spans over which the mix of ranks is averaged.
const mixSpan = 6

// rankShare is the part of the room that goes to higher ranks first; the rest is
// the same for all, so that no kind of request is left without larger models.
const rankShare = 0.6

// rate is an exponential average of ms of work per ms.
type rate struct {
	sum float64
	at  clock.Millis
}

func (r *rate) add(now clock.Millis, work float64, span clock.Millis) {
	r.sum = r.value(now, span)*float64(span) + work
	r.at = now
}

func (r *rate) value(now clock.Millis, span clock.Millis) float64 {
	return r.sum / float64(span) * math.Exp(-float64(now-r.at)/float64(span))
}

// New returns a throttler that has seen nothing. It panics if an option is not
// positive.
func New(o Options) *Throttler {
	if o.Span <= 0 || o.Share <= 0 {
		panic("throttler: options must be positive")
	}
	return &Throttler{options: o, ranks: make(map[int]*rate)}
}

// Base notes work in ms of a first model.
func (t *Throttler) Base(now clock.Millis, work float64) { t.base.add(now, work, t.options.Span) }

// Demand notes work in ms that a larger model would have for a request of a
// rank, 0 being the highest.
func (t *Throttler) Demand(now clock.Millis, rank int, work float64) {
	t.demand.add(now, work, t.options.Span)
	if t.ranks[rank] == nil {
		t.ranks[rank] = &rate{at: now}
	}
	t.ranks[rank].add(now, work, mixSpan*t.options.Span)
}

// Rates returns the averages, in ms of work per ms.
func (t *Throttler) Rates(now clock.Millis) (base, demand float64) {
	return t.base.value(now, t.options.Span), t.demand.value(now, t.options.Span)
}

// Others is what other instances have told. One instance alone sees few
// requests of very different sizes, so its own rates vary much.
type Others struct {
	Base      float64 // sum of their rates
	Demand    float64
	Instances int
}

// Factor returns the part of the larger models' work, 0 to 1, that fits for
// requests of a rank where endpoints endpoints serve instances instances.
func (t *Throttler) Factor(now clock.Millis, rank int, o Others, endpoints, instances int) float64 {
	base, demand := t.Rates(now)
	seen := float64(o.Instances + 1)
	base, demand = (base+o.Base)/seen, (demand+o.Demand)/seen
	if demand <= 0 {
		return 1
	}
	room := t.options.Share*float64(endpoints)/float64(max(1, instances)) - base
	all := min(1, max(0, room/demand))
	return (1-rankShare)*all + rankShare*t.first(now, rank, all)
}

// first returns the part of a rank's work that fits if higher ranks are served
// first and all of them together get the part all.
func (t *Throttler) first(now clock.Millis, rank int, all float64) float64 {
	var higher, own, total float64
	for r, demand := range t.ranks {
		v := demand.value(now, mixSpan*t.options.Span)
		total += v
		switch {
		case r < rank:
			higher += v
		case r == rank:
			own += v
		}
	}
	if own <= 0 {
		return all
	}
	return min(1, max(0, (all*total-higher)/own))
}
