package relayer

import (
	"bytes"
	"compress/flate"
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

// testStaleAfter is the time after which a feed without a new confirmation ends.
const testStaleAfter = 1500 * clock.Millis(1)

// followedState is the state that a follower has received.
type followedState struct {
	mu        sync.Mutex
	objects   map[string]string // spec by "kind/name"
	confirmed clock.Millis
}

func (s *followedState) sink() Sink {
	s.objects = make(map[string]string)
	return Sink{
		Era: func(int64) bool { return true },
		Replace: func(kind string, list []watcher.Object) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for k := range s.objects {
				if strings.HasPrefix(k, kind+"/") {
					delete(s.objects, k)
				}
			}
			for _, o := range list {
				s.objects[kind+"/"+o.Name] = string(o.Spec)
			}
		},
		Change: func(kind string, o watcher.Object) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if o.Deleted {
				delete(s.objects, kind+"/"+o.Name)
				return
			}
			s.objects[kind+"/"+o.Name] = string(o.Spec)
		},
		Confirm:       func(at clock.Millis) { s.mu.Lock(); s.confirmed = max(s.confirmed, at); s.mu.Unlock() },
		StoreRegained: func(clock.Millis) {},
	}
}

func (s *followedState) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.objects)
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

func serveHub(t *testing.T, c clock.Clock) (*Hub, string) {
	t.Helper()
	h := NewHub(c, []string{"a", "b"})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, strings.TrimPrefix(server.URL, "http://")
}

