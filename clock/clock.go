package clock

import (
	"sync"
	"time"
)

// Millis is an instant or a span, in milliseconds. Instants count from the
// Unix epoch.
type Millis int64

// Common spans in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration returns the span as a standard library duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration returns d in milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time. The zero value is not usable; see System and Manual.
type Clock struct {
	// Now returns the present instant. It never goes backwards.
	Now func() Millis
}

// System returns a clock that starts at the wall time and then follows the
// monotonic clock, so that a step of the wall time does not move it.
func System() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{Now: func() Millis { return base + FromDuration(time.Since(start)) }}
}

// Manual is a clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Millis
}

// NewManual returns a manual clock that stands at start.
func NewManual(start Millis) *Manual { return &Manual{now: start} }

// Now returns the instant at which the clock stands.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and returns the new instant. It panics
// if d is negative.
func (m *Manual) Advance(d Millis) Millis {
	if d < 0 {
		panic("clock: negative advance")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	return m.now
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock { return Clock{Now: m.Now} }
