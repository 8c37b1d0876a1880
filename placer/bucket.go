package placer

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// tokenBucket is a token bucket with the semantics of golang.org/x/time/rate over
// clock.Millis. It starts empty.
type tokenBucket struct {
	rate     float64      // tokens per second
	burst    float64      // largest number of tokens
	tokens   float64      // at time filledAt
	filledAt clock.Millis // time of the last refill
}

// take removes n tokens if the bucket holds that many, and reports whether it did.
func (b *tokenBucket) take(now clock.Millis, n float64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// wait returns the time until the bucket holds n tokens, or -1 if n exceeds the
// burst.
func (b *tokenBucket) wait(now clock.Millis, n float64) clock.Millis {
	b.refill(now)
	if n > b.burst {
		return -1
	}
	return clock.Millis(math.Ceil(max(n-b.tokens, 0) / b.rate * float64(clock.Second)))
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now clock.Millis) {
	if now <= b.filledAt {
		return
	}
	added := float64(now-b.filledAt) / float64(clock.Second) * b.rate
	b.tokens, b.filledAt = min(b.tokens+added, b.burst), now
}
