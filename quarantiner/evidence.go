package quarantiner

import (
	"cmp"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// threshold is the evidence that is needed to hold a part: the number of crashes,
// and of different prompts among those that waited.
type threshold struct{ crashes, requests int }

// The thresholds. A part that has never been in a request with a first event needs
// the evidence of one of neverSound, a whole request that of ofContent. Independent
// crashes of endpoints, which are frequent on a bad day, hit one new part three or
// four times in a row too rarely to matter.
var (
	neverSound = []threshold{{crashes: 3, requests: 3}, {crashes: 4, requests: 2}, {crashes: 6, requests: 1}}
	onceSound  = []threshold{{crashes: 5, requests: 3}, {crashes: 8, requests: 1}}
	ofContent  = []threshold{{crashes: 3, requests: 1}}
)

const (
	// crashSpan is the time within which requests that fail at one endpoint belong
	// to the same crash. An endpoint takes longer than this to start again.
	crashSpan = 2 * clock.Second
	// commonSpan is the time within which crashes of several endpoints under
	// different requests count as one: endpoints that end together have a common
	// cause that no request has.
	commonSpan = 100 * clock.Millis(1)
	// settleTime is the time between a crash becoming known and a decision based on
	// it, in which other instances report first events of the parts.
	settleTime = 500 * clock.Millis(1)
	// minUnexplained is the number of crashes against a part under prompts without a
	// held one. A held part may have been taken for the cause because it was in the
	// first prompts with the deadly one.
	minUnexplained = 2
	// maxRequests limits the different prompts that are kept for one part of a
	// crash.
	maxRequests = 3
	// maxCrashes limits the crashes that are kept, maxWaiting the parts of each, and
	// crashMemory the time.
	maxCrashes  = 96
	maxWaiting  = 192
	crashMemory = 15 * clock.Minute
	// contentMemory is the time for which a whole request is suspected. There are far
	// more of them than of parts.
	contentMemory = 5 * clock.Minute
	// minOfTwins is the number of crashes against a whole request beside which the same
	// other one waited each time. Requests that a crash has broken off together often
	// meet again at the next endpoint.
	minOfTwins = 5
	// maxSuspects limits the parts of crashes of which first events are reported.
	maxSuspects = 4096
)

// crash is the end of an endpoint.
type crash struct {
	endpoint uint64
	at       clock.Millis
	waiting  map[string]*waiting // by part or whole request
}

// waiting is a part of the prompts that waited, or a whole request.
type waiting struct {
	position  int
	requests  []uint64
	heardAt   clock.Millis // when the first of the requests became known
	sendsLeft int          // number of times that it is still to be sent
}

// crashOf returns the crash of an endpoint at an instant, which it adds if it is not
// known. The lock is held.
func (q *Quarantiner) crashOf(endpoint uint64, at clock.Millis) *crash {
	for _, c := range q.crashes {
		if c.endpoint == endpoint && max(c.at, at)-min(c.at, at) < crashSpan {
			return c
		}
	}
	if len(q.crashes) >= maxCrashes {
		oldest := max(0, slices.IndexFunc(q.crashes, q.isCleared))
		q.crashes = slices.Delete(q.crashes, oldest, oldest+1)
	}
	c := &crash{endpoint: endpoint, at: at, waiting: make(map[string]*waiting)}
	q.crashes = append(q.crashes, c)
	return c
}

// isCleared reports whether requests with each of the parts that waited have had a
// first event since the crash. Whole requests don't count, as few come again. The
// lock is held.
func (q *Quarantiner) isCleared(c *crash) bool {
	for name := range c.waiting {
		if !isContent(name) && q.parts[name].sound <= c.at {
			return false
		}
	}
	return true
}

// addWaiting adds a part of a prompt that waited when an endpoint ended. The lock is
// held.
func (q *Quarantiner) addWaiting(now clock.Millis, c *crash, name string, position int, request uint64, sends int) {
	w := c.waiting[name]
	if w == nil {
		if len(c.waiting) >= maxWaiting {
			return
		}
		w = &waiting{heardAt: now}
		c.waiting[name] = w
		q.suspectOf(name, c.at)
	}
	w.position = max(w.position, position)
	if len(w.requests) < maxRequests && !slices.Contains(w.requests, request) {
		w.requests = append(w.requests, request)
		w.sendsLeft = max(w.sendsLeft, sends)
		q.undecided, q.lastHeardAt = true, now
	}
	if h := q.held[name]; h != nil {
		h.crashAt = max(h.crashAt, c.at)
	}
}

// suspectOf returns the suspect with the given part, with a crash at an instant. The
// lock is held.
func (q *Quarantiner) suspectOf(name string, crashAt clock.Millis) *suspect {
	s := q.suspects[name]
	if s == nil {
		s = &suspect{}
		if len(q.suspects) < maxSuspects {
			q.suspects[name] = s
		}
	}
	s.crashAt = max(s.crashAt, crashAt)
	return s
}

// candidate is the evidence against a part: the crashes since the last first event
// of a request with it.
type candidate struct {
	Verdict
	unexplained int // crashes under prompts without a held part
	position    int
	crashAt     clock.Millis
	crashes     []*crash // all, also those that count as one
	counted     []countedCrash
	requests    []uint64
}

// countedCrash is a crash that counts against a part.
type countedCrash struct {
	at       clock.Millis
	requests []uint64
}

// isCommon reports whether a crash may have had the same cause as another one that
// no request has.
func (c countedCrash) isCommon(o countedCrash) bool {
	return max(c.at, o.at)-min(c.at, o.at) < commonSpan &&
		!slices.ContainsFunc(c.requests, func(r uint64) bool { return slices.Contains(o.requests, r) })
}

// add adds a crash. explained tells that a held part was among those that waited.
func (c *candidate) add(end *crash, w *waiting, explained bool) {
	c.position, c.crashAt = max(c.position, w.position), max(c.crashAt, end.at)
	c.crashes = append(c.crashes, end)
	for _, request := range w.requests {
		if !slices.Contains(c.requests, request) {
			c.requests = append(c.requests, request)
		}
	}
	counted := countedCrash{end.at, w.requests}
	if !slices.ContainsFunc(c.counted, counted.isCommon) {
		c.counted = append(c.counted, counted)
		if !explained {
			c.unexplained++
		}
	}
	c.Crashes, c.Requests = len(c.counted), len(c.requests)
}

// suffices reports whether the evidence reaches a threshold.
func (c *candidate) suffices() bool {
	needed := neverSound
	switch {
	case c.Sound:
		needed = onceSound
	case isContent(c.Part):
		needed = ofContent
	}
	return c.unexplained >= minUnexplained && slices.ContainsFunc(needed, func(t threshold) bool {
		return c.Crashes >= t.crashes && c.Requests >= t.requests
	})
}

// compare orders candidates, the most likely cause first. Of parts with the same
// evidence, that is the last one in the prompts, which the fewest other requests
// share.
func compare(x, y *candidate) int {
	if x.Sound != y.Sound {
		return map[bool]int{false: -1, true: 1}[x.Sound]
	}
	return cmp.Or(cmp.Compare(y.Crashes, x.Crashes), cmp.Compare(y.position, x.position), cmp.Compare(x.Part, y.Part))
}

// mostLikely returns the part that is most likely to have caused crashes, among
// those against which there is enough evidence, or nil. The lock is held.
func (q *Quarantiner) mostLikely(now clock.Millis) *candidate {
	byPart := make(map[string]*candidate)
	for _, c := range q.crashes {
		explained := q.explained(c)
		for name, w := range c.waiting {
			sound := q.parts[name].sound
			// First events of a whole request are recorded while it is suspected.
			if isContent(name) && (q.suspects[name] == nil || now-c.at >= contentMemory) {
				continue
			}
			if q.held[name] != nil || c.at <= sound || now-w.heardAt < settleTime {
				continue
			}
			if byPart[name] == nil {
				byPart[name] = &candidate{Verdict: Verdict{Part: name, Held: true, Sound: sound > 0}}
			}
			byPart[name].add(c, w, explained)
		}
	}
	var best *candidate
	for _, c := range byPart {
		if c.suffices() && (c.Crashes >= minOfTwins || !q.hasTwin(c)) && (best == nil || compare(c, best) < 0) {
			best = c
		}
	}
	return best
}

// hasTwin reports whether the candidate is a whole request and another one, which has
// had no first event since either, waited at each of its crashes. The lock is held.
func (q *Quarantiner) hasTwin(c *candidate) bool {
	if !isContent(c.Part) {
		return false
	}
	for name := range c.crashes[0].waiting {
		if name == c.Part || !isContent(name) {
			continue
		}
		together := !slices.ContainsFunc(c.crashes, func(end *crash) bool {
			return end.waiting[name] == nil || end.at <= q.parts[name].sound
		})
		if together {
			return true
		}
	}
	return false
}

// explained reports whether a request that waited holds a part that is held. The lock
// is held.
func (q *Quarantiner) explained(c *crash) bool {
	for name := range q.held {
		if c.waiting[name] != nil {
			return true
		}
	}
	return false
}
