package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/capper"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/pauser"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/responsescanner"
	"rosemaryarch.example/rosemaryarch/stager"
)

// send is one attempt to have the request served by one endpoint.
type send struct {
	exchange *exchange
	choice   *choice
	criteria *criteria
	begin    clock.Millis
	response *forwarder.Response

	trace       forwarder.Trace
	dropped     []string            // reasons of responses that were dropped, for the log
	outcome     string              // for the log
	failed      bool                // the endpoint failed, for its circuit breaker
	result      stager.Outcome      // for the roll-out of the version
	pause       clock.Millis        // that the endpoint has asked for; 0: none
	answered    bool                // the first event, or the whole plain response, has arrived
	observation *stager.Observation // for the roll-out; nil without one
	pace        pace                // of the stream's events
}

// run sends the request and handles the response.
func (s *send) run(ctx context.Context) (sendResult, error) {
	x, e := s.exchange, s.choice.endpoint
	d := x.dispatcher
	call := forwarder.Call{
		Address: e.Address, Request: x.outgoingRequest(e.ID, s.begin), HeaderTimeout: s.headerTimeout(),
		// The endpoint may close an idle connection just as it is reused, which
		// leaves the outcome unknown.
		NewConnection: !x.route.Retryable(),
		Alive:         func() bool { return x.now()-d.lastReceived(e.ID) < livenessWindow || !s.mayAbandon() },
		Trace:         &s.trace,
	}
	x.tried[e.ID] = true
	x.sends++
	response, err := d.options.Forwarder.Send(ctx, call)
	for range s.trace.OtherID {
		s.drop(refuser.DropOtherID)
	}
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		x.sends--
		return s.notSent(ctx, err)
	case errors.Is(err, forwarder.ErrNoID):
		x.mayHaveExecuted = true
		return s.invalidResponse(refuser.DropWithoutID, "the response does not carry the id of the request")
	case errors.Is(err, forwarder.ErrBadStatus):
		x.mayHaveExecuted = true
		return s.invalidResponse(refuser.DropBadStatus, err.Error())
	case err != nil:
		return s.responseLost(ctx, err)
	}
	s.response = response
	defer response.Close()
	d.recordReceived(x.now(), e.ID)
	s.observeStatements()
	return s.handleResponse(ctx)
}

// observeStatements records what the endpoint states about itself in the response
// header, unless another endpoint has answered at its address.
func (s *send) observeStatements() {
	x, response := s.exchange, s.response
	if response.Status == http.StatusMisdirectedRequest {
		return
	}
	options := &x.dispatcher.options
	if response.Status == http.StatusServiceUnavailable {
		s.pause = pauser.Parse(response.Header.Get("Retry-After"))
		s.observePause()
	}
	id := s.choice.endpoint.ID
	if response.Header.Get(options.Names.Leaving) == "1" &&
		options.Catalog.MarkLeaving(x.now(), s.choice.endpoint.Endpoint) {
		options.Meter.CountEvent("endpoint_leaving")
		options.Logger.Log("endpoint_leaving", logger.Text("endpoint", id), logger.Text("id", x.id))
	}
	rate, limited := capper.Parse(response.Header.Get(options.Names.Limit))
	if options.Capper.Observe(x.now(), matcher.Hash("endpoint", id), rate, limited) {
		options.Meter.CountEvent("endpoint_limit_changed")
		options.Logger.Log("endpoint_limit", logger.Text("endpoint", id), logger.Text("limit", limitText(rate, limited)),
			logger.Text("id", x.id))
	}
}

// observePause keeps requests from the endpoint if it has asked for a pause.
func (s *send) observePause() {
	if s.pause <= 0 {
		return
	}
	x, e := s.exchange, s.choice.endpoint
	options := &x.dispatcher.options
	options.Pauser.Pause(x.now(), e.ID, e.StartedAt, s.pause)
	options.Meter.CountEvent("endpoint_pause")
	options.Logger.Log("endpoint_pause", logger.Text("endpoint", e.ID), logger.Number("ms", s.pause),
		logger.Text("id", x.id))
}

// limitText returns a stated limit for the log.
func limitText(rate float64, limited bool) string {
	if !limited {
		return "none"
	}
	return strconv.FormatFloat(rate, 'g', -1, 64)
}

// mayAbandon reports whether a send to a silent endpoint may be abandoned: only
// if the request can be sent to another endpoint within the retry budget, which
// then has counted it. An endpoint that is only slow still holds the answer.
func (s *send) mayAbandon() bool {
	x, d := s.exchange, s.exchange.dispatcher
	if x.budgetedService != "" {
		return true
	}
	if !x.canResend() {
		return false
	}
	q := x.criteria()
	if first, rest := d.eligible(x.now(), q); len(first)+len(rest) == 0 || !x.withdrawRetry(q) {
		return false
	}
	x.budgetedService = q.service
	return true
}

// headerTimeout returns how long the response header may take; 0 means until the
// deadline.
func (s *send) headerTimeout() clock.Millis {
	x := s.exchange
	if !x.route.Retryable() || x.sends+1 >= x.maxSends() {
		return 0
	}
	if x.route.Kind == matcher.Stream {
		return s.firstEventTimeout()
	}
	return max(400, plainTimeoutTargets*x.route.Target)
}

