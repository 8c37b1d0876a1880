package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Errors of store calls.
var (
	// ErrHistoryGone means that the store does not have the changes since the given
	// position, or that it has begun another era.
	ErrHistoryGone = errors.New("watcher: history is gone")
	// ErrConflict means that the object has another revision, or that an object
	// to create exists.
	ErrConflict = errors.New("watcher: revision conflict")
	// ErrUnavailable means that the store answered the call with another error, as
	// when it is down.
	ErrUnavailable = errors.New("watcher: store unavailable")
)

const (
	// listTimeout bounds a list call. The store usually answers within
	// milliseconds.
	listTimeout = 2 * clock.Second
	// watchSlack is added to the wait of a watch call to give its timeout. It
	// allows for a store that is a hundred times slower than usual.
	watchSlack = 900 * clock.Millis(1)
	// retryWait is the wait of watch calls after a failure, so that they return
	// as soon as the store answers again.
	retryWait = clock.Millis(1)
	// A watch of a secondary kind that has waited for recheckInterval is repeated from the
	// same position if the store has made changes that it may have missed: its response may
	// be lost, or its connection dead, and the next one is due only after Kind.Wait. The
	// response to a change takes less than deliveryTime.
	recheckInterval = 3 * clock.Second
	deliveryTime    = 300 * clock.Millis(1)
	// listPause is the pause before a list call that follows another failed one.
	listPause = 150 * clock.Millis(1)
)

// Position is a state of the store. Its revision is comparable only with those of
// the same era: a store that comes back from an older copy begins a new era, in
// which it gives out again the revisions since that copy.
type Position struct {
	Era      int64 // 0 if the store does not state it
	Revision int64
}

// nowhere is the position before the first list call.
var nowhere = Position{Revision: -1}

// Object is one object in the store.
type Object struct {
	Name     string
	Era      int64 // in which the object was read
	Revision int64
	Spec     []byte
	Status   []byte
	Deleted  bool
}

// Source makes the calls to the store.
type Source struct {
	// List returns the objects of a kind and the position of the store.
	List func(ctx context.Context, kind string) ([]Object, Position, error)
	// Watch waits for changes after the position from, for at most wait, and
	// returns them with the position to continue from. It returns ErrHistoryGone
	// if the store no longer has them.
	Watch func(ctx context.Context, kind string, from Position, wait clock.Millis) ([]Object, Position, error)
	// DropConnections closes kept-alive connections, which may be stalled.
	DropConnections func()
}

// Kind is one kind of objects to follow.
type Kind struct {
	Name string
	Wait clock.Millis // longest time that the store may hold a watch call
	// Spacing is the least time between the start of a watch call that returned
	// changes and the start of the next one. Later changes are then returned
	// together by one call.
	Spacing clock.Millis
	Replace func(list []Object) // receives all objects
	Change  func(o Object)      // receives one changed or deleted object
}

// Role says where an instance reads the objects. The zero value means nowhere
// yet.
type Role struct {
	Direct bool   // read the store
	Feed   string // if not Direct: follow the neighbour at this address
}

// Options configures New.
type Options struct {
	Clock  clock.Clock
	Source Source
	Kinds  []Kind // the first one is the primary kind
	// Role returns where to read now. It is called periodically.
	Role func() Role
	// Follow reads a neighbour's feed until ctx or the feed ends.
	Follow func(ctx context.Context, address string) error
	// DirectChanged is called when this instance starts or stops reading the store.
	DirectChanged func(direct bool)
	// Confirmed is called with each instant up to which the store is known to
	// have been read directly.
	Confirmed func(at clock.Millis)
	// FeedEnded is called when a feed ends. The error is nil if the feed ended
	// because the role has changed.
	FeedEnded func(address string, err error)
	// Backoff returns the pause before the next call to a store that has not
	// answered the given number of calls, 2 or more.
	Backoff func(failures int) clock.Millis
	// EraChanged is called when a later era is known, before objects of that era are
	// passed on. before is 0 if no era was known.
	EraChanged func(before, era int64)
	// Current reports whether the store shows the latest known state of the primary
	// kind. Otherwise what is read confirms nothing.
	Current func() bool
	// StoreLost is called when the store stops answering, and StoreRegained, with
	// the length of the outage, when it answers again or for the first time.
	StoreLost     func(err error)
	StoreRegained func(outage clock.Millis)
}

// Watcher follows the kinds of its options. It is safe for concurrent use.
type Watcher struct {
	options Options
	eraMu   sync.Mutex // held while Options.EraChanged runs

	mu             sync.Mutex
	storeUp        bool          // the store, or the followed reader, answered last
	storeUpChanged chan struct{} // closed when storeUp changes
	confirmed      clock.Millis  // instant up to which the primary kind has been read
	lostAt         clock.Millis  // start of the last outage
	latest         Position      // of the store, as seen by the primary kind
	latestChanged  chan struct{} // closed when latest changes
	era            int64         // latest known era
	eraChanged     chan struct{} // closed when era changes
	readers        sync.WaitGroup
}

