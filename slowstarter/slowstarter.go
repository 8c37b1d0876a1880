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

// New returns a SlowStarter without counts.
func New() *SlowStarter { return &SlowStarter{sends: make(map[string][]clock.Millis)} }

// Share returns the number of requests that one of senders instances may send
// within a second to an endpoint for which total are allowed from all of them.
// position is the index of the instance, from 0; if total is smaller than
// senders, only the first ones may send.
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
func (s *SlowStarter) Allow(now clock.Millis, endpoint string, share int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sends := s.recent(now, endpoint)
	if len(sends) >= share {
		return false
	}
	s.sends[endpoint] = append(sends, now)
	return true
}

// Record counts a send to an endpoint that is considered warm, so that it is
// included if the endpoint turns out to be cold.
func (s *SlowStarter) Record(now clock.Millis, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends[endpoint] = append(s.recent(now, endpoint), now)
}

// Full reports whether the share of an endpoint is used up.
func (s *SlowStarter) Full(now clock.Millis, endpoint string, share int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.recent(now, endpoint)) >= share
}

// Forget removes the counts of an endpoint that is no longer listed.
func (s *SlowStarter) Forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sends, endpoint)
}

// recent returns the sends within the window and drops older ones. The lock must
// be held.
func (s *SlowStarter) recent(now clock.Millis, endpoint string) []clock.Millis {
	sends := s.sends[endpoint]
	first := 0
	for first < len(sends) && sends[first] <= now-window {
		first++
	}
	sends = append(sends[:0], sends[first:]...)
	s.sends[endpoint] = sends
	return sends
}
