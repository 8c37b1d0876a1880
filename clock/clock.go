package clock

import (
	"sync"
	"time"
)

// Millis is an instant or a duration in milliseconds. Instants count from the
// Unix epoch.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration returns d in milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock is a source of time. The zero value is not usable; see System, Boot and
// Manual.
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

// Manual is a clock that only Advance moves. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Millis
}

// NewManual returns a manual clock set to start.
func NewManual(start Millis) *Manual { return &Manual{now: start} }

// Now returns the clock's present instant.
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
