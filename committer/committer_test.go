package committer

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// newTest returns a committer whose pauses advance the manual clock.
func newTest(store storeclient.Store, m *clock.Manual, o Options) *Committer {
	c := New(store, m.Clock(), o)
	c.Sleep = func(_ context.Context, d clock.Millis) { m.Advance(d) }
	return c
}

func set(value string) Change {
	return Change{Apply: func([]byte) ([]byte, error) { return []byte(value), nil }}
}

// setIfAbsent sets the value only if there is no record.
func setIfAbsent(value string) Change {
	return Change{Apply: func(old []byte) ([]byte, error) {
		if old != nil {
			return nil, nil
		}
		return []byte(value), nil
	}}
}

// TestBatching guards against one write per change and against lost updates
// between two writers of one shard.
func TestBatching(t *testing.T) {
	e := storeemulator.New()
	m := clock.NewManual(0)
	var group sync.WaitGroup
	const each = 500
	e.SetFaults(storeemulator.Faults{Delay: 2})
	for i := range 2 {
		c := newTest(e.Store(), m, Options{Instance: fmt.Sprint("i", i), Seed: 1})
		for j := range each {
			group.Go(func() {
				key, value := fmt.Sprint("k", j), fmt.Sprint(i)
				got, err := c.Submit(context.Background(), "s", key, setIfAbsent(value))
				if err != nil || len(got) != 1 {
					t.Errorf("submit: got %q, %v", got, err)
				}
			})
		}
	}
	group.Wait()
	if got, want := e.Counts().Writes, each/5; got > want {
		t.Errorf("writes for %d changes: got %d, want at most %d", 2*each, got, want)
	}
	c := newTest(e.Store(), m, Options{Instance: "reader"})
	for j := range each {
		got, err := c.Submit(context.Background(), "s", fmt.Sprint("k", j), setIfAbsent("reader"))
		if err != nil || string(got) == "reader" {
			t.Fatalf("record %d: got %q, %v, want a value of a writer", j, got, err)
		}
	}
	t.Logf("%d changes by two writers: %+v", 2*each, e.Counts())
}

// TestRefused guards against an error that is marked with the wrong outcome.
func TestRefused(t *testing.T) {
	e := storeemulator.New()
	c := newTest(e.Store(), clock.NewManual(0), Options{Instance: "i"})
	want := errors.New("no")
	refuse := Change{Apply: func([]byte) ([]byte, error) { return nil, want }}
	_, err := c.Submit(context.Background(), "s", "k", refuse)
	if !errors.Is(err, want) || !errors.Is(err, ErrRefused) || errors.Is(err, ErrNotExecuted) {
		t.Errorf("got %v, want %v marked as refused", err, want)
	}
	if got := e.Counts().Writes; got != 0 {
		t.Errorf("got %d writes, want 0", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Submit(ctx, "s", "k", refuse)
	if !errors.Is(err, ErrNotExecuted) || errors.IsAny(err, ErrFull, ErrTooLarge, ErrRefused, ErrUnknown) {
		t.Errorf("ended context: got %v, want ErrNotExecuted only", err)
	}
	_, err = c.Submit(context.Background(), "s", "k", set(strings.Repeat("x", c.options.MaxBytes)))
	if !errors.Is(err, ErrTooLarge) || !errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrFull) {
		t.Errorf("large record: got %v, want ErrTooLarge and ErrNotExecuted", err)
	}
}

// TestCancelledSubmitters guards against starvation of a submitter when other
// submitters leave each time the batch is built.
func TestCancelledSubmitters(t *testing.T) {
	const cancelled = 20
	store, ready := storeemulator.New().Store(), make(chan struct{})
	get := store.Get
	store.Get = func(ctx context.Context, key string) (storeclient.Object, error) {
		<-ready
		return get(ctx, key)
	}
	c := newTest(store, clock.NewManual(0), Options{Instance: "i"})
	var cancelSubmitter []func()
	for i := range cancelled {
		ctx, cancel := context.WithCancel(context.Background())
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			_, _ = c.Submit(ctx, "s", fmt.Sprint("k", i), set("x"))
		}()
		cancelSubmitter = append(cancelSubmitter, func() { cancel(); <-returned })
	}
	applied := 0
	waiting := Change{Apply: func([]byte) ([]byte, error) {
		if i := 2 * applied; i < cancelled { // one submitter is in a batch of its own, so two leave
			cancelSubmitter[i]()
			cancelSubmitter[i+1]()
		}
		applied++
		return []byte("x"), nil
	}}
	waitFor := func(n int) {
		for pending := 0; pending < n; runtime.Gosched() {
			c.mu.Lock()
			if w := c.workers["s"]; w != nil {
				w.mu.Lock()
				pending = len(w.pending)
				w.mu.Unlock()
			}
			c.mu.Unlock()
		}
	}
	waitFor(cancelled)
	go func() { waitFor(cancelled + 1); close(ready) }()
	if _, err := c.Submit(context.Background(), "s", "k", waiting); err != nil || applied > 2 {
		t.Errorf("got %v after %d batches, want success in at most 2", err, applied)
	}
	for _, cancel := range cancelSubmitter {
		cancel()
	}
}

