package quarantiner

import "rosemaryarch.example/rosemaryarch/clock"

// Crash is the end of an endpoint while a request waited there for its first
// event.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64   // hash of the endpoint's id
	Request  uint64   // hash of what tells the request from others; the same for its repetitions
	Parts    []string // ids of the parts of its prompt that other requests may share, in order
	Age      clock.Millis
}

// Mark tells that a request with a part has had a first event.
type Mark struct {
	_    struct{} `cbor:",toarray"`
	Part string
	Age  clock.Millis
}

// Hold tells that requests with a part are not sent.
type Hold struct {
	_     struct{} `cbor:",toarray"`
	Part  string
	Age   clock.Millis // time since the part was first held
	Quiet clock.Millis // time since the last request with the part
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
	// maxReportCrashes limits the crashes in one report. If a data centre loses
	// power, every instance observes many at the same time.
	maxReportCrashes = 8
)

// Outgoing returns the observations of this instance that the others don't know
// yet.
func (q *Quarantiner) Outgoing(now clock.Millis) Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var report Report
	for i := range q.crashes {
		r := &q.crashes[i]
		if r.sendsLeft == 0 || len(report.Crashes) == maxReportCrashes {
			continue
		}
		r.sendsLeft--
		crash := r.Crash
		crash.Age = now - r.at
		report.Crashes = append(report.Crashes, crash)
	}
	for name, s := range q.suspects {
		if s.untold(q.parts[name].soundHere) {
			s.told, s.sendsLeft = q.parts[name].soundHere, copies
		}
		if s.sendsLeft == 0 {
			continue
		}
		s.sendsLeft--
		report.Marks = append(report.Marks, Mark{Part: name, Age: now - s.told})
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
		list = append(list, Hold{Part: name, Age: now - h.since, Quiet: now - h.lastRequest})
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
		q.add(record{Crash: c, at: now - c.Age, heardAt: now})
	}
	for _, h := range report.Holds {
		since := now - h.Age
		if released, ok := q.released[h.Part]; ok && released >= since || q.parts[h.Part].sound > since {
			continue
		}
		if known := q.held[h.Part]; known != nil {
			known.lastRequest = max(known.lastRequest, now-h.Quiet)
			continue
		}
		q.hold(h.Part, since, now-h.Quiet)
	}
}
