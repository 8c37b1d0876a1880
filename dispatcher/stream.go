package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/splitter"
	"rosemaryarch.example/rosemaryarch/stager"
)

// accept reports whether the answer of the first model is kept. It decides by
// the confidence that the model states in the response header, the load of the
// endpoints and the capacity for larger models.
func (s *send) accept() bool {
	x, response := s.exchange, s.response
	models := x.route.Models
	x.confidence = -1
	if c, err := strconv.ParseFloat(response.Header.Get(x.dispatcher.options.Names.Confidence), 64); err == nil {
		x.confidence = c
	}
	if x.model+1 >= len(models) || x.sends >= x.maxSends() {
		return true
	}
	d := x.dispatcher
	d.mu.Lock()
	largeWork := d.forecaster.Predict(models[len(models)-1], 0, x.prompt.tokens, meanCacheHit*x.prompt.shared)
	d.mu.Unlock()
	capacity := 1.0
	if x.confidence >= 0 && x.confidence < d.options.Cascader.MinConfidence {
		capacity = d.escalationShare(x.now(), s.criteria, x.priority(), largeWork)
	}
	leastWork, meanWork := d.pressure(x.now(), s.criteria)
	target := float64(max(1, x.route.Target))
	late := float64(x.now()-x.start)+leastWork+largeWork > target
	answer := cascader.Answer{
		Confidence: x.confidence, Pressure: (meanWork + largeWork) / target, Late: late, Capacity: capacity,
	}
	x.cascadeInput, x.threshold = answer, d.options.Cascader.Threshold(answer)
	return d.options.Cascader.Accept(answer)
}

// serveStream forwards events as they arrive. It discards the answer instead if
// the request is escalated to the largest model.
func (s *send) serveStream(ctx context.Context) (sendResult, error) {
	x := s.exchange
	if !x.headerSent && !s.accept() && x.escalate() {
		s.outcome, s.result = "less_confident", stager.Served
		s.recordDrop()
		return resultEscalate, nil
	}
	r := s.newRelay(ctx)
	for {
		event, err := r.next()
		for err == nil && event != nil {
			event, err = r.write(event)
		}
		if err != nil {
			return s.relayStopped(ctx, err, r)
		}
	}
}

// next reads the next events, or comments, that are to be forwarded. They are valid until
// the next call.
func (r *relay) next() ([]byte, error) {
	s := r.send
	x, response := s.exchange, s.response
	for {
		begin := x.now()
		response.SetReadTimeoutSince(s.eventTimeout(r.first), r.waited)
		event, id, count, err := r.splitter.Next()
		now := x.now()
		r.waited += now - begin
		if err == nil && response.HoldsResponse(event) {
			err = splitter.ErrStatusLine
		}
		if err != nil {
			return nil, err
		}
		if count == 0 {
			// A comment is forwarded, but is no sign that the answer advances.
			if x.headerSent {
				return event, nil
			}
			continue
		}
		r.waited = 0
		x.dispatcher.recordReceived(now, x.endpoint)
		s.observation.Receive(now, count)
		if r.first {
			r.first = false
			s.answered = true
			x.dispatcher.options.Quarantine.RecordFirstEvent(now, x.quarantined())
			x.dispatcher.recordFirstEvent(now, s.choice, s.criteria, now-s.begin)
			s.pace.begin(now)
			x.observeRoom(now)
			if !x.headerSent {
				x.firstEventMs = now - x.start
				x.writeStreamHeader(response)
			}
		} else if s.pace.add(now, count) {
			s.calibratePace(now)
		}
		if id >= 0 {
			x.lastEventID = id
		}
		return event, nil
	}
}

// relayStopped handles the end of a stream on the side of the client or of the endpoint.
func (s *send) relayStopped(ctx context.Context, err error, r *relay) (sendResult, error) {
	x := s.exchange
	switch {
	case errors.Is(err, errTooSlow):
		s.outcome, x.reason, x.status = reasonTooSlow, reasonTooSlow, 0
		s.drop(refuser.DropClientTooSlow)
		return resultDone, nil // without the end of the response
	case errors.Is(err, errNotWritten) && ctx.Err() != nil && !clientLeft(ctx):
		return s.streamBroke(ctx, err, r)
	case errors.Is(err, errNotWritten):
		s.outcome, x.reason = reasonClientLeft, reasonClientLeft
		return resultDone, nil // without the end of the response
	}
	return s.streamStopped(ctx, err, r)
}

