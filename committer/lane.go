package committer

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

type result struct {
	value []byte
	err   error
}

// request is one submitted change.
type request struct {
	key    string
	hash   uint64
	change Change
	lacked uint64 // sealed segments below this number lack the key
	result chan result

	// Guarded by the lane's mutex.
	inFlight bool // part of a write that may take effect
	gone     bool // answered, or the submitter no longer waits
}

// lane handles the changes of one shard, one round at a time. Fields below
// running belong to the goroutine of run.
type lane struct {
	committer *Committer
	shard     string
	used      uint64 // guarded by the committer's mutex

	mu      sync.Mutex
	pending []*request
	running bool

	random   *rand.Rand
	ring     *ring    // nil: not yet read
	seen     []uint64 // highest version seen, by slot
	rounds   uint64
	lastSent clock.Millis
	failures int
}

func (l *lane) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, r)
	if !l.running {
		l.running = true
		go l.run()
	}
}

func (l *lane) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.running
}

// withdraw ends the wait of a submitter whose context has ended. A change that
// is in no write is removed, so that it can never take effect.
func (l *lane) withdraw(ctx context.Context, r *request) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case got := <-r.result:
		return got.value, got.err
	default:
	}
	r.gone = true
	if r.inFlight {
		return nil, errors.Mark(ctx.Err(), ErrUnknown)
	}
	return nil, errors.Mark(ctx.Err(), ErrNotExecuted)
}

// waiting returns the pending requests whose submitters still wait. It ends
// the lane's run if there are none.
func (l *lane) waiting() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*request
	for _, r := range l.pending {
		if !r.gone {
			kept = append(kept, r)
		}
	}
	l.pending = kept
	if len(kept) == 0 {
		l.running = false
	}
	return append([]*request(nil), kept...)
}

// launch marks the requests whose submitters still wait as part of a write, and
// returns them. It comes before the changes are applied: if a submitter could
// leave a batch that is being built, many that leave would starve the others.
func (l *lane) launch(batch []*request) []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	var launched []*request
	for _, r := range batch {
		if !r.gone {
			r.inFlight = true
			launched = append(launched, r)
		}
	}
	return launched
}

// land marks the requests as part of no write that may still take effect,
// except those that write.
func (l *lane) land(batch, writers []*request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range batch {
		r.inFlight = false
	}
	for _, r := range writers {
		r.inFlight = true
	}
}

// deserted reports whether no submitter of the batch waits.
func (l *lane) deserted(batch []*request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range batch {
		if !r.gone {
			return false
		}
	}
	return true
}

// finish hands out a result and removes the request from the pending ones.
func (l *lane) finish(r *request, value []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.gone = true
	r.result <- result{value: value, err: err}
}

// run works until no submitter waits.
func (l *lane) run() {
	ctx := context.Background()
	for {
		waiting := l.waiting()
		if len(waiting) == 0 {
			return
		}
		c := l.committer
		if rest := l.lastSent + c.options.Interval - c.clock.Now(); l.lastSent > 0 && rest > 0 {
			c.Sleep(ctx, rest)
			waiting = l.waiting()
			if len(waiting) == 0 {
				return
			}
		}
		l.lastSent = c.clock.Now()
		if l.round(ctx, waiting) {
			continue
		}
		l.backOff(ctx)
	}
}

// backOff pauses for a random span that doubles with each failure in a row.
func (l *lane) backOff(ctx context.Context) {
	o := l.committer.options
	l.failures++
	limit := min(o.MinBackoff<<min(l.failures, 16), o.MaxBackoff)
	l.committer.Sleep(ctx, limit/2+clock.Millis(l.random.Int64N(int64(limit/2)+1)))
}
