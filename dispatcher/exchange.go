package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// exchange is one client request with the state of its processing.
type exchange struct {
	dispatcher *Dispatcher
	writer     http.ResponseWriter
	request    *http.Request
	start      clock.Millis

	table          *matcher.Table
	route          *matcher.Route
	workspace      matcher.Workspace
	key            string
	id             string // of the client's attempt
	session        string // the client's session, or id if it states none
	body           []byte
	bodyHeld       int          // bytes reserved for it
	clientDeadline clock.Millis // time at which the client gives up
	deadline       clock.Millis // time by which the final response must be complete
	prompt         prompt
	content        uint64 // hash of what all repetitions of the request have in common
	surging        bool   // the workspace sends far more than usual
	room           *room  // what was expected when the request was admitted; nil before

	budgetCounted   bool            // the retry budget has counted the request
	sends           int             // sends that may have reached an endpoint
	mayHaveExecuted bool            // an endpoint may have executed the request
	tried           map[string]bool // ids of endpoints
	breaks          int             // sends whose connection ended before the first event
	endChecks       sync.WaitGroup  // of the endpoints of these sends
	endpointEnded   atomic.Bool     // one of these endpoints has ended
	trial           bool            // sent although its prompt holds a part that crashes endpoints
	heldPart        string          // part of the prompt because of which the request is refused, for the log
	headerSent      bool            // the client has received the response header
	mediaType       string          // of the response whose header the client has received, if a stream
	lastEventID     int64           // of the stream so far; -1 if there is none
	model           int             // index into the route's models
	escalation      *escalation     // endpoint reserved for the largest model, or nil
	budgetedService string          // service whose retry budget has counted the next send; empty if none has
	endpoint        string          // id of the last endpoint tried
	status          int             // of the response; 0 if it was cut off
	reason          string          // of a refusal, for the log
	firstEventMs    clock.Millis    // time from the request's arrival to the first event
	confidence      float64         // stated by the model, 0 to 100; -1 if not stated; 0 before an answer
	// cascadeInput is what the decision about the first model's answer was based
	// on, and threshold the confidence that it required.
	cascadeInput cascader.Answer
	threshold    float64
	heldMax      int    // largest number of bytes held because the client read slowly
	fallback     func() // forwards a failed response, if no retry yields another
}

func (x *exchange) now() clock.Millis { return x.dispatcher.options.Clock.Now() }

// serve responds to the request and logs the outcome.
func (x *exchange) serve() {
	defer x.logOutcome()
	defer x.holdBody(0)
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), (x.deadline - x.now()).Duration())
	defer cancel()
	x.request = x.request.WithContext(ctx)
	x.run(ctx)
}

// admit checks the request against the configuration and reads its body.
func (x *exchange) admit() error {
	d, r := x.dispatcher, x.request
	n := d.options.Names
	x.id = r.Header.Get(n.ID)
	x.session = r.Header.Get(n.Session)
	if x.session == "" {
		x.session = x.id
	}
	x.lastEventID = -1
	x.tried = make(map[string]bool)
	x.key = r.Header.Get(n.Key)
	x.awaitConfig()
	if err := x.authorise(); err != nil {
		return err
	}
	limits := x.table.Limits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return refuser.ErrHeaderTooLarge.WithMessage("the header exceeds %d bytes", limits.HeaderBytes)
	}
	x.setDeadlines()
	body, err := x.readBody(max(limits.BodyBytes, 1<<10))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return refuser.ErrBodyTimeout
	case errors.Is(err, refuser.ErrNoBodyMemory):
		x.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return refuser.ErrNoBodyMemory.WithRetryAfter(busyRetry)
	case errors.As(err, &tooLarge):
		x.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return refuser.ErrBodyTooLarge
	case err != nil:
		return refuser.ErrInvalidBody.WithMessage("the request body is incomplete")
	}
	x.body = body
	x.prompt = readPrompt(r.Header, n)
	x.content = x.contentHash()
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if x.route.Kind == matcher.Stream {
		x.surging = d.observeSurge(x.now(), x.workspace.Name, x.prompt.tokens)
	}
	if s := d.stop.Load(); s != nil && s.refuses(x.now(), x.route, x.streamDuration()) {
		return refuser.ErrShuttingDown.WithRetryAfter(shortRetry)
	}
	return nil
}