// Guards against a follower that misses a change, keeps a deleted object or
// stores objects under the wrong kind.
func TestFollowerMatchesReader(t *testing.T) {
	c := clock.System()
	h, address := serveHub(t, c)
	h.SetReading(true)
	h.Replace("a", []watcher.Object{object("x", 1), object("y", 2)})
	h.Replace("b", []watcher.Object{object("x", 3)})
	h.Confirm(c.Now())
	var state followedState
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	sink := state.sink()
	go func() { done <- Follow(ctx, c, address, testStaleAfter, sink) }()
	go func() { // the reader confirms its state periodically
		for ctx.Err() == nil {
			h.Confirm(c.Now())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	eventually(t, "full state", func() bool { return state.text() == "map[a/x:s1 a/y:s2 b/x:s3]" })
	h.Change("a", object("z", 4))
	h.Change("a", watcher.Object{Name: "x", Revision: 5, Deleted: true})
	eventually(t, "changes", func() bool { return state.text() == "map[a/y:s2 a/z:s4 b/x:s3]" })
	h.Replace("a", []watcher.Object{object("z", 6)})
	eventually(t, "new list", func() bool { return state.text() == "map[a/z:s6 b/x:s3]" })
	h.SetEra(2)
	h.Replace("a", []watcher.Object{{Name: "z", Era: 2, Revision: 6, Spec: []byte("other")}})
	eventually(t, "a revision that the store has given out again", func() bool {
		return state.text() == "map[a/z:other b/x:s3]"
	})
	h.Replace("a", []watcher.Object{object("z", 6)})
	eventually(t, "list", func() bool { return state.text() == "map[a/z:s6 b/x:s3]" })
	for i := range 3 * minLogLength {
		h.Change("b", object("x", int64(10+i)))
	}
	last := fmt.Sprintf("map[a/z:s6 b/x:s%d]", 10+3*minLogLength-1)
	eventually(t, "more changes than the log keeps", func() bool { return state.text() == last })
	h.SetReading(false)
	select {
	case err := <-done:
		if !errors.Is(err, ErrClosed) {
			t.Errorf("end of the feed: got %v, want %v", err, ErrClosed)
		}
	case <-time.After(3 * time.Second):
		t.Error("the feed continues although the store is not read")
	}
}

// Guards against a confirmation that looks more recent at a follower than at the
// reader when their clocks differ or messages are delayed, and against one that
// looks much older.
func TestConfirmationKeepsItsAge(t *testing.T) {
	c := clock.System()
	skewed := clock.Clock{Now: func() clock.Millis { return c.Now() + 5*clock.Hour }}
	h, address := serveHub(t, skewed)
	h.SetReading(true)
	h.Replace("a", nil)
	h.Replace("b", nil)
	var state followedState
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sink := state.sink()
	go func() { _ = Follow(ctx, c, address, testStaleAfter, sink) }()
	for range 20 {
		at := c.Now() // the reader has read the store up to this instant
		h.Confirm(skewed.Now())
		time.Sleep(30 * time.Millisecond)
		state.mu.Lock()
		got := state.confirmed
		state.mu.Unlock()
		// The hub's clock is read just after at, hence the tolerance of 2 ms.
		if got > at+2 {
			t.Fatalf("confirmed %d, want at most %d", got, at)
		}
	}
	eventually(t, "a recent confirmation", func() bool {
		h.Confirm(skewed.Now())
		time.Sleep(10 * time.Millisecond)
		state.mu.Lock()
		defer state.mu.Unlock()
		return c.Now()-state.confirmed < 100
	})
}

// Guards against serving a feed before all kinds have been read.
func TestNoFeedBeforeAllKindsAreRead(t *testing.T) {
	c := clock.System()
	h, address := serveHub(t, c)
	h.SetReading(true)
	h.Replace("a", nil)
	var state followedState
	if err := Follow(t.Context(), c, address, testStaleAfter, state.sink()); err == nil {
		t.Error("got a feed although one kind has not been read")
	}
}

// Guards against a follower that keeps using a reader without access to the
// store. The feed must end soon enough for a change to apply within two seconds,
// whether or not other messages still arrive. First seen in a randomised fault
// test (thekkedath-tabs-grown, scale-2, seed 924566556581, rule CONFIG).
func TestFeedWithoutConfirmationEnds(t *testing.T) {
	tests := map[string]struct {
		changes bool
		age     clock.Millis // of the confirmation when the feed begins
	}{
		"no messages":             {false, 0},
		"changes without confirm": {true, 0},
		"store lost before":       {false, 1200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.System()
			h, address := serveHub(t, c)
			h.SetReading(true)
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
			var state followedState
			begin := time.Now()
			err := Follow(t.Context(), c, address, testStaleAfter, state.sink())
			limit := (1800*clock.Millis(1) - tt.age).Duration()
			if took := time.Since(begin); err == nil || took > limit {
				t.Errorf("the feed ended after %v with %v, want an end within %v", took, err, limit)
			}
		})
	}
}

// Guards against a reader that repeatedly sends the full state while a fleet
// starts: with 3,000 endpoints, most of which change within a second, each
// neighbour lagged by more than the log (fleetbench sweep, 300 instances). Also
// guards against sending superseded changes of an object, and against encoding
// the same changes for each neighbour.
func TestManyChangesAreSentAsChanges(t *testing.T) {
	h := NewHub(clock.Boot(), []string{"a"})
	h.SetReading(true)
	const objects = 2000
	var list []watcher.Object
	for i := range objects {
		list = append(list, object(fmt.Sprint("e", i), 1))
	}
	h.Replace("a", list)
	_, at, _, err := h.nextMessage(-1, false)
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		for i := range objects / 3 {
			h.Change("a", object(fmt.Sprint("e", i), int64(round+2)))
		}
	}
	m, end, _, err := h.nextMessage(at, false)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.FullKinds) != 0 {
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
			t.Fatalf("%s: got revision %d, want 4, the latest", c.Name, c.Revision)
		}
	}
	again, _, _, err := h.nextMessage(at, false)
	if err != nil {
		t.Fatal(err)
	}
	if &again.Changes[0] != &m.Changes[0] {
		t.Error("the same changes were encoded twice")
	}
	if m, _, _, err = h.nextMessage(end, false); err != nil || len(m.Changes) != 0 {
		t.Errorf("without changes: got %d bytes, %v, want none", len(m.Changes), err)
	}
}

