package picker

import "rosemaryarch.example/rosemaryarch/clock"

const (
	hintWays   = 4 // endpoints kept per set of prefixes
	noEndpoint = -1
)

// hints is a set-associative table from prefix hashes to endpoints. It may be
// wrong: cache events are late and have gaps, and old entries are overwritten.
type hints struct {
	prefix   []uint64
	endpoint []int32
	at       []clock.Millis
	sets     uint64
}

func newHints(count int) hints {
	sets := max(1, (count+hintWays-1)/hintWays)
	h := hints{
		prefix: make([]uint64, sets*hintWays), endpoint: make([]int32, sets*hintWays),
		at: make([]clock.Millis, sets*hintWays), sets: uint64(sets),
	}
	for i := range h.endpoint {
		h.endpoint[i] = noEndpoint
	}
	return h
}

// set returns the index of the first way of a prefix.
func (h *hints) set(prefix uint64) int { return int(prefix % h.sets * hintWays) }

// put refreshes the entry, or replaces the oldest of its set.
func (h *hints) put(prefix uint64, e int32, now clock.Millis) {
	first := h.set(prefix)
	slot := first
	for i := first; i < first+hintWays; i++ {
		if h.endpoint[i] == e && h.prefix[i] == prefix {
			h.at[i] = now
			return
		}
		if h.endpoint[slot] != noEndpoint && (h.endpoint[i] == noEndpoint || h.at[i] < h.at[slot]) {
			slot = i
		}
	}
	h.prefix[slot], h.endpoint[slot], h.at[slot] = prefix, e, now
}

func (h *hints) remove(prefix uint64, e int32) {
	first := h.set(prefix)
	for i := first; i < first+hintWays; i++ {
		if h.endpoint[i] == e && h.prefix[i] == prefix {
			h.endpoint[i] = noEndpoint
		}
	}
}
