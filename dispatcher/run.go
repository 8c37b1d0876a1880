package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/recorder"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/splitter"
)

const (
	// pollInterval is the time between two looks for an endpoint that may take
	// a request that waits.
	pollInterval = 25 * clock.Millis(1)
	// holdShare is the part of the target for which a request waits for an
	// endpoint before it is refused.
	holdShare = 0.4
	// maxPlainBody is the size up to which a plain answer is read before the
	// first byte is passed on, so that a broken one can be replaced.
	maxPlainBody = 4 << 20
	// silentAfter is the silence of an endpoint with work after which it counts
	// as dead.
	silentAfter = 1200 * clock.Millis(1)
	// aliveAfter is the silence up to which an endpoint that answers others
	// counts as busy and not as dead.
	aliveAfter = 700 * clock.Millis(1)
	// plainPatience is the wait for a plain answer, in targets, after which a
	// repeatable request is tried elsewhere.
	plainPatience = 4
	// firstPatience is the wait for a first event, in targets. An endpoint
	// whose machine is gone is noticed sooner by its connection.
	firstPatience = 1
	// usualHit is the part of the shared tokens that caches hold on average.
	usualHit = 0.6
	// crashWarmup is added to the warm-up of an endpoint whose process seems to
	// have ended, for its way back into the list.
	crashWarmup = 3 * clock.Second
)

// next tells how a send ended.
type next int

const (
	finished next = iota // the client has its final answer
	again                // another endpoint may be tried
	larger               // the next model is to answer
)

// run sends the request until it has an answer.
func (x *exchange) run(ctx context.Context) {
	d := x.dispatcher
	var last error = refuser.ErrNoEndpoint.WithRetryAfter(busyRetry)
	for {
		if err := x.mayGoOn(ctx); err != nil {
			x.refuse(pickError(x, err, last))
			return
		}
		c, q, err := x.reserve(ctx)
		if err != nil {
			x.refuse(pickError(x, err, last))
			return
		}
		repeat := x.sends > 0
		if repeat && !d.options.Budget.Repeat(x.now(), q.service, d.options.Members(), x.reserveShare()) {
			d.ended(x.now(), c, true)
			x.refuse(pickError(x, refuser.ErrRetryBudget, last))
			return
		}
		if !x.counted {
			x.counted = true
			d.options.Budget.Request(x.now(), q.service)
		}
		before := x.sends
		result, err := x.send(ctx, c, q)
		if err != nil {
			last = err
		}
		if repeat && x.sends == before {
			d.options.Budget.Return(x.now(), q.service)
		}
		switch result {
		case finished:
			return
		case again:
			if x.model > 0 && !x.begun {
				// The larger model failed or had no room; the small one's answer is
				// better than none.
				x.model = 0
			}
		case larger:
			x.model = len(x.route.Models) - 1
			d.options.Meter.Retried(refuser.RetryEscalate)
		}
	}
}

// pickError prefers the error of the last send to one that only ends the
// attempts.
func pickError(x *exchange, err, last error) error {
	if x.sends > 0 && last != nil && !errors.Is(err, refuser.ErrDeadline) {
		return last
	}
	return err
}

// largerReserve is the part of the retry budget that is kept for failures: a
// request without an answer loses more than one with the small model's.
const largerReserve = 0.25

// reserveShare returns the part of the retry budget that this repeat may not
// use.
func (x *exchange) reserveShare() float64 {
	if x.model > 0 && !x.begun {
		return largerReserve
	}
	return 0
}

// mayGoOn reports why no further endpoint may be tried.
func (x *exchange) mayGoOn(ctx context.Context) error {
	switch {
	case ctx.Err() != nil || x.now() >= x.until:
		return refuser.ErrDeadline
	case x.sends >= max(1, x.route.Attempts):
		return refuser.ErrBackEndFailed
	case x.unknown && !x.route.Repeatable():
		return refuser.ErrBackEndFailed
	}
	return nil
}

// reserve finds an endpoint, waiting for a while if none may take the request.
func (x *exchange) reserve(ctx context.Context) (*choice, *search, error) {
	d := x.dispatcher
	hold := x.now() + clock.Millis(holdShare*float64(max(x.route.Target, 100)))
	for {
		if err := x.stillPermitted(); err != nil {
			return nil, nil, err
		}
		q := x.search()
		if c := d.choose(x.now(), q); c != nil {
			return c, q, nil
		}
		if ctx.Err() != nil {
			return nil, nil, refuser.ErrDeadline
		}
		if x.now() >= min(hold, x.until) {
			return nil, nil, refuser.ErrNoEndpoint.WithRetryAfter(busyRetry)
		}
		wait(ctx, pollInterval)
	}
}

// stillPermitted checks the request again under the configuration of the
// moment, just before it is sent.
func (x *exchange) stillPermitted() error {
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
	if err := x.permit(); err != nil {
		return err
	}
	x.until = x.deadline
	if t := x.route.Timeout; t > 0 {
		x.until = min(x.until, x.start+t)
	}
	for i, name := range x.route.Models {
		if name == model {
			x.model = i
			return nil
		}
	}
	x.model = 0
	return nil
}

