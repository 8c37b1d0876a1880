package soaker

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// drainTime is the platform's drainMs: the time after which a leaving
	// endpoint must get no new requests.
	drainTime = 2 * clock.Second
	// minSuccessShare is the minimum share of successful requests after the end of
	// all faults. It is below 1 because endpoints fail some requests without a
	// fault.
	minSuccessShare = 0.9
	// maxViolations bounds the violations in a report.
	maxViolations = 20
)

// request is a request of a caller.
type request struct {
	id     string
	kind   matcher.Kind
	method string
	target string // path and query
	body   string
	key    string
	sent   clock.Millis

	instance string // address of the instance
	prompt   string // parts of the prompt, sent with model requests
	crashes  bool   // the prompt holds the part that crashes endpoints
}

// answer is the outcome of a request as the caller observed it.
type answer struct {
	id        string
	instance  string
	status    int
	signature string
	problem   string // difference from the expected answer, if it looks complete
	err       error  // the answer was cut or there was none
	timedOut  bool   // the caller's timeout expired
	ended     clock.Millis
}

// execution is a request as the endpoint that executed it received it.
type execution struct {
	id, endpoint, method, target, body, workspace, key string

	at        clock.Millis
	drainedAt clock.Millis // when the store acknowledged that the endpoint leaves; 0: it does not leave
}

// faultPeriod is the time range of a fault.
type faultPeriod struct {
	from, to clock.Millis // to is 0 until the fault ends
	planned  bool         // operation of the platform or its operators, which must not cut answers
	prompts  bool         // prompts that crash endpoints
	instance string       // address of the instance that is ended, suspended or cut off; empty: none
}

// checker records what callers and endpoints observe and checks the guarantees.
// It is safe for concurrent use.
type checker struct {
	clock clock.Clock
	start clock.Millis

	mu           sync.Mutex
	requests     map[string]request
	answers      []answer
	executions   map[string][]execution
	faultPeriods []*faultPeriod
	crashes      []execution           // ids and instants of requests that crashed endpoints
	arrivals     []execution           // of requests with such prompts at endpoints, executed or not
	prompts      string                // what check has seen of such prompts
	keyState     func(text string) key // returns the state of a key
}

func newChecker(c clock.Clock) *checker {
	return &checker{
		clock: c, start: c.Now(), requests: make(map[string]request), executions: make(map[string][]execution),
		keyState: func(string) key { return key{} },
	}
}

func (c *checker) recordRequest(q request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[q.id] = q
}

func (c *checker) recordAnswer(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

func (c *checker) recordExecution(r execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[r.id] = append(c.executions[r.id], r)
}

// recordFault records the start of a fault and returns a function that records
// its end.
func (c *checker) recordFault(p faultPeriod) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.from = c.clock.Now()
	c.faultPeriods = append(c.faultPeriods, &p)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.to = c.clock.Now()
	}
}

// undisturbed reports whether there was no fault between contactTime before from
// and to. Planned operations count as faults only if planned is set. The mutex
// must be held.
func (c *checker) undisturbed(from, to clock.Millis, planned bool) bool {
	return c.calm(from, to, func(p *faultPeriod) bool { return planned || !p.planned })
}

// calm is undisturbed for the faults that counts selects.
func (c *checker) calm(from, to clock.Millis, counts func(*faultPeriod) bool) bool {
	return !slices.ContainsFunc(c.faultPeriods, func(p *faultPeriod) bool {
		return counts(p) && p.from <= to && (p.to == 0 || p.to >= from-contactTime)
	})
}

