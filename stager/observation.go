package stager

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// paceEvents is the number of events after the first one over which the pace of
// a stream is measured. A slow stream shows early, and each stream counts once.
const paceEvents = 8

// Outcome is the end of a request as evidence about its version.
type Outcome uint8

// The outcomes of a request.
const (
	Ignored Outcome = iota // says nothing about the version
	Served                 // a response without a failure
	Failed                 // the endpoint responded, with a failure or with something unusable
	Broken                 // the connection ended, or the endpoint fell silent, before the response was complete
)

// Sending describes a request that is sent to an endpoint.
type Sending struct {
	Service  string
	Version  string
	Route    string       // a bad version may fail the requests of one route only
	Kind     string       // requests of one kind have similar latencies
	Endpoint string       // id
	Expected clock.Millis // time to the first event; 0 if it cannot be predicted
}

// Observation follows one request during a roll-out. Its methods do nothing if it
// is nil. One goroutine may use it.
type Observation struct {
	stager   *Stager
	rollout  *rolloutState
	old      bool   // the version is not the target
	loaded   bool   // the target served all sessions when the request was sent
	slot     uint8  // of the kind
	route    uint8  // slot of the route
	endpoint uint64 // hash of its id
	start    clock.Millis
	expected clock.Millis
	events   int          // so far; a plain response counts as one
	firstAt  clock.Millis // time of the first event
	lastAt   clock.Millis // time of the last event
	paced    bool         // the pace has been measured
}

// Begin counts a request that starts on a version. It returns nil if the service
// has no active roll-out.
func (s *Stager) Begin(now clock.Millis, sending Sending) *Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[sending.Service]
	if r == nil || r.finished() {
		return nil
	}
	o := &Observation{
		stager: s, rollout: r, old: sending.Version != r.rollout.Target, slot: kindSlot(sending.Kind),
		route: routeSlot(sending.Route), endpoint: matcher.Hash("endpoint", sending.Endpoint),
		start: now, expected: sending.Expected, loaded: r.currentStage(now) == fullStage,
	}
	if o.old {
		r.report.OldInFlight++
		r.report.OldSent++
	} else {
		r.report.NewSent++
	}
	r.running[o] = struct{}{}
	return o
}

// Receive records the arrival of events, or of a complete plain response.
func (o *Observation) Receive(now clock.Millis, events int) {
	if o == nil || o.paced {
		return
	}
	o.stager.mu.Lock()
	defer o.stager.mu.Unlock()
	if o.events == 0 {
		// Failures are known as early. Counted at its end, a stream would be missing beside
		// the failures of requests that were sent later.
		o.rollout.routes.recordServed(o.route, o.old, o.loaded)
		o.firstAt = now
		o.counts(firstMeasure).done[bucket(o.first(now))]++
		// Events that arrive together with the first one have no pace.
		o.events, o.lastAt = 1, now
		return
	}
	o.events, o.lastAt = o.events+events, now
	if o.events > paceEvents {
		o.recordPace()
	}
}

// End records the end of the request. The latency of a response without a failure is
// complete; of any other it is at least its age.
func (o *Observation) End(now clock.Millis, outcome Outcome) {
	if o == nil {
		return
	}
	o.stager.mu.Lock()
	defer o.stager.mu.Unlock()
	r := o.rollout
	delete(r.running, o)
	r.urgent = r.urgent || o.loaded && !o.old
	evidence := &r.report.New
	if o.old {
		r.report.OldInFlight--
		evidence = &r.report.Old
	}
	latency := clock.Millis(0)
	if o.events > 0 {
		latency = o.firstAt - o.start
	}
	evidence.record(outcome, latency)
	if outcome == Broken {
		evidence.Ends |= endAt(o.endpoint, r.elapsed(now))
		if o.events > 0 {
			evidence.Begun++
		}
	}
	if o.events == 0 && (outcome == Served || outcome == Failed) {
		r.routes.recordServed(o.route, o.old, o.loaded)
	}
	if outcome == Failed {
		r.routes.recordFailed(o.route, o.old, o.loaded)
	}
	switch {
	case o.paced:
	case outcome != Served:
		o.addOpen(now, o.counts)
	case o.events == 0:
		// The header has arrived, and the answer is not used.
		o.counts(firstMeasure).done[bucket(o.first(now))]++
	case o.events > 1:
		o.recordPace()
	}
}

func (o *Observation) recordPace() {
	o.paced = true
	pace := 10 * int64(o.lastAt-o.firstAt) / int64(o.events-1)
	o.counts(paceMeasure).done[bucket(pace)]++
}

// first returns a value of firstMeasure.
func (o *Observation) first(now clock.Millis) int64 {
	took := int64(now - o.start)
	if o.expected > 0 {
		return 100 * took / int64(o.expected)
	}
	return took
}

// addOpen adds the time so far as a lower bound of the latency.
func (o *Observation) addOpen(now clock.Millis, counts func(measure) *latencyCounts) {
	switch {
	case o.paced:
	case o.events == 0:
		counts(firstMeasure).open[bucket(o.first(now))]++
	default:
		counts(paceMeasure).open[bucket(10*int64(now-o.firstAt)/int64(o.events))]++
	}
}

// counts returns the counts of ended requests. The lock is held.
func (o *Observation) counts(m measure) *latencyCounts {
	return o.rollout.table(o.old).counts(newLatencyKind(o.slot, m))
}

func (r *rolloutState) table(old bool) *latencyTable {
	if old {
		return &r.oldLatencies
	}
	return &r.newLatencies
}

// copyLatencies copies the latencies on this instance, including the requests
// that are in progress.
func (r *rolloutState) copyLatencies(now clock.Millis, target, old *latencyTable) {
	target.copyFrom(&r.newLatencies)
	old.copyFrom(&r.oldLatencies)
	for o := range r.running {
		t := target
		if o.old {
			t = old
		}
		o.addOpen(now, func(m measure) *latencyCounts { return t.counts(newLatencyKind(o.slot, m)) })
	}
}