// Guards against a state that fills the link of its reader when all neighbours start
// together: with 3,000 endpoints and links of 20 Mbit/s, the plain full state took
// twelve seconds for 49 neighbours. Neighbours of older builds must get plain changes.
func TestLargeChangesArePacked(t *testing.T) {
	h := NewHub(clock.Boot(), []string{"a"})
	h.SetReading(true)
	var list []watcher.Object
	for i := range 3000 {
		spec := fmt.Sprintf(`{"service":"s","address":"10.%d.%d.%d:8242","zone":"z%d","version":"v1","maxBatch":32,`+
			`"phase":"ready","warmupLeftMs":0,"sequence":%d,"born":17690000%05d}`, i%7, i/250, i%250, i%6, i*7, i*31%99999)
		name := fmt.Sprintf("i-%08x", i*2654435761)
		list = append(list, watcher.Object{Name: name, Revision: int64(i + 1), Spec: []byte(spec)})
	}
	h.Replace("a", list)
	sizes := make(map[bool]int)
	for _, packed := range []bool{false, true} {
		m, _, _, err := h.nextMessage(-1, packed)
		if err != nil {
			t.Fatal(err)
		}
		data, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		sizes[packed] = len(data)
		_, changes, err := decode(data)
		if err != nil || len(changes) != len(list) {
			t.Fatalf("packed %v: got %d changes, %v, want %d", packed, len(changes), err, len(list))
		}
		if packed == (len(m.Changes) > 0) {
			t.Errorf("packed %v: got %d plain bytes", packed, len(m.Changes))
		}
	}
	if 4*sizes[true] > sizes[false] {
		t.Errorf("got %d bytes instead of %d, want a quarter at most", sizes[true], sizes[false])
	}
	t.Logf("full state of %d objects: %d bytes, packed %d", len(list), sizes[false], sizes[true])
}

// Guards against a follower that does not ask for compressed changes, or cannot
// read them.
func TestFollowerReadsPackedChanges(t *testing.T) {
	c := clock.System()
	h, address := serveHub(t, c)
	h.SetReading(true)
	var list []watcher.Object
	for i := range 1000 {
		list = append(list, object(fmt.Sprint("name-", i), int64(i+1)))
	}
	h.Replace("a", list)
	h.Replace("b", nil)
	h.Confirm(c.Now())
	var state followedState
	sink := state.sink()
	go func() { _ = Follow(t.Context(), c, address, testStaleAfter, sink) }()
	eventually(t, "full state", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return len(state.objects) == len(list) && state.objects["a/name-7"] == "s8"
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	for position, b := range h.batches {
		if position == -1 && len(b.packed) == 0 {
			t.Error("the full state was not packed")
		}
	}
}

// Guards against a message that expands without end.
func TestPackedChangesAreBounded(t *testing.T) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 1<<20)
	for range maxMessageBytes>>20 + 1 {
		_, _ = w.Write(zeros)
	}
	_ = w.Close()
	data, err := encode(&Message{Packed: b.Bytes()})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := decode(data); err == nil {
		t.Error("changes above the limit were decoded")
	}
	if _, _, err := decode(data[:len(data)/2]); err == nil {
		t.Error("half of a message was decoded")
	}
}

// Guards against copying the full state for all neighbours concurrently: a reader
// with 75 neighbours used 170 MB when a fleet of 300 instances started.
func TestConcurrentLargeMessagesAreLimited(t *testing.T) {
	h := NewHub(clock.Boot(), []string{"a"})
	for range maxLargeSends {
		h.largeSlots <- struct{}{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	m := &Message{Changes: make(cbor.RawMessage, largeMessageBytes+1)}
	if err := h.send(ctx, nil, m); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("with all slots in use: got %v, want a wait until the context ends", err)
	}
}

// Guards against a process that has just started and takes the state of a reader
// that was suspended or cut off: endpoints that have left since and withdrawn keys
// would be in use again until it reads the store.
func TestStaleStateIsNotTaken(t *testing.T) {
	c := clock.System()
	ages := map[string]clock.Millis{
		"minutes": 3 * clock.Minute, "just too old": testStaleAfter + confirmationMargin + 50,
	}
	for name, age := range ages {
		t.Run(name, func(t *testing.T) {
			h, address := serveHub(t, c)
			h.SetReading(true)
			h.Replace("a", []watcher.Object{object("left", 1)})
			h.Replace("b", nil)
			h.Confirm(c.Now() - age)
			var state followedState
			sink := state.sink()
			if err := Follow(t.Context(), c, address, testStaleAfter, sink); !errors.Is(err, ErrStale) {
				t.Errorf("error: got %v, want %v", err, ErrStale)
			}
			if got := state.text(); got != "map[]" {
				t.Errorf("state: got %s, want none", got)
			}
		})
	}
}
