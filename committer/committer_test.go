package committer

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
	"rosemaryarch.example/rosemaryarch/storer"
)

// newTest returns a committer whose pauses advance the clock.
func newTest(store storer.Store, m *clock.Manual, o Options) *Committer {
	c := New(store, m.Clock(), o)
	c.Sleep = func(_ context.Context, d clock.Millis) { m.Advance(d) }
	return c
}

func set(value string) Change {
	return Change{Apply: func([]byte) ([]byte, error) { return []byte(value), nil }}
}

// once sets a value only if there is no record.
func once(value string) Change {
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
				got, err := c.Submit(context.Background(), "s", key, once(value))
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
		got, err := c.Submit(context.Background(), "s", fmt.Sprint("k", j), once("reader"))
		if err != nil || string(got) == "reader" {
			t.Fatalf("record %d: got %q, %v, want a value of a writer", j, got, err)
		}
	}
	t.Logf("%d changes by two writers: %+v", 2*each, e.Counts())
}

// TestRefused guards against a refusal that is mistaken for a failed write.
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
}

// TestSegments guards against objects above the bound, against a record that is
// forgotten or doubled when its segment is sealed, and against a slot that is
// reused within retention.
func TestSegments(t *testing.T) {
	e := storeemulator.New()
	m := clock.NewManual(0)
	o := Options{Instance: "a", Segments: 4, SegmentBytes: 4 << 10, MaxBytes: 32 << 10, Retention: clock.Minute}
	a := newTest(e.Store(), m, o)
	ctx := context.Background()
	stored := 0
	for {
		_, err := a.Submit(ctx, "s", fmt.Sprint("k", stored), set(fmt.Sprintf("%100d", stored)))
		if errors.Is(err, ErrFull) && errors.Is(err, ErrNotExecuted) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		stored++
	}
	if stored < 4*(4<<10)/150 {
		t.Errorf("full after %d records", stored)
	}
	b := newTest(e.Store(), m, o)
	for i := range stored {
		for _, c := range []*Committer{a, b} {
			got, err := c.Submit(ctx, "s", fmt.Sprint("k", i), once("new"))
			if want := fmt.Sprintf("%100d", i); err != nil || string(got) != want {
				t.Fatalf("record %d: got %q, %v", i, got, err)
			}
		}
	}
	if _, err := b.Submit(ctx, "s", "k0", set("updated")); err != nil {
		t.Errorf("update of a sealed segment: %v", err)
	}
	m.Advance(clock.Minute)
	if _, err := a.Submit(ctx, "s", "late", set("late")); err != nil {
		t.Errorf("after retention: %v", err)
	}
	got, err := b.Submit(ctx, "s", "late", once("b"))
	if err != nil || string(got) != "late" {
		t.Errorf("at the other writer: got %q, %v, want late", got, err)
	}
	checkObjects(t, e.Store(), o.Segments, o.SegmentBytes+fixedBytes)
}

func checkObjects(t *testing.T, s storer.Store, count, bytes int) {
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
