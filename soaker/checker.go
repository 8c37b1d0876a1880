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
	// drainTime is the users' drainMs.
	drainTime = 2 * clock.Second
	// servedShare is the part of the requests that has to be answered once all
	// faults are over. Endpoints fail some by themselves.
	servedShare = 0.9
	// maxViolations bounds a report.
	maxViolations = 20
)

// request is what a caller sends.
type request struct {
	id     string
	kind   matcher.Kind
	method string
	target string // path and query
	body   string
	key    string
	sent   clock.Millis
}

// answer is what a caller got.
type answer struct {
	id        string
	instance  string
	status    int
	signature string
	problem   string // what is wrong in an answer that looks complete
	err       error  // the answer broke off or did not come
	timedOut  bool   // the caller gave up
	ended     clock.Millis
}

// run is what an endpoint saw of a request that it ran.
type run struct {
	id, endpoint, method, target, body, workspace, key string

	at      clock.Millis
	drained clock.Millis // 0: the endpoint is not leaving
}

// span is the time of a fault.
type span struct {
	from, to clock.Millis // to is 0 while it lasts
	planned  bool         // work of operators, around which no answer may be cut
}

// checker collects what callers and endpoints see. It is safe for concurrent
// use.
type checker struct {
	clock clock.Clock
	begin clock.Millis

	mu      sync.Mutex
	sent    map[string]request
	answers []answer
	runs    map[string][]run
	spans   []*span
	key     func(text string) key
}

func newChecker(c clock.Clock) *checker {
	return &checker{
		clock: c, begin: c.Now(), sent: make(map[string]request), runs: make(map[string][]run),
		key: func(string) key { return key{} },
	}
}

func (c *checker) asked(q request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[q.id] = q
}

func (c *checker) answered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

func (c *checker) ran(r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.id] = append(c.runs[r.id], r)
}

// fault notes a fault and returns what ends it.
func (c *checker) fault(planned bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &span{from: c.clock.Now(), planned: planned}
	c.spans = append(c.spans, s)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = c.clock.Now()
	}
}

// calm reports whether no fault touched the time from contactTime before from
// until to. Planned work counts only if planned is set. The lock is held.
func (c *checker) calm(from, to clock.Millis, planned bool) bool {
	for _, s := range c.spans {
		if s.planned && !planned {
			continue
		}
		if s.from <= to && (s.to == 0 || s.to >= from-contactTime) {
			return false
		}
	}
	return true
}

// judge returns the numbers of requests and of answered ones, and the broken
// promises. From the instant calm on the service has to be back.
func (c *checker) judge(calm clock.Millis) (requests, served int, violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := func(format string, args ...any) {
		if len(violations) < maxViolations {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	late, lateServed := 0, 0
	statuses := make(map[int]int)
	for _, a := range c.answers {
		q := c.sent[a.id]
		c.judgeAnswer(q, a, broken)
		ok := a.err == nil && a.status == 200
		if ok {
			served++
		}
		if q.sent >= calm && c.key(q.key).revoking == 0 {
			late++
			statuses[a.status]++
			if ok {
				lateServed++
			}
		}
	}
	for id, runs := range c.runs {
		slices.SortFunc(runs, func(x, y run) int { return int(x.at - y.at) })
		c.judgeRuns(id, runs, broken)
	}
	if late == 0 || float64(lateServed) < servedShare*float64(late) {
		broken("SERVED: %d of %d requests were answered when all faults were over, by status: %v", lateServed, late, statuses)
	}
	slices.Sort(violations)
	return len(c.sent), served, violations
}

// promise reports whether a status tells that the request has not run.
func promise(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

func (c *checker) judgeAnswer(q request, a answer, broken func(string, ...any)) {
	at := fmt.Sprintf("%s at %d ms, by %s", a.id, q.sent-c.begin, a.instance)
	ran := len(c.runs[a.id]) > 0
	switch {
	case a.problem != "":
		broken("MIXED: %s: %s", at, a.problem)
	case a.err == nil:
		c.judgeStatus(q, a, at, broken)
	case !a.timedOut && ran && c.calm(q.sent, a.ended, false):
		broken("LOST: %s: cut after it had been passed on, with no fault: %v", at, a.err)
	}
}

// judgeStatus judges an answer that came whole.
func (c *checker) judgeStatus(q request, a answer, at string, broken func(string, ...any)) {
	switch {
	case a.status >= 200 && a.status < 300 && a.signature != "signed "+a.id:
		broken("MIXED: %s: success with the signature %q", at, a.signature)
	case promise(a.status) && q.kind == matcher.Unsafe && len(c.runs[a.id]) > 0:
		broken("REFUSED: %s: status %d, and ran at %s", at, a.status, c.runs[a.id][0].endpoint)
	case slices.Contains([]int{400, 404, 413, 431}, a.status):
		broken("DENIED: %s: status %d", at, a.status)
	case a.status == 401 && c.inForce(q, a):
		broken("DENIED: %s: status 401 for a key in force", at)
	}
}

// inForce reports whether a request's key was in force all the time at an
// instance that had to know of it.
func (c *checker) inForce(q request, a answer) bool {
	k := c.key(q.key)
	return k.added != 0 && q.sent > k.added+applyTime && (k.revoking == 0 || k.revoking > a.ended) &&
		c.calm(q.sent, a.ended, true)
}

func (c *checker) judgeRuns(id string, runs []run, broken func(string, ...any)) {
	q, known := c.sent[id]
	if !known {
		broken("UNASKED: %q ran at %s", id, runs[0].endpoint)
		return
	}
	if q.kind == matcher.Unsafe && len(runs) > 1 {
		broken("TWICE: %s ran at %s and %s", id, runs[0].endpoint, runs[1].endpoint)
	}
	revoked := c.key(q.key).revoked
	for _, r := range runs {
		switch {
		case r.method != q.method || r.target != q.target || r.body != q.body:
			broken("UNASKED: %s ran as %s %s with %d bytes", id, r.method, r.target, len(r.body))
		case r.key != "" || r.workspace != workspace:
			broken("UNASKED: %s ran for workspace %q with the key %q", id, r.workspace, r.key)
		case revoked != 0 && q.sent > revoked+revokeTime:
			broken("CONFIG: %s ran %d ms after its key was taken away", id, q.sent-revoked)
		case r.drained != 0 && q.sent > r.drained+drainTime && c.calm(q.sent, r.at, true):
			broken("DRAIN: %s ran at %s %d ms after it began to leave", id, r.endpoint, r.at-r.drained)
		}
	}
}

// String returns a report in the form of the command line.
func (r *Report) String() string {
	var b strings.Builder
	verdict := "kept every promise"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("broke %d promises", len(r.Violations))
	}
	fmt.Fprintf(&b, "seed %d: %d requests, %d answered, %d faults: %s",
		r.Seed, r.Requests, r.Answered, len(r.Faults), verdict)
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n  %s", v)
	}
	return b.String()
}