// New returns a watcher that has read nothing. It panics if o.Kinds is empty.
func New(o Options) *Watcher {
	if len(o.Kinds) == 0 {
		panic("watcher: no kind to follow")
	}
	return &Watcher{
		options: o, storeUpChanged: make(chan struct{}), eraChanged: make(chan struct{}),
		latest: nowhere, latestChanged: make(chan struct{}), lostAt: o.Clock.Now(),
	}
}

// Confirmed returns the instant up to which the primary kind is known to have
// been read, or 0 if it has never been read.
func (w *Watcher) Confirmed() clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// StoreUp reports whether the store answered its last call, or a neighbour's feed
// has confirmed its state since.
func (w *Watcher) StoreUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeUp
}

// roleCheckInterval is the time between two calls of Options.Role.
const roleCheckInterval = 100 * clock.Millis(1)

// Run follows the kinds until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		role := w.options.Role()
		if !role.Direct && role.Feed == "" {
			sleep(ctx, roleCheckInterval)
			continue
		}
		call, cancel := context.WithCancel(ctx)
		go w.cancelOnRoleChange(call, cancel, role)
		if role.Direct {
			w.options.DirectChanged(true)
			w.runDirect(call)
			w.options.DirectChanged(false)
		} else if err := w.options.Follow(call, role.Feed); ctx.Err() == nil {
			if call.Err() != nil {
				err = nil // cancelled because the role has changed
			}
			w.options.FeedEnded(role.Feed, err)
		}
		cancel()
	}
}

// cancelOnRoleChange checks periodically until ctx ends whether the role differs
// from the given one, and then calls cancel.
func (w *Watcher) cancelOnRoleChange(ctx context.Context, cancel context.CancelFunc, role Role) {
	for ctx.Err() == nil {
		sleep(ctx, roleCheckInterval)
		if w.options.Role() != role {
			cancel()
		}
	}
}

// RecordConfirmation applies a confirmation from a neighbour's feed.
func (w *Watcher) RecordConfirmation(at clock.Millis) {
	w.advanceConfirmed(at)
	w.setStoreUp(true, nil)
}

func (w *Watcher) runDirect(ctx context.Context) {
	for i := range w.options.Kinds {
		w.readers.Add(1)
		go func() {
			defer w.readers.Done()
			if i == 0 {
				w.followPrimary(ctx, w.options.Kinds[0])
				return
			}
			w.followSecondary(ctx, w.options.Kinds[i])
		}()
	}
	w.readers.Wait()
}

func (w *Watcher) followPrimary(ctx context.Context, k Kind) {
	from, failures, historyLosses := nowhere, 0, 0
	for ctx.Err() == nil {
		from = w.inEra(from)
		watched := from != nowhere
		kind := k
		if failures > 0 {
			kind.Wait = retryWait // detects at once that the store answers again
		}
		next, err := w.readOnce(ctx, kind, from)
		from = next
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			failures = 0
			if watched {
				historyLosses = 0
			}
			w.setStoreUp(true, nil)
			w.recordLatest(next)
			continue
		case errors.Is(err, ErrHistoryGone):
			// The first list call follows at once. The pause prevents a busy
			// loop if the history is lost repeatedly.
			if historyLosses++; historyLosses > 1 {
				sleepWithJitter(ctx, listPause)
			}
			continue
		}
		failures++
		w.options.Source.DropConnections()
		// A single failure may be due to a stalled connection, so the first
		// retry is immediate and uses a new one.
		if failures == 1 {
			continue
		}
		w.setStoreUp(false, err)
		sleepWithJitter(ctx, w.options.Backoff(failures))
	}
}

