package dispatcher

import (
	"context"
	"io"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/splitter"
)

const (
	// maxBreaks is the number of connections that may end while one request waits for
	// its first event, if it holds a part under which several endpoints have ended. It
	// is then not sent to another one.
	maxBreaks = 2
	// endCheckDelay is the time after which an endpoint that still accepts a
	// connection is asked once more: the port of a process that has been killed may
	// stay open until all of its memory is freed.
	endCheckDelay = 100 * clock.Millis(1)
	// dropCheckDelay is the time after a dropped answer at which its endpoint is asked.
	dropCheckDelay = 100 * clock.Millis(1)
	// endCheckTimeout bounds the time for a connection that shows whether an endpoint
	// has ended.
	endCheckTimeout = 150 * clock.Millis(1)
)

// quarantined returns the request as the quarantine knows it.
func (x *exchange) quarantined() quarantiner.Request {
	return quarantiner.Request{Content: x.content, Parts: x.prompt.parts}
}

// checkQuarantine returns an error if the request, or a part of its prompt, crashes
// endpoints, unless the request may be sent to learn whether it still does.
func (x *exchange) checkQuarantine() error {
	d := x.dispatcher
	if x.trial {
		return nil
	}
	part, left := d.options.Quarantine.Check(x.now(), x.quarantined())
	if part == "" || left == 0 && d.options.TakesTrials() {
		return nil
	}
	x.heldPart = part
	return refuser.ErrQuarantined.WithRetryAfter(max(left, shortRetry))
}

// startTrial marks a request that is sent although it, or a part of its prompt,
// crashes endpoints. It returns an error if another request has just been.
func (x *exchange) startTrial() error {
	d := x.dispatcher
	if x.trial {
		return nil
	}
	part, _ := d.options.Quarantine.Check(x.now(), x.quarantined())
	if part == "" {
		return nil
	}
	if !d.options.Quarantine.TakeTrial(x.now(), x.quarantined()) {
		return x.checkQuarantine()
	}
	x.trial = true
	d.options.Logger.LogUnlimited("part_tried", logger.Text("id", x.id), logger.Text("part", part))
	return nil
}

// maxSends returns the largest number of sends of the request. A trial that has ended
// an endpoint is not sent again.
func (x *exchange) maxSends() int {
	attempts := max(1, x.route.Attempts)
	switch {
	case !x.trial:
		return attempts
	case x.endpointEnded.Load():
		return 1
	}
	return min(attempts, 1+x.breaks) // a connection that ends alone says nothing about the part
}

// mayCrashEndpoints reports whether the request must not be sent again because the
// connections of its sends have ended before the first event.
func (x *exchange) mayCrashEndpoints() bool {
	return x.breaks >= maxBreaks && x.dispatcher.options.Quarantine.Suspicious(x.quarantined())
}

// recordBreak records that the connection of a send has ended with the given error.
// If that was before the first event and because the endpoint has ended, it is
// evidence against the request and the parts of its prompt.
func (s *send) recordBreak(err error) {
	x := s.exchange
	if s.answered || !connectionEnded(err) {
		return
	}
	x.breaks++
	at := x.now()
	x.endChecks.Go(func() { s.checkEnd(at) })
	if x.breaks >= maxBreaks || x.trial {
		x.endChecks.Wait() // mayCrashEndpoints and maxSends depend on them
	}
}

// checkEnd records the end of the endpoint, as seen at an instant, if it has ended.
func (s *send) checkEnd(at clock.Millis) {
	x, e := s.exchange, s.choice.endpoint
	d := x.dispatcher
	if !d.hasEnded(e.Address) {
		return
	}
	x.endpointEnded.Store(true)
	d.options.Quarantine.RecordCrash(at, matcher.Hash("endpoint", e.ID), x.quarantined())
	d.options.Meter.CountEvent("endpoint_ended_before_first_event")
	d.options.Logger.Log("endpoint_ended", logger.Text("id", x.id), logger.Text("endpoint", e.ID),
		logger.Text("content", strconv.FormatUint(x.content, 16)),
		logger.Text("parts", x.request.Header.Get(d.options.Names.Prefix)))
}

// recordDrop records that the answer is dropped before its first event. The endpoint may
// have begun to run the request, so if others have ended under it, this one is asked
// whether it has, too.
func (s *send) recordDrop() {
	x, d := s.exchange, s.exchange.dispatcher
	d.options.Quarantine.RecordDrop(x.now(), matcher.Hash("endpoint", s.choice.endpoint.ID), x.quarantined())
	if !d.options.Quarantine.Suspected(x.content) {
		return
	}
	x.endChecks.Go(func() {
		sleep(x.request.Context(), dropCheckDelay)
		s.checkEnd(x.now())
	})
}

// hasEnded reports whether the port of an endpoint refuses connections, now or
// after endCheckDelay.
func (d *Dispatcher) hasEnded(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), (endCheckDelay + 2*endCheckTimeout).Duration())
	defer cancel()
	for i := range 2 {
		if i > 0 {
			sleep(ctx, endCheckDelay)
		}
		err := d.options.Forwarder.Probe(ctx, address, endCheckTimeout)
		if errors.Is(err, forwarder.ErrRefused) {
			return true
		}
		if err != nil {
			return false // this process, or the network, may be the cause
		}
	}
	return false
}

// connectionEnded reports whether an error states that the endpoint, or its host,
// has closed or reset the connection.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, splitter.ErrPartial, syscall.ECONNRESET, syscall.EPIPE)
}
