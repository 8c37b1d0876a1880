package dispatcher

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/stager"
)

const (
	// pollInterval is the time between two attempts to reserve an endpoint for a
	// waiting request.
	pollInterval = 25 * clock.Millis(1)
	// maxWaitShare is the share of the target latency for which a request waits
	// for an endpoint before it is refused.
	maxWaitShare = 0.4
	// maxBufferedBody is the largest body in bytes of a plain response that is read
	// completely before it is forwarded, so that an incomplete one can be replaced.
	// A longer one is forwarded as it arrives: hundreds may be in progress in a
	// process with little memory.
	maxBufferedBody = 128 << 10
	firstBodyBytes  = 1 << 10 // size of the first buffer for a body
	// maxUndeclaredBody is the largest body in bytes whose length the endpoint does
	// not declare.
	maxUndeclaredBody = 16 << 20
	// silenceTimeout is the time without bytes after which an endpoint with work
	// counts as failed.
	silenceTimeout = 1200 * clock.Millis(1)
	// livenessWindow is the time after the last bytes to any request during which
	// an endpoint counts as busy rather than failed.
	livenessWindow = 700 * clock.Millis(1)
	// plainTimeoutTargets is the time-out of a plain response, in units of the
	// route's target latency, after which a retryable request is sent elsewhere.
	plainTimeoutTargets = 4
	// firstEventTimeoutTargets is the time-out of a first event in the same unit.
	// A lost host is detected earlier, by its connection.
	firstEventTimeoutTargets = 1
	// meanCacheHit is the mean share of the shared prompt tokens that caches
	// hold.
	meanCacheHit = 0.6
	// crashColdMargin is added to the warm-up of an endpoint whose process seems
	// to have ended, for the time until it is listed again.
	crashColdMargin = 3 * clock.Second
)

// sendResult tells how to continue after a send.
type sendResult int

const (
	resultDone     sendResult = iota // the client has its final response
	resultRetry                      // another endpoint may be tried
	resultEscalate                   // the largest model is to answer, at the reserved endpoint
)

// run sends the request until the client has a response. Every send after the
// first, whether a retry after a failure or an escalation to a larger model,
// counts against the retry budget.
func (x *exchange) run(ctx context.Context) {
	d := x.dispatcher
	defer x.releaseEscalation()
	var sendErr error
	for {
		if err := x.checkSend(ctx); err != nil {
			x.refuse(finalError(x, err, sendErr))
			return
		}
		c, q, err := x.reserve(ctx)
		if err != nil {
			x.refuse(finalError(x, err, sendErr))
			return
		}
		isRetry := x.sends > 0
		if isRetry && !x.consumeRetry(q) {
			d.cancel(c)
			x.refuse(finalError(x, refuser.ErrRetryBudget, sendErr))
			return
		}
		if !x.budgetCounted {
			x.budgetCounted = true
			d.options.Budget.RecordRequest(x.now(), q.service)
		}
		if err := x.startTrial(); err != nil {
			d.cancel(c)
			x.refuse(finalError(x, err, sendErr))
			return
		}
		sendsBefore := x.sends
		result, err := x.send(ctx, c, q)
		if err != nil {
			sendErr = err
		}
		if isRetry && x.sends == sendsBefore {
			d.options.Budget.Refund(x.now(), q.service)
		}
		switch result {
		case resultDone:
			return
		case resultRetry:
			if x.model > 0 && !x.headerSent {
				// The larger model failed or had no capacity. The small model's
				// answer is better than none.
				x.model = 0
			}
		case resultEscalate:
			d.options.Meter.CountRetry(refuser.RetryEscalate)
		}
	}
}

// finalError returns the error to report: that of the last send rather than one
// that only says why there are no further sends. A missed deadline takes
// precedence.
func finalError(x *exchange, stopErr, sendErr error) error {
	if x.mayHaveExecuted && errors.Is(stopErr, refuser.ErrDeadline) {
		return refuser.ErrDeadline.WithMessage("the deadline passed after the request was sent")
	}
	if x.sends > 0 && sendErr != nil && !errors.Is(stopErr, refuser.ErrDeadline) {
		return sendErr
	}
	return stopErr
}

// minRetryReserve and maxRetryReserve are the shares of the retry budget that
// escalations leave for retries after failures: the smaller for the least
// confident answers, the larger for those just below the threshold. No response
// at all is worse than the small model's answer, but an answer that is almost
// certainly wrong is worth no more than none.
const (
	minRetryReserve = 0.1
	maxRetryReserve = 0.35
)

