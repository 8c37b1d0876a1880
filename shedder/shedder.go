package shedder

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// planningShare is the share of a target at which the expected time is held once the
	// target itself has been exceeded, and planFor the time for which that then holds. The
	// loads that other instances report are up to one heartbeat interval old, so that the
	// estimate is too low while a queue grows. Only the refused share rises from there on:
	// no request is refused below the target.
	planningShare = 0.6
	planFor       = 10 * clock.Second
	// maxRefused is the largest share of any workspace, rank, size and session that
	// is refused if it could be served: each gets at least a fifth of what it asks for.
	maxRefused = 0.8
	// minServed is the share of a class below which its next request is admitted.
	minServed = 1 - maxRefused
	// sizeShare is the served share of a size, relative to that of all requests of the
	// kind, below which its next request is admitted. The largest tenth must be served
	// at least half as often as the whole kind.
	sizeShare = 0.7
	// controlTime is the time in which the refused share rises by one if the expected
	// time is twice the planned one. Shortages last seconds, and reports are up to
	// 0.75 s old, so that a much faster controller would oscillate.
	controlTime = 400 * clock.Millis(1)
	// excessSamples is the number of first events over which the excess of their times
	// is averaged, excessHalfLife the time after which it counts half without further
	// ones, and maxExcess its largest value, relative to the target.
	excessSamples  = 24
	excessHalfLife = 3 * clock.Second
	maxExcess      = 0.3
	// generalExcess is the excess over the planned time above which workspaces that do
	// not exceed their share are refused too.
	generalExcess = 0.35
	// maxStep bounds the time that one request accounts for in the controller.
	maxStep = 250 * clock.Millis(1)
	// refusedHalfLife is the time without requests, beyond maxStep, in which the refused
	// share halves: the endpoints work off their queues meanwhile.
	refusedHalfLife = clock.Second
	// rateSpan is the averaging time of the demand of a workspace: an instance
	// receives one request of a workspace in several seconds. rankSpan is the same for
	// its ranks and the counts of classes.
	rateSpan = 3 * clock.Second
	rankSpan = 18 * clock.Second
	// returningCredit is the credit from which a request that returns is admitted,
	// before those of its workspace that are new, which need 1.
	returningCredit = 0.4
	// planAge is the time for which a computed level is used.
	planAge = 100 * clock.Millis(1)
	// shortageEnd is the time without an expected time over the target after which a
	// shortage has ended. It bridges the gaps between two requests of an instance.
	shortageEnd = 3 * clock.Second
	// minRetry is the least Retry-After, and maxRetryShare its largest part of the
	// caller's remaining time: callers honour no more.
	minRetry      = 100 * clock.Millis(1)
	maxRetryShare = 1.0 / 3
	// waitingAge is the time after its Retry-After for which a refused request is
	// known when it returns, and maxWaiting the number of such requests.
	waitingAge = 10 * clock.Second
	maxWaiting = 4096
)

// Request describes a request that has not been sent yet.
type Request struct {
	ID        uint64 // hash of what all repetitions of the request have in common
	Service   string
	Kind      string // of the request, such as its route
	Workspace string
	Session   string // empty if there is none
	Rank      int    // 0 is the most urgent
	Size      float64
	Work      float64      // ms that an endpoint needs for it
	Expected  clock.Millis // time until the first event, or until the response of a plain service
	Target    clock.Millis
	Remaining clock.Millis // time until the caller leaves
	Idle      bool         // an endpoint has a free slot and no queued work
}

// Verdict is the decision about a request.
type Verdict struct {
	Admitted   bool
	Hopeless   bool         // refused, since it cannot be served before the caller leaves
	RetryAfter clock.Millis // of a refused request
}

// Shortage describes the beginning or the end of a shortage.
type Shortage struct {
	Service    string
	Begins     bool
	Expected   clock.Millis // largest expected time since the beginning
	Refused    int
	Workspaces int // above their share when requests were last refused
}

// Demand is the demand of other instances for a service, by hash of the workspace. The
// unit is that of Request.Work in ms per ms.
type Demand struct {
	Rates     map[uint64]float64
	Reporting int // instances whose demand is in Rates
	Unknown   int // further instances
	Sums      []Sum
}

// Sum is the demand of all instances of another data centre, of its largest workspaces
// only. The instances are among the unknown ones of the Demand.
type Sum struct {
	Instances int
	Rates     map[uint64]float64 // by hash of the workspace
}

// Options holds the sources of a Shedder.
type Options struct {
	// Others returns the demand of other instances; it may be nil if there are none.
	Others func(now clock.Millis, service string) Demand
	// Changed is called at the beginning and the end of a shortage; it may be nil.
	Changed func(Shortage)
}

// Shedder holds the state of one instance. It is not safe for concurrent use.
type Shedder struct {
	options  Options
	services map[string]*service
	waiting  map[attempt]clock.Millis // instant at which a refused request may return
}

// attempt identifies a refused request that may return. The same content sent by another
// service or route is another request.
type attempt struct {
	id            uint64
	service, kind string
}

func (r *Request) attempt() attempt { return attempt{r.ID, r.Service, r.Kind} }

// service is the state of one service.
type service struct {
	workspaces map[string]*workspace
	controls   map[string]*control // by kind; only those with a target
	meanWork   float64             // of a request, in ms
	classes    map[class]*count
	sizes      map[string]*sizes // by kind
	shortage   *Shortage         // nil without a shortage
	overAt     clock.Millis      // instant of the last expected time over the target
}

