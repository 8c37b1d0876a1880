package dispatcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/recorder"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// exchange is one request on its way.
type exchange struct {
	dispatcher *Dispatcher
	writer     http.ResponseWriter
	request    *http.Request
	start      clock.Millis

	table     *matcher.Table
	route     *matcher.Route
	workspace matcher.Workspace
	key       string
	id        string
	session   string
	body      []byte
	deadline  clock.Millis // instant at which the client gives up
	until     clock.Millis // instant of the final answer
	prompt    prompt
	surge     bool // the workspace asks for far more than usual

	counted  bool // by the retry budget
	sends    int  // endpoints that may have got the request
	unknown  bool // an endpoint may have run it
	tried    map[string]bool
	begun    bool // the client has got the header
	lastID   int64
	model    int // index into the route's models
	reserved *reservation
	prepaid  string // service for which the retry budget has counted the next send; empty: none
	endpoint string
	status   int
	reason   string
	firstMs  clock.Millis
	conf     float64
	// weighed is what the decision on the first model's answer went by, and
	// threshold the confidence that it asked for.
	weighed   cascader.Answer
	threshold float64
	fallback  func() // passes on a failure for which no better answer came
}

func (x *exchange) now() clock.Millis { return x.dispatcher.options.Clock.Now() }

// serve answers the request and records the outcome.
func (x *exchange) serve() {
	defer x.record()
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), (x.until - x.now()).Duration())
	defer cancel()
	x.request = x.request.WithContext(ctx)
	x.run(ctx)
}

// admit finds what the configuration says of the request and reads its body.
func (x *exchange) admit() error {
	d, r := x.dispatcher, x.request
	n := d.options.Names
	x.id = r.Header.Get(n.ID)
	x.session = r.Header.Get(n.Session)
	if x.session == "" {
		x.session = x.id
	}
	x.lastID = -1
	x.tried = make(map[string]bool)
	x.key = r.Header.Get(n.Key)
	x.awaitStart()
	if err := x.permit(); err != nil {
		return err
	}
	limits := x.table.Limits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return refuser.ErrHeaderTooLarge.WithMessage("the header exceeds %d bytes", limits.HeaderBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, r.Body, max(limits.BodyBytes, 1<<10)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refuser.ErrBodyTooLarge
	case err != nil:
		return refuser.ErrInvalidBody.WithMessage("the body broke off")
	}
	x.body = body
	x.deadlines()
	x.prompt = readPrompt(r.Header, n)
	if x.route.Kind == matcher.Stream {
		x.surge = d.surge(x.now(), x.workspace.Name, x.prompt.tokens)
	}
	if d.leaving.Load() && x.route.Kind == matcher.Stream {
		return refuser.ErrShuttingDown.WithRetryAfter(shortRetry)
	}
	return nil
}

// awaitStart holds a request that reaches a process which has just started: it
// reads its configuration within a fraction of a second, and a client that is
// refused may not come back.
func (x *exchange) awaitStart() {
	d := x.dispatcher
	until := x.start + startHold
	for d.options.Table() == nil && x.now() < until && x.request.Context().Err() == nil {
		wait(x.request.Context(), pollInterval)
	}
}

// notReady refuses a request that another instance, or this one later, may
// serve.
func (x *exchange) notReady() error {
	if x.dispatcher.options.OthersReady() {
		return refuser.ErrNotReady.WithRetryAfter(shortRetry)
	}
	return refuser.ErrNotReady.WithRetryAfter(outageRetry)
}

