package dispatcher

import (
	"context"
	"io"
	"syscall"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/splitter"
)

const (
	// maxCrashes is the number of endpoints that may end while one request waits
	// for its first event. It is then not sent to another one: it may be the cause.
	maxCrashes = 2
	// crashCheckTimeout bounds the time for the connection that tells an endpoint
	// that has ended from one that has only closed a connection. The port of an
	// endpoint that has ended refuses it at once.
	crashCheckTimeout = 150 * clock.Millis(1)
)

// checkQuarantine returns an error if the prompt holds a part that crashes
// endpoints.
func (x *exchange) checkQuarantine() error {
	part, left := x.dispatcher.options.Quarantine.Check(x.now(), x.prompt.parts)
	if part == "" {
		return nil
	}
	x.heldPart = part
	return refuser.ErrQuarantined.WithRetryAfter(left)
}

// recordBreak records that the connection of a send has ended with the given
// error. If that was before the first event and because the endpoint has ended, it
// is evidence against the parts of the prompt.
func (s *send) recordBreak(ctx context.Context, err error) {
	x, e := s.exchange, s.choice.endpoint
	d := x.dispatcher
	if s.latency > 0 || len(x.prompt.parts) == 0 || !connectionEnded(err) ||
		d.options.Forwarder.Reachable(ctx, e.Address, crashCheckTimeout) || ctx.Err() != nil {
		return
	}
	s.outcome = "endpoint_ended"
	x.crashes++
	d.options.Quarantine.RecordCrash(x.now(), quarantiner.Crash{
		Endpoint: matcher.Hash("endpoint", e.ID), Request: matcher.Hash("part", x.prompt.last), Parts: x.prompt.parts,
	})
	d.options.Meter.CountEvent("endpoint_ended_before_first_event")
	d.options.Logger.Log("endpoint_ended", logger.Text("id", x.id), logger.Text("endpoint", e.ID),
		logger.Text("parts", x.request.Header.Get(d.options.Names.Prefix)))
}

// connectionEnded reports whether an error states that the endpoint, or its host,
// has closed or reset the connection.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, splitter.ErrPartial, syscall.ECONNRESET, syscall.EPIPE)
}
