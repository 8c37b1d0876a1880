package quarantiner

import "rosemaryarch.example/rosemaryarch/clock"

// Waiting is a part of the prompts of requests that waited for their first event
// when an endpoint ended, or one of these requests as a whole.
type Waiting struct {
	Part     string   `cbor:"1,keyasint"`
	Position int      `cbor:"2,keyasint,omitempty"` // the largest among the parts of a prompt
	Requests []uint64 `cbor:"3,keyasint"`           // content of different requests, at most maxRequests
}

// Crash is the end of an endpoint, as seen by one instance.
type Crash struct {
	Endpoint uint64       `cbor:"1,keyasint"` // hash of the endpoint's id
	Age      clock.Millis `cbor:"2,keyasint"`
	Waiting  []Waiting    `cbor:"3,keyasint"`
}

// Mark tells that a request with a part has had a first event.
type Mark struct {
	Part string       `cbor:"1,keyasint"`
	Age  clock.Millis `cbor:"2,keyasint"`
}

// Hold tells that requests with a part, or repetitions of one request, are not sent.
type Hold struct {
	Part     string       `cbor:"1,keyasint"`
	Age      clock.Millis `cbor:"2,keyasint"`           // time since the part was first held
	CrashAge clock.Millis `cbor:"3,keyasint"`           // time since the last crash under a request with it
	Quiet    clock.Millis `cbor:"4,keyasint"`           // time since the last request with it
	Trials   int          `cbor:"5,keyasint,omitempty"` // number of requests with it that were sent since
}

// Report holds observations of one instance for the others.
type Report struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	Marks   []Mark  `cbor:"2,keyasint,omitempty"`
	Holds   []Hold  `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the report holds nothing.
func (r Report) Empty() bool { return len(r.Crashes)+len(r.Marks)+len(r.Holds) == 0 }

const (
	// copies is the number of times that an observation is sent, since datagrams
	// may be lost.
	copies = 2
	// maxReportParts limits the parts in one report, and with them its size to some
	// 25 KB. If a data centre loses power, every instance observes many crashes.
	maxReportParts = 256
)

// Outgoing returns the observations of this instance that the others don't know
// yet, the latest crashes first. Parts that have been cleared meanwhile are left
// out.
func (q *Quarantiner) Outgoing(now clock.Millis) Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var report Report
	room := maxReportParts
	for i := len(q.crashes) - 1; i >= 0 && room > 0; i-- {
		c := q.crashes[i]
		out := Crash{Endpoint: c.endpoint, Age: now - c.at}
		for name, w := range c.waiting {
			if w.sendsLeft == 0 || room == 0 {
				continue
			}
			w.sendsLeft--
			if q.parts[name].sound >= c.at {
				continue
			}
			room--
			out.Waiting = append(out.Waiting, Waiting{Part: name, Position: w.position, Requests: w.requests})
		}
		if len(out.Waiting) > 0 {
			report.Crashes = append(report.Crashes, out)
		}
	}
	for name, s := range q.suspects {
		if room == 0 {
			break
		}
		if here := q.parts[name].soundHere; s.untold(here) {
			s.told, s.sendsLeft = here, copies
		}
		if s.sendsLeft > 0 {
			s.sendsLeft--
			room--
			report.Marks = append(report.Marks, Mark{Part: name, Age: now - s.told})
		}
	}
	return report
}

// Held returns the parts that are held, for instances that have just started or
// have missed reports.
func (q *Quarantiner) Held(now clock.Millis) []Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]Hold, 0, len(q.held))
	for name, h := range q.held {
		list = append(list, Hold{
			Part: name, Age: now - h.since, CrashAge: now - h.crashAt, Quiet: now - h.lastRequest, Trials: h.trials,
		})
	}
	return list
}

// Merge adds the observations of another instance.
func (q *Quarantiner) Merge(now clock.Millis, report Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range report.Marks {
		at := now - m.Age
		q.recordSound(m.Part, at, false)
		if s := q.suspects[m.Part]; s != nil {
			s.told = max(s.told, at)
		}
	}
	for _, c := range report.Crashes {
		e := q.crashOf(c.Endpoint, now-c.Age)
		for _, w := range c.Waiting {
			for _, request := range w.Requests {
				q.addWaiting(now, e, w.Part, w.Position, request, 0)
			}
		}
		q.addDropped(now, e)
	}
	for _, h := range report.Holds {
		q.mergeHold(now, h)
	}
}

// mergeHold adds a hold of another instance, unless a request with the part has had
// a first event since the last crash. The other instance is then told. The lock is
// held.
func (q *Quarantiner) mergeHold(now clock.Millis, h Hold) {
	crashAt := now - h.CrashAge
	if q.parts[h.Part].sound > crashAt {
		s := q.suspectOf(h.Part, crashAt)
		if s.sendsLeft == 0 && q.parts[h.Part].soundHere > crashAt {
			s.told = 0
		}
		return
	}
	known := q.held[h.Part]
	if known == nil {
		q.hold(h.Part, &hold{since: now - h.Age, crashAt: crashAt, lastRequest: now - h.Quiet, trials: h.Trials})
		return
	}
	known.crashAt = max(known.crashAt, crashAt)
	known.lastRequest = max(known.lastRequest, now-h.Quiet)
	known.trials = max(known.trials, h.Trials)
}
