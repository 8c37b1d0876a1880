package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// sending is one send to one endpoint.
type sending struct {
	exchange *exchange
	choice   *choice
	search   *search
	begin    clock.Millis
	answer   *forwarder.Answer

	outcome string
	failed  bool         // the endpoint did not do its work
	counts  bool         // the result says something of the version
	bad     bool         // and it is a failure
	latency clock.Millis // until the first event, or the whole plain answer
}

func (s *sending) do(ctx context.Context) (next, error) {
	x, e := s.exchange, s.choice.endpoint
	d := x.dispatcher
	call := forwarder.Call{
		Address: e.Address, Request: x.outgoing(e.ID, s.begin), Wait: s.patience(),
		// A kept connection may be closed just as it is used, which leaves an
		// unknown outcome.
		Fresh: !x.route.Repeatable(),
		Alive: func() bool { return x.now()-d.lastHeard(e.ID) < aliveAfter || !s.mayLeave() },
	}
	x.tried[e.ID] = true
	x.sends++
	a, err := d.options.Forwarder.Send(ctx, call)
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		x.sends--
		return s.notSent(ctx, err)
	case err != nil:
		return s.lost(ctx, err)
	}
	s.answer = a
	defer a.Close()
	d.heard(x.now(), e.ID)
	return s.answered(ctx)
}

// mayLeave reports whether a silent endpoint may be given up: only if the request
// can go on elsewhere, which the retry budget then has counted. An endpoint that
// is only slow still has the answer.
func (s *sending) mayLeave() bool {
	x, d := s.exchange, s.exchange.dispatcher
	if x.prepaid != "" {
		return true
	}
	q := x.search()
	if len(d.eligible(x.now(), q)) == 0 || !x.countRepeat(q) {
		return false
	}
	x.prepaid = q.service
	return true
}

// patience returns how long the answer's header may take; 0 means the whole
// time that is left.
func (s *sending) patience() clock.Millis {
	x := s.exchange
	if !x.route.Repeatable() || x.sends+1 >= x.route.Attempts {
		return 0
	}
	if x.route.Kind == matcher.Stream {
		return s.streamPatience()
	}
	return max(400, plainPatience*x.route.Target)
}

// streamPatience grows with the work at the endpoint.
func (s *sending) streamPatience() clock.Millis {
	work := clock.Millis(3 * (s.choice.ahead + s.choice.work))
	return max(silentAfter, firstPatience*s.exchange.route.Target) + work
}

func (s *sending) notSent(ctx context.Context, err error) (next, error) {
	x := s.exchange
	s.outcome = "not_sent"
	if ctx.Err() != nil {
		return again, refuser.ErrDeadline
	}
	s.failed = true
	x.suspect(s.choice, s.search)
	x.dispatcher.options.Meter.Retried(refuser.RetryConnect)
	return again, refuser.ErrNoEndpoint.WithMessage("%v", err).WithRetryAfter(busyRetry)
}

// lost handles a send whose answer did not arrive.
func (s *sending) lost(ctx context.Context, err error) (next, error) {
	x := s.exchange
	s.outcome = "lost"
	x.unknown = true
	if ctx.Err() != nil {
		if x.now() >= x.until {
			s.failed = true
		}
		return again, refuser.ErrDeadline.WithRun(refuser.RunUnknown)
	}
	s.failed, s.counts, s.bad = true, true, true
	x.suspect(s.choice, s.search)
	x.dispatcher.options.Meter.Retried(refuser.RetryFirstToken)
	return again, refuser.ErrBackEndFailed.WithMessage("%v", err)
}

// suspect treats an endpoint whose process may have ended as cold, until the
// list says more: it may be back under the same id before its entry changes.
func (x *exchange) suspect(c *choice, q *search) {
	if q.settled == nil || q.settled.WarmupRate <= 0 {
		return
	}
	id := c.endpoint.ID
	until := x.now() + q.settled.Warmup + crashWarmup
	x.dispatcher.chill(id, until)
}

// answered handles an answer's header.
func (s *sending) answered(ctx context.Context) (next, error) {
	x, a := s.exchange, s.answer
	n := x.dispatcher.options.Names
	notRun := a.Header.Get(n.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
	if notRun {
		return s.turnedAway()
	}
	x.unknown = true
	if a.Status >= 200 && a.Status < 300 {
		if a.Header.Get(n.Signature) == "" || a.Header.Get("Content-Encoding") != "" {
			return s.spoiled("answer without the endpoint's signature")
		}
		if x.route.Kind == matcher.Stream {
			return s.stream(ctx)
		}
	}
	if x.begun {
		// The client already has the header of the first answer.
		return s.spoiled("the endpoint did not go on with the stream")
	}
	return s.plain(ctx)
}

func (s *sending) turnedAway() (next, error) {
	x := s.exchange
	s.outcome = "turned_away"
	_, _ = io.Copy(io.Discard, io.LimitReader(s.answer, 1<<16)) // only the connection depends on it
	s.answer.Release()
	x.dispatcher.options.Meter.Retried(refuser.RetryRefused)
	s.failed = s.answer.Status != http.StatusMisdirectedRequest
	return again, refuser.ErrNoEndpoint.WithMessage("the endpoint did not take the request").WithRetryAfter(busyRetry)
}

func (s *sending) spoiled(text string) (next, error) {
	s.outcome, s.failed, s.counts, s.bad = "spoiled", true, true, true
	s.exchange.dispatcher.options.Meter.Retried(refuser.RetryWrongAnswer)
	return again, refuser.ErrBackEndFailed.WithMessage("%s", text)
}

// plain reads a whole answer and passes it on.
func (s *sending) plain(ctx context.Context) (next, error) {
	x, a := s.exchange, s.answer
	body, err := io.ReadAll(io.LimitReader(a, maxPlainBody+1))
	if err != nil || len(body) > maxPlainBody {
		if ctx.Err() != nil {
			s.outcome = "out_of_time"
			return again, refuser.ErrDeadline.WithRun(refuser.RunUnknown)
		}
		return s.spoiled("the answer's body broke off")
	}
	a.Release()
	s.latency = x.now() - s.begin
	s.counts, s.bad = true, a.Status >= http.StatusInternalServerError
	s.failed = s.bad
	if s.bad && x.route.Repeatable() && x.sends < x.route.Attempts && x.left() > x.route.Target/2 {
		s.outcome = "failed"
		return s.otherwise(body)
	}
	x.pass(a, body)
	return finished, nil
}

// otherwise tries another endpoint after a failure, if there is one and the
// budget allows it; the failure is passed on if not.
func (s *sending) otherwise(body []byte) (next, error) {
	x := s.exchange
	x.dispatcher.options.Meter.Retried(refuser.RetryRefused)
	x.fallback = func() { x.pass(s.answer, body) }
	return again, refuser.ErrBackEndFailed
}

func (x *exchange) left() clock.Millis { return x.until - x.now() }

// pass writes an endpoint's answer unchanged. A status that promises that the
// request did not run is not passed on where the endpoint does not say so.
func (x *exchange) pass(a *forwarder.Answer, body []byte) {
	if promises(a.Status) {
		x.refuse(refuser.ErrBackEndFailed.WithMessage("the endpoint failed with status %d", a.Status))
		return
	}
	x.copyHeader(a)
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.status = a.Status
	x.writer.WriteHeader(a.Status)
	_, _ = x.writer.Write(body) // the client may have left
}

func (x *exchange) copyHeader(a *forwarder.Answer) {
	h := x.writer.Header()
	closing := h.Get("Connection")
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if len(a.Header.Values("Content-Type")) == 0 {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}
