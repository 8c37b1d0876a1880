package follower

import (
	"encoding/binary"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
)

// noDigestAge stands for "never confirmed" in a digest.
const noDigestAge = math.MaxUint32

// Digest returns the gossip digest: the revision (8 bytes), the confirmation
// age in milliseconds (4 bytes) and the caller's count-table digest (8 bytes).
func (f *Follower) Digest(now clock.Millis, counts uint64) [gossiper.DigestBytes]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var d [gossiper.DigestBytes]byte
	age := uint32(noDigestAge)
	if a := now - f.confirmed; f.confirmed != 0 && a >= 0 && a < FreshFor {
		age = uint32(a + rounding)
	}
	binary.BigEndian.PutUint64(d[:], f.held.Revision)
	binary.BigEndian.PutUint32(d[8:], age)
	binary.BigEndian.PutUint64(d[12:], counts)
	return d
}

// Counts returns the count-table digest of a gossip digest.
func Counts(d [gossiper.DigestBytes]byte) uint64 { return binary.BigEndian.Uint64(d[12:]) }

// Heard handles a gossip digest. asked is the instant of the probe that it
// answers, or 0; only an answered probe bounds the age of the confirmation.
func (f *Follower) Heard(now clock.Millis, from gossiper.Member, d [gossiper.DigestBytes]byte, asked clock.Millis) {
	revision := binary.BigEndian.Uint64(d[:])
	age := binary.BigEndian.Uint32(d[8:])
	f.mu.Lock()
	defer f.unlock()
	f.highest = max(f.highest, revision)
	if revision > f.held.Revision {
		f.ask(now, from.ID, from.Address, revision)
		return
	}
	if asked != 0 && age != noDigestAge && revision > 0 {
		f.confirm(asked - clock.Millis(age))
	}
}

// takeCensus asks members for their revision while this instance has never
// been confirmed, and ends when a majority of the others agrees.
func (f *Follower) takeCensus(now clock.Millis, members []gossiper.Member) {
	others, agree := 0, 0
	for _, m := range members {
		if m.ID == f.self || m.State == gossiper.Leaving {
			continue
		}
		others++
		a, ok := f.census[m.ID]
		if ok && now-a.at < censusAge && a.revision > 0 && a.revision <= f.held.Revision {
			agree++
		}
	}
	if 2*agree > others && f.highest <= f.held.Revision {
		f.proven = true
		return
	}
	for range censusRate {
		f.askNext(now, members)
	}
}

func (f *Follower) askNext(now clock.Millis, members []gossiper.Member) {
	if len(f.asks) >= maxAsks {
		return
	}
	if len(f.order) == 0 {
		for _, m := range members {
			if m.ID != f.self && m.State == gossiper.Alive {
				f.order = append(f.order, m.ID)
			}
		}
		f.rand.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	}
	if len(f.order) == 0 {
		return
	}
	id := f.order[0]
	f.order = f.order[1:]
	m, ok := find(members, id)
	asking := slices.ContainsFunc(f.asks, func(a ask) bool { return a.to == id })
	if ok && !asking {
		f.question(now, id, m.Address, f.held.Revision)
	}
}
