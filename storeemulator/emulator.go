package storeemulator

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Faults are the failures that the emulator injects. The zero value injects none.
type Faults struct {
	Down             bool         // every call fails with storeclient.ErrUnavailable
	Delay            clock.Millis // additional time of each call in ms
	LoseWriteAnswers int          // number of upcoming writes that take effect but return storeclient.ErrUnknown
	StaleReads       bool         // reads return the version before the latest one
	FreezeWatches    bool         // watches return no changes
}

// Counts are the numbers of calls by kind, including failed ones. Reads include
// lists.
type Counts struct {
	Reads, Writes, Watches int
}

// event is a change of an object.
type event struct {
	sequence uint64
	object   storeclient.Object
}

// Emulator is an in-memory object API. It is safe for concurrent use.
type Emulator struct {
	mu           sync.Mutex
	objects      map[string]storeclient.Object
	previous     map[string]storeclient.Object // version before the latest one, by key
	events       []event                       // oldest first
	sequence     uint64                        // number of the latest change
	changed      chan struct{}                 // closed and replaced at each change
	faults       Faults
	counts       Counts
	watchTimeout time.Duration
}

// historyLength is the number of latest changes that the watch history retains. A
// watch from an older sequence returns all current objects.
const historyLength = 4096

// defaultWatchTimeout ends a watch without changes, so that clients detect a lost
// connection.
const defaultWatchTimeout = 2 * time.Second

// New returns an empty emulator.
func New() *Emulator {
	return &Emulator{
		objects:      map[string]storeclient.Object{},
		previous:     map[string]storeclient.Object{},
		changed:      make(chan struct{}),
		watchTimeout: defaultWatchTimeout,
	}
}

// SetFaults replaces the injected failures.
func (e *Emulator) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected failures, with LoseWriteAnswers reduced by the number
// of writes that it has affected.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counts returns the numbers of calls so far.
func (e *Emulator) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Store returns a store that calls the emulator directly, without HTTP.
func (e *Emulator) Store() storeclient.Store {
	return storeclient.Store{
		Get: e.get, Version: e.version, Put: e.put, Delete: e.remove, List: e.list, Watch: e.watch,
	}
}

// beginCall counts the call and applies Faults.Delay and Faults.Down. It returns
// with the mutex held if the error is nil.
func (e *Emulator) beginCall(ctx context.Context, count func(*Counts)) error {
	e.mu.Lock()
	count(&e.counts)
	delay := e.faults.Delay
	if delay > 0 {
		e.mu.Unlock()
		select {
		case <-time.After(delay.Duration()):
		case <-ctx.Done():
			return storeclient.ErrUnavailable
		}
		e.mu.Lock()
	}
	if e.faults.Down {
		e.mu.Unlock()
		return storeclient.ErrUnavailable
	}
	return nil
}

func (e *Emulator) get(ctx context.Context, key string) (storeclient.Object, error) {
	if err := e.beginCall(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return storeclient.Object{}, err
	}
	defer e.mu.Unlock()
	if old, ok := e.previous[key]; ok && e.faults.StaleReads {
		return clone(old), nil
	}
	o, ok := e.objects[key]
	if !ok {
		return storeclient.Object{}, storeclient.ErrNotFound
	}
	return clone(o), nil
}

func (e *Emulator) version(ctx context.Context, key string) (uint64, error) {
	o, err := e.get(ctx, key)
	return o.Version, err
}

func (e *Emulator) put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > storeclient.MaxValueBytes {
		return 0, storeclient.ErrTooLarge
	}
	if err := e.beginCall(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return 0, err
	}
	defer e.mu.Unlock()
	if e.objects[key].Version != expect {
		return 0, storeclient.ErrConflict
	}
	if old, ok := e.objects[key]; ok {
		e.previous[key] = old
	}
	o := storeclient.Object{Key: key, Version: e.sequence + 1, Value: append([]byte(nil), value...)}
	e.objects[key] = o
	e.publish(o)
	return o.Version, e.loseWriteAnswer()
}

func (e *Emulator) remove(ctx context.Context, key string, expect uint64) error {
	if err := e.beginCall(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return err
	}
	defer e.mu.Unlock()
	o, ok := e.objects[key]
	if !ok {
		return storeclient.ErrNotFound
	}
	if o.Version != expect {
		return storeclient.ErrConflict
	}
	delete(e.objects, key)
	delete(e.previous, key)
	e.publish(storeclient.Object{Key: key, Version: e.sequence + 1, Deleted: true})
	return e.loseWriteAnswer()
}

// loseWriteAnswer returns storeclient.ErrUnknown while Faults.LoseWriteAnswers is
// positive.
// The mutex must be held.
func (e *Emulator) loseWriteAnswer() error {
	if e.faults.LoseWriteAnswers == 0 {
		return nil
	}
	e.faults.LoseWriteAnswers--
	return storeclient.ErrUnknown
}

// publish records a change for watches. Its sequence number is also the version
// of the changed object. The mutex must be held.
func (e *Emulator) publish(o storeclient.Object) {
	e.sequence++
	e.events = append(e.events, event{sequence: e.sequence, object: o})
	if len(e.events) > 2*historyLength {
		e.events = append([]event(nil), e.events[len(e.events)-historyLength:]...)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Emulator) list(ctx context.Context, prefix string) ([]storeclient.Object, error) {
	if err := e.beginCall(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	return e.currentObjects(prefix), nil
}

// currentObjects returns copies of the objects with the key prefix, sorted by key.
// The mutex must be held.
func (e *Emulator) currentObjects(prefix string) []storeclient.Object {
	var found []storeclient.Object
	for k, o := range e.objects {
		if strings.HasPrefix(k, prefix) {
			found = append(found, clone(o))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (e *Emulator) watch(ctx context.Context, prefix string, from uint64) ([]storeclient.Object, uint64, error) {
	if err := e.beginCall(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return nil, from, err
	}
	defer e.mu.Unlock()
	deadline := time.NewTimer(e.watchTimeout)
	defer deadline.Stop()
	for {
		found := e.changesSince(prefix, from)
		next := e.sequence
		if e.faults.FreezeWatches {
			found, next = nil, from
		}
		if len(found) > 0 {
			return found, next, nil
		}
		changed := e.changed
		e.mu.Unlock()
		var timedOut bool
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-ctx.Done():
			timedOut = true
		}
		e.mu.Lock()
		if e.faults.Down {
			return nil, from, storeclient.ErrUnavailable
		}
		if timedOut {
			return nil, next, nil
		}
	}
}

// changesSince returns the changes under prefix after the sequence number from,
// or all current objects if the history does not reach back to it. The mutex must
// be held.
func (e *Emulator) changesSince(prefix string, from uint64) []storeclient.Object {
	if from > e.sequence || len(e.events) > 0 && from+1 < e.events[0].sequence {
		return e.currentObjects(prefix)
	}
	var found []storeclient.Object
	for _, ev := range e.events {
		if ev.sequence > from && strings.HasPrefix(ev.object.Key, prefix) {
			found = append(found, clone(ev.object))
		}
	}
	return found
}

// clone returns a copy that does not share the value.
func clone(o storeclient.Object) storeclient.Object {
	o.Value = append([]byte(nil), o.Value...)
	return o
}
