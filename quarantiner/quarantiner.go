package quarantiner

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// maxParts limits the parts whose last first event is known, and soundMemory
	// the time for which it is.
	maxParts    = 4096
	soundMemory = 5 * clock.Minute
	// maxHeld limits the parts that are held.
	maxHeld = 64
	// firstTrial and secondTrial are the times after the begin of a hold at which one
	// request is sent nevertheless, and trialInterval that between all later ones. The
	// part may be sound, or the endpoints repaired.
	firstTrial    = 15 * clock.Second
	secondTrial   = 2 * clock.Minute
	trialInterval = 10 * clock.Minute
	// forgetTime is the time without a request after which a hold ends.
	forgetTime = clock.Hour
	// sweepInterval is the time between two removals of old parts.
	sweepInterval = 5 * clock.Second
)

// Quarantiner holds the observations of all instances. Times are those of the
// caller's clock.
type Quarantiner struct {
	mu       sync.Mutex
	crashes  []*crash
	suspects map[string]*suspect // parts and whole requests of the crashes
	parts    map[string]soundness
	held     map[string]*hold
	drops    []drop    // answers dropped by this instance
	cleared  []Verdict // parts that a first event has cleared since the last decision

	undecided   bool         // Decide has not seen all evidence, or not settled yet
	lastHeardAt clock.Millis // when evidence last became known
	sweptAt     clock.Millis // time of the last removal of old parts
}

// suspect is a part of a prompt, or a whole request, that was waiting when an endpoint
// ended.
type suspect struct {
	crashAt   clock.Millis // time of the last crash
	told      clock.Millis // last first event of which the instances have been told
	sendsLeft int          // number of times that told is still to be sent
}

// untold reports whether a first event at the given time, 0 if there was none, is
// news for the other instances.
func (s *suspect) untold(sound clock.Millis) bool {
	return sound > s.told && (s.told == 0 || sound > s.crashAt && s.told <= s.crashAt)
}

// soundness holds when a request with a part last had a first event: on any
// instance, and on this one; 0 if never.
type soundness struct{ sound, soundHere clock.Millis }

// hold is a part, or a whole request, that is held.
type hold struct {
	since, crashAt, lastRequest clock.Millis
	trials                      int
}

// nextTrial returns when the next request is sent nevertheless.
func (h *hold) nextTrial() clock.Millis {
	switch h.trials {
	case 0:
		return h.since + firstTrial
	case 1:
		return h.since + secondTrial
	}
	return h.since + clock.Millis(h.trials-1)*trialInterval
}

// Verdict is a part or a whole request that Decide holds or releases.
type Verdict struct {
	Part     string // or the name of a whole request
	Held     bool
	Crashes  int  // number of crashes that are not explained otherwise
	Requests int  // number of different requests that waited
	Sound    bool // a request with the part has had a first event
}

// New returns a Quarantiner without observations.
func New() *Quarantiner {
	return &Quarantiner{
		suspects: make(map[string]*suspect), parts: make(map[string]soundness), held: make(map[string]*hold),
	}
}

// RecordFirstEvent records that a request has had a first event, which clears it and
// its parts.
func (q *Quarantiner) RecordFirstEvent(now clock.Millis, request Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range request.each {
		q.recordSound(name, now, true)
	}
}

// recordSound records a first event of a part or a whole request. Of requests only
// those under which an endpoint has ended matter; the others would displace the parts.
// The lock is held.
func (q *Quarantiner) recordSound(name string, at clock.Millis, here bool) {
	if isContent(name) && q.suspects[name] == nil && q.held[name] == nil {
		return
	}
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
	if h := q.held[name]; h != nil && at > h.crashAt {
		delete(q.held, name)
		q.cleared = append(q.cleared, Verdict{Part: name, Sound: true})
		q.undecided = true
	}
}

// RecordCrash records that an endpoint, given by the hash of its id, has ended while
// a request waited there for its first event.
func (q *Quarantiner) RecordCrash(now clock.Millis, endpoint uint64, request Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.crashOf(endpoint, now)
	for position, name := range request.each {
		q.addWaiting(now, c, name, position, request.Content, copies)
	}
	q.addDropped(now, c)
}