// firstEventTimeout returns how long the first event may take. It grows with the
// work queued at the endpoint.
func (s *send) firstEventTimeout() clock.Millis {
	work := clock.Millis(3 * (s.choice.ahead + s.choice.factor*s.choice.work))
	return max(silenceTimeout, firstEventTimeoutTargets*s.exchange.route.Target) + work
}

// notSent handles a send of which no byte left this process.
func (s *send) notSent(ctx context.Context, err error) (sendResult, error) {
	x := s.exchange
	s.outcome = "not_sent"
	if ctx.Err() != nil {
		return resultRetry, refuser.ErrDeadline
	}
	s.failed = true
	x.markSuspect(s.choice, s.criteria)
	x.dispatcher.options.Meter.CountRetry(refuser.RetryConnect)
	return resultRetry, refuser.ErrNoEndpoint.WithMessage("%v", err).WithRetryAfter(busyRetry)
}

// responseLost handles a send whose response did not arrive.
func (s *send) responseLost(ctx context.Context, err error) (sendResult, error) {
	x := s.exchange
	s.outcome = "lost"
	x.mayHaveExecuted = true
	if ctx.Err() != nil {
		if !clientLeft(ctx) {
			s.failed = true
		}
		return resultRetry, refuser.ErrDeadline.WithExecution(refuser.ExecutionUnknown)
	}
	s.failed, s.result = true, stager.Broken
	s.recordBreak(err)
	x.markSuspect(s.choice, s.criteria)
	x.dispatcher.options.Meter.CountRetry(refuser.RetryFirstTokenLate)
	return resultRetry, refuser.ErrBackEndFailed.WithMessage("%v", err)
}

// markSuspect treats an endpoint whose process may have ended as cold until the
// list is up to date: it may have restarted under the same id before its entry
// changes.
func (x *exchange) markSuspect(c *choice, q *criteria) {
	if q.config == nil || q.config.WarmupRate <= 0 {
		return
	}
	id := c.endpoint.ID
	until := x.now() + q.config.Warmup + crashColdMargin
	x.dispatcher.markCold(id, until)
}

// handleResponse handles a response header.
func (s *send) handleResponse(ctx context.Context) (sendResult, error) {
	x, response := s.exchange, s.response
	n := x.dispatcher.options.Names
	notExecuted := response.Header.Get(n.NotExecuted) != "" || response.Status == http.StatusMisdirectedRequest
	if notExecuted {
		return s.refusedByEndpoint()
	}
	x.mayHaveExecuted = true
	if response.Status >= 200 && response.Status < 300 {
		if response.Header.Get(n.Signature) == "" {
			return s.invalidResponse(refuser.DropUnsigned, "the response is unsigned")
		}
		if response.Header.Get("Content-Encoding") != "" {
			return s.invalidResponse(refuser.DropEncoded, "the response is encoded")
		}
		// One without an id may be a late copy of the response to an earlier request.
		if response.Header.Get(n.ID) != x.id {
			return s.invalidResponse(refuser.DropWithoutID, "the response does not carry the id of the request")
		}
		if x.route.Kind == matcher.Stream && (!x.headerSent || mediaType(response.Header) == x.mediaType) {
			return s.serveStream(ctx)
		}
	}
	if x.headerSent {
		// The client has received the header of an earlier response.
		return s.invalidResponse(refuser.DropNotResumed, "the endpoint did not resume the stream")
	}
	return s.servePlain(ctx)
}

// refusedByEndpoint handles a response that states that the request was not
// executed.
func (s *send) refusedByEndpoint() (sendResult, error) {
	x := s.exchange
	s.outcome = "turned_away"
	_, _ = io.Copy(io.Discard, io.LimitReader(s.response, 1<<16)) // lets the connection be reused
	s.response.Release()
	x.dispatcher.options.Meter.CountRetry(refuser.RetryRefused)
	s.failed = s.response.Status != http.StatusMisdirectedRequest
	return resultRetry, refuser.ErrNoEndpoint.WithMessage("the endpoint refused the request").
		WithRetryAfter(max(busyRetry, x.limitRetry(s.pause)))
}

// drop records that a response was dropped, in the metrics and for the log.
func (s *send) drop(reason refuser.DropReason) {
	s.dropped = append(s.dropped, string(reason))
	s.exchange.dispatcher.options.Meter.CountDrop(reason)
}

// invalidResponse handles a response that cannot be forwarded.
func (s *send) invalidResponse(reason refuser.DropReason, message string) (sendResult, error) {
	s.drop(reason)
	s.outcome, s.failed, s.result = "spoiled", true, stager.Failed
	if reason == refuser.DropIncomplete {
		s.result = stager.Broken
	}
	s.exchange.dispatcher.options.Meter.CountRetry(refuser.RetryMismatchedResponse)
	return resultRetry, refuser.ErrBackEndFailed.WithMessage("%s", message)
}

