package reserver

import "sync/atomic"

// freeBytes is what each holder may hold without a reservation, so that those who hold
// much do not affect the others. Nearly all responses are shorter.
const freeBytes = 16 << 10

// Reserver counts reserved bytes up to a limit. It is safe for concurrent use. A nil
// Reserver has no limit.
type Reserver struct {
	limit     int64
	used      atomic.Int64
	onRefused func()
}

// New returns a Reserver with a limit in bytes. onRefused is called for each reservation
// that exceeds it.
func New(limit int64, onRefused func()) *Reserver {
	return &Reserver{limit: limit, onRefused: onRefused}
}

// Resize changes the number of bytes that one holder holds. It returns false, and changes
// nothing, if the number grows and the limit would be exceeded.
func (r *Reserver) Resize(from, to int) bool {
	change := int64(max(to, freeBytes) - max(from, freeBytes))
	if r == nil || change == 0 {
		return true
	}
	if used := r.used.Add(change); change < 0 || used <= r.limit {
		return true
	}
	r.used.Add(-change)
	r.onRefused()
	return false
}

// Used returns the number of reserved bytes.
func (r *Reserver) Used() int64 { return r.used.Load() }
