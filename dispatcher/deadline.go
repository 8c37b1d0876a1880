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
// process may end before its response is complete. A nil schedule refuses none.
func (s *stopSchedule) refuses(now clock.Millis, r *matcher.Route) bool {
	switch {
	case s == nil:
		return false
	case r.Kind == matcher.Stream:
		return now >= s.streamsUntil
	}
	return s.responsesBy-now < minTargetsLeft*r.Target
}
