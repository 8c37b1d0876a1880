package averager

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Rate is an exponentially weighted average of work over time. Its zero value, with a
// span, is 0. It is not safe for concurrent use.
type Rate struct {
	Span clock.Millis // averaging time

	sum float64 // work in ms, decayed to the time at
	at  clock.Millis
}

// Add adds work in ms. It ignores negative values and those that are no numbers: a
// single one would stay in the sum for good.
func (r *Rate) Add(now clock.Millis, work float64) {
	if !(work >= 0 && work <= math.MaxInt32) {
		return
	}
	r.sum = r.sum*r.decay(now) + work
	r.at = now
}

// Value returns the average in ms of work per ms.
func (r *Rate) Value(now clock.Millis) float64 {
	return r.sum * r.decay(now) / float64(r.Span)
}

// At returns the time at which work was last added; 0: never.
func (r *Rate) At() clock.Millis { return r.at }

func (r *Rate) decay(now clock.Millis) float64 {
	return math.Exp(-float64(now-r.at) / float64(r.Span))
}