// permit checks route and key under the present configuration. Without a
// recent confirmation it refuses nothing for good, since the missing route or
// key may have been added meanwhile.
func (x *exchange) permit() error {
	d, r := x.dispatcher, x.request
	x.table = d.options.Table()
	if x.table == nil {
		return x.notReady()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = x.table.Match(r.Host, path)
	age := x.now() - d.options.Confirmed()
	if x.route == nil {
		if age > finalAge {
			return x.notReady()
		}
		return refuser.ErrUnknownPath
	}
	if x.route.Public {
		return nil
	}
	if age > d.options.Bounds().KeyAge {
		return x.notReady()
	}
	w, ok := x.table.Workspace(x.key)
	switch {
	case ok:
		x.workspace = w
		return nil
	case age > finalAge:
		return x.notReady()
	case x.key == "":
		return refuser.ErrMissingKey
	}
	return refuser.ErrUnknownKey
}

const (
	// finalAge is the age of the confirmation up to which a missing route or
	// key is reported as such.
	finalAge = 2500 * clock.Millis(1)
	// shortRetry is the wait before a client tries another instance.
	shortRetry = 100 * clock.Millis(1)
	// outageRetry is the wait while no instance can confirm the configuration.
	// Outages last seconds; clients wait at most a third of their time.
	outageRetry = 2 * clock.Second
	// startHold is the longest wait for the first configuration.
	startHold = 1500 * clock.Millis(1)
	// busyRetry is the wait after which a service without free endpoints may
	// have some; it is spread so that clients do not return together.
	busyRetry = 400 * clock.Millis(1)
	// defaultDeadline applies where neither client nor route bounds the time.
	defaultDeadline = 60 * clock.Second
	// answerMargin is taken off the deadline that endpoints get, so that the
	// answer is here before the client leaves.
	answerMargin = 10 * clock.Millis(1)
)

func (x *exchange) deadlines() {
	wait := defaultDeadline
	if ms, err := strconv.ParseFloat(x.request.Header.Get(x.dispatcher.options.Names.Deadline), 64); err == nil && ms > 0 {
		wait = clock.Millis(ms)
	}
	x.deadline = x.start + wait
	x.until = x.deadline
	if t := x.route.Timeout; t > 0 {
		x.until = min(x.until, x.start+t)
	}
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// refuse answers with an error of the router's own. A promise that nothing ran
// is given only if nothing was sent.
func (x *exchange) refuse(err error) {
	if pass := x.fallback; pass != nil && !x.begun {
		x.fallback = nil
		pass()
		return
	}
	f := refuser.From(err)
	x.reason = string(f.Reason)
	x.dispatcher.options.Meter.Refused(f.Reason)
	if x.begun {
		x.status = 0
		panic(http.ErrAbortHandler)
	}
	if x.request.Context().Err() != nil && x.now() < x.until {
		x.reason = "client_left"
		return
	}
	status := f.Status
	if x.unknown && promises(status) {
		status = http.StatusBadGateway
	}
	x.status = status
	h := x.writer.Header()
	if f.RetryAfter > 0 && promises(status) {
		wait := float64(f.RetryAfter) * (0.75 + rand.Float64()/2) / 1000
		h.Set("Retry-After", strconv.FormatFloat(wait, 'f', 3, 64))
	}
	body, encodeErr := f.Encode()
	if encodeErr != nil {
		body = []byte(fmt.Sprintf(`{"reason":%q}`, f.Reason))
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body) // the client may have left
}

// promises reports whether a status tells that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (x *exchange) record() {
	o := &x.dispatcher.options
	route, service, kind := "", "", ""
	if x.route != nil {
		route, service, kind = x.route.Name, x.route.ServiceFor(x.session), string(x.route.Kind)
	}
	version := int64(0)
	if x.table != nil {
		version = x.table.Version()
	}
	o.Recorder.Line("request",
		recorder.Text("id", x.id), recorder.Text("session", x.request.Header.Get(o.Names.Session)),
		recorder.Text("route", route), recorder.Text("workspace", x.workspace.Name),
		recorder.Number("rank", x.rank()),
		recorder.Number("status", x.status), recorder.Text("reason", x.reason), recorder.Number("sends", x.sends),
		recorder.Text("endpoint", x.endpoint), recorder.Number("model", x.model), recorder.Number("confidence", x.conf),
		recorder.Number("threshold", x.threshold), recorder.Number("room", x.weighed.Room),
		recorder.Number("pressure", x.weighed.Pressure),
		recorder.Number("first_ms", x.firstMs), recorder.Number("ms", x.now()-x.start),
		recorder.Number("config", version), recorder.Number("config_age_ms", x.now()-o.Confirmed()))
	o.Meter.Ended(service, kind, outcome(x.status), x.now()-x.start)
	if x.status >= 200 && x.status < 300 {
		o.Meter.Answered(service, x.workspace.Name)
		if x.firstMs > 0 {
			o.Meter.FirstToken(service, x.firstMs)
		}
	}
}

// outcome returns the class of a status for the metrics; 0 stands for an answer
// that was cut, or that nobody waited for.
func outcome(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status/100) + "xx"
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outgoing returns the request for an endpoint.
func (x *exchange) outgoing(endpoint string, now clock.Millis) forwarder.Request {
	n := x.dispatcher.options.Names
	h := x.request.Header.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	for _, name := range n.Reserved {
		h.Del(name)
	}
	h.Del(n.Key)
	h.Del(n.Workspace)
	if x.workspace.Name != "" {
		h.Set(n.Workspace, x.workspace.Name)
	}
	h.Set(n.Target, endpoint)
	left := max(1, min(x.deadline, x.until)-now-answerMargin)
	h.Set(n.Deadline, strconv.FormatInt(int64(left), 10))
	if x.route.Kind == matcher.Stream {
		h.Set(n.Priority, strconv.Itoa(min(9, max(0, x.priority()))))
	}
	if len(x.route.Models) > 0 {
		h.Set(n.Model, x.route.Models[x.model])
	}
	if x.lastID >= 0 {
		h.Set(n.LastEvent, strconv.FormatInt(x.lastID, 10))
	}
	return forwarder.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Header: h, Body: x.body,
	}
}

// surgeRanks is how far the requests of a workspace that surges go behind those
// of others: at least one kind of request further.
const surgeRanks = 2

// rank returns the priority for the log; a request without a route has none.
func (x *exchange) rank() int {
	if x.route == nil {
		return -1
	}
	return x.priority()
}

// priority returns the rank of the request, 0 being the highest.
func (x *exchange) priority() int {
	rank := x.route.Priority
	if x.workspace.HasPriority {
		rank = x.workspace.Priority
	}
	if x.surge {
		rank += surgeRanks
	}
	return rank
}

func wait(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
