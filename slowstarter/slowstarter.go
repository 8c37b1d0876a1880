package slowstarter

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// window is longer than the second to which the bound applies, since the transit
// times of requests differ.
const window = 1100 * clock.Millis(1)

// SlowStarter counts sends to endpoints. It is safe for concurrent use.
type SlowStarter struct {
	mu    sync.Mutex
	sends map[string][]clock.Millis // times of the sends within the window, by endpoint
}

// New returns a Warmer without counts.
func New() *SlowStarter { return &SlowStarter{sends: make(map[string][]clock.Millis)} }

// Share returns the number of requests that one of senders instances may send
// within a second to an endpoint for which total are allowed from all of them.
// position is the index of the instance; if the bound is smaller than their
// number, only the first ones may send.
func Share(total float64, senders, position int) int {
	limit := int(total)
	senders = max(1, senders)
	share := limit / senders
	if share == 0 && position < limit {
		return 1
	}
	return share
}

// Allow reports whether a send to a cold endpoint is within the share, and
// counts it if so.
func (w *SlowStarter) Allow(now clock.Millis, endpoint string, share int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	sends := w.recent(now, endpoint)
	if len(sends) >= share {
		return false
	}
	w.sends[endpoint] = append(sends, now)
	return true
}

// Record counts a send to an endpoint that is considered warm, so that it is
// included if the endpoint turns out to be cold.
func (w *SlowStarter) Record(now clock.Millis, endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends[endpoint] = append(w.recent(now, endpoint), now)
}

// Full reports whether the share of an endpoint is used up.
func (w *SlowStarter) Full(now clock.Millis, endpoint string, share int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.recent(now, endpoint)) >= share
}

// Forget removes the counts of an endpoint that is no longer listed.
func (w *SlowStarter) Forget(endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sends, endpoint)
}

// recent returns the sends within the window and drops older ones. The lock must
// be held.
func (w *SlowStarter) recent(now clock.Millis, endpoint string) []clock.Millis {
	sends := w.sends[endpoint]
	first := 0
	for first < len(sends) && sends[first] <= now-window {
		first++
	}
	sends = append(sends[:0], sends[first:]...)
	w.sends[endpoint] = sends
	return sends
}
