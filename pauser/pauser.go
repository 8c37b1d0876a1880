package pauser

import (
	"math"
	"strconv"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// maxPause is the longest pause that is kept, so that a malformed value does not
// exclude an endpoint for good.
const maxPause = clock.Hour

// Pauser holds the ends of pauses. An endpoint is given by its id and the start of its
// process, since a new process has not asked for anything. A Pauser is safe for
// concurrent use.
type Pauser struct {
	mu    sync.Mutex
	until map[process]clock.Millis
}

// process is one process of an endpoint.
type process struct {
	endpoint  string
	startedAt int64
}

// New returns a Pauser without pauses.
func New() *Pauser { return &Pauser{until: make(map[process]clock.Millis)} }

// Parse returns the pause that a Retry-After header asks for in seconds, which may
// include a fraction. It returns 0 for a value that is not a positive number.
func Parse(value string) clock.Millis {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return clock.Millis(math.Ceil(min(s*float64(clock.Second), float64(maxPause))))
}

// Pause keeps requests from an endpoint for d, unless a longer pause is known.
func (p *Pauser) Pause(now clock.Millis, endpoint string, startedAt int64, d clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := process{endpoint, startedAt}
	p.until[k] = max(p.until[k], now+d)
}

// Wait returns the time in ms until the end of an endpoint's pause; 0: it has none.
func (p *Pauser) Wait(now clock.Millis, endpoint string, startedAt int64) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.until[process{endpoint, startedAt}]-now)
}

// Sweep drops pauses that have ended.
func (p *Pauser) Sweep(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, until := range p.until {
		if until <= now {
			delete(p.until, k)
		}
	}
}