func (w *Watcher) followSecondary(ctx context.Context, k Kind) {
	from, historyLosses, unanswered := nowhere, 0, false
	for ctx.Err() == nil {
		up, changed, eraChanged := w.storeState()
		if !up {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		from = w.inEra(from)
		watched, kind := from != nowhere, k
		if unanswered {
			kind.Wait = retryWait // its response shows that nothing was missed, or is lost, too
		}
		call, cancel := context.WithCancelCause(ctx)
		go cancelWhenClosed(call, cancel, changed, eraChanged)
		if watched && !unanswered {
			go func() {
				if w.awaitRecheck(call) {
					cancel(errRecheck)
				}
			}()
		}
		next, err := w.readOnce(call, kind, from)
		rechecks := errors.Is(context.Cause(call), errRecheck)
		cancel(nil)
		from, unanswered = next, err != nil
		firstLoss := false
		switch {
		case err == nil && watched:
			historyLosses = 0
		case errors.Is(err, ErrHistoryGone):
			historyLosses++
			firstLoss = historyLosses == 1
		}
		if err != nil && !firstLoss && !rechecks { // the first list call follows a lost history at once
			sleepWithJitter(ctx, listPause)
		}
	}
}

// errRecheck is the cause with which a watch is cancelled that is repeated.
var errRecheck = errors.New("watcher: the watch may have missed changes")

// cancelWhenClosed calls cancel when the state of the store or its era changes: the watch
// may be waiting at a revision of the earlier era.
func cancelWhenClosed(call context.Context, cancel context.CancelCauseFunc, changed, eraChanged chan struct{}) {
	select {
	case <-changed:
		cancel(nil)
	case <-eraChanged:
		cancel(nil)
	case <-call.Done():
	}
}

// awaitRecheck reports whether a watch that begins now, and ends with ctx, must be
// repeated since it may have missed changes. The store answers a watch at once if it has
// made changes of the kind after the watch's position, so that a watch shows the position
// that was known when it was sent, but not necessarily what the store has reached since.
func (w *Watcher) awaitRecheck(ctx context.Context) bool {
	begin, sent := w.options.Clock.Now(), w.latestPosition()
	for {
		latest, changed := w.latestState()
		if latest != sent {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
	sleep(ctx, max(deliveryTime, begin+recheckInterval-w.options.Clock.Now()))
	return ctx.Err() == nil
}

func (w *Watcher) latestPosition() Position {
	at, _ := w.latestState()
	return at
}

func (w *Watcher) latestState() (at Position, changed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest, w.latestChanged
}

// recordLatest records the position of the store that the primary kind has seen.
func (w *Watcher) recordLatest(at Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest != at {
		w.latest = at
		close(w.latestChanged)
		w.latestChanged = make(chan struct{})
	}
}

// readOnce makes one call and applies its result: a list if from is nowhere,
// otherwise a watch of the changes after it. It returns the position to continue
// from, or nowhere to list again.
func (w *Watcher) readOnce(ctx context.Context, k Kind, from Position) (Position, error) {
	start := w.options.Clock.Now()
	if from == nowhere {
		ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		defer cancel()
		list, at, err := w.options.Source.List(ctx, k.Name)
		if err != nil {
			return nowhere, err
		}
		if !w.RecordEra(at.Era) {
			return nowhere, errors.Wrapf(ErrHistoryGone, "list of the earlier era %d", at.Era)
		}
		k.Replace(list)
		w.confirmRead(k, start)
		return at, nil
	}
	call, cancel := context.WithTimeout(ctx, (k.Wait + watchSlack).Duration())
	defer cancel()
	list, next, err := w.options.Source.Watch(call, k.Name, from, k.Wait)
	if errors.Is(err, ErrHistoryGone) {
		return nowhere, err
	}
	if err != nil {
		return from, err
	}
	if !w.RecordEra(next.Era) {
		return nowhere, errors.Wrapf(ErrHistoryGone, "watch of the earlier era %d", next.Era)
	}
	for _, o := range list {
		k.Change(o)
	}
	// The store returned an empty result no earlier than the end of the wait, so
	// it has been read up to then.
	if len(list) == 0 && w.options.Clock.Now()-start >= k.Wait {
		start += k.Wait
	}
	w.confirmRead(k, start)
	if remaining := start + k.Spacing - w.options.Clock.Now(); len(list) > 0 && remaining > 0 {
		sleep(ctx, remaining)
	}
	return next, nil
}

func (w *Watcher) confirmRead(k Kind, at clock.Millis) {
	if k.Name != w.options.Kinds[0].Name || !w.options.Current() {
		return
	}
	w.advanceConfirmed(at)
	w.options.Confirmed(at)
}

func (w *Watcher) advanceConfirmed(at clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = max(w.confirmed, at)
}

// RecordEra applies the era of a response, or of a neighbour's feed, and calls
// Options.EraChanged if it is later than the known one. It returns false if it is
// earlier.
func (w *Watcher) RecordEra(era int64) bool {
	w.eraMu.Lock()
	defer w.eraMu.Unlock()
	w.mu.Lock()
	before := w.era
	if era > before {
		w.era = era
		close(w.eraChanged)
		w.eraChanged = make(chan struct{})
	}
	w.mu.Unlock()
	if era > before {
		w.options.EraChanged(before, era)
	}
	return era >= before
}

// Era returns the latest known era, or 0 if the store states none.
func (w *Watcher) Era() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// inEra returns the position if it belongs to the present era, and nowhere
// otherwise.
func (w *Watcher) inEra(at Position) Position {
	if at.Era != w.Era() {
		return nowhere
	}
	return at
}

func (w *Watcher) storeState() (up bool, changed, eraChanged chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeUp, w.storeUpChanged, w.eraChanged
}

func (w *Watcher) setStoreUp(up bool, err error) {
	w.mu.Lock()
	if w.storeUp == up {
		w.mu.Unlock()
		return
	}
	w.storeUp = up
	close(w.storeUpChanged)
	w.storeUpChanged = make(chan struct{})
	now := w.options.Clock.Now()
	outage := now - w.lostAt
	if !up {
		w.lostAt = now
	}
	w.mu.Unlock()
	if up {
		w.options.StoreRegained(outage)
		return
	}
	w.options.StoreLost(err)
}

// sleepWithJitter sleeps for d, randomly varied by up to a quarter, or until ctx
// ends. The variation keeps instances from calling the store at the same time.
func sleepWithJitter(ctx context.Context, d clock.Millis) {
	sleep(ctx, clock.Millis(float64(d)*(0.75+rand.Float64()/2)))
}

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