// resumePosition returns the id of the last event that the client has, or -1 if it has
// none: of this response, or of one that broke off, if the route allows to resume it.
func (x *exchange) resumePosition() int64 {
	if x.lastEventID >= 0 || !x.route.Resumable {
		return x.lastEventID
	}
	id, err := strconv.ParseInt(x.request.Header.Get(x.dispatcher.options.Names.LastEvent), 10, 64)
	if err != nil {
		return -1
	}
	return id
}

const (
	// silentGaps is the time without an event after which a stream that has begun
	// counts as failed, in units of the longest gap of a timely one. An engine that reads
	// long prompts for other requests is silent for more than one. To read the prompt
	// again elsewhere adds work when engines are busiest, and the stream is late anyway.
	// The connection shows a lost host sooner.
	silentGaps = 2
	// silentMargin is added to that time.
	silentMargin = clock.Second
)

// eventTimeout returns the longest wait for the next event; 0 means until the
// deadline.
func (s *send) eventTimeout(first bool) clock.Millis {
	x := s.exchange
	if !x.route.Retryable() || x.sends >= x.maxSends() {
		return 0
	}
	if first {
		return s.firstEventTimeout()
	}
	return silentGaps*max(silenceTimeout, x.route.EventGap) + silentMargin
}

// writeStreamHeader sends the response header to the client.
func (x *exchange) writeStreamHeader(response *forwarder.Response) {
	x.headerSent = true
	x.mediaType = mediaType(response.Header)
	x.status = response.Status
	x.copyHeader(response)
	x.writer.WriteHeader(response.Status)
}

// mediaType returns the media type of a body without its parameters, or "" if the
// header states none.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// writeEvent sends an event to the client and reports whether that succeeded.
func (x *exchange) writeEvent(event []byte) bool {
	if _, err := x.writer.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// streamStopped handles the end of a stream with the error of its splitter.
func (s *send) streamStopped(ctx context.Context, err error, r *relay) (sendResult, error) {
	switch {
	case errors.Is(err, io.EOF):
		// Without a declared end, a close before the first event proves nothing.
		if r.first && !s.response.Delimited() && s.exchange.request.Method != http.MethodHead {
			s.recordBreak(err)
			return s.invalidResponse(refuser.DropIncomplete, "the stream closed before its first event")
		}
		return s.streamEnded(r.first)
	case errors.Is(err, splitter.ErrStatusLine):
		return s.invalidResponse(refuser.DropSecondResponse, "another response follows in the stream")
	case errors.Is(err, splitter.ErrOrder):
		return s.invalidResponse(refuser.DropOutOfOrder, "events of the stream come twice or out of order")
	default:
		return s.streamBroke(ctx, err, r)
	}
}

// streamEnded handles the regular end of a stream. empty means that no event has arrived.
func (s *send) streamEnded(empty bool) (sendResult, error) {
	x := s.exchange
	s.response.Release()
	s.outcome, s.result = "complete", stager.Served
	if empty && !x.headerSent {
		x.writeStreamHeader(s.response)
	}
	x.recordStreamDuration()
	completer.Complete(x.writer)
	return resultDone, nil
}

// streamBroke handles a stream that ended early: it continues at another
// endpoint after the last complete event, if the route allows it. Unless the client is the
// cause, the endpoint is held responsible.
func (s *send) streamBroke(ctx context.Context, err error, r *relay) (sendResult, error) {
	x := s.exchange
	s.outcome = "stream_broke"
	if ctx.Err() != nil {
		if clientLeft(ctx) {
			s.outcome = reasonClientLeft
		}
		return resultRetry, refuser.ErrDeadline.WithExecution(refuser.Executed)
	}
	s.drop(refuser.DropIncomplete)
	if r.unread >= unreadLimit {
		// The break says nothing about the endpoint, and the next one meets the same client.
		s.outcome, s.result = "cut_off_unread", stager.Ignored
	} else {
		s.failed, s.result = true, stager.Broken
		s.recordBreak(err)
		x.markSuspect(s.choice, s.criteria)
	}
	x.dispatcher.options.Meter.CountRetry(refuser.RetryStreamCut)
	return resultRetry, refuser.ErrStreamBroken.WithMessage("%v", err)
}
