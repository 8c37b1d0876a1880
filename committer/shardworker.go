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
	key         string
	keyHash     uint64
	change      Change
	absentBelow uint64 // sealed segments below this number lack the key
	result      chan result

	// Guarded by the mutex of the worker.
	inFlight bool // part of a write that may take effect
	closed   bool // answered, or the submitter no longer waits
}

// shardWorker commits the changes of one shard, one batch per round. Only the
// goroutine of run uses the fields below running.
type shardWorker struct {
	committer *Committer
	shard     string
	lastUse   uint64 // guarded by the committer's mutex

	mu      sync.Mutex
	pending []*request
	running bool

	rng         *rand.Rand
	ring        *ring        // nil if it must be loaded
	maxVersions []uint64     // highest version seen, by slot
	roundCount  uint64       // number of the present round
	lastRoundAt clock.Millis // start of the last round
	failures    int          // consecutive failures
}

func (w *shardWorker) add(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, r)
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *shardWorker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.running
}

// withdraw closes a request whose context has ended and returns its result. A
// change that is not part of a write is removed, so that it can never take effect.
func (w *shardWorker) withdraw(ctx context.Context, r *request) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case got := <-r.result:
		return got.value, got.err
	default:
	}
	r.closed = true
	if r.inFlight {
		return nil, errors.Mark(ctx.Err(), ErrUnknown)
	}
	return nil, errors.Mark(ctx.Err(), ErrNotExecuted)
}

// waitingRequests returns the pending requests whose submitters still wait, and
// removes the others. If there are none, it marks the worker as idle.
func (w *shardWorker) waitingRequests() []*request {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept []*request
	for _, r := range w.pending {
		if !r.closed {
			kept = append(kept, r)
		}
	}
	w.pending = kept
	if len(kept) == 0 {
		w.running = false
	}
	return append([]*request(nil), kept...)
}

// markInFlight marks the requests whose submitters still wait as part of a write
// and returns them. It is called before the changes are applied: if submitters
// could leave a batch that is being built, a batch would have to be rebuilt each
// time one leaves, and the remaining submitters would starve.
func (w *shardWorker) markInFlight(batch []*request) []*request {
	w.mu.Lock()
	defer w.mu.Unlock()
	var marked []*request
	for _, r := range batch {
		if !r.closed {
			r.inFlight = true
			marked = append(marked, r)
		}
	}
	return marked
}

// resetInFlight marks only the writers among the requests of the batch as part of
// a write that may take effect.
func (w *shardWorker) resetInFlight(batch, writers []*request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range batch {
		r.inFlight = false
	}
	for _, r := range writers {
		r.inFlight = true
	}
}

// allClosed reports whether no submitter of the batch still waits.
func (w *shardWorker) allClosed(batch []*request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range batch {
		if !r.closed {
			return false
		}
	}
	return true
}

// respond sends the result to the submitter and closes the request.
func (w *shardWorker) respond(r *request, value []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.closed = true
	r.result <- result{value: value, err: err}
}

// run makes rounds until no submitter waits.
func (w *shardWorker) run() {
	ctx := context.Background()
	for {
		waiting := w.waitingRequests()
		if len(waiting) == 0 {
			return
		}
		c := w.committer
		if remaining := w.lastRoundAt + c.options.Interval - c.clock.Now(); w.lastRoundAt > 0 && remaining > 0 {
			c.Sleep(ctx, remaining)
			waiting = w.waitingRequests()
			if len(waiting) == 0 {
				return
			}
		}
		w.lastRoundAt = c.clock.Now()
		if w.round(ctx, waiting) {
			continue
		}
		w.backOff(ctx)
	}
}

// backOff pauses for a random duration, whose bounds double with each consecutive
// failure up to MaxBackoff.
func (w *shardWorker) backOff(ctx context.Context) {
	o := w.committer.options
	w.failures++
	limit := min(o.MinBackoff<<min(w.failures, 16), o.MaxBackoff)
	w.committer.Sleep(ctx, limit/2+clock.Millis(w.rng.Int64N(int64(limit/2)+1)))
}
