package follower

import (
	"encoding/binary"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
)

// neverConfirmedDigest is the age in the digest of an instance that has no
// confirmation younger than MaxEvidenceAge.
const neverConfirmedDigest = math.MaxUint32

// Digest returns the gossip digest: the revision (8 bytes), the confirmation
// age in milliseconds (4 bytes) and the caller's count-table digest (8 bytes).
func (f *Follower) Digest(now clock.Millis, counts uint64) [gossiper.DigestBytes]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var d [gossiper.DigestBytes]byte
	age := uint32(neverConfirmedDigest)
	if a := now - f.confirmedAt; f.confirmedAt != 0 && a >= 0 && a < MaxEvidenceAge {
		age = uint32(a + ageRounding)
	}
	binary.BigEndian.PutUint64(d[:], f.current.Revision)
	binary.BigEndian.PutUint32(d[8:], age)
	binary.BigEndian.PutUint64(d[12:], counts)
	return d
}

// CountsDigest returns the count-table digest that a gossip digest contains.
func CountsDigest(d [gossiper.DigestBytes]byte) uint64 { return binary.BigEndian.Uint64(d[12:]) }

// HandleDigest handles a gossip digest. probedAt is the instant of the probe that
// it answers, or 0 if it answers none; only an answered probe bounds the age of the
// confirmation.
func (f *Follower) HandleDigest(
	now clock.Millis, from gossiper.Member, d [gossiper.DigestBytes]byte, probedAt clock.Millis,
) {
	revision := binary.BigEndian.Uint64(d[:])
	age := binary.BigEndian.Uint32(d[8:])
	f.mu.Lock()
	defer f.unlock()
	f.highestKnown = max(f.highestKnown, revision)
	if revision > f.current.Revision {
		f.tryQuery(now, from.ID, from.Address, revision)
		return
	}
	if probedAt != 0 && age != neverConfirmedDigest && revision > 0 {
		f.confirm(probedAt - clock.Millis(age))
	}
}

// bootstrap queries members for their revision while this instance has never
// been confirmed, and ends when a majority of the others has answered with a
// revision that is not above the current one.
func (f *Follower) bootstrap(now clock.Millis, members []gossiper.Member) {
	others, agreeing := 0, 0
	for _, m := range members {
		if m.ID == f.self || m.State == gossiper.Leaving {
			continue
		}
		others++
		answer, ok := f.bootstrapAnswers[m.ID]
		if ok && now-answer.sentAt < maxBootstrapAnswerAge && answer.revision > 0 && answer.revision <= f.current.Revision {
			agreeing++
		}
	}
	if 2*agreeing > others && f.highestKnown <= f.current.Revision {
		f.bootstrapped = true
		return
	}
	for range bootstrapQueriesPerTick {
		f.queryNextForBootstrap(now, members)
	}
}

// queryNextForBootstrap queries the next member of a shuffled round over the
// alive members, unless maxOpenQueries are open.
func (f *Follower) queryNextForBootstrap(now clock.Millis, members []gossiper.Member) {
	if len(f.openQueries) >= maxOpenQueries {
		return
	}
	if len(f.bootstrapQueue) == 0 {
		for _, m := range members {
			if m.ID != f.self && m.State == gossiper.Alive {
				f.bootstrapQueue = append(f.bootstrapQueue, m.ID)
			}
		}
		f.rand.Shuffle(len(f.bootstrapQueue), func(i, j int) {
			f.bootstrapQueue[i], f.bootstrapQueue[j] = f.bootstrapQueue[j], f.bootstrapQueue[i]
		})
	}
	if len(f.bootstrapQueue) == 0 {
		return
	}
	id := f.bootstrapQueue[0]
	f.bootstrapQueue = f.bootstrapQueue[1:]
	m, ok := findMember(members, id)
	queried := slices.ContainsFunc(f.openQueries, func(q openQuery) bool { return q.peer == id })
	if ok && !queried {
		f.startQuery(now, id, m.Address, f.current.Revision)
	}
}
