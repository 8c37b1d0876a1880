package follower

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
)

const (
	noAge = -1 // stands for "never confirmed" in messages
	// rounding is added to each stated age, because the difference of two
	// instants in whole milliseconds may be up to one too small.
	rounding = 1
)

// news is the body of a hint and, with the object, of an answer.
type news struct {
	Revision uint64       `cbor:"revision"`
	Age      clock.Millis `cbor:"age"` // of the confirmation, or noAge
	// Outages are the ages of outage observations by data centre.
	Outages map[string]clock.Millis `cbor:"outages,omitempty"`
	Version uint64                  `cbor:"version,omitempty"`
	Value   []byte                  `cbor:"value,omitempty"`
}

type question struct {
	Have uint64 `cbor:"have"`
}

// news composes what this instance knows. Evidence that no longer permits work
// is left out.
func (f *Follower) news(now clock.Millis) news {
	n := news{Revision: f.held.Revision, Age: noAge}
	if f.confirmed != 0 && now-f.confirmed < FreshFor {
		n.Age = now - f.confirmed + rounding
	}
	if n.Age != noAge && n.Age < lateAge {
		return n // a young confirmation makes outage observations useless
	}
	n.Outages = map[string]clock.Millis{}
	for dc, at := range f.outages {
		if now-at < FreshFor {
			n.Outages[dc] = now - at + rounding
		}
	}
	return n
}

// fresher reports whether a hint of the present evidence is due.
func (f *Follower) fresher(now clock.Millis) bool {
	if now-f.hinted < hintInterval || f.held.Revision == 0 {
		return false
	}
	if f.confirmed-f.told >= hintInterval {
		return true
	}
	if now-f.confirmed < lateAge {
		return false
	}
	for dc, at := range f.outages {
		if at-f.toldDown[dc] >= hintInterval && now-at < FreshFor {
			return true
		}
	}
	return false
}

// hint tells random members of the data centre and, if wide, one member of
// each other data centre.
func (f *Follower) hint(now clock.Millis, wide bool) {
	fan := evidenceFan
	if f.held.Revision != f.toldRevision {
		f.toldRevision, fan = f.held.Revision, revisionFan
	}
	body, err := cbor.Marshal(f.news(now))
	if err != nil {
		return
	}
	f.hinted, f.told = now, f.confirmed
	for dc, at := range f.outages {
		f.toldDown[dc] = at
	}
	var to []string
	for _, dc := range f.view.reachable {
		live := f.view.live[dc]
		if dc == f.dataCentre {
			to = append(to, f.sample(live, fan)...)
		} else if wide {
			to = append(to, f.contact(live))
		}
	}
	f.effects = append(f.effects, func() {
		for _, address := range to {
			f.Hint(address, body)
		}
	})
}

// contact returns a watcher of another data centre, or now and then any other
// member, so that two dead watchers do not cut it off.
func (f *Follower) contact(live []gossiper.Member) string {
	i := f.rand.IntN(watchersEach + 1)
	if i == watchersEach || i >= len(live) {
		i = f.rand.IntN(len(live))
	}
	return live[i].Address
}

// sample returns the addresses of up to n random members other than this one.
func (f *Follower) sample(live []gossiper.Member, n int) []string {
	var picked []string
	for _, i := range f.rand.Perm(len(live)) {
		if live[i].ID != f.self && len(picked) < n {
			picked = append(picked, live[i].Address)
		}
	}
	return picked
}

// repair asks a random member of the data centre with the oldest evidence, or
// in turn of the own one, if hints left this instance with late evidence.
// Without it, instances stopped for moments in an outage (3% of the time with
// 128 of them). It leaves a slot for other questions, because a silent data
// centre does not answer.
func (f *Follower) repair(now clock.Millis) {
	dc, late := f.latest(now)
	if !late || now < f.nextRepair || len(f.asks) >= maxAsks-1 {
		return
	}
	f.nextRepair = now + repairInterval
	f.repairs++
	if f.repairs%2 == 0 {
		dc = f.dataCentre
	}
	live := f.view.live[dc]
	if len(live) == 0 {
		return
	}
	if m := live[f.rand.IntN(len(live))]; m.ID != f.self {
		f.ask(now, m.ID, m.Address, f.held.Revision)
	}
}

