package dispatcher

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// trickle is the number of requests that consider a slow endpoint of which one treats
	// it as if its factor were trickleFactor, so that its recovery is seen. As if it were
	// as fast as the others, it would still lose to each that is a little faster.
	trickle       = 64
	trickleFactor = 0.5
	// maxTrickleWork is the largest own work in ms of such a request. A long prompt
	// would often be late at a slow endpoint.
	maxTrickleWork = 100
	// settleTime is the time after an endpoint is listed during which it yields no
	// samples: its caches are empty and its first requests start it up.
	settleTime = 5 * clock.Second
	// maxUncertainShare is the largest share of a prompt that may be in an endpoint's
	// cache or not if the time to the first event is to be a sample.
	maxUncertainShare = 0.25
)

// calibrated returns an endpoint as the calibrator knows it.
func (d *Dispatcher) calibrated(e *cataloger.State) calibrator.Endpoint {
	return calibrator.Endpoint{
		Key: matcher.Hash("endpoint", e.ID), ID: e.ID, Service: e.Service, StartedAt: e.StartedAt, Slots: e.Slots,
		Local: e.DataCentre == d.options.DataCentre,
	}
}

// speed returns what is known of an endpoint's speed.
func (d *Dispatcher) speed(now clock.Millis, e *cataloger.State) calibrator.Speed {
	return d.options.Calibrator.Speed(now, d.calibrated(e))
}

// costFactor returns the factor by which a request chooses an endpoint.
func costFactor(factor float64, q balancer.Query, salt, endpoint string) float64 {
	if factor > 1 && q.Prompt <= maxTrickleWork && matcher.Hash(salt, endpoint)%trickle == 0 {
		return trickleFactor
	}
	return factor
}

// isSettled reports whether an endpoint to which a request was sent yields samples.
func (c *choice) isSettled(now clock.Millis) bool {
	return !c.cold && c.endpoint.ColdUntil <= now && now-c.endpoint.ListedAt >= settleTime
}

// calibrateFirst records the time from a send to its first event as a sample of the
// endpoint's speed, if neither other work nor an unknown cache decides it.
func (d *Dispatcher) calibrateFirst(now clock.Millis, c *choice, q *criteria, took clock.Millis) {
	p := &q.prompt
	if !q.isEngine() || !c.isSettled(now) || c.work <= firstEventOverhead || c.ahead >= c.factor*c.work ||
		c.cached == 0 && p.shared > maxUncertainShare*p.tokens {
		return
	}
	d.options.Calibrator.RecordFirst(
		now, d.calibrated(c.endpoint), q.model, c.running, float64(took), float64(c.predicted(q)),
	)
}

// calibratePace records the pace of the stream as a sample of the endpoint's speed.
func (s *send) calibratePace(now clock.Millis) {
	x, c := s.exchange, s.choice
	if !s.criteria.isEngine() || !c.isSettled(now) {
		return
	}
	d := x.dispatcher
	d.options.Calibrator.RecordPace(
		now, d.calibrated(c.endpoint), x.route.Name+"/"+s.criteria.model, c.running, s.pace.ms(),
	)
}

// calibratePlain records the duration of a complete plain response without an error
// as a sample of the endpoint's speed.
func (s *send) calibratePlain() {
	x, c := s.exchange, s.choice
	now := x.now()
	if s.criteria.isEngine() || s.response.Status >= 400 || !c.isSettled(now) {
		return
	}
	d := x.dispatcher
	d.options.Calibrator.RecordPlain(now, d.calibrated(c.endpoint), c.running, float64(max(1, now-s.begin)))
}

// paceEvents is the number of events after the first one over which the pace of a
// stream is measured.
const paceEvents = 8

// pace holds the gaps between the first events of a stream.
type pace struct {
	lastAt clock.Millis
	gaps   [paceEvents]float64 // ms
	count  int
	done   bool
}

// begin records the first event.
func (p *pace) begin(now clock.Millis) { *p = pace{lastAt: now} }

// add records the arrival of events and reports whether the pace is known now.
func (p *pace) add(now clock.Millis, events int) bool {
	if p.done || events <= 0 {
		return false
	}
	gap := float64(now-p.lastAt) / float64(events)
	p.lastAt = now
	for ; events > 0 && p.count < paceEvents; events-- {
		p.gaps[p.count] = gap
		p.count++
	}
	p.done = p.count == paceEvents
	return p.done
}

// ms returns the pace in ms per event: the mean of the smaller gaps without the
// smallest. The larger ones may be due to the prefill of other prompts, and the
// smallest to events that were held up and arrive together.
func (p *pace) ms() float64 {
	gaps := p.gaps
	slices.Sort(gaps[:])
	return (gaps[1] + gaps[2] + gaps[3]) / 3
}
