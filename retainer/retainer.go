package retainer

import (
	"bytes"
	"slices"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// grace is the time after the start of an era for which known objects count. The
	// operator and the endpoints write theirs again within about two seconds.
	grace = 2200 * clock.Millis(1)
	// removedGrace is the time after the start of an era after which a removed object
	// that the store still shows counts again. Before, the store may not have noticed
	// yet that its author is gone.
	removedGrace = 8 * clock.Second
	// removedAge is the time for which removed objects are remembered, which is more
	// than the age of a copy.
	removedAge = 2 * clock.Minute
)

// Verdict says which of two states of an object is the later one.
type Verdict int

// The verdicts.
const (
	Unknown Verdict = iota // the content does not tell
	Same                   // neither is later
	Later                  // the shown state is later than the known one
	Older                  // the shown state is older
)

// Options configures New. Replace and Change receive what counts; they are called
// one at a time.
type Options struct {
	Clock   clock.Clock
	Replace func(list []watcher.Object) // all objects
	Change  func(o watcher.Object)      // one changed or deleted object
	// Judge compares a known state of an object with one that the store shows in a
	// later era. If it is nil, the content never tells.
	Judge func(known, shown watcher.Object) Verdict
}

// Retainer holds the known objects of one kind. It is safe for concurrent use.
type Retainer struct {
	options Options

	mu        sync.Mutex
	known     map[string]watcher.Object
	removed   map[string]removal
	postponed map[string]postponement
	older     map[string]bool // objects of which the store shows an older state
	era       int64           // present era; 0: the first one
	eraAt     clock.Millis    // start of the present era
}

// postponement is what the store shows of an object of which the known state counts
// until an instant.
type postponement struct {
	object watcher.Object
	until  clock.Millis
}

// removal is an object that has been removed.
type removal struct {
	object watcher.Object // last known state; Era is that of the removal
	at     clock.Millis
}

// New returns a Retainer that knows no objects.
func New(o Options) *Retainer {
	if o.Judge == nil {
		o.Judge = func(_, _ watcher.Object) Verdict { return Unknown }
	}
	return &Retainer{
		options: o, known: make(map[string]watcher.Object), removed: make(map[string]removal),
		postponed: make(map[string]postponement), older: make(map[string]bool),
	}
}

// BeginEra records that the store has begun an era. It must be called before
// objects of that era are passed on.
func (r *Retainer) BeginEra(era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = era
	r.eraAt = r.options.Clock.Now()
}

// Behind reports whether the store shows an older state of an object than the one
// that is known.
func (r *Retainer) Behind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.older) > 0
}

// Replace passes a list of all objects on, as far as it counts.
func (r *Retainer) Replace(list []watcher.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	clear(r.postponed)
	clear(r.older)
	next := make(map[string]watcher.Object, len(list))
	shown := make(map[string]bool, len(list))
	for _, o := range list {
		shown[o.Name] = true
		if r.counts(now, o, false) {
			next[o.Name] = o
		} else if known, ok := r.known[o.Name]; ok {
			next[o.Name] = known
		}
	}
	for name, o := range r.known {
		switch {
		case shown[name]:
		case r.isWithin(now, grace):
			next[name] = o
			o.Deleted = true
			r.postponed[name] = postponement{o, r.eraAt + grace}
		default:
			r.remember(now, o)
		}
	}
	r.known = next
	all := make([]watcher.Object, 0, len(next))
	for _, o := range next {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b watcher.Object) int { return strings.Compare(a.Name, b.Name) })
	r.options.Replace(all)
}

// Change passes one changed or deleted object on, if it counts.
func (r *Retainer) Change(o watcher.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	delete(r.postponed, o.Name)
	delete(r.older, o.Name)
	r.apply(now, o)
}

// Release passes postponed objects on when their time has come, and forgets old
// removals. It must be called periodically.
func (r *Retainer) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	for name, p := range r.postponed {
		if now >= p.until {
			delete(r.postponed, name)
			r.apply(now, p.object)
		}
	}
	for name, x := range r.removed {
		if now-x.at > removedAge {
			delete(r.removed, name)
		}
	}
}

// apply passes one changed or deleted object on, if it counts. The lock is held.
func (r *Retainer) apply(now clock.Millis, o watcher.Object) {
	if o.Deleted {
		last, ok := r.known[o.Name]
		if !ok {
			last = o
		}
		last.Era = max(last.Era, o.Era)
		r.remember(now, last)
		delete(r.known, o.Name)
		r.options.Change(o)
		return
	}
	if r.counts(now, o, true) {
		r.known[o.Name] = o
		delete(r.removed, o.Name)
		r.options.Change(o)
	}
}

// remember records the removal of an object. The lock is held.
func (r *Retainer) remember(now clock.Millis, o watcher.Object) {
	o.Era = max(o.Era, r.era)
	r.removed[o.Name] = removal{o, now}
}

// counts reports whether the state o that the store shows of an object counts,
// rather than the known one or its removal. A change that the store reports has
// been written in the present era; it is not postponed. The lock is held.
func (r *Retainer) counts(now clock.Millis, o watcher.Object, isChange bool) bool {
	if known, ok := r.known[o.Name]; ok {
		if o.Era <= known.Era {
			return true
		}
		verdict := r.options.Judge(known, o)
		if verdict == Older {
			r.older[o.Name] = true
			return false
		}
		return verdict != Unknown || sameContent(known, o) || isChange || !r.postpone(now, o, grace)
	}
	if x, ok := r.removed[o.Name]; ok && o.Era > x.object.Era {
		verdict := r.options.Judge(x.object, o)
		return verdict == Later || isChange && verdict != Older || !r.postpone(now, o, removedGrace)
	}
	return true
}

// postpone postpones what the store shows of an object until a time after the start
// of the era, unless that has passed. The lock is held.
func (r *Retainer) postpone(now clock.Millis, o watcher.Object, after clock.Millis) bool {
	if !r.isWithin(now, after) {
		return false
	}
	r.postponed[o.Name] = postponement{o, r.eraAt + after}
	return true
}

// isWithin reports whether the present era, unless it is the first one, has begun
// less than d ago. The lock is held.
func (r *Retainer) isWithin(now, d clock.Millis) bool { return r.era != 0 && now < r.eraAt+d }

// sameContent reports whether two states of an object differ only in their revision
// and era.
func sameContent(a, b watcher.Object) bool {
	return a.Deleted == b.Deleted && bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}