// latest returns the reachable data centre with the oldest outage observation,
// and whether the evidence for new work is about to run out.
func (f *Follower) latest(now clock.Millis) (dataCentre string, late bool) {
	if now-f.confirmed < lateAge {
		return "", false
	}
	oldest := now
	for _, dc := range f.view.reachable {
		if f.outages[dc] < oldest {
			oldest, dataCentre = f.outages[dc], dc
		}
	}
	return dataCentre, now-oldest >= repairAge
}

// Hinted handles a message of kind "revision" and asks the sender if it has
// something newer. A hint by itself proves nothing, because it may be late.
// The error tells that the body is malformed; nothing is changed then.
func (f *Follower) Hinted(now clock.Millis, from string, body []byte) error {
	var n news
	if err := cbor.Unmarshal(body, &n); err != nil {
		return errors.Wrap(err, "follower: decode hint")
	}
	f.mu.Lock()
	defer f.unlock()
	f.highest = max(f.highest, n.Revision)
	if f.wants(now, n) {
		if m, ok := find(f.members, from); ok {
			f.ask(now, m.ID, m.Address, n.Revision)
		}
	}
	return nil
}

func (f *Follower) wants(now clock.Millis, n news) bool {
	if n.Revision > f.held.Revision {
		return true
	}
	if n.Age != noAge && now-n.Age >= f.confirmed+hintInterval/2 {
		return true
	}
	if now-f.confirmed < lateAge {
		return false
	}
	for dc, age := range n.Outages {
		if now-age >= f.outages[dc]+hintInterval/2 {
			return true
		}
	}
	return false
}

// ask puts a question to a peer, unless enough are open.
func (f *Follower) ask(now clock.Millis, id, address string, revision uint64) {
	if len(f.asks) >= maxAsks || address == "" {
		return
	}
	for _, a := range f.asks {
		recent := now-a.at < bodyRetry
		if a.to == id || recent && revision > f.held.Revision && a.revision >= revision {
			return
		}
	}
	f.question(now, id, address, revision)
}

func (f *Follower) question(now clock.Millis, id, address string, revision uint64) {
	body, err := cbor.Marshal(question{Have: f.held.Revision})
	if err != nil {
		return
	}
	f.asks = append(f.asks, ask{to: id, at: now, revision: revision})
	f.effects = append(f.effects, func() {
		f.Ask(address, body, func(at clock.Millis, answer []byte, err error) { f.answered(at, now, id, answer, err) })
	})
}

// Answer handles a call of kind "revision_get".
// The error tells that the question is malformed.
func (f *Follower) Answer(now clock.Millis, body []byte) ([]byte, error) {
	var q question
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "follower: decode question")
	}
	f.mu.Lock()
	n := f.news(now)
	if f.held.Revision > q.Have {
		n.Value, n.Version = f.value, f.version
	}
	f.mu.Unlock()
	b, err := cbor.Marshal(n)
	return b, errors.Wrap(err, "follower: encode answer")
}

// answered takes over what a peer knows. The question left at asked, so that
// everything in the answer is at most as old as its age before asked.
func (f *Follower) answered(now, asked clock.Millis, id string, body []byte, err error) {
	f.mu.Lock()
	defer f.unlock()
	f.asks = slices.DeleteFunc(f.asks, func(a ask) bool { return a.to == id && a.at == asked })
	var n news
	if err != nil || cbor.Unmarshal(body, &n) != nil {
		return
	}
	adopted := len(n.Value) > 0 && f.adopt(now, n.Value, n.Version)
	f.highest = max(f.highest, n.Revision)
	if n.Revision <= f.held.Revision {
		f.census[id] = answered{at: asked, revision: n.Revision}
		f.takeEvidence(asked, n)
	}
	if adopted || f.fresher(now) {
		f.hint(now, f.view.watcher)
	}
}

func (f *Follower) takeEvidence(asked clock.Millis, n news) {
	if n.Age >= 0 && n.Revision > 0 {
		f.confirm(asked - n.Age)
	}
	for dc, age := range n.Outages {
		if age >= 0 && slices.Contains(f.view.reachable, dc) {
			f.outage(dc, asked-age)
		}
	}
}
