package experimenter

import (
	"container/list"
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Parameters of the simulated endpoint: continuous batching with a limited number
// of slots, one prefill at a time, and an LRU cache of prompt prefixes with limited
// memory. Load reports and cache events reach the instances with a lag.
const (
	engineSlots           = 16
	prefillMillisPerToken = 0.1 // per prompt token that is not cached
	decodeMillisPerToken  = 25  // per answer token
	cacheCapacityTokens   = 60000
	reportInterval        = 250 * clock.Millis(1)
	reportLag             = 250 * clock.Millis(1)
	cacheEventLag         = 500 * clock.Millis(1)
	cacheEventLoss        = 0.2 // share of the cache events that are lost, for each instance
	engineTokensPerTurn   = 300 // tokens that each turn of a session adds
)

// engine is the engine of a simulated endpoint.
type engine struct {
	running       int                      // requests in slots
	waiting       []int32                  // requests that wait for a slot
	prefillFreeAt float64                  // when the running and queued prefills end, ms
	entries       map[uint64]*list.Element // elements of lru, by prefix
	lru           *list.List               // of cachedPrefix, the most recently used first
	cachedTokens  int32                    // in all entries
}

// cachedPrefix is an entry of the prefix cache.
type cachedPrefix struct {
	prefix uint64
	tokens int32 // beyond those of the next shorter prefix
}

func newEngine() *engine {
	return &engine{entries: map[uint64]*list.Element{}, lru: list.New()}
}

// prefixHit returns the number of tokens of the longest prefix that is cached with
// all its shorter prefixes. tokens holds the length of each prefix in tokens.
func (e *engine) prefixHit(prefixes []uint64, tokens []int32) int32 {
	var n int32
	for i, p := range prefixes {
		if e.entries[p] == nil {
			break
		}
		n = tokens[i]
	}
	return n
}

// store caches all prefixes of a prompt and returns the prefixes evicted for them.
func (e *engine) store(prefixes []uint64, tokens []int32) (evicted []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if element := e.entries[prefixes[i]]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		part := tokens[i]
		if i > 0 {
			part -= tokens[i-1]
		}
		e.cachedTokens += part
		e.entries[prefixes[i]] = e.lru.PushFront(cachedPrefix{prefix: prefixes[i], tokens: part})
	}
	for e.cachedTokens > cacheCapacityTokens {
		last := e.lru.Remove(e.lru.Back()).(cachedPrefix)
		e.cachedTokens -= last.tokens
		delete(e.entries, last.prefix)
		evicted = append(evicted, last.prefix)
	}
	return evicted
}

// prefill queues the prefill of a request that gets a slot now. It returns the time
// at which the first token is ready.
func (e *engine) prefill(now float64, uncached int32) float64 {
	e.prefillFreeAt = math.Max(now, e.prefillFreeAt) + prefillMillisPerToken*float64(uncached)
	return e.prefillFreeAt
}
