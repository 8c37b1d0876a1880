package follower

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
)

const (
	// neverConfirmed is the age in messages of an instance that has no
	// confirmation younger than MaxEvidenceAge.
	neverConfirmed = -1
	// ageRounding, in milliseconds, is added to each stated age, because the
	// difference of two instants in whole milliseconds may be up to one too small.
	ageRounding = 1
)

// report is the body of a hint and, with the object, of an answer. It states the
// revision and the evidence of its sender; ages are in milliseconds.
type report struct {
	Revision uint64       `cbor:"revision"`
	Age      clock.Millis `cbor:"age"` // of the confirmation, or neverConfirmed
	// Outages are the ages of outage observations by data centre.
	Outages map[string]clock.Millis `cbor:"outages,omitempty"`
	Version uint64                  `cbor:"version,omitempty"`
	Value   []byte                  `cbor:"value,omitempty"`
}

// query asks a peer for its report, with the object if its revision is above
// Have.
type query struct {
	Have uint64 `cbor:"have"`
}

// composeReport returns the report of this instance without the object. Expired
// evidence is left out.
func (f *Follower) composeReport(now clock.Millis) report {
	r := report{Revision: f.current.Revision, Age: neverConfirmed}
	if f.confirmedAt != 0 && now-f.confirmedAt < MaxEvidenceAge {
		r.Age = now - f.confirmedAt + ageRounding
	}
	if r.Age != neverConfirmed && r.Age < lateConfirmationAge {
		return r // the receiver needs no outage observations
	}
	r.Outages = map[string]clock.Millis{}
	for dc, at := range f.outageSeenAt {
		if now-at < MaxEvidenceAge {
			r.Outages[dc] = now - at + ageRounding
		}
	}
	return r
}

// hintDue reports whether the evidence has advanced enough since the last hint
// for another one.
func (f *Follower) hintDue(now clock.Millis) bool {
	if now-f.lastHintAt < hintInterval || f.current.Revision == 0 {
		return false
	}
	if f.confirmedAt-f.hintedConfirmation >= hintInterval {
		return true
	}
	if now-f.confirmedAt < lateConfirmationAge {
		return false
	}
	for dc, at := range f.outageSeenAt {
		if at-f.hintedOutages[dc] >= hintInterval && now-at < MaxEvidenceAge {
			return true
		}
	}
	return false
}

// sendHints sends a hint to random members of the data centre and, with
// acrossDataCentres, to one member of each other data centre.
func (f *Follower) sendHints(now clock.Millis, acrossDataCentres bool) {
	fanOut := evidenceFanOut
	if f.current.Revision != f.hintedRevision {
		f.hintedRevision, fanOut = f.current.Revision, revisionFanOut
	}
	body, err := cbor.Marshal(f.composeReport(now))
	if err != nil {
		return
	}
	f.lastHintAt, f.hintedConfirmation = now, f.confirmedAt
	for dc, at := range f.outageSeenAt {
		f.hintedOutages[dc] = at
	}
	var addresses []string
	for _, dc := range f.view.aliveDataCentres {
		alive := f.view.aliveMembers[dc]
		if dc == f.dataCentre {
			addresses = append(addresses, f.sampleAddresses(alive, fanOut)...)
		} else if acrossDataCentres {
			addresses = append(addresses, f.contactAddress(alive))
		}
	}
	f.effects = append(f.effects, func() {
		for _, address := range addresses {
			f.SendHint(address, body)
		}
	})
}

// contactAddress returns the address of a random watcher of another data centre,
// or with probability 1/(watchersPerDataCentre+1) that of any member, so that
// dead watchers do not cut the data centre off.
func (f *Follower) contactAddress(members []gossiper.Member) string {
	i := f.rand.IntN(watchersPerDataCentre + 1)
	if i == watchersPerDataCentre || i >= len(members) {
		i = f.rand.IntN(len(members))
	}
	return members[i].Address
}

// sampleAddresses returns the addresses of up to n random members other than
// this one.
func (f *Follower) sampleAddresses(members []gossiper.Member, n int) []string {
	var picked []string
	for _, i := range f.rand.Perm(len(members)) {
		if members[i].ID != f.self && len(picked) < n {
			picked = append(picked, members[i].Address)
		}
	}
	return picked
}

// repair queries a random member if the evidence is late despite the hints: in
// turn one of the data centre with the oldest outage observation and one of its
// own. Without it, instances were briefly not fresh during an outage (3% of the
// time with 128 instances). It leaves one open query for other purposes, because
// an unreachable data centre does not answer.
func (f *Follower) repair(now clock.Millis) {
	dc, due := f.oldestEvidence(now)
	if !due || now < f.nextRepair || len(f.openQueries) >= maxOpenQueries-1 {
		return
	}
	f.nextRepair = now + repairInterval
	f.repairCount++
	if f.repairCount%2 == 0 {
		dc = f.dataCentre
	}
	alive := f.view.aliveMembers[dc]
	if len(alive) == 0 {
		return
	}
	if m := alive[f.rand.IntN(len(alive))]; m.ID != f.self {
		f.tryQuery(now, m.ID, m.Address, f.current.Revision)
	}
}