// TestSegments guards against objects above the size bound, against a record that
// is lost or duplicated when its segment is sealed, and against an unbounded
// number of objects.
func TestSegments(t *testing.T) {
	e := storeemulator.New()
	m := clock.NewManual(0)
	o := Options{Instance: "a", Segments: 4, SegmentBytes: 4 << 10, MaxBytes: 32 << 10, Retention: clock.Minute}
	a := newTest(e.Store(), m, o)
	ctx := context.Background()
	stored := 0
	var err error
	for ; err == nil; stored++ {
		_, err = a.Submit(ctx, "s", fmt.Sprint("k", stored), set(fmt.Sprintf("%100d", stored)))
	}
	if stored--; !errors.Is(err, ErrFull) || !errors.Is(err, ErrNotExecuted) || stored < 4*(4<<10)/150 {
		t.Fatalf("after %d records: got %v, want ErrFull", stored, err)
	}
	b := newTest(e.Store(), m, o)
	for i := range stored {
		for _, c := range []*Committer{a, b} {
			got, err := c.Submit(ctx, "s", fmt.Sprint("k", i), setIfAbsent("new"))
			if want := fmt.Sprintf("%100d", i); err != nil || string(got) != want {
				t.Fatalf("record %d: got %q, %v", i, got, err)
			}
		}
	}
	if _, err := b.Submit(ctx, "s", "k0", set("updated")); err != nil {
		t.Errorf("update of a sealed segment: %v", err)
	}
	checkObjects(t, e.Store(), o.Segments, o.SegmentBytes+segmentOverheadBytes)
}

// TestRetention guards against a slot that is reused within retention because the
// clock of a writer is ahead or a writer is replaced by one with another clock,
// and against a shard that stays full after retention.
func TestRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := storeemulator.New()
		m := clock.NewManual(0)
		o := Options{Instance: "a", Segments: 3, SegmentBytes: 300, Retention: clock.Minute, LoadReads: 1}
		writer := func() *Committer {
			c := newTest(e.Store(), m, o)
			offset := clock.Millis(rapid.Int64Range(-1<<40, 1<<40).Draw(t, "offset"))
			c.clock.Now = func() clock.Millis { return m.Now() + offset }
			return c
		}
		writers := []*Committer{writer(), writer()}
		read := Change{Apply: func([]byte) ([]byte, error) { return nil, nil }}
		var retained []string // records within retention, oldest first
		committedAt := map[string]clock.Millis{}
		ctx := context.Background()
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.Advance(clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "pause")))
			w := rapid.IntRange(0, 1).Draw(t, "writer")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				writers[w] = writer()
			}
			key := fmt.Sprint("k", i)
			if _, err := writers[w].Submit(ctx, "s", key, set("0123456789")); err == nil {
				retained, committedAt[key] = append(retained, key), m.Now()
			} else if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			for len(retained) > 0 && m.Now()-committedAt[retained[0]] >= o.Retention {
				retained = retained[1:]
			}
			for _, k := range retained[:min(len(retained), 3)] {
				if got, err := writers[1-w].Submit(ctx, "s", k, read); err != nil || got == nil {
					t.Fatalf("%s: got %q, %v after %d ms", k, got, err, m.Now()-committedAt[k])
				}
			}
		}
		m.Advance(o.Retention)
		if _, err := writers[0].Submit(ctx, "s", "late", set("x")); errors.Is(err, ErrFull) {
			m.Advance(o.Retention) // shard time starts for this writer when it first reads the full shard
			if _, err := writers[0].Submit(ctx, "s", "late", set("x")); err != nil {
				t.Fatalf("after retention: %v", err)
			}
		}
	})
}

func checkObjects(t *testing.T, s storeclient.Store, count, bytes int) {
	t.Helper()
	objects, err := s.List(context.Background(), "s/")
	if err != nil || len(objects) != count {
		t.Errorf("got %d objects, %v, want %d", len(objects), err, count)
	}
	for _, x := range objects {
		if len(x.Value) > bytes {
			t.Errorf("%s has %d bytes, want at most %d", x.Key, len(x.Value), bytes)
		}
	}
}
