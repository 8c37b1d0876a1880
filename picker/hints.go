package picker

import "rosemaryarch.example/rosemaryarch/clock"

const (
	hintWays = 4 // entries per set of the set-associative table
)

// noEndpoint stands for a missing endpoint index.
const noEndpoint int32 = -1

// hints records which endpoints probably hold which prompt prefixes in their
// caches: a set-associative table from prefix hashes to endpoints, and a hash
// set of pairs of a prefix and a holder. Entries may be missing or wrong, since
// cache events arrive late and with gaps, and old entries are overwritten.
type hints struct {
	prefix      []uint64       // hash of the prefix of each entry
	endpoint    []int32        // endpoint of each entry, or noEndpoint
	updatedAt   []clock.Millis // instant of the last update of each entry
	sets        uint64         // number of sets of hintWays entries
	holderPairs []uint64       // hashes of pairs, each stored at the hash modulo the length
}

func newHints(count int) hints {
	sets := max(1, (count+hintWays-1)/hintWays)
	h := hints{
		prefix: make([]uint64, sets*hintWays), endpoint: make([]int32, sets*hintWays),
		updatedAt: make([]clock.Millis, sets*hintWays), sets: uint64(sets), holderPairs: make([]uint64, sets*hintWays),
	}
	for i := range h.endpoint {
		h.endpoint[i] = noEndpoint
	}
	return h
}

// firstWay returns the index of the first entry in the set of a prefix.
func (h *hints) firstWay(prefix uint64) int { return int(prefix % h.sets * hintWays) }

// put updates the entry of a prefix and an endpoint, or replaces an unused or the
// oldest entry of the set.
func (h *hints) put(prefix uint64, e int32, now clock.Millis) {
	firstWay := h.firstWay(prefix)
	victim := firstWay
	for i := firstWay; i < firstWay+hintWays; i++ {
		if h.endpoint[i] == e && h.prefix[i] == prefix {
			h.updatedAt[i] = now
			return
		}
		if h.endpoint[victim] != noEndpoint && (h.endpoint[i] == noEndpoint || h.updatedAt[i] < h.updatedAt[victim]) {
			victim = i
		}
	}
	h.prefix[victim], h.endpoint[victim], h.updatedAt[victim] = prefix, e, now
}

// copyFrom copies the entries of an older table. The slice newIndex holds the new
// index of each endpoint of the older table, or noEndpoint.
func (h *hints) copyFrom(old *hints, newIndex []int32) {
	for i, e := range old.endpoint {
		if e != noEndpoint && newIndex[e] != noEndpoint {
			h.put(old.prefix[i], newIndex[e], old.updatedAt[i])
		}
	}
	if len(h.holderPairs) == len(old.holderPairs) {
		copy(h.holderPairs, old.holderPairs)
	}
}

// remove deletes the entry of a prefix and an endpoint.
func (h *hints) remove(prefix uint64, e int32) {
	firstWay := h.firstWay(prefix)
	for i := firstWay; i < firstWay+hintWays; i++ {
		if h.endpoint[i] == e && h.prefix[i] == prefix {
			h.endpoint[i] = noEndpoint
		}
	}
}

// addHolder records that the endpoint with the given hash holds the prefix.
func (h *hints) addHolder(prefix, endpoint uint64) {
	pair := fmix64(prefix ^ endpoint)
	h.holderPairs[pair%uint64(len(h.holderPairs))] = pair
}

// removeHolder records that the endpoint with the given hash does not hold the
// prefix.
func (h *hints) removeHolder(prefix, endpoint uint64) {
	if h.hasHolder(prefix, endpoint) {
		h.holderPairs[fmix64(prefix^endpoint)%uint64(len(h.holderPairs))] = 0
	}
}

// hasHolder reports whether the endpoint with the given hash probably holds the
// prefix. Unlike the entries of a set, the pairs can represent a prefix that more
// than hintWays endpoints hold.
func (h *hints) hasHolder(prefix, endpoint uint64) bool {
	pair := fmix64(prefix ^ endpoint)
	return h.holderPairs[pair%uint64(len(h.holderPairs))] == pair
}

// fmix64 is the finalizer of MurmurHash3, a bijection of 64-bit words.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
