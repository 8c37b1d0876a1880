package quarantiner

import (
	"cmp"
	"slices"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// maxCrashes limits the crashes that are kept, and crashMemory the time for
	// which they are.
	maxCrashes  = 256
	crashMemory = 15 * clock.Minute
	// maxParts limits the parts whose last first event is known, and soundMemory
	// the time for which it is.
	maxParts    = 4096
	soundMemory = 5 * clock.Minute
	// maxHeld limits the parts that are held and those that have been.
	maxHeld = 64
	// crashSpan is the time within which the requests that fail at one endpoint
	// belong to the same crash. An endpoint takes longer than this to start again.
	crashSpan = 2 * clock.Second
	// settleTime is the time between a crash becoming known and a decision based on
	// it, in which other instances report first events of the parts.
	settleTime = 500 * clock.Millis(1)
	// quietTime is the time without a request after which a part is no longer held,
	// and maxHoldTime the longest time for which it is: the endpoints may have been
	// repaired. If it then crashes another endpoint, it is held at once.
	quietTime   = 2 * clock.Minute
	maxHoldTime = 10 * clock.Minute
)

// threshold is the evidence that is needed to hold a part: the number of crashes,
// and of different requests among those that waited.
type threshold struct{ crashes, requests int }

// The thresholds. A part that has never been in a request with a first event needs
// the evidence of one of firstSeen. Independent crashes of endpoints, which are
// frequent on a bad day, hit one new part three or four times in a row too rarely
// to matter.
var (
	firstSeen = []threshold{{crashes: 3, requests: 3}, {crashes: 4, requests: 2}}
	onceSound = []threshold{{crashes: 5, requests: 3}}
	heldOnce  = []threshold{{crashes: 1, requests: 1}}
)

// Quarantiner holds the observations of all instances. Times are those of the
// caller's clock.
type Quarantiner struct {
	mu       sync.Mutex
	crashes  []record
	suspects map[string]*suspect // parts of the crashes
	parts    map[string]soundness
	held     map[string]*hold
	released map[string]clock.Millis // when a part was last released without a first event
	cleared  []Verdict               // parts that a first event has cleared since the last decision

	undecided   bool         // Decide has not seen all evidence, or not settled yet
	lastHeardAt clock.Millis // when the last crash became known
}

// record is one observed crash.
type record struct {
	Crash
	at        clock.Millis // time of the crash
	heardAt   clock.Millis // when this instance learnt of it
	sendsLeft int          // number of times that it is still to be sent
}

// suspect is a part of a prompt that was waiting when an endpoint ended.
type suspect struct {
	crashAt   clock.Millis // time of the last crash
	told      clock.Millis // last first event of which the instances have been told
	sendsLeft int          // number of times that told is still to be sent
}

// untold reports whether a first event at the given time, 0 if there was none,
// is news for the other instances.
func (s *suspect) untold(sound clock.Millis) bool {
	return sound > s.told && (s.told == 0 || sound > s.crashAt && s.told <= s.crashAt)
}

// soundness holds when a request with a part last had a first event: on any
// instance, and on this one; 0 if never.
type soundness struct{ sound, soundHere clock.Millis }

// hold is a part that is held.
type hold struct{ since, lastRequest clock.Millis }

// Verdict is a part that Decide holds or releases.
type Verdict struct {
	Part     string
	Held     bool
	Crashes  int  // number of crashes that are not explained otherwise
	Requests int  // number of different requests that waited
	Sound    bool // a request with the part has had a first event before
}

// New returns a Quarantiner without observations.
func New() *Quarantiner {
	return &Quarantiner{
		suspects: make(map[string]*suspect), parts: make(map[string]soundness), held: make(map[string]*hold),
		released: make(map[string]clock.Millis),
	}
}

// RecordFirstEvent records that a request with the given parts has had a first
// event, which clears them.
func (q *Quarantiner) RecordFirstEvent(now clock.Millis, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range parts {
		q.recordSound(name, now, true)
	}
}

// recordSound records a first event of a part. The lock is held.
func (q *Quarantiner) recordSound(name string, at clock.Millis, here bool) {
	p, known := q.parts[name]
	if !known && len(q.parts) >= maxParts {
		for other := range q.parts {
			if q.suspects[other] == nil {
				delete(q.parts, other)
				break
			}
		}
	}
	p.sound = max(p.sound, at)
	if here {
		p.soundHere = max(p.soundHere, at)
	}
	q.parts[name] = p
	if h := q.held[name]; h != nil && at > h.since {
		delete(q.held, name)
		q.cleared = append(q.cleared, Verdict{Part: name, Sound: true})
		q.undecided = true
	}
}

// RecordCrash records that an endpoint has ended while a request waited there for
// its first event.
func (q *Quarantiner) RecordCrash(now clock.Millis, c Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(record{Crash: c, at: now, heardAt: now, sendsLeft: copies})
}

