package throttler

import (
	"math"

	"rosemaryarch.example/rosemaryarch/averager"
	"rosemaryarch.example/rosemaryarch/clock"
)

// Options are the settings of a Throttler.
type Options struct {
	// Span is the averaging time of the rates in ms.
	Span clock.Millis
	// Share is the share of an endpoint's time that prefill may take.
	Share float64
}

// Throttler holds the rates of one service on one instance. It is not safe for
// concurrent use.
type Throttler struct {
	options Options
	base    averager.Rate // work of first models
	demand  averager.Rate // work that larger models would have if no escalation were held back
	long    averager.Rate // work of long prompts
	started clock.Millis  // time of the first request; 0: none yet
	// demandByRank is the demand by priority rank, averaged over rankSpanFactor
	// times Span: one instance sees too few requests for a shorter time.
	demandByRank map[int]*averager.Rate
}

// rankSpanFactor is the averaging time of the demand by rank in units of Span.
const rankSpanFactor = 6

// priorityWeight is the share of the capacity that goes to higher ranks first.
// The rest is divided evenly, so that every kind of request is escalated
// sometimes.
const priorityWeight = 0.6

// New returns a Throttler without data. It panics if an option is not positive.
func New(o Options) *Throttler {
	if o.Span <= 0 || o.Share <= 0 {
		panic("throttler: Options.Span and Options.Share must be positive")
	}
	of := averager.Rate{Span: o.Span}
	return &Throttler{options: o, base: of, demand: of, long: of, demandByRank: make(map[int]*averager.Rate)}
}

// RecordBase adds work in ms of a first model.
func (t *Throttler) RecordBase(now clock.Millis, work float64) {
	t.start(now)
	t.base.Add(now, work)
}

// start sets the time of the first request.
func (t *Throttler) start(now clock.Millis) {
	if t.started == 0 {
		t.started = now
	}
}

// RecordDemand adds the work in ms that a larger model would have for a request
// of the given rank; rank 0 is the highest.
func (t *Throttler) RecordDemand(now clock.Millis, rank int, work float64) {
	t.demand.Add(now, work)
	if t.demandByRank[rank] == nil {
		t.demandByRank[rank] = &averager.Rate{Span: rankSpanFactor * t.options.Span}
	}
	t.demandByRank[rank].Add(now, work)
}

// RecordLong adds work in ms of a long prompt, which may be that of a first model.
func (t *Throttler) RecordLong(now clock.Millis, work float64) {
	t.start(now)
	t.long.Add(now, work)
}

// minLongTime is the least time in ms for which an average counts as known.
const minLongTime = 500

// longExpiry is the time in ms after the last long prompt from which Long is 0. An
// average alone never becomes 0.
const longExpiry = 10 * clock.Second

// Long returns the average rate of the work of long prompts, in ms per ms.
func (t *Throttler) Long(now clock.Millis) float64 {
	if now-t.long.At() >= longExpiry {
		return 0
	}
	// Without the correction, the average would rise over several spans after a start.
	known := 1 - math.Exp(-float64(max(minLongTime, now-t.started))/float64(t.options.Span))
	return t.long.Value(now) / known
}

// Rates returns the average rates in ms of work per ms.
func (t *Throttler) Rates(now clock.Millis) (base, demand float64) {
	return t.base.Value(now), t.demand.Value(now)
}

// PeerRates holds the rates reported by other instances. A single instance sees
// few requests of very different sizes, so its own rates vary widely.
type PeerRates struct {
	Base      float64 // sum over the instances
	Demand    float64 // sum over the instances
	Long      float64 // sum over the instances
	Instances int     // number of instances that report
}

// AdmittedShare returns the share, 0 to 1, of the larger models' work for requests
// of a rank for which there is capacity. endpoints is the number of endpoints that
// serve the service, weighted by their speeds, and instances the number of instances
// that send to them.
func (t *Throttler) AdmittedShare(
	now clock.Millis, rank int, peers PeerRates, endpoints float64, instances int,
) float64 {
	base, demand := t.Rates(now)
	reporting := float64(peers.Instances + 1)
	base, demand = (base+peers.Base)/reporting, (demand+peers.Demand)/reporting
	if demand <= 0 {
		return 1
	}
	capacity := t.options.Share*endpoints/float64(max(1, instances)) - base
	overall := min(1, max(0, capacity/demand))
	return (1-priorityWeight)*overall + priorityWeight*t.priorityShare(now, rank, overall)
}

// priorityShare returns the share of a rank's work that is admitted if higher
// ranks are served first and overall is the admitted share of the work of all
// ranks.
func (t *Throttler) priorityShare(now clock.Millis, rank int, overall float64) float64 {
	var higher, own, total float64
	for r, demand := range t.demandByRank {
		v := demand.Value(now)
		total += v
		switch {
		case r < rank:
			higher += v
		case r == rank:
			own += v
		}
	}
	if own <= 0 {
		return overall
	}
	return min(1, max(0, (overall*total-higher)/own))
}