// retryReserve returns the share of the retry budget that the next send must
// leave unused, 0 to 1. Only escalations leave any.
func (x *exchange) retryReserve() float64 {
	if x.model == 0 || x.headerSent {
		return 0
	}
	certainty := min(1, max(0, x.confidence/x.dispatcher.options.Cascader.MinConfidence))
	return minRetryReserve + (maxRetryReserve-minRetryReserve)*certainty
}

// checkSend returns the reason why the request must not be sent, or not again, or nil.
func (x *exchange) checkSend(ctx context.Context) error {
	if err := x.checkRetry(ctx); err != nil {
		return err
	}
	return x.admitRoom()
}

// checkRetry returns the reason why no further endpoint may be tried, or nil.
func (x *exchange) checkRetry(ctx context.Context) error {
	switch {
	case ctx.Err() != nil || x.now() >= x.deadline:
		return refuser.ErrDeadline
	case x.sends >= x.maxSends():
		return refuser.ErrBackEndFailed
	case x.mayHaveExecuted && !x.route.Retryable():
		return refuser.ErrBackEndFailed
	case x.mayCrashEndpoints():
		return refuser.ErrBackEndFailed.WithMessage("%d connections ended before the first event", x.breaks)
	}
	return nil
}

// consumeRetry reports whether the next send is within the retry budget, which
// may have counted it already.
func (x *exchange) consumeRetry(q *criteria) bool {
	if x.escalation != nil || x.budgetedService != "" {
		x.escalation, x.budgetedService = nil, ""
		return true
	}
	return x.withdrawRetry(q)
}

// withdrawRetry reports whether the retry budget allows one more send of the
// request, and counts it if so.
func (x *exchange) withdrawRetry(q *criteria) bool {
	d := x.dispatcher
	return d.options.Budget.TryWithdraw(
		x.now(), q.service, d.options.Members(), x.retryReserve(), d.options.PeerRetries(q.service),
	)
}

// escalation is an endpoint reserved for the largest model. The retry budget has
// counted the send.
type escalation struct {
	choice   *choice
	criteria *criteria
	table    *matcher.Table // configuration under which it is valid
}

// escalate reserves an endpoint for the largest model. It returns false, and
// leaves everything as it was, if no endpoint may serve the request or the retry
// budget is exhausted: the answer at hand must not be discarded for one that
// cannot be obtained.
func (x *exchange) escalate() bool {
	d, model := x.dispatcher, x.model
	x.model = len(x.route.Models) - 1
	q := x.criteria()
	if x.withdrawRetry(q) {
		if c := d.choose(x.now(), q); c != nil {
			x.escalation = &escalation{choice: c, criteria: q, table: x.table}
			return true
		}
		d.options.Budget.Refund(x.now(), q.service)
	}
	x.model = model
	return false
}

// validEscalation returns the reservation made by escalate, or nil if there is
// none or the configuration has changed since then.
func (x *exchange) validEscalation() *escalation {
	if x.escalation != nil && x.escalation.table != x.table {
		x.releaseEscalation()
	}
	return x.escalation
}

// releaseEscalation releases an unused reservation and returns unused retries to
// the budget.
func (x *exchange) releaseEscalation() {
	if x.budgetedService != "" {
		x.dispatcher.options.Budget.Refund(x.now(), x.budgetedService)
		x.budgetedService = ""
	}
	r := x.escalation
	if r == nil {
		return
	}
	x.escalation = nil
	x.dispatcher.cancel(r.choice)
	x.dispatcher.options.Budget.Refund(x.now(), r.criteria.service)
}

// reserve reserves an endpoint. If none may serve the request, it waits for up to
// maxWaitShare of the target latency and then returns refuser.ErrNoEndpoint.
func (x *exchange) reserve(ctx context.Context) (*choice, *criteria, error) {
	d := x.dispatcher
	giveUp := x.now() + clock.Millis(maxWaitShare*float64(max(x.route.Target, 100)))
	for {
		if err := x.reauthorise(); err != nil {
			return nil, nil, err
		}
		if err := x.checkQuarantine(); err != nil {
			return nil, nil, err
		}
		if r := x.validEscalation(); r != nil {
			return r.choice, r.criteria, nil
		}
		q := x.criteria()
		if c := d.choose(x.now(), q); c != nil {
			return c, q, nil
		}
		if ctx.Err() != nil {
			return nil, nil, refuser.ErrDeadline
		}
		until := min(giveUp, x.deadline)
		if x.now() >= until {
			return nil, nil, refuser.ErrNoEndpoint.WithRetryAfter(busyRetry)
		}
		if q.eligible == 0 && x.now()+q.wait > until {
			return nil, nil, refuser.ErrNoEndpoint.WithMessage("no endpoint accepts a request for %d ms", q.wait).
				WithRetryAfter(x.limitRetry(q.wait))
		}
		sleep(ctx, pollInterval)
	}
}

