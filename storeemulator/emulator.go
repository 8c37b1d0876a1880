package storeemulator

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storer"
)

// Faults are the failures that the emulator injects. The zero value injects none.
type Faults struct {
	Down       bool         // every call fails with storer.ErrUnavailable
	Delay      clock.Millis // time added to each call
	LoseWrites int          // the next writes take effect and return storer.ErrUnknown
	StaleReads bool         // reads answer with the version before the newest
	FreezeFeed bool         // watches see no further change
}

// Counts are the calls that the emulator has served, by kind.
type Counts struct {
	Reads, Writes, Watches int
}

type event struct {
	sequence uint64
	object   storer.Object
}

// Emulator is an in-memory object API. It is safe for concurrent use.
type Emulator struct {
	mu       sync.Mutex
	objects  map[string]storer.Object
	previous map[string]storer.Object
	events   []event
	sequence uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
	maxWait  time.Duration
}

// keptEvents is the length of the watch history. A watcher that asks for an
// older sequence gets every current object.
const keptEvents = 4096

// defaultWatchWait ends an idle watch so that clients notice a dead peer.
const defaultWatchWait = 2 * time.Second

// New returns an empty emulator.
func New() *Emulator {
	return &Emulator{
		objects:  map[string]storer.Object{},
		previous: map[string]storer.Object{},
		changed:  make(chan struct{}),
		maxWait:  defaultWatchWait,
	}
}

// SetFaults replaces the injected failures.
func (e *Emulator) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected failures that remain.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counts returns the calls served so far.
func (e *Emulator) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Store returns a store that calls the emulator without a network.
func (e *Emulator) Store() storer.Store {
	return storer.Store{
		Get: e.get, Version: e.version, Put: e.put, Delete: e.remove, List: e.list, Watch: e.watch,
	}
}

// enter applies delay and outage and counts the call. It returns with the
// mutex held if the error is nil.
func (e *Emulator) enter(ctx context.Context, count func(*Counts)) error {
	e.mu.Lock()
	count(&e.counts)
	delay := e.faults.Delay
	if delay > 0 {
		e.mu.Unlock()
		select {
		case <-time.After(delay.Duration()):
		case <-ctx.Done():
			return storer.ErrUnavailable
		}
		e.mu.Lock()
	}
	if e.faults.Down {
		e.mu.Unlock()
		return storer.ErrUnavailable
	}
	return nil
}

func (e *Emulator) get(ctx context.Context, key string) (storer.Object, error) {
	if err := e.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return storer.Object{}, err
	}
	defer e.mu.Unlock()
	if old, ok := e.previous[key]; ok && e.faults.StaleReads {
		return clone(old), nil
	}
	o, ok := e.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return clone(o), nil
}

func (e *Emulator) version(ctx context.Context, key string) (uint64, error) {
	o, err := e.get(ctx, key)
	return o.Version, err
}

func (e *Emulator) put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > storer.MaxValueBytes {
		return 0, storer.ErrTooLarge
	}
	if err := e.enter(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return 0, err
	}
	defer e.mu.Unlock()
	if e.objects[key].Version != expect {
		return 0, storer.ErrConflict
	}
	if old, ok := e.objects[key]; ok {
		e.previous[key] = old
	}
	o := storer.Object{Key: key, Version: e.sequence + 1, Value: append([]byte(nil), value...)}
	e.objects[key] = o
	e.publish(o)
	return o.Version, e.takeLostWrite()
}

func (e *Emulator) remove(ctx context.Context, key string, expect uint64) error {
	if err := e.enter(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return err
	}
	defer e.mu.Unlock()
	o, ok := e.objects[key]
	if !ok {
		return storer.ErrNotFound
	}
	if o.Version != expect {
		return storer.ErrConflict
	}
	delete(e.objects, key)
	delete(e.previous, key)
	e.publish(storer.Object{Key: key, Version: e.sequence + 1, Deleted: true})
	return e.takeLostWrite()
}

func (e *Emulator) takeLostWrite() error {
	if e.faults.LoseWrites == 0 {
		return nil
	}
	e.faults.LoseWrites--
	return storer.ErrUnknown
}

// publish records a change for watches. The sequence number is also the
// version of the object that changed.
func (e *Emulator) publish(o storer.Object) {
	e.sequence++
	e.events = append(e.events, event{sequence: e.sequence, object: o})
	if len(e.events) > 2*keptEvents {
		e.events = append([]event(nil), e.events[len(e.events)-keptEvents:]...)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Emulator) list(ctx context.Context, prefix string) ([]storer.Object, error) {
	if err := e.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	return e.current(prefix), nil
}

func (e *Emulator) current(prefix string) []storer.Object {
	var found []storer.Object
	for k, o := range e.objects {
		if strings.HasPrefix(k, prefix) {
			found = append(found, clone(o))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (e *Emulator) watch(ctx context.Context, prefix string, from uint64) ([]storer.Object, uint64, error) {
	if err := e.enter(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return nil, from, err
	}
	defer e.mu.Unlock()
	deadline := time.NewTimer(e.maxWait)
	defer deadline.Stop()
	for {
		found := e.since(prefix, from)
		next := e.sequence
		if e.faults.FreezeFeed {
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
			return nil, from, storer.ErrUnavailable
		}
		if timedOut {
			return nil, next, nil
		}
	}
}

func (e *Emulator) since(prefix string, from uint64) []storer.Object {
	if from > e.sequence || len(e.events) > 0 && from+1 < e.events[0].sequence {
		return e.current(prefix)
	}
	var found []storer.Object
	for _, ev := range e.events {
		if ev.sequence > from && strings.HasPrefix(ev.object.Key, prefix) {
			found = append(found, clone(ev.object))
		}
	}
	return found
}

func clone(o storer.Object) storer.Object {
	o.Value = append([]byte(nil), o.Value...)
	return o
}
