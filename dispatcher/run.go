package dispatcher

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/recorder"
	"rosemaryarch.example/rosemaryarch/refuser"
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
	larger               // the largest model is to answer at the reserved endpoint
)

// run sends the request until it has an answer.
func (x *exchange) run(ctx context.Context) {
	d := x.dispatcher
	defer x.dropReserved()
	var last error
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
		if repeat && !x.takeRepeat(q) {
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

// leastReserve and mostReserve are the parts of the retry budget that are kept
// for failures, from larger models for the least confident answers and for those
// just below the threshold: a request without an answer loses more than one with
// the small model's, and a small model that is sure to be wrong has nothing to
// lose.
const (
	leastReserve = 0.1
	mostReserve  = 0.35
)

// reserveShare returns the part of the retry budget that this repeat may not
// use.
func (x *exchange) reserveShare() float64 {
	if x.model == 0 || x.begun {
		return 0
	}
	sure := min(1, max(0, x.conf/x.dispatcher.options.Cascader.Keep))
	return leastReserve + (mostReserve-leastReserve)*sure
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

// takeRepeat reports whether the next send is within the retry budget, which may
// have counted it already.
func (x *exchange) takeRepeat(q *search) bool {
	if x.reserved != nil || x.prepaid != "" {
		x.reserved, x.prepaid = nil, ""
		return true
	}
	return x.countRepeat(q)
}

// countRepeat reports whether the retry budget allows one more send of the
// request, and counts it if so.
func (x *exchange) countRepeat(q *search) bool {
	d := x.dispatcher
	return d.options.Budget.Repeat(
		x.now(), q.service, d.options.Members(), x.reserveShare(), d.options.PeerRepeats(q.service),
	)
}

// reservation is an endpoint for the largest model, with the repeat counted by
// the retry budget.
type reservation struct {
	choice *choice
	search *search
	table  *matcher.Table // configuration for which it holds
}

// escalate makes the largest model answer. It reports false, and changes
// nothing, if no endpoint may take it or the retry budget is spent: the answer
// that is there must not be dropped for one that cannot be had.
func (x *exchange) escalate() bool {
	d, model := x.dispatcher, x.model
	x.model = len(x.route.Models) - 1
	q := x.search()
	if x.countRepeat(q) {
		if c := d.choose(x.now(), q); c != nil {
			x.reserved = &reservation{choice: c, search: q, table: x.table}
			return true
		}
		d.options.Budget.Return(x.now(), q.service)
	}
	x.model = model
	return false
}

// takeReserved returns the endpoint that escalate reserved, nil if there is
// none or the configuration has changed since.
func (x *exchange) takeReserved() *reservation {
	if x.reserved != nil && x.reserved.table != x.table {
		x.dropReserved()
	}
	return x.reserved
}

// dropReserved gives back what escalate reserved, and what the retry budget
// counted, and nothing has used.
func (x *exchange) dropReserved() {
	if x.prepaid != "" {
		x.dispatcher.options.Budget.Return(x.now(), x.prepaid)
		x.prepaid = ""
	}
	r := x.reserved
	if r == nil {
		return
	}
	x.reserved = nil
	x.dispatcher.ended(x.now(), r.choice, true)
	x.dispatcher.options.Budget.Return(x.now(), r.search.service)
}

// reserve finds an endpoint, waiting for a while if none may take the request.
func (x *exchange) reserve(ctx context.Context) (*choice, *search, error) {
	d := x.dispatcher
	hold := x.now() + clock.Millis(holdShare*float64(max(x.route.Target, 100)))
	for {
		if err := x.stillPermitted(); err != nil {
			return nil, nil, err
		}
		if r := x.takeReserved(); r != nil {
			return r.choice, r.search, nil
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
		service: x.route.ServiceFor(x.session), session: x.session, salt: x.id, prompt: x.prompt, body: len(x.body),
		tried: x.tried,
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