// servePlain reads a complete response and forwards it. A retryable request whose
// response is a server error is sent elsewhere if attempts and time are left.
func (s *send) servePlain(ctx context.Context) (sendResult, error) {
	x, response := s.exchange, s.response
	body, complete, err := readBody(response)
	if err != nil {
		if ctx.Err() != nil {
			s.outcome = "out_of_time"
			return resultRetry, refuser.ErrDeadline.WithExecution(refuser.ExecutionUnknown)
		}
		s.recordBreak(err)
		return s.invalidResponse(refuser.DropIncomplete, "the response body is incomplete")
	}
	if !complete {
		return s.forwardLong(body)
	}
	if response.HoldsResponse(body) {
		return s.invalidResponse(refuser.DropSecondResponse, "the body holds another response")
	}
	response.Release()
	s.recordStatus()
	if impliesNotExecuted(response.Status) {
		s.drop(refuser.DropFalseRefusal)
	}
	if response.Status < http.StatusMultipleChoices && len(body) > 0 {
		x.dispatcher.options.Quarantine.RecordFirstEvent(x.now(), x.quarantined())
	}
	if !s.failed {
		s.observation.Receive(x.now(), 1)
		s.calibratePlain()
		x.observeRoom(x.now())
	}
	if s.failed && x.route.Retryable() && x.sends < x.maxSends() && x.remaining() > x.route.Target/2 {
		s.outcome = "failed"
		return s.retryElsewhere(body)
	}
	s.outcome = "complete"
	x.forwardResponse(response, body)
	return resultDone, nil
}

// readBody reads a body up to its end, or to maxBufferedBody, or until it may hold no more
// of it, and reports whether it is complete.
func readBody(response *forwarder.Response) (body []byte, complete bool, err error) {
	for len(body) <= maxBufferedBody {
		if len(body) == cap(body) {
			size := min(2*cap(body)+firstBodyBytes, maxBufferedBody+1)
			if !response.Hold(size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// recordStatus records the status of a complete response as the result of the send.
func (s *send) recordStatus() {
	s.failed, s.result = false, stager.Served
	if s.response.Status >= http.StatusInternalServerError {
		s.failed, s.result = true, stager.Failed
	}
}

// forwardLong forwards a response with a long body, of which begin is the start,
// as it arrives. If the body breaks off, so does the client's response.
func (s *send) forwardLong(begin []byte) (sendResult, error) {
	x, response := s.exchange, s.response
	if impliesNotExecuted(response.Status) {
		return s.invalidResponse(refuser.DropFalseRefusal, "the endpoint failed with a status that it may not use")
	}
	limit := int64(maxUndeclaredBody)
	x.copyHeader(response)
	if response.Length >= 0 {
		limit = response.Length
		x.writer.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.headerSent, x.status = true, response.Status
	x.writer.WriteHeader(response.Status)
	response.SetReadTimeout(0) // it cannot be replaced any more
	n, err := io.Copy(x.writer, io.LimitReader(response.ReaderAfter(begin), limit+1))
	if err != nil || n > limit {
		x.status = 0
		s.outcome, s.failed, s.result = "body_broke", true, stager.Broken
		if clientLeft(x.request.Context()) {
			s.outcome, s.failed, s.result = reasonClientLeft, false, stager.Ignored
		} else {
			s.drop(dropReason(err))
		}
		return resultDone, nil // the response stays incomplete
	}
	s.recordStatus()
	if !s.failed {
		s.observation.Receive(x.now(), 1)
	}
	response.Release()
	completer.Complete(x.writer)
	return resultDone, nil
}

// dropReason returns the reason why the rest of a body is not forwarded.
func dropReason(err error) refuser.DropReason {
	if errors.Is(err, responsescanner.ErrSecondResponse) {
		return refuser.DropSecondResponse
	}
	return refuser.DropIncomplete
}

// retryElsewhere tries another endpoint after a failed response, which is
// forwarded if there is no other endpoint or the retry budget is exhausted.
func (s *send) retryElsewhere(body []byte) (sendResult, error) {
	x := s.exchange
	x.dispatcher.options.Meter.CountRetry(refuser.RetryRefused)
	x.fallback = func() { x.forwardResponse(s.response, body) }
	return resultRetry, refuser.ErrBackEndFailed
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() clock.Millis { return x.deadline - x.now() }

// forwardResponse writes an endpoint's response unchanged, unless its status
// means "not executed": the endpoint has not confirmed that with its own header.
func (x *exchange) forwardResponse(response *forwarder.Response, body []byte) {
	if impliesNotExecuted(response.Status) {
		x.refuse(refuser.ErrBackEndFailed.WithMessage("the endpoint failed with status %d", response.Status))
		return
	}
	x.copyHeader(response)
	if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.status = response.Status
	x.writer.WriteHeader(response.Status)
	x.writeBody(body)
}

// copyHeader copies the end-to-end headers of a response.
func (x *exchange) copyHeader(response *forwarder.Response) {
	h := x.writer.Header()
	connection := h.Get("Connection")
	for name, values := range response.Header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if len(response.Header.Values("Content-Type")) == 0 {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
}
