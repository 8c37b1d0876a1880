package picker

import "rosemaryarch.example/rosemaryarch/clock"

const (
	hintWays = 4 // endpoints kept per set of prefixes
)

const noEndpoint int32 = -1

// hints is a set-associative table from prefix hashes to endpoints. It may be
// wrong: cache events are late and have gaps, and old entries are overwritten.
type hints struct {
	prefix   []uint64
	endpoint []int32
	at       []clock.Millis
	sets     uint64
	pairs    []uint64 // hashes of a prefix and its holder, each at the index that it gives
}

func newHints(count int) hints {
	sets := max(1, (count+hintWays-1)/hintWays)
	h := hints{
		prefix: make([]uint64, sets*hintWays), endpoint: make([]int32, sets*hintWays),
		at: make([]clock.Millis, sets*hintWays), sets: uint64(sets), pairs: make([]uint64, sets*hintWays),
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

// adopt copies the entries of an older table; place holds the new index of each
// endpoint, or noEndpoint.
func (h *hints) adopt(old *hints, place []int32) {
	for i, e := range old.endpoint {
		if e != noEndpoint && place[e] != noEndpoint {
			h.put(old.prefix[i], place[e], old.at[i])
		}
	}
	if len(h.pairs) == len(old.pairs) {
		copy(h.pairs, old.pairs)
	}
}

func (h *hints) remove(prefix uint64, e int32) {
	first := h.set(prefix)
	for i := first; i < first+hintWays; i++ {
		if h.endpoint[i] == e && h.prefix[i] == prefix {
			h.endpoint[i] = noEndpoint
		}
	}
}

// hold notes that the endpoint with the given hash holds the prefix.
func (h *hints) hold(prefix, endpoint uint64) {
	pair := mix(prefix ^ endpoint)
	h.pairs[pair%uint64(len(h.pairs))] = pair
}

// drop notes that it does not.
func (h *hints) drop(prefix, endpoint uint64) {
	if h.holds(prefix, endpoint) {
		h.pairs[mix(prefix^endpoint)%uint64(len(h.pairs))] = 0
	}
}

// holds reports whether the endpoint probably holds the prefix. Unlike the
// entries by prefix it also answers for a prefix that many endpoints hold.
func (h *hints) holds(prefix, endpoint uint64) bool {
	pair := mix(prefix ^ endpoint)
	return h.pairs[pair%uint64(len(h.pairs))] == pair
}

// mix is the finalizer of MurmurHash3, a bijection of 64-bit words.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
