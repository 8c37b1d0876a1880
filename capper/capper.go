package capper

import (
	"math"
	"strconv"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// endedAge is the time for which the end of a limit is remembered, so that an
	// older report does not restore the limit.
	endedAge = 10 * clock.Second
	// forgetAge is the age from which a statement is dropped.
	forgetAge = 2 * clock.Minute
)

// noRate is the rate of an endpoint that states no limit.
const noRate = -1

// Capper holds what endpoints have stated. An endpoint is given by the hash of its
// id. A Capper is safe for concurrent use.
type Capper struct {
	mu     sync.Mutex
	limits map[uint64]*limit
}

// limit is the latest statement of an endpoint that has stated a limit.
type limit struct {
	rate   float64      // requests per second; noRate once the limit has ended
	at     clock.Millis // instant of the latest response that states it, or of its end
	direct bool         // this instance has received that response itself
	quota  quota
	sends  []clock.Millis // instants of the sends of this instance within window
}

// New returns a Capper without limits.
func New() *Capper { return &Capper{limits: make(map[uint64]*limit)} }

// Parse returns the rate in requests per second that a header value states. It
// returns false for a value that is not a non-negative decimal number.
func Parse(value string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0)
}

// Observe records a response of an endpoint with the limit that it states, or
// without one if limited is false. It reports whether the limit has begun, changed
// or ended.
func (c *Capper) Observe(now clock.Millis, endpoint uint64, rate float64, limited bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !limited {
		rate = noRate
	}
	return c.set(endpoint, rate, now, true)
}

// set applies a statement of an instant, unless a later one is known, and reports
// whether it has changed the rate. The lock is held.
func (c *Capper) set(endpoint uint64, rate float64, at clock.Millis, direct bool) (changed bool) {
	rate = float64(float32(rate)) // as in a Report
	l := c.limits[endpoint]
	switch {
	case l == nil && rate < 0:
		return false
	case l == nil:
		c.limits[endpoint] = &limit{rate: rate, at: at, direct: direct}
		return true
	case at < l.at || rate < 0 && l.rate < 0:
		return false
	}
	changed = rate != l.rate
	l.rate, l.at, l.direct = rate, at, direct
	if changed {
		l.quota = quota{}
	}
	return changed
}

// Limited returns the number of endpoints with a limit.
func (c *Capper) Limited() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, l := range c.limits {
		if l.rate >= 0 {
			n++
		}
	}
	return n
}

// Sweep drops old statements.
func (c *Capper) Sweep(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for endpoint, l := range c.limits {
		if now-l.at > forgetAge || l.rate < 0 && now-l.at > endedAge {
			delete(c.limits, endpoint)
		}
	}
}