// New returns a Shedder without state.
func New(o Options) *Shedder {
	return &Shedder{options: o, services: make(map[string]*service), waiting: make(map[attempt]clock.Millis)}
}

// Decide decides about a request, which it counts as demand.
func (s *Shedder) Decide(now clock.Millis, r Request) Verdict {
	r.Work, r.Size = finite(r.Work), finite(r.Size)
	v := s.service(r.Service)
	due, returns := s.waiting[r.attempt()]
	returns = returns && now >= due
	w := v.record(now, r, returns)
	hopeless := r.Expected > r.Remaining
	over := r.Target > 0 && r.Expected > r.Target
	var c *control
	if r.Target > 0 {
		c = v.control(now, r.Kind)
		r.Expected += clock.Millis(min(c.expectedExcess(now), maxExcess*float64(r.Target)))
		planned := c.planned(now, r, v.meanWork)
		if float64(r.Expected) > planned && !r.Idle {
			v.update(now, c, r.Service, s.options.Others)
		}
		c.target = r.Target
		for _, k := range v.controls {
			if k.target == r.Target {
				k.adjust(now, r, k.planned(now, r, v.meanWork), v.meanWork)
			}
		}
	}
	if r.Idle || !hopeless && (!over || c.refused <= 0) {
		delete(s.waiting, r.attempt())
		v.count(now, r, !returns, true, v.shortage != nil)
		return Verdict{Admitted: true}
	}
	v.overAt = now
	admitted := false
	if !hopeless {
		admitted = v.share(now, c, w, r, returns)
	}
	v.count(now, r, !returns, admitted, true)
	if admitted {
		delete(s.waiting, r.attempt())
		return Verdict{Admitted: true}
	}
	s.noteRefusal(v, c, r)
	after := s.retryAfter(v, r)
	if len(s.waiting) < maxWaiting {
		s.waiting[r.attempt()] = now + after
	}
	return Verdict{Hopeless: hopeless, RetryAfter: after}
}

// finite returns x, or 0 if it is negative or not finite: a NaN would stay in the averages.
func finite(x float64) float64 {
	if !(x >= 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

func (s *Shedder) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{
			workspaces: make(map[string]*workspace), controls: make(map[string]*control),
			classes: make(map[class]*count), sizes: make(map[string]*sizes),
		}
		s.services[name] = v
	}
	return v
}

// Observe records the time that an admitted request of a kind took until its first event,
// or until the response of a plain service, and the time that was expected.
func (s *Shedder) Observe(now clock.Millis, service, kind string, expected, took clock.Millis) {
	c := s.service(service).control(now, kind)
	c.excess = c.expectedExcess(now)
	c.excess += (float64(took-expected) - c.excess) / excessSamples
	c.excessAt = now
}

// share decides whether a request belongs to the admitted share of its workspace and
// rank, or to that of a class that would starve. A request that returns is counted once,
// as what its workspace has asked for, and goes before new ones.
func (v *service) share(now clock.Millis, c *control, w *workspace, r Request, returns bool) bool {
	least := returningCredit
	if !returns {
		least = 1
		share := c.plan.refusedShare(matcher.Hash("workspace", r.Workspace), w.demand.Value(now))
		w.credit = min(1, w.credit+1-w.refusedShare(now, r.Rank, share))
	}
	if w.credit < least && !v.starves(now, r, returns) {
		return false
	}
	w.credit = max(-1, w.credit-1)
	return true
}

// retryAfter returns the time after which a refused request may return: when the queue
// has shrunk to the planned time at the earliest. The rest of the time that the caller
// honours is divided among the ranks, the most urgent first.
func (s *Shedder) retryAfter(v *service, r Request) clock.Millis {
	latest := maxRetryShare * float64(r.Remaining)
	if left := float64(r.Remaining - r.Expected); left > 0 { // until it is too late for the request
		latest = min(latest, left)
	}
	first := min(latest, max(float64(minRetry), float64(r.Expected)-planningShare*float64(r.Target)))
	before, ranks := v.rankPosition(r.Rank)
	spread := float64(matcher.Hash("retry", r.Workspace)^r.ID) / math.MaxUint64
	width := min(latest-first, 2*first)
	return max(minRetry, clock.Millis(first+width*(float64(before)+spread)/float64(ranks)))
}

// noteRefusal counts a refusal, with which a shortage begins.
func (s *Shedder) noteRefusal(v *service, c *control, r Request) {
	begins := v.shortage == nil
	if begins {
		v.shortage = &Shortage{Service: r.Service}
	}
	v.shortage.Expected = max(v.shortage.Expected, r.Expected)
	v.shortage.Refused++
	if c != nil {
		v.shortage.Workspaces = c.plan.above
	}
	if begins && s.options.Changed != nil {
		first := *v.shortage
		first.Begins = true
		s.options.Changed(first)
	}
}

// Rates calls each with the demand of every workspace on this instance.
func (s *Shedder) Rates(now clock.Millis, each func(service, workspace string, rate float64)) {
	for name, v := range s.services {
		for workspace, w := range v.workspaces {
			if rate := w.demand.Value(now); rate > 0 {
				each(name, workspace, rate)
			}
		}
	}
}

// Sweep removes expired state and reports the shortages that have ended.
func (s *Shedder) Sweep(now clock.Millis) {
	for id, due := range s.waiting {
		if now-due > waitingAge {
			delete(s.waiting, id)
		}
	}
	for _, v := range s.services {
		if v.shortage != nil && now-v.overAt > shortageEnd {
			if s.options.Changed != nil {
				s.options.Changed(*v.shortage)
			}
			v.shortage = nil
		}
		v.sweep(now)
	}
}
