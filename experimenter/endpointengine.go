package experimenter

import (
	"container/list"
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The model of an endpoint: continuous batching with a limited number of slots,
// one prefill at a time, and a cache of prompt prefixes with limited memory.
const (
	engineSlots      = 16
	prefillMillis    = 0.1 // per token that is not cached
	decodeMillis     = 25  // per token
	cacheTokens      = 60000
	reportInterval   = 250 * clock.Millis(1)
	reportLag        = 250 * clock.Millis(1)
	cacheEventLag    = 500 * clock.Millis(1)
	cacheEventLoss   = 0.2
	engineTokensStep = 300 // tokens that each turn of a session adds
)

// engine is one endpoint.
type engine struct {
	running     int
	waiting     []int32 // requests
	prefillFree float64 // instant at which the prefill unit is free, ms
	cached      map[uint64]*list.Element
	recent      *list.List // of cachedPrefix, the most recent first
	tokens      int32      // cached tokens
}

type cachedPrefix struct {
	prefix uint64
	tokens int32 // tokens beyond those of the shorter prefix
}

func newEngine() *engine {
	return &engine{cached: map[uint64]*list.Element{}, recent: list.New()}
}

// hit returns the length in tokens of the longest prefix whose parts are all cached.
func (e *engine) hit(prefixes []uint64, tokens []int32) int32 {
	var n int32
	for i, p := range prefixes {
		if e.cached[p] == nil {
			break
		}
		n = tokens[i]
	}
	return n
}

// store caches all prefixes of a prompt and returns what was evicted.
func (e *engine) store(prefixes []uint64, tokens []int32) (evicted []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if at := e.cached[prefixes[i]]; at != nil {
			e.recent.MoveToFront(at)
			continue
		}
		part := tokens[i]
		if i > 0 {
			part -= tokens[i-1]
		}
		e.tokens += part
		e.cached[prefixes[i]] = e.recent.PushFront(cachedPrefix{prefix: prefixes[i], tokens: part})
	}
	for e.tokens > cacheTokens {
		last := e.recent.Remove(e.recent.Back()).(cachedPrefix)
		e.tokens -= last.tokens
		delete(e.cached, last.prefix)
		evicted = append(evicted, last.prefix)
	}
	return evicted
}

// prefill returns the instant at which the first token of a request that gets
// its slot now is ready.
func (e *engine) prefill(now float64, uncached int32) float64 {
	e.prefillFree = math.Max(now, e.prefillFree) + prefillMillis*float64(uncached)
	return e.prefillFree
}