// Suspicious reports whether two endpoints or more have ended while requests with
// one of the parts of this one waited, without a first event of such a request since,
// or as many under this very request as are needed to hold it.
func (q *Quarantiner) Suspicious(request Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range request.each {
		count, needed := 0, 2
		if isContent(name) {
			needed = ofContent[0].crashes
		}
		for _, c := range q.crashes {
			if c.waiting[name] != nil && c.at > q.parts[name].sound {
				count++
			}
		}
		if count >= needed {
			return true
		}
	}
	return false
}

// Check returns a part of the request that is held, or its name as a whole, and the time
// until one such request is sent nevertheless, 0 if it is due. It returns "" if there
// is none.
func (q *Quarantiner) Check(now clock.Millis, request Request) (part string, left clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.held) == 0 {
		return "", 0
	}
	for _, name := range request.each {
		h := q.held[name]
		if h == nil {
			continue
		}
		h.lastRequest = max(h.lastRequest, now)
		if wait := max(0, h.nextTrial()-now); part == "" || wait > left {
			part, left = name, wait
		}
	}
	return part, left
}

// TakeTrial reports whether a request that is held, or of which parts are, is sent
// nevertheless, and counts it if so. One instance of the fleet takes trials at a time.
func (q *Quarantiner) TakeTrial(now clock.Millis, request Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range request.each {
		if h := q.held[name]; h != nil && now < h.nextTrial() {
			return false
		}
	}
	for _, name := range request.each {
		if h := q.held[name]; h != nil {
			// Of the trials that were due while no request came, one is made up for.
			for h.trials++; h.nextTrial() <= now; {
				h.trials++
			}
		}
	}
	return true
}

// Decide holds the parts against which there is enough evidence, and returns them
// and those that are no longer held.
func (q *Quarantiner) Decide(now clock.Millis) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	verdicts := q.cleared
	q.cleared = nil
	for name, h := range q.held {
		if now-h.lastRequest >= forgetTime {
			delete(q.held, name)
			verdicts = append(verdicts, Verdict{Part: name})
		}
	}
	for q.undecided && len(q.held) < maxHeld {
		best := q.mostLikely(now)
		if best == nil {
			break
		}
		q.hold(best.Part, &hold{since: now, crashAt: best.crashAt, lastRequest: now})
		verdicts = append(verdicts, best.Verdict)
	}
	q.undecided = now-q.lastHeardAt < settleTime
	return verdicts
}

// End is the end of an endpoint.
type End struct {
	Endpoint uint64 // hash of its id
	At       clock.Millis
}

// Explained returns the known ends of endpoints under a request that is held, or of which
// a part is.
func (q *Quarantiner) Explained() []End {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []End
	for _, c := range q.crashes {
		if q.explained(c) {
			list = append(list, End{Endpoint: c.endpoint, At: c.at})
		}
	}
	return list
}

// hold holds a part or a whole request. The lock is held.
func (q *Quarantiner) hold(name string, h *hold) {
	if len(q.held) < maxHeld {
		q.held[name] = h
	}
}

// expire removes what is no longer needed. The lock is held.
func (q *Quarantiner) expire(now clock.Millis) {
	kept := q.crashes[:0]
	for _, c := range q.crashes {
		if now-c.at < crashMemory {
			kept = append(kept, c)
		}
	}
	clear(q.crashes[len(kept):])
	q.crashes = kept
	if now-q.sweptAt < sweepInterval {
		return
	}
	q.sweptAt = now
	for name, s := range q.suspects {
		if age := now - s.crashAt; age >= crashMemory || age >= contentMemory && isContent(name) && q.held[name] == nil {
			delete(q.suspects, name)
		}
	}
	for name, p := range q.parts {
		if q.suspects[name] == nil && now-p.sound >= soundMemory {
			delete(q.parts, name)
		}
	}
}
