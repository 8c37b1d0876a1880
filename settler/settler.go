package settler

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// settleTime is the time from the first sight of an era until what the store shows counts.
	// Objects are written again within about two seconds of the start of the era.
	settleTime = 3 * clock.Second
	// firstEra is the era of a store that has never come back from a copy.
	firstEra = 1
)

// Settler holds the eras that one process has seen. Its zero value is for a store that states
// none. It is safe for concurrent use.
type Settler struct {
	mu       sync.Mutex
	era      int64        // latest known era; 0: none
	seenAt   clock.Millis // first sight of era
	lived    bool         // what was known before the start of era counts
	recorded int64        // latest era that the store has recorded as settled
}

// Begin records that a later era is known from now on.
func (s *Settler) Begin(now clock.Millis, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lived = s.era != 0 && s.settled(now)
	s.era, s.seenAt = era, now
}

// Adopt records that the store holds the record of a settled era. A copy holds that of an
// earlier one.
func (s *Settler) Adopt(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = max(s.recorded, era)
}

// Settled reports whether what the store shows may be taken for the present state.
func (s *Settler) Settled(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled(now)
}

func (s *Settler) settled(now clock.Millis) bool {
	return s.era <= firstEra || s.lived || s.recorded == s.era || now-s.seenAt >= settleTime
}

// Unrecorded returns the present era if it has settled and the store has no record of that, or
// 0. The record lets processes that start later serve at once.
func (s *Settler) Unrecorded(now clock.Millis) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era <= firstEra || s.recorded == s.era || now-s.seenAt < settleTime {
		return 0
	}
	return s.era
}