// limitRetry returns the delay after which a client may find an endpoint that
// accepts requests from this instance only after wait. Other instances have
// limits of their own.
func (x *exchange) limitRetry(wait clock.Millis) clock.Millis {
	if x.dispatcher.options.PeerReady() {
		return min(wait, busyRetry)
	}
	return wait
}

// reauthorise checks the request against the current configuration again, just
// before it is sent. If the configuration has changed, it also updates the
// deadline and the index of the model.
func (x *exchange) reauthorise() error {
	d := x.dispatcher
	if !x.route.Public && x.now()-d.options.Confirmed() > d.options.Bounds().KeyAge {
		return x.notReady()
	}
	if d.options.Table() == x.table {
		return nil
	}
	model := ""
	if len(x.route.Models) > 0 {
		model = x.route.Models[x.model]
	}
	if err := x.authorise(); err != nil {
		return err
	}
	x.limitDeadline()
	for i, name := range x.route.Models {
		if name == model {
			x.model = i
			return nil
		}
	}
	x.model = 0
	return nil
}

// canResend reports whether the current configuration, its confirmation and the
// quarantine allow another send of the request. A client whose key has been revoked may
// still receive the rest of an answer that began before.
func (x *exchange) canResend() bool {
	d := x.dispatcher
	t := d.options.Table()
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route := t.Match(x.request.Host, path)
	if route == nil || !route.Retryable() {
		return false
	}
	if !route.Public {
		if _, ok := t.Workspace(x.key); !ok || x.now()-d.options.Confirmed() > d.options.Bounds().KeyAge {
			return false
		}
	}
	part, _ := d.options.Quarantine.Check(x.now(), x.quarantined())
	return (x.trial || part == "") && !x.mayCrashEndpoints()
}

// criteria returns the criteria of the next send.
func (x *exchange) criteria() *criteria {
	q := &criteria{
		service: x.route.ServiceFor(x.session), session: x.session, salt: x.id, prompt: x.prompt, bodyBytes: len(x.body),
		eventGap: x.route.EventGap, tried: x.tried,
	}
	q.config = x.table.Service(q.service)
	if n := len(x.route.Models); n > 0 {
		q.model, q.largerModels = x.route.Models[x.model], n-1-x.model
	} else {
		q.model = x.request.Header.Get(x.dispatcher.options.Names.Model)
	}
	return q
}

// send tries one endpoint and reports the result to the roll-out of its version
// and to its circuit breaker.
func (x *exchange) send(ctx context.Context, c *choice, q *criteria) (sendResult, error) {
	d, e := x.dispatcher, c.endpoint
	begin := x.now()
	x.endpoint = e.ID
	observation := d.options.Stager.Begin(begin, stager.Sending{
		Service: q.service, Version: e.Version, Endpoint: e.ID, Expected: c.predicted(q),
		Route: x.route.Name, Kind: x.route.Name + "/" + q.model,
	})
	d.options.Stager.RecordUse(begin, q.service, x.request.Header.Get(d.options.Names.Session), e.Version)
	s := &send{exchange: x, choice: c, criteria: q, begin: begin, observation: observation}
	result, err := s.run(ctx)
	d.release(x.now(), c, !s.failed)
	if s.failed {
		d.options.Calibrator.RecordFailure(x.now(), d.calibrated(c.endpoint))
	}
	observation.End(x.now(), s.result)
	if result != resultDone || err != nil || len(s.dropped) > 0 {
		x.logSend(c, s, err)
	}
	return result, err
}

// logSend writes the log record of a send that did not complete the request, or on
// which a response was dropped.
func (x *exchange) logSend(c *choice, s *send, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	connection := "new"
	if s.trace.Reused {
		connection = "reused"
	}
	x.dispatcher.options.Logger.Log("send",
		logger.Text("id", x.id), logger.Text("endpoint", c.endpoint.ID), logger.Text("connection", connection),
		logger.Text("version", c.endpoint.Version), logger.Number("send", x.sends),
		logger.Text("outcome", s.outcome), logger.Text("dropped", strings.Join(s.dropped, ",")), logger.Text("error", text),
		logger.Number("ms", x.now()-s.begin), logger.Number("confidence", x.confidence),
		logger.Number("ahead_ms", c.ahead))
}