func (x *exchange) search() *search {
	q := &search{
		service: x.route.ServiceFor(x.session), session: x.session, salt: x.id, prompt: x.prompt, tried: x.tried,
	}
	q.settled = x.table.Service(q.service)
	if n := len(x.route.Models); n > 0 {
		q.model, q.below = x.route.Models[x.model], n-1-x.model
	} else {
		q.model = x.request.Header.Get(x.dispatcher.options.Names.Model)
	}
	return q
}

// send tries one endpoint.
func (x *exchange) send(ctx context.Context, c *choice, q *search) (next, error) {
	d, e := x.dispatcher, c.endpoint
	begin := x.now()
	x.endpoint = e.ID
	end := d.options.Stager.Begin(q.service, e.Version)
	d.options.Stager.Use(begin, q.service, x.request.Header.Get(d.options.Names.Session), e.Version)
	s := &sending{exchange: x, choice: c, search: q, begin: begin}
	result, err := s.do(ctx)
	d.ended(x.now(), c, !s.failed)
	end(s.counts, s.bad, s.latency)
	if result != finished || err != nil {
		x.logSend(c, s, err)
	}
	return result, err
}

func (x *exchange) logSend(c *choice, s *sending, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	x.dispatcher.options.Recorder.Line("send",
		recorder.Text("id", x.id), recorder.Text("endpoint", c.endpoint.ID), recorder.Text("version", c.endpoint.Version),
		recorder.Number("send", x.sends), recorder.Text("outcome", s.outcome), recorder.Text("error", text),
		recorder.Number("ms", x.now()-s.begin), recorder.Number("confidence", x.conf),
		recorder.Number("ahead_ms", c.ahead))
}

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
		Alive: func() bool { return x.now()-d.lastHeard(e.ID) < aliveAfter },
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

// accept decides on the first model's answer.
func (s *sending) accept() bool {
	x, a := s.exchange, s.answer
	models := x.route.Models
	x.conf = -1
	if c, err := strconv.ParseFloat(a.Header.Get(x.dispatcher.options.Names.Confidence), 64); err == nil {
		x.conf = c
	}
	if x.model+1 >= len(models) || x.sends >= x.route.Attempts {
		return true
	}
	d := x.dispatcher
	d.mu.Lock()
	large := (x.prompt.tokens - usualHit*x.prompt.shared) * d.perToken(models[len(models)-1], 0)
	d.mu.Unlock()
	room := 1.0
	if x.conf >= 0 && x.conf < d.options.Cascader.Keep {
		room = d.larger(x.now(), s.search, large)
	}
	ahead := d.pressure(x.now(), s.search)
	target := float64(max(1, x.route.Target))
	late := float64(x.now()-x.start)+ahead+large > target
	return d.options.Cascader.Accept(cascader.Answer{
		Confidence: x.conf, Pressure: (ahead + large) / target, Late: late, Room: room,
	})
}

// stream passes events on as they arrive.
func (s *sending) stream(ctx context.Context) (next, error) {
	x, a := s.exchange, s.answer
	if !x.begun && !s.accept() {
		s.outcome, s.counts = "less_confident", true
		return larger, nil
	}
	events := splitter.New(a)
	first := true
	for {
		a.Within(s.pause(first))
		data, id, _, err := events.Next()
		now := x.now()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return s.streamEnded(first)
		default:
			return s.streamBroke(ctx, err)
		}
		x.dispatcher.heard(now, x.endpoint)
		if first {
			first = false
			s.latency = now - s.begin
			x.dispatcher.started(now, s.choice, s.search, s.latency)
			if !x.begun {
				x.firstMs = now - x.start
				x.beginStream(a)
			}
		}
		if id >= 0 {
			x.lastID = id
		}
		if !x.write(data) {
			s.outcome = "client_left"
			x.reason = "client_left"
			return finished, nil
		}
	}
}

// pause returns the longest wait for the next event; 0 means until the end.
func (s *sending) pause(first bool) clock.Millis {
	x := s.exchange
	if !x.route.Repeatable() || x.sends >= x.route.Attempts {
		return 0
	}
	if first {
		return s.streamPatience()
	}
	return max(silentAfter, x.route.EventGap) + 300
}

func (x *exchange) beginStream(a *forwarder.Answer) {
	x.begun = true
	x.status = a.Status
	x.copyHeader(a)
	x.writer.WriteHeader(a.Status)
}

func (x *exchange) write(data []byte) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

func (s *sending) streamEnded(empty bool) (next, error) {
	x := s.exchange
	s.answer.Release()
	s.counts = true
	s.outcome = "complete"
	if empty && !x.begun {
		x.beginStream(s.answer)
	}
	return finished, nil
}

func (s *sending) streamBroke(ctx context.Context, err error) (next, error) {
	x := s.exchange
	s.outcome = "stream_broke"
	if ctx.Err() != nil {
		if x.now() < x.until {
			s.outcome, x.reason = "client_left", "client_left"
			return finished, nil
		}
		return again, refuser.ErrDeadline.WithRun(refuser.RunYes)
	}
	s.failed, s.counts, s.bad = true, true, true
	x.suspect(s.choice, s.search)
	x.dispatcher.options.Meter.Retried(refuser.RetryStreamCut)
	return again, refuser.ErrStreamBroken.WithMessage("%v", err)
}
