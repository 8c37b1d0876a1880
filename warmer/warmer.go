package warmer

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// span is longer than the second of the bound, since requests take different
// times on their way.
const span = 1100 * clock.Millis(1)

// Warmer counts sends to cold endpoints. It is safe for concurrent use.
type Warmer struct {
	mu    sync.Mutex
	sends map[string][]clock.Millis // instants of the last span, by endpoint
}

// New returns a limiter without counts.
func New() *Warmer { return &Warmer{sends: make(map[string][]clock.Millis)} }

// Share returns the requests that one of senders instances may send within a
// second to an endpoint that bears total from all of them. position orders the
// instances from 0 on; where the bound is smaller than their number, only the
// first ones may send.
func Share(total float64, senders, position int) int {
	whole := int(total)
	senders = max(1, senders)
	share := whole / senders
	if share == 0 && position < whole {
		return 1
	}
	return share
}

// Allow reports whether a send within share is free, and counts it if so.
func (w *Warmer) Allow(now clock.Millis, endpoint string, share int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.recent(now, endpoint)
	if len(kept) >= share {
		return false
	}
	w.sends[endpoint] = append(kept, now)
	return true
}

// Note counts a send to an endpoint that counts as warm, so that one that
// turns out cold has its recent sends counted.
func (w *Warmer) Note(now clock.Millis, endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends[endpoint] = append(w.recent(now, endpoint), now)
}

// Full reports whether the share of an endpoint is used up.
func (w *Warmer) Full(now clock.Millis, endpoint string, share int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.recent(now, endpoint)) >= share
}

// Forget drops the counts of an endpoint that has left.
func (w *Warmer) Forget(endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sends, endpoint)
}

func (w *Warmer) recent(now clock.Millis, endpoint string) []clock.Millis {
	s := w.sends[endpoint]
	i := 0
	for i < len(s) && s[i] <= now-span {
		i++
	}
	s = append(s[:0], s[i:]...)
	w.sends[endpoint] = s
	return s
}
