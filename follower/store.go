package follower

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Tick updates the view of the membership, polls the store if a poll is due and
// this instance is elected, and sends the hints and queries that are due. It
// should be called every 100 ms.
func (f *Follower) Tick(now clock.Millis) {
	members := f.Members()
	f.mu.Lock()
	if !sameTable(members, f.members) {
		f.members, f.view = members, newView(members, f.self)
	}
	f.openQueries = slices.DeleteFunc(f.openQueries, func(q openQuery) bool { return now-q.sentAt >= queryTimeout })
	for _, startedAt := range f.openPolls {
		if now-startedAt >= unansweredPollAge {
			f.observeOutage(f.dataCentre, now)
		}
	}
	if now >= f.nextPoll {
		f.pollIfElected(now)
	}
	if !f.bootstrapped {
		f.bootstrap(now, members)
	}
	if f.hintDue(now) {
		f.sendHints(now, f.view.isWatcher)
	}
	f.repair(now)
	f.unlock()
}

// pollIfElected polls at a watcher. While confirmations are late it also polls
// at other members, with a probability that keeps the expected number of polls
// per data centre constant.
func (f *Follower) pollIfElected(now clock.Millis) {
	if f.nextPoll == 0 {
		// A random phase distributes the polls of the watchers over the interval.
		f.nextPoll = now + clock.Millis(f.rand.Int64N(int64(pollInterval)))
	} else {
		f.nextPoll = now + pollInterval
	}
	late := f.confirmedAt == 0 || now-f.confirmedAt > lateConfirmationAge
	backup := late && f.rand.IntN(max(len(f.view.aliveMembers[f.dataCentre]), 1)) < backupPollers
	if f.view.isWatcher || backup {
		f.poll(now)
	}
}

// poll starts a read of the version, or of the object if its version in the store
// is not known, unless maxOpenPolls are open.
func (f *Follower) poll(now clock.Millis) {
	if len(f.openPolls) >= maxOpenPolls {
		return
	}
	f.openPolls = append(f.openPolls, now)
	if f.storeVersion == 0 {
		f.startObjectRead(now)
		return
	}
	f.effects = append(f.effects, func() {
		f.ReadVersion(func(at clock.Millis, version uint64, err error) { f.handleVersion(at, now, version, err) })
	})
}

// startObjectRead reads the object as part of the poll that began at startedAt.
func (f *Follower) startObjectRead(startedAt clock.Millis) {
	f.effects = append(f.effects, func() {
		f.ReadObject(func(at clock.Millis, o storeclient.Object, err error) { f.handleObject(at, startedAt, o, err) })
	})
}

func (f *Follower) endPoll(startedAt clock.Millis) {
	if i := slices.Index(f.openPolls, startedAt); i >= 0 {
		f.openPolls = slices.Delete(f.openPolls, i, i+1)
	}
}

// handleVersion completes a read of the version in a poll that began at
// startedAt.
func (f *Follower) handleVersion(now, startedAt clock.Millis, version uint64, err error) {
	f.mu.Lock()
	defer f.unlock()
	switch {
	case err != nil:
		f.endPoll(startedAt)
		f.observeFailure(startedAt, err)
	case version == f.storeVersion:
		f.endPoll(startedAt)
		f.confirm(startedAt)
		if f.hintDue(now) {
			f.sendHints(now, f.view.isWatcher)
		}
	case version > f.storeVersion:
		f.startObjectRead(startedAt)
	default:
		f.endPoll(startedAt) // a stale read
	}
}

// handleObject completes a read of the object in a poll that began at startedAt.
func (f *Follower) handleObject(now, startedAt clock.Millis, o storeclient.Object, err error) {
	f.mu.Lock()
	defer f.unlock()
	f.endPoll(startedAt)
	if err != nil {
		f.observeFailure(startedAt, err)
		return
	}
	adopted := f.adopt(now, o.Value, o.Version)
	if o.Version == f.storeVersion {
		f.confirm(startedAt)
	}
	if adopted || f.hintDue(now) {
		f.sendHints(now, f.view.isWatcher)
	}
}

// observeFailure records an outage observation for a failed store call. A
// missing object is no outage: the store answered.
func (f *Follower) observeFailure(startedAt clock.Millis, err error) {
	if !errors.Is(err, storeclient.ErrNotFound) {
		f.observeOutage(f.dataCentre, startedAt)
	}
}
