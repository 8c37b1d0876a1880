package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Sentinels of store calls.
var (
	// ErrHistoryGone tells that the changes since a revision are dropped.
	ErrHistoryGone = errors.New("watcher: history is gone")
	// ErrConflict tells that the object has another revision, or exists.
	ErrConflict = errors.New("watcher: revision conflict")
	// ErrUnavailable tells that the store did not execute the call.
	ErrUnavailable = errors.New("watcher: store unavailable")
)

const (
	// listTimeout bounds a list, which the store answers within milliseconds
	// unless it is slow.
	listTimeout = 2 * clock.Second
	// answerSlack is added to the wait of a watch before it is given up: the
	// store may be a hundred times slower than usual.
	answerSlack = 900 * clock.Millis(1)
	// quickWait is the wait of the first watch after a failure.
	quickWait = clock.Millis(1)
	// firstBackoff is the first pause between two calls to a store that does
	// not answer, which doubles up to Options.Poll; refused calls are priced too.
	firstBackoff = 150 * clock.Millis(1)
)

// Object is one object of the store.
type Object struct {
	Name     string
	Revision int64
	Spec     []byte
	Status   []byte
	Deleted  bool
}

// Source makes the calls.
type Source struct {
	// List returns the objects of a kind and the store's revision.
	List func(ctx context.Context, kind string) ([]Object, int64, error)
	// Watch waits for changes after a revision, at most for wait, and returns
	// them with the revision to go on from. It returns ErrHistoryGone if they
	// are no longer known.
	Watch func(ctx context.Context, kind string, from int64, wait clock.Millis) ([]Object, int64, error)
	// Renew drops kept connections, which may be silent.
	Renew func()
}

// Kind is one followed kind.
type Kind struct {
	Name string
	Wait clock.Millis
	// Spacing is the least time between the starts of two watches of which the
	// first brought changes; more changes meanwhile come with one answer.
	Spacing clock.Millis
	Replace func(list []Object) // takes a full list
	Change  func(o Object)      // takes one change
}

// Role tells where an instance reads.
type Role struct {
	Direct bool   // from the store
	Feed   string // from the neighbour at this address; empty: wait
}

// Options are the settings of a watcher.
type Options struct {
	Clock  clock.Clock
	Source Source
	Kinds  []Kind // the first one leads
	// Role returns where to read now.
	Role func() Role
	// Follow reads a neighbour's feed until ctx or the feed ends.
	Follow func(ctx context.Context, address string) error
	// Direct is told when this instance begins and ends to read the store.
	Direct func(direct bool)
	// Confirmed takes each instant up to which the store was read directly.
	Confirmed func(at clock.Millis)
	// FeedEnded takes the end of a feed, with a nil error if it ended because the
	// role has changed.
	FeedEnded func(address string, err error)
	// Poll returns the longest pause between two calls to a store that does not
	// answer.
	Poll func() clock.Millis
	// Lost and Regained are called when the store stops and begins to answer.
	Lost     func(err error)
	Regained func(away clock.Millis)
}

// Watcher is safe for concurrent use.
type Watcher struct {
	options Options

	mu        sync.Mutex
	up        bool
	changed   chan struct{} // closed when up changes
	confirmed clock.Millis
	lostAt    clock.Millis
	done      sync.WaitGroup
}

// New returns a watcher that has read nothing. It panics without a kind.
func New(o Options) *Watcher {
	if len(o.Kinds) == 0 {
		panic("watcher: no kind to follow")
	}
	return &Watcher{options: o, changed: make(chan struct{}), lostAt: o.Clock.Now()}
}

// Confirmed returns the instant up to which the leading kind is known to have
// been read; 0 if it never was.
func (w *Watcher) Confirmed() clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Up reports whether the store answered last.
func (w *Watcher) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// roleInterval is the time between two looks at the role.
const roleInterval = 100 * clock.Millis(1)

// Run follows the kinds until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		role := w.options.Role()
		if !role.Direct && role.Feed == "" {
			pauseExactly(ctx, roleInterval)
			continue
		}
		call, cancel := context.WithCancel(ctx)
		go w.cancelOnChange(call, cancel, role)
		if role.Direct {
			w.options.Direct(true)
			w.runDirect(call)
			w.options.Direct(false)
		} else if err := w.options.Follow(call, role.Feed); ctx.Err() == nil {
			if call.Err() != nil {
				err = nil // the role has changed; the feed did not fail
			}
			w.options.FeedEnded(role.Feed, err)
		}
		cancel()
	}
}