// oldestEvidence returns the data centre with an alive member that has the
// oldest outage observation, and whether that observation is due for repair.
func (f *Follower) oldestEvidence(now clock.Millis) (dataCentre string, due bool) {
	if now-f.confirmedAt < lateConfirmationAge {
		return "", false
	}
	oldest := now
	for _, dc := range f.view.aliveDataCentres {
		if f.outageSeenAt[dc] < oldest {
			oldest, dataCentre = f.outageSeenAt[dc], dc
		}
	}
	return dataCentre, now-oldest >= repairEvidenceAge
}

// HandleHint handles a message of kind "revision" and queries the sender if it has
// a newer revision or fresher evidence. A hint itself is no evidence, because it
// may be late. If the body is malformed, HandleHint changes nothing and returns an
// error.
func (f *Follower) HandleHint(now clock.Millis, from string, body []byte) error {
	var r report
	if err := cbor.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "follower: decode hint")
	}
	f.mu.Lock()
	defer f.unlock()
	f.highestKnown = max(f.highestKnown, r.Revision)
	if f.isNewer(now, r) {
		if m, ok := findMember(f.members, from); ok {
			f.tryQuery(now, m.ID, m.Address, r.Revision)
		}
	}
	return nil
}

// isNewer reports whether r states a newer revision, or evidence that is fresher by
// at least half of hintInterval.
func (f *Follower) isNewer(now clock.Millis, r report) bool {
	if r.Revision > f.current.Revision {
		return true
	}
	if r.Age != neverConfirmed && now-r.Age >= f.confirmedAt+hintInterval/2 {
		return true
	}
	if now-f.confirmedAt < lateConfirmationAge {
		return false
	}
	for dc, age := range r.Outages {
		if now-age >= f.outageSeenAt[dc]+hintInterval/2 {
			return true
		}
	}
	return false
}

// tryQuery queries a peer, unless maxOpenQueries are open, one of them is to this
// peer, or another peer was queried for the same revision less than
// bodyRetryInterval ago.
func (f *Follower) tryQuery(now clock.Millis, id, address string, revision uint64) {
	if len(f.openQueries) >= maxOpenQueries || address == "" {
		return
	}
	for _, q := range f.openQueries {
		recent := now-q.sentAt < bodyRetryInterval
		if q.peer == id || recent && revision > f.current.Revision && q.revision >= revision {
			return
		}
	}
	f.startQuery(now, id, address, revision)
}

func (f *Follower) startQuery(now clock.Millis, id, address string, revision uint64) {
	body, err := cbor.Marshal(query{Have: f.current.Revision})
	if err != nil {
		return
	}
	f.openQueries = append(f.openQueries, openQuery{peer: id, sentAt: now, revision: revision})
	f.effects = append(f.effects, func() {
		f.SendQuery(address, body, func(at clock.Millis, answer []byte, err error) {
			f.handleAnswer(at, now, id, answer, err)
		})
	})
}

// HandleQuery handles a call of kind "revision_get" and returns its answer.
// The error states why the query is malformed.
func (f *Follower) HandleQuery(now clock.Millis, body []byte) ([]byte, error) {
	var q query
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "follower: decode query")
	}
	f.mu.Lock()
	r := f.composeReport(now)
	if f.current.Revision > q.Have {
		r.Value, r.Version = f.currentValue, f.storeVersion
	}
	f.mu.Unlock()
	b, err := cbor.Marshal(r)
	return b, errors.Wrap(err, "follower: encode answer")
}

// handleAnswer applies the answer to a query that was sent at sentAt. The peer
// composed it after sentAt, so that evidence of age a holds at sentAt-a.
func (f *Follower) handleAnswer(now, sentAt clock.Millis, id string, body []byte, err error) {
	f.mu.Lock()
	defer f.unlock()
	f.openQueries = slices.DeleteFunc(f.openQueries, func(q openQuery) bool { return q.peer == id && q.sentAt == sentAt })
	var r report
	if err != nil || cbor.Unmarshal(body, &r) != nil {
		return
	}
	adopted := len(r.Value) > 0 && f.adopt(now, r.Value, r.Version)
	f.highestKnown = max(f.highestKnown, r.Revision)
	if r.Revision <= f.current.Revision {
		f.bootstrapAnswers[id] = bootstrapAnswer{sentAt: sentAt, revision: r.Revision}
		f.applyEvidence(sentAt, r)
	}
	if adopted || f.hintDue(now) {
		f.sendHints(now, f.view.isWatcher)
	}
}

// applyEvidence records the evidence of a peer whose revision is not above the
// current one.
func (f *Follower) applyEvidence(sentAt clock.Millis, r report) {
	if r.Age >= 0 && r.Revision > 0 {
		f.confirm(sentAt - r.Age)
	}
	for dc, age := range r.Outages {
		if age >= 0 && slices.Contains(f.view.aliveDataCentres, dc) {
			f.observeOutage(dc, sentAt-age)
		}
	}
}