// check returns the number of requests, the number of successful ones, and the
// violations of the guarantees. Of the requests that are sent from the instant
// faultsOver on, at least the share minSuccessShare must succeed; 0 skips this check.
func (c *checker) check(faultsOver clock.Millis) (requests, succeeded int, violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addViolation := func(format string, args ...any) {
		if len(violations) < maxViolations {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	afterFaults, succeededAfterFaults := 0, 0
	statuses := make(map[int]int)
	for _, a := range c.answers {
		q := c.requests[a.id]
		c.checkAnswer(q, a, addViolation)
		ok := a.err == nil && a.status == 200
		if ok {
			succeeded++
		}
		if faultsOver > 0 && q.sent >= faultsOver && c.keyState(q.key).revoking == 0 {
			afterFaults++
			statuses[a.status]++
			if ok {
				succeededAfterFaults++
			}
		}
	}
	for id, executions := range c.executions {
		slices.SortFunc(executions, func(x, y execution) int { return int(x.at - y.at) })
		c.checkExecutions(id, executions, addViolation)
	}
	c.checkPrompts(addViolation)
	if faultsOver > 0 && (afterFaults == 0 || float64(succeededAfterFaults) < minSuccessShare*float64(afterFaults)) {
		addViolation("SERVED: %d of %d requests succeeded after the end of all faults, by status: %v",
			succeededAfterFaults, afterFaults, statuses)
	}
	slices.Sort(violations)
	return len(c.requests), succeeded, violations
}

// notExecuted reports whether a status guarantees that the request was not
// executed.
func notExecuted(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// checkAnswer checks the answer to q.
func (c *checker) checkAnswer(q request, a answer, addViolation func(string, ...any)) {
	at := fmt.Sprintf("%s at %d ms, by %s", a.id, q.sent-c.start, a.instance)
	executed := len(c.executions[a.id]) > 0
	switch {
	case a.problem != "":
		addViolation("MIXED: %s: %s", at, a.problem)
	case a.err == nil:
		c.checkStatus(q, a, at, addViolation)
	case !a.timedOut && executed && c.undisturbed(q.sent, a.ended, false):
		addViolation("LOST: %s: cut without a fault after the request was executed: %v", at, a.err)
	}
}

// checkStatus checks the status of a complete answer.
func (c *checker) checkStatus(q request, a answer, at string, addViolation func(string, ...any)) {
	switch {
	case a.status >= 200 && a.status < 300 && a.signature != "signed "+a.id:
		addViolation("MIXED: %s: success with the signature %q", at, a.signature)
	case notExecuted(a.status) && q.kind == matcher.Unsafe && len(c.executions[a.id]) > 0:
		addViolation("REFUSED: %s: status %d, but executed by %s", at, a.status, c.executions[a.id][0].endpoint)
	case slices.Contains([]int{400, 404, 413, 431}, a.status):
		addViolation("DENIED: %s: status %d", at, a.status)
	case a.status == 401 && c.mustAcceptKey(q, a):
		addViolation("DENIED: %s: status 401 for a valid key", at)
	}
}

// mustAcceptKey reports whether the key of q was valid until its answer and had
// been so for applyTime, without a fault that could have kept the configuration
// from the instance.
func (c *checker) mustAcceptKey(q request, a answer) bool {
	k := c.keyState(q.key)
	return k.added != 0 && q.sent > k.added+applyTime && (k.revoking == 0 || k.revoking > a.ended) &&
		c.undisturbed(q.sent, a.ended, true)
}

// checkExecutions checks the executions of the request id, the earliest first.
func (c *checker) checkExecutions(id string, executions []execution, addViolation func(string, ...any)) {
	q, known := c.requests[id]
	if !known {
		addViolation("UNASKED: %q was not sent but executed by %s", id, executions[0].endpoint)
		return
	}
	if q.kind == matcher.Unsafe && len(executions) > 1 {
		addViolation("TWICE: %s was executed by %s and %s", id, executions[0].endpoint, executions[1].endpoint)
	}
	revoked := c.keyState(q.key).revoked
	for _, r := range executions {
		switch {
		case r.method != q.method || r.target != q.target || r.body != q.body:
			addViolation("UNASKED: %s was executed as %s %s with %d bytes", id, r.method, r.target, len(r.body))
		case r.key != "" || r.workspace != workspace:
			addViolation("UNASKED: %s was executed for workspace %q with the key %q", id, r.workspace, r.key)
		case revoked != 0 && q.sent > revoked+revokeTime:
			addViolation("CONFIG: %s was sent %d ms after its key was revoked, but executed", id, q.sent-revoked)
		case r.drainedAt != 0 && q.sent > r.drainedAt+drainTime && c.undisturbed(q.sent, r.at, true):
			addViolation("DRAIN: %s was executed by %s, received %d ms after it began to leave",
				id, r.endpoint, r.at-r.drainedAt)
		}
	}
}

// String returns the report as the command line prints it.
func (r *Report) String() string {
	var b strings.Builder
	verdict := "no violations"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("%d violations", len(r.Violations))
	}
	fmt.Fprintf(&b, "seed %d: %d requests, %d answered, %d faults: %s",
		r.Seed, r.Requests, r.Succeeded, len(r.FaultLog), verdict)
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n  %s", v)
	}
	return b.String()
}
