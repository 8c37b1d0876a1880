package dispatcher

import (
	"strconv"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// defaultDeadline applies if neither the client nor the route sets a limit.
	defaultDeadline = 60 * clock.Second
	// responseMargin is subtracted from the deadline sent to endpoints, so that
	// the response arrives before the client gives up.
	responseMargin = 10 * clock.Millis(1)
	// minTargetsLeft is the time before the end of the process, in units of the route's
	// target latency, from which a request is refused: another instance has more time.
	minTargetsLeft = 4
)

// setDeadlines derives the deadlines from the client's header and the route.
func (x *exchange) setDeadlines() {
	wait := defaultDeadline
	if ms, err := strconv.ParseFloat(x.request.Header.Get(x.dispatcher.options.Names.Deadline), 64); err == nil && ms > 0 {
		wait = clock.Millis(ms)
	}
	x.clientDeadline = x.start + wait
	x.limitDeadline()
}

// limitDeadline sets the time by which the final response must be complete. A plain
// request that is taken while the process stops must have its response before the end.
// A stream may continue elsewhere.
func (x *exchange) limitDeadline() {
	x.deadline = x.clientDeadline
	if t := x.route.Timeout; t > 0 {
		x.deadline = min(x.deadline, x.start+t)
	}
	if s := x.dispatcher.stop.Load(); s != nil && x.route.Kind != matcher.Stream {
		x.deadline = min(x.deadline, s.responsesBy)
	}
}

// stopSchedule holds the times of a planned stop of the process.
type stopSchedule struct {
	streamsUntil clock.Millis // time from which streams are refused
	responsesBy  clock.Millis // time by which other responses must be complete
}

// refuses reports whether a request that is admitted now is to be refused, because the
// process may end before its response is complete. A stream is expected to last for the
// given time; 0 if that is unknown.
func (s *stopSchedule) refuses(now clock.Millis, r *matcher.Route, expected clock.Millis) bool {
	if r.Kind == matcher.Stream {
		return now >= s.streamsUntil || now+expected > s.responsesBy
	}
	return s.responsesBy-now < minTargetsLeft*r.Target
}

// streamDuration returns a time that few streams of the route exceed, or 0 if it is unknown or
// if no other instance can serve the stream: the beginning of a stream is better than none.
func (x *exchange) streamDuration() clock.Millis {
	d := x.dispatcher
	if x.route.Kind != matcher.Stream || !d.options.PeerReady() {
		return 0
	}
	return d.durations.Upper(x.now(), x.route.Name)
}

// recordStreamDuration records the duration of a complete stream. That of one which the client
// has resumed is no sample.
func (x *exchange) recordStreamDuration() {
	if x.request.Header.Get(x.dispatcher.options.Names.LastEvent) == "" {
		x.dispatcher.durations.Record(x.now(), x.route.Name, x.now()-x.start)
	}
}
