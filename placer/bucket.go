package placer

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// bucket is a token bucket with the semantics of x/time/rate over
// clock.Millis. It starts empty.
type bucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	at     clock.Millis
}

// take removes n tokens if that many are there, and reports whether it did.
func (b *bucket) take(now clock.Millis, n float64) bool {
	b.fill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// wait returns how long it takes until n tokens are there, or -1 if n exceeds
// the burst.
func (b *bucket) wait(now clock.Millis, n float64) clock.Millis {
	b.fill(now)
	if n > b.burst {
		return -1
	}
	return clock.Millis(math.Ceil(max(n-b.tokens, 0) / b.rate * float64(clock.Second)))
}

func (b *bucket) fill(now clock.Millis) {
	if now <= b.at {
		return
	}
	earned := float64(now-b.at) / float64(clock.Second) * b.rate
	b.tokens, b.at = min(b.tokens+earned, b.burst), now
}