// contentHash returns the hash of the caller's key and of all that it asks for.
func (x *exchange) contentHash() uint64 {
	r := x.request
	return matcher.HashBytes(strings.Join([]string{r.Method, r.Host, r.RequestURI, x.key}, "\x00"), x.body)
}

// awaitConfig delays a request that arrives before the process has read its
// configuration. That takes a fraction of a second after the start, and a client
// that is refused may not retry.
func (x *exchange) awaitConfig() {
	d := x.dispatcher
	deadline := x.start + maxConfigWait
	for d.options.Table() == nil && x.now() < deadline && x.request.Context().Err() == nil {
		sleep(x.request.Context(), pollInterval)
	}
}

// notReady returns the error for a request that this instance cannot serve yet,
// but another instance may.
func (x *exchange) notReady() error {
	if x.dispatcher.options.PeerReady() {
		return refuser.ErrNotReady.WithRetryAfter(shortRetry)
	}
	return refuser.ErrNotReady.WithRetryAfter(outageRetry)
}

// authorise checks the route and the key against the current configuration. If
// the configuration was not confirmed recently, the refusal is temporary, because
// a missing route or key may have been added since.
func (x *exchange) authorise() error {
	d, r := x.dispatcher, x.request
	x.table = d.options.Table()
	if x.table == nil {
		return x.notReady()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = x.table.Match(r.Host, path)
	age := x.now() - d.options.Confirmed()
	if x.route == nil {
		if age > maxRefusalAge {
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
	case age > maxRefusalAge:
		return x.notReady()
	case x.key == "":
		return refuser.ErrMissingKey
	}
	return refuser.ErrUnknownKey
}

const (
	// maxRefusalAge is the age of the confirmation up to which a missing route or
	// key is reported as such.
	maxRefusalAge = 2500 * clock.Millis(1)
	// shortRetry is the delay before a client tries another instance.
	shortRetry = 100 * clock.Millis(1)
	// outageRetry is the delay while no instance can confirm the configuration.
	// Outages last seconds, and clients wait no longer than a third of their
	// deadline.
	outageRetry = 2 * clock.Second
	// maxConfigWait is the longest wait for the first configuration.
	maxConfigWait = 1500 * clock.Millis(1)
	// busyRetry is the delay if no endpoint may serve the request. The
	// Retry-After header is jittered so that clients do not retry at the same
	// time.
	busyRetry = 400 * clock.Millis(1)
)

// headerBytes returns the approximate size of the request line and the header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// refuse responds with an error of the router itself, or with a failed response
// kept as a fallback. A status that means "not executed" is used only if nothing
// was sent that an endpoint may have executed. If the client has the header of a
// response already, refuse leaves the response incomplete, which ends the
// connection.
//
// A client that has closed its connection, or only its sending side, which looks
// the same from here, gets the refusal too: it may still read.
func (x *exchange) refuse(err error) {
	if forward := x.fallback; forward != nil && !x.headerSent {
		x.fallback = nil
		forward()
		return
	}
	refusal := refuser.From(err)
	x.reason = string(refusal.Reason)
	// A body that is too slow ends the context of its request too.
	left := clientLeft(x.request.Context()) && !errors.Is(err, refuser.ErrBodyTimeout)
	if left {
		x.reason = reasonClientLeft
		refusal = refuser.ErrClientLeft
	}
	x.dispatcher.options.Meter.CountRefusal(refusal.Reason)
	if x.headerSent {
		x.status = 0
		return
	}
	status := refusal.Status
	if x.mayHaveExecuted {
		if impliesNotExecuted(status) {
			status = http.StatusBadGateway
		}
		if refusal.Execution == refuser.NotExecuted {
			refusal = refusal.WithExecution(refuser.ExecutionUnknown)
		}
	}
	x.status = status
	if left {
		x.status = 0
	}
	h := x.writer.Header()
	if refusal.RetryAfter > 0 && impliesNotExecuted(status) {
		seconds := float64(refusal.RetryAfter) / 1000
		if refusal.Reason != refuser.ErrNoRoom.Reason { // whose time is spread already
			seconds *= 0.75 + rand.Float64()/2
		}
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	body, encodeErr := refusal.Encode()
	if encodeErr != nil {
		body = []byte(fmt.Sprintf(`{"reason":%q}`, refusal.Reason))
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	x.writeBody(body)
}

// writeBody writes the whole body of the response, which it completes.
func (x *exchange) writeBody(body []byte) {
	if x.writeWatched(body) {
		completer.Complete(x.writer)
	}
}

// reasonClientLeft is the reason in the log if the client closed its connection
// before the response was complete.
const reasonClientLeft = "client_left"

// clientLeft reports whether the context of a request ended because the client
// closed its connection. The end of its deadline is no such reason, even if the
// clock does not show it yet.
func clientLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// impliesNotExecuted reports whether a status tells the client that the request
// was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// logOutcome writes the log record of the request and updates the metrics.
func (x *exchange) logOutcome() {
	options := &x.dispatcher.options
	route, service, kind := "", "", ""
	if x.route != nil {
		route, service, kind = x.route.Name, x.route.ServiceFor(x.session), string(x.route.Kind)
	}
	configVersion := int64(0)
	if x.table != nil {
		configVersion = x.table.Version()
	}
	options.Logger.Log("request",
		logger.Text("id", x.id), logger.Text("session", x.request.Header.Get(options.Names.Session)),
		logger.Text("route", route), logger.Text("workspace", x.workspace.Name),
		logger.Number("rank", x.loggedPriority()),
		logger.Number("status", x.status), logger.Text("reason", x.reason), logger.Number("sends", x.sends),
		logger.Text("part", x.heldPart),
		logger.Text("endpoint", x.endpoint), logger.Number("model", x.model), logger.Number("confidence", x.confidence),
		logger.Number("threshold", x.threshold), logger.Number("room", x.cascadeInput.Capacity),
		logger.Number("pressure", x.cascadeInput.Pressure), logger.Number("tokens", x.prompt.tokens),
		logger.Number("held_max", x.heldMax),
		logger.Number("first_ms", x.firstEventMs), logger.Number("ms", x.now()-x.start),
		logger.Number("config", configVersion), logger.Number("config_age_ms", x.now()-options.Confirmed()))
	options.Meter.ObserveLatency(service, kind, statusClass(x.status), x.now()-x.start)
	if x.status >= 200 && x.status < 300 {
		options.Meter.CountRequest(service, x.workspace.Name)
		if x.firstEventMs > 0 {
			options.Meter.ObserveFirstToken(service, x.firstEventMs)
		}
	}
}

// statusClass returns the class of a status for the metrics. Status 0 stands for
// a response that was cut off or that no client waited for.
func statusClass(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status/100) + "xx"
}

// connectionHeaders are the headers that are not forwarded because they apply to
// one connection or message only: the hop-by-hop headers, Content-Length and
// Expect.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outgoingRequest returns the request as it is sent to an endpoint.
func (x *exchange) outgoingRequest(endpoint string, now clock.Millis) forwarder.Request {
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
	remaining := max(1, min(x.clientDeadline, x.deadline)-now-responseMargin)
	h.Set(n.Deadline, strconv.FormatInt(int64(remaining), 10))
	if x.route.Kind == matcher.Stream {
		h.Set(n.Priority, strconv.Itoa(min(9, max(0, x.priority()))))
	}
	if len(x.route.Models) > 0 {
		h.Set(n.Model, x.route.Models[x.model])
	}
	if x.lastEventID >= 0 {
		h.Set(n.LastEvent, strconv.FormatInt(x.lastEventID, 10))
	}
	return forwarder.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Header: h, Body: x.body,
	}
}

// surgePriorityOffset is added to the priority rank of requests of a surging
// workspace. It is large enough to put them behind at least one more kind of
// request.
const surgePriorityOffset = 2

// loggedPriority returns the priority rank for the log, -1 without a route.
func (x *exchange) loggedPriority() int {
	if x.route == nil {
		return -1
	}
	return x.priority()
}

// priority returns the priority rank of the request; 0 is the highest.
func (x *exchange) priority() int {
	rank := x.route.Priority
	if x.workspace.HasPriority {
		rank = x.workspace.Priority
	}
	if x.surging {
		rank += surgePriorityOffset
	}
	return rank
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
