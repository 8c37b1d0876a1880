package relayer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// testStale is the bound for a confirmation that does not advance.
const testStale = 1500 * clock.Millis(1)

// view is what a follower has.
type view struct {
	mu        sync.Mutex
	objects   map[string]string // by kind and name
	confirmed clock.Millis
}

func (v *view) sink() Sink {
	v.objects = make(map[string]string)
	return Sink{
		Replace: func(kind string, list []watcher.Object) {
			v.mu.Lock()
			defer v.mu.Unlock()
			for k := range v.objects {
				if strings.HasPrefix(k, kind+"/") {
					delete(v.objects, k)
				}
			}
			for _, o := range list {
				v.objects[kind+"/"+o.Name] = string(o.Spec)
			}
		},
		Change: func(kind string, o watcher.Object) {
			v.mu.Lock()
			defer v.mu.Unlock()
			if o.Deleted {
				delete(v.objects, kind+"/"+o.Name)
				return
			}
			v.objects[kind+"/"+o.Name] = string(o.Spec)
		},
		Confirm:  func(at clock.Millis) { v.mu.Lock(); v.confirmed = max(v.confirmed, at); v.mu.Unlock() },
		Returned: func(clock.Millis) {},
	}
}

func (v *view) text() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(v.objects)
}

func object(name string, revision int64) watcher.Object {
	return watcher.Object{Name: name, Revision: revision, Spec: []byte(fmt.Sprint("s", revision))}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Errorf("%s: not within 3 s", what)
}

func hub(t *testing.T, c clock.Clock) (*Hub, string) {
	t.Helper()
	h := NewHub(c, []string{"a", "b"})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, strings.TrimPrefix(server.URL, "http://")
}