// cancelOnChange ends the present way of reading when the role changes.
func (w *Watcher) cancelOnChange(ctx context.Context, cancel context.CancelFunc, role Role) {
	for ctx.Err() == nil {
		pauseExactly(ctx, roleInterval)
		if w.options.Role() != role {
			cancel()
		}
	}
}

// Adopt takes a confirmation from a neighbour's feed.
func (w *Watcher) Adopt(at clock.Millis) {
	w.raise(at)
	w.setUp(true, nil)
}

func (w *Watcher) runDirect(ctx context.Context) {
	for i := range w.options.Kinds {
		w.done.Add(1)
		go func() {
			defer w.done.Done()
			if i == 0 {
				w.lead(ctx, w.options.Kinds[0])
				return
			}
			w.follow(ctx, w.options.Kinds[i])
		}()
	}
	w.done.Wait()
}

func (w *Watcher) lead(ctx context.Context, k Kind) {
	from, failures, gone := int64(-1), 0, 0
	for ctx.Err() == nil {
		watched := from >= 0
		now := k
		if failures > 0 {
			now.Wait = quickWait // the store's return is to be noticed at once
		}
		next, err := w.step(ctx, now, from)
		from = next
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			failures = 0
			if watched {
				gone = 0
			}
			w.setUp(true, nil)
			continue
		case errors.Is(err, ErrHistoryGone):
			// The first list is immediate. A history that ends again and again
			// must not make a busy loop.
			if gone++; gone > 1 {
				pause(ctx, firstBackoff)
			}
			continue
		}
		failures++
		w.options.Source.Renew()
		// One lost answer may be a silent connection: the first repeat is
		// immediate and on a new one.
		if failures == 1 {
			continue
		}
		w.setUp(false, err)
		pause(ctx, min(w.options.Poll(), firstBackoff<<min(failures-2, 4)))
	}
}

func (w *Watcher) follow(ctx context.Context, k Kind) {
	from, gone := int64(-1), 0
	for ctx.Err() == nil {
		up, changed := w.state()
		if !up {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		call, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-changed:
				cancel()
			case <-call.Done():
			}
		}()
		watched := from >= 0
		next, err := w.step(call, k, from)
		cancel()
		from = next
		switch {
		case err == nil && watched:
			gone = 0
		case errors.Is(err, ErrHistoryGone):
			gone++
		}
		if err != nil && gone != 1 {
			pause(ctx, firstBackoff)
		}
	}
}

// step makes one call and applies its result.
func (w *Watcher) step(ctx context.Context, k Kind, from int64) (int64, error) {
	start := w.options.Clock.Now()
	if from < 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		defer cancel()
		list, at, err := w.options.Source.List(ctx, k.Name)
		if err != nil {
			return -1, err
		}
		k.Replace(list)
		w.confirm(k, start)
		return at, nil
	}
	call, cancel := context.WithTimeout(ctx, (k.Wait + answerSlack).Duration())
	defer cancel()
	list, at, err := w.options.Source.Watch(call, k.Name, from, k.Wait)
	if errors.Is(err, ErrHistoryGone) {
		return -1, err
	}
	if err != nil {
		return from, err
	}
	for _, o := range list {
		k.Change(o)
	}
	// An empty answer after the full wait was made no earlier than its end.
	if len(list) == 0 && w.options.Clock.Now()-start >= k.Wait {
		start += k.Wait
	}
	w.confirm(k, start)
	if left := start + k.Spacing - w.options.Clock.Now(); len(list) > 0 && left > 0 {
		pauseExactly(ctx, left)
	}
	return at, nil
}

func (w *Watcher) confirm(k Kind, at clock.Millis) {
	if k.Name != w.options.Kinds[0].Name {
		return
	}
	w.raise(at)
	w.options.Confirmed(at)
}

func (w *Watcher) raise(at clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = max(w.confirmed, at)
}

func (w *Watcher) state() (bool, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up, w.changed
}

func (w *Watcher) setUp(up bool, err error) {
	w.mu.Lock()
	if w.up == up {
		w.mu.Unlock()
		return
	}
	w.up = up
	close(w.changed)
	w.changed = make(chan struct{})
	now := w.options.Clock.Now()
	away := now - w.lostAt
	if !up {
		w.lostAt = now
	}
	w.mu.Unlock()
	if up {
		w.options.Regained(away)
		return
	}
	w.options.Lost(err)
}

// pause waits for d, more or less by a quarter so that instances do not call
// in step.
func pause(ctx context.Context, d clock.Millis) {
	pauseExactly(ctx, clock.Millis(float64(d)*(0.75+rand.Float64()/2)))
}

func pauseExactly(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
