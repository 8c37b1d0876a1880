package follower

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storer"
)

// Tick refreshes the view of the membership, polls the store if it is this
// instance's turn, and sends hints that are due. It should be called every
// 100 ms.
func (f *Follower) Tick(now clock.Millis) {
	members := f.Members()
	f.mu.Lock()
	if !same(members, f.members) {
		f.members, f.view = members, look(members, f.self)
	}
	f.asks = slices.DeleteFunc(f.asks, func(a ask) bool { return now-a.at >= askTimeout })
	for _, at := range f.polls {
		if now-at >= unanswered {
			f.outage(f.dataCentre, now)
		}
	}
	if now >= f.nextPoll {
		f.duePoll(now)
	}
	if !f.proven {
		f.takeCensus(now, members)
	}
	if f.fresher(now) {
		f.hint(now, f.view.watcher)
	}
	f.repair(now)
	f.unlock()
}

// duePoll polls at a watcher, and at others with a probability that keeps
// the expected number per data centre constant while confirmations are late.
func (f *Follower) duePoll(now clock.Millis) {
	if f.nextPoll == 0 {
		// Spreads the polls of the two watchers over the interval.
		f.nextPoll = now + clock.Millis(f.rand.Int64N(int64(pollInterval)))
	} else {
		f.nextPoll = now + pollInterval
	}
	late := f.confirmed == 0 || now-f.confirmed > lateAge
	backup := late && f.rand.IntN(max(len(f.view.live[f.dataCentre]), 1)) < backupPolls
	if f.view.watcher || backup {
		f.poll(now)
	}
}

// poll reads the version, or the object if its version is not known.
func (f *Follower) poll(now clock.Millis) {
	if len(f.polls) >= maxPolls {
		return
	}
	f.polls = append(f.polls, now)
	if f.version == 0 {
		f.get(now)
		return
	}
	f.effects = append(f.effects, func() {
		f.Version(func(at clock.Millis, version uint64, err error) { f.polled(at, now, version, err) })
	})
}

// get reads the object as part of the poll that began at asked.
func (f *Follower) get(asked clock.Millis) {
	f.effects = append(f.effects, func() {
		f.Get(func(at clock.Millis, o storer.Object, err error) { f.got(at, asked, o, err) })
	})
}

func (f *Follower) endPoll(asked clock.Millis) {
	if i := slices.Index(f.polls, asked); i >= 0 {
		f.polls = slices.Delete(f.polls, i, i+1)
	}
}

// polled settles a read of the version that began at asked.
func (f *Follower) polled(now, asked clock.Millis, version uint64, err error) {
	f.mu.Lock()
	defer f.unlock()
	switch {
	case err != nil:
		f.endPoll(asked)
		f.failed(asked, err)
	case version == f.version:
		f.endPoll(asked)
		f.confirm(asked)
		if f.fresher(now) {
			f.hint(now, f.view.watcher)
		}
	case version > f.version:
		f.get(asked)
	default:
		f.endPoll(asked) // a stale read
	}
}

// got settles a read of the object in a poll that began at asked.
func (f *Follower) got(now, asked clock.Millis, o storer.Object, err error) {
	f.mu.Lock()
	defer f.unlock()
	f.endPoll(asked)
	if err != nil {
		f.failed(asked, err)
		return
	}
	adopted := f.adopt(now, o.Value, o.Version)
	if o.Version == f.version {
		f.confirm(asked)
	}
	if adopted || f.fresher(now) {
		f.hint(now, f.view.watcher)
	}
}

// failed records an outage observation. A missing object is an answer of a
// store that works.
func (f *Follower) failed(asked clock.Millis, err error) {
	if !errors.Is(err, storer.ErrNotFound) {
		f.outage(f.dataCentre, asked)
	}
}