// add adds a crash unless it is known. The lock is held.
func (q *Quarantiner) add(r record) {
	for i := range q.crashes {
		if k := &q.crashes[i]; k.Request == r.Request && sameCrash(k, &r) {
			return
		}
	}
	if len(q.crashes) >= maxCrashes {
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
	q.crashes = append(q.crashes, r)
	q.undecided, q.lastHeardAt = true, r.heardAt
	for _, name := range r.Parts {
		s := q.suspects[name]
		if s == nil {
			s = &suspect{}
			q.suspects[name] = s
		}
		s.crashAt = max(s.crashAt, r.at)
	}
}

// sameCrash reports whether two requests waited at the same endpoint when it
// ended.
func sameCrash(x, y *record) bool {
	return x.Endpoint == y.Endpoint && max(x.at, y.at)-min(x.at, y.at) < crashSpan
}

// Check returns a part that is held among the given ones, and for how long it is
// held if no other request with it comes. It returns "" if there is none.
func (q *Quarantiner) Check(now clock.Millis, parts []string) (part string, left clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.held) == 0 {
		return "", 0
	}
	for _, name := range parts {
		if h := q.held[name]; h != nil {
			h.lastRequest = max(h.lastRequest, now)
			return name, max(0, min(quietTime, h.since+maxHoldTime-now))
		}
	}
	return "", 0
}

// Decide holds the parts against which there is enough evidence, releases those
// that are no longer held, and returns both.
func (q *Quarantiner) Decide(now clock.Millis) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	verdicts := q.cleared
	q.cleared = nil
	for name, h := range q.held {
		if now-h.lastRequest >= quietTime || now-h.since >= maxHoldTime {
			q.release(name, now)
			verdicts = append(verdicts, Verdict{Part: name})
		}
	}
	for q.undecided {
		best, ok := q.mostLikely(now)
		if !ok {
			break
		}
		q.hold(best.Part, now, now)
		verdicts = append(verdicts, best)
	}
	q.undecided = now-q.lastHeardAt < settleTime
	return verdicts
}

// candidate is the evidence against a part: the crashes since the last first event
// of a request with it, without those under requests with a part that is held.
type candidate struct {
	Verdict
	position int // the largest among the parts of a prompt
	counted  []*record
	requests map[uint64]bool
}

// count adds a request that waited, with the part at the given position.
func (c *candidate) count(r *record, position int) {
	c.position = max(c.position, position)
	c.requests[r.Request] = true
	if !slices.ContainsFunc(c.counted, func(k *record) bool { return sameCrash(k, r) }) {
		c.counted = append(c.counted, r)
	}
	c.Crashes, c.Requests = len(c.counted), len(c.requests)
}

// mostLikely returns the part that is most likely to have caused crashes, among
// those against which there is enough evidence. Of parts with the same evidence,
// that is the last one in the prompts, which the fewest other requests share. The
// lock is held.
func (q *Quarantiner) mostLikely(now clock.Millis) (Verdict, bool) {
	var best *candidate
	for _, c := range q.candidates(now) {
		if q.suffices(c.Verdict) && (best == nil || compare(c, best) < 0) {
			best = c
		}
	}
	if best == nil || len(q.held) >= maxHeld {
		return Verdict{}, false
	}
	return best.Verdict, true
}

// compare orders candidates, the most likely one first.
func compare(x, y *candidate) int {
	if x.Sound != y.Sound {
		return map[bool]int{false: -1, true: 1}[x.Sound]
	}
	return cmp.Or(cmp.Compare(y.Crashes, x.Crashes), cmp.Compare(y.position, x.position), cmp.Compare(x.Part, y.Part))
}

// candidates returns the evidence against each part. The lock is held.
func (q *Quarantiner) candidates(now clock.Millis) map[string]*candidate {
	byPart := make(map[string]*candidate)
	for i := range q.crashes {
		r := &q.crashes[i]
		if now-r.heardAt < settleTime || q.explained(r) {
			continue
		}
		for position, name := range r.Parts {
			sound := q.parts[name].sound
			if r.at <= sound {
				continue
			}
			c := byPart[name]
			if c == nil {
				c = &candidate{
					Verdict: Verdict{Part: name, Held: true, Sound: sound > 0}, requests: make(map[uint64]bool),
				}
				byPart[name] = c
			}
			c.count(r, position)
		}
	}
	return byPart
}

// explained reports whether a request that waited holds a part that is held, or
// that was held after the crash. The lock is held.
func (q *Quarantiner) explained(r *record) bool {
	return slices.ContainsFunc(r.Parts, func(name string) bool { return q.held[name] != nil || q.released[name] >= r.at })
}

// suffices reports whether the evidence reaches the threshold of the part. The
// lock is held.
func (q *Quarantiner) suffices(v Verdict) bool {
	needed := firstSeen
	if _, ok := q.released[v.Part]; ok {
		needed = heldOnce
	} else if v.Sound {
		needed = onceSound
	}
	return slices.ContainsFunc(needed, func(t threshold) bool {
		return v.Crashes >= t.crashes && v.Requests >= t.requests
	})
}

// hold holds a part. The lock is held.
func (q *Quarantiner) hold(name string, since, lastRequest clock.Millis) {
	if len(q.held) < maxHeld {
		q.held[name] = &hold{since: since, lastRequest: lastRequest}
	}
}

// release ends the hold of a part. The lock is held.
func (q *Quarantiner) release(name string, now clock.Millis) {
	delete(q.held, name)
	if len(q.released) < maxHeld {
		q.released[name] = now
	}
}

// expire removes what is no longer needed. The lock is held.
func (q *Quarantiner) expire(now clock.Millis) {
	q.crashes = slices.DeleteFunc(q.crashes, func(r record) bool { return now-r.at >= crashMemory })
	for name, s := range q.suspects {
		if now-s.crashAt >= crashMemory {
			delete(q.suspects, name)
		}
	}
	for name, p := range q.parts {
		if q.suspects[name] == nil && now-p.sound >= soundMemory {
			delete(q.parts, name)
		}
	}
	for name, at := range q.released {
		if now-at >= 3*maxHoldTime {
			delete(q.released, name)
		}
	}
}