// Guards against a neighbour that misses a change, keeps a deleted object or
// has objects of the wrong kind.
func TestFollowerHasWhatTheReaderHas(t *testing.T) {
	c := clock.System()
	h, address := hub(t, c)
	h.SetOpen(true)
	h.Replace("a", []watcher.Object{object("x", 1), object("y", 2)})
	h.Replace("b", []watcher.Object{object("x", 3)})
	h.Confirm(c.Now())
	var v view
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	sink := v.sink()
	go func() { done <- Follow(ctx, c, address, testStale, sink) }()
	go func() { // a reader confirms its state again and again
		for ctx.Err() == nil {
			h.Confirm(c.Now())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	eventually(t, "full state", func() bool { return v.text() == "map[a/x:s1 a/y:s2 b/x:s3]" })
	h.Change("a", object("z", 4))
	h.Change("a", watcher.Object{Name: "x", Revision: 5, Deleted: true})
	eventually(t, "changes", func() bool { return v.text() == "map[a/y:s2 a/z:s4 b/x:s3]" })
	h.Replace("a", []watcher.Object{object("z", 6)})
	eventually(t, "new list", func() bool { return v.text() == "map[a/z:s6 b/x:s3]" })
	for i := range 3 * logLength {
		h.Change("b", object("x", int64(10+i)))
	}
	last := fmt.Sprintf("map[a/z:s6 b/x:s%d]", 10+3*logLength-1)
	eventually(t, "more changes than the log holds", func() bool { return v.text() == last })
	h.SetOpen(false)
	select {
	case err := <-done:
		if !errors.Is(err, ErrClosed) {
			t.Errorf("end of the feed: got %v, want %v", err, ErrClosed)
		}
	case <-time.After(3 * time.Second):
		t.Error("the feed goes on although the store is not read")
	}
}

// Guards against a confirmation that looks younger at a neighbour than at the
// reader, with clocks that differ and messages that wait on their way, and
// against one that looks much older.
func TestConfirmationKeepsItsAge(t *testing.T) {
	c := clock.System()
	skewed := clock.Clock{Now: func() clock.Millis { return c.Now() + 5*clock.Hour }}
	h, address := hub(t, skewed)
	h.SetOpen(true)
	h.Replace("a", nil)
	h.Replace("b", nil)
	var v view
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sink := v.sink()
	go func() { _ = Follow(ctx, c, address, testStale, sink) }()
	for range 20 {
		at := c.Now() // the reader has read the store up to here
		h.Confirm(skewed.Now())
		time.Sleep(30 * time.Millisecond)
		v.mu.Lock()
		got := v.confirmed
		v.mu.Unlock()
		// The clock of the hub is read a moment after at, hence 2 ms.
		if got > at+2 {
			t.Fatalf("confirmed %d, want at most %d", got, at)
		}
	}
	eventually(t, "a young confirmation", func() bool {
		h.Confirm(skewed.Now())
		time.Sleep(10 * time.Millisecond)
		v.mu.Lock()
		defer v.mu.Unlock()
		return c.Now()-v.confirmed < 100
	})
}

// Guards against a feed of an instance that has not read all kinds.
func TestNoFeedBeforeAllIsRead(t *testing.T) {
	c := clock.System()
	h, address := hub(t, c)
	h.SetOpen(true)
	h.Replace("a", nil)
	var v view
	if err := Follow(t.Context(), c, address, testStale, v.sink()); err == nil {
		t.Error("got a feed although one kind is missing")
	}
}

// Guards against a follower that trusts a reader which is cut off from the
// store: the feed must end soon enough to learn of a change within two seconds,
// whether or not other messages still come. Found by a hunt
// (thekkedath-tabs-grown, scale-2, seed 924566556581, rule CONFIG).
func TestFeedWithoutConfirmationEnds(t *testing.T) {
	tests := map[string]struct {
		changes bool
		age     clock.Millis // of the confirmation when the feed begins
	}{
		"silent":             {false, 0},
		"changes still come": {true, 0},
		"cut off before":     {false, 1200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.System()
			h, address := hub(t, c)
			h.SetOpen(true)
			h.Replace("a", nil)
			h.Replace("b", nil)
			h.Confirm(c.Now() - tt.age)
			if tt.changes {
				go func() {
					for i := range 40 {
						h.Change("a", object("x", int64(i)))
						time.Sleep(50 * time.Millisecond)
					}
				}()
			}
			var v view
			begin := time.Now()
			err := Follow(t.Context(), c, address, testStale, v.sink())
			limit := (1800*clock.Millis(1) - tt.age).Duration()
			if took := time.Since(begin); err == nil || took > limit {
				t.Errorf("the feed ended after %v with %v, want an end within %v", took, err, limit)
			}
		})
	}
}

// Guards against a fleet that starts and sends its whole state over and over:
// with 3,000 endpoints, of which most change in a second, each neighbour was
// behind the log all the time (fleetbench sweep, 300 instances). Also against
// old changes of an object that are sent with the newest one, and against
// changes that are encoded for each neighbour.
func TestManyChangesAreNotTheFullState(t *testing.T) {
	h := NewHub(clock.Boot(), []string{"a"})
	h.SetOpen(true)
	const objects = 2000
	var list []watcher.Object
	for i := range objects {
		list = append(list, object(fmt.Sprint("e", i), 1))
	}
	h.Replace("a", list)
	_, at, _, err := h.next(-1)
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		for i := range objects / 3 {
			h.Change("a", object(fmt.Sprint("e", i), int64(round+2)))
		}
	}
	m, end, _, err := h.next(at)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.Full) != 0 {
		t.Error("got the full state, want the changes")
	}
	var changes []Change
	if err := cbor.Unmarshal(m.Changes, &changes); err != nil {
		t.Fatal(err)
	}
	if len(changes) != objects/3 {
		t.Errorf("changes: got %d, want %d, one for each changed object", len(changes), objects/3)
	}
	for _, c := range changes {
		if c.Revision != 4 {
			t.Fatalf("%s: got revision %d, want 4, the newest", c.Name, c.Revision)
		}
	}
	again, _, _, err := h.next(at)
	if err != nil {
		t.Fatal(err)
	}
	if &again.Changes[0] != &m.Changes[0] {
		t.Error("the same changes were encoded twice")
	}
	if m, _, _, err = h.next(end); err != nil || len(m.Changes) != 0 {
		t.Errorf("without changes: got %d bytes, %v, want none", len(m.Changes), err)
	}
}

// Guards against copies of the full state for all neighbours at a time: a reader
// of 75 of them took 170 MB when a fleet of 300 instances started.
func TestLargeMessagesTakeTurns(t *testing.T) {
	h := NewHub(clock.Boot(), []string{"a"})
	for range largeSends {
		h.large <- struct{}{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	m := &Message{Changes: make(cbor.RawMessage, largeMessage+1)}
	if err := h.send(ctx, nil, m); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("with all places taken: got %v, want to wait until the context ends", err)
	}
}
