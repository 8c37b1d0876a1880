package configwriter

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// init fixes the seed of the random histories. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func newWriter(e *storeemulator.Emulator) *Writer {
	w := New(e.Store(), clock.NewManual(clock.Hour).Clock())
	w.Wait = func(ctx context.Context, _ clock.Millis) error { return ctx.Err() }
	return w
}

func stored(t testing.TB, e *storeemulator.Emulator) Object {
	t.Helper()
	s, err := e.Store().Get(context.Background(), Key)
	if err != nil {
		t.Fatal(err)
	}
	o, err := Decode(s.Value)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// TestWrites guards against a text edit that brings a removed data centre back
// into service or overwrites another edit, and against writes that are reported
// with a wrong outcome.
func TestWrites(t *testing.T) {
	ctx := context.Background()
	errNoDataCentre := refuser.ErrUnknownDataCentre
	cases := map[string]struct {
		write func(w *Writer) (Object, error)
		want  error // nil: accepted
		out   []string
		text  string
	}{
		"text from the present revision": {func(w *Writer) (Object, error) {
			return w.Apply(ctx, "a\nc\n", 2, "x")
		}, nil, []string{"oita"}, "a\nc\n"},
		"text from an old revision": {func(w *Writer) (Object, error) {
			return w.Apply(ctx, "a\nc\n", 1, "x")
		}, refuser.ErrRevisionConflict, []string{"oita"}, "a\nb\n"},
		"text that is not valid": {func(w *Writer) (Object, error) {
			return w.Apply(ctx, "bad", 2, "x")
		}, refuser.ErrInvalidConfig, []string{"oita"}, "a\nb\n"},
		"second data centre": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "aluva", true, "x")
		}, nil, []string{"aluva", "oita"}, "a\nb\n"},
		"unknown data centre": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "nowhere", true, "x")
		}, errNoDataCentre, []string{"oita"}, "a\nb\n"},
		"unknown data centre comes back": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "nowhere", false, "x")
		}, nil, []string{"oita"}, "a\nb\n"},
		"back in": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "oita", false, "x")
		}, nil, nil, "a\nb\n"},
		"repeated id": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "oita", true, "out")
		}, nil, []string{"oita"}, "a\nb\n"},
		"id of another change": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "oita", false, "out")
		}, refuser.ErrKeyReused, []string{"oita"}, "a\nb\n"},
		"no id": {func(w *Writer) (Object, error) {
			return w.SetDataCentre(ctx, "oita", false, "")
		}, refuser.ErrInvalidBody, []string{"oita"}, "a\nb\n"},
		"no contact with the majority": {func(w *Writer) (Object, error) {
			w.CheckWritable = func() error { return refuser.ErrNotReady }
			return w.SetDataCentre(ctx, "oita", false, "x")
		}, refuser.ErrNotReady, []string{"oita"}, "a\nb\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := storeemulator.New()
			w := newWriter(e)
			w.Validate = func(text string) error {
				if text == "bad" {
					return errors.New("line 1: bad")
				}
				return nil
			}
			w.CheckDataCentre = func(_, name string) error {
				if name == "nowhere" {
					return errNoDataCentre
				}
				return nil
			}
			mustWrite(t)(w.Apply(ctx, "a\nb\n", 0, "first"))
			mustWrite(t)(w.SetDataCentre(ctx, "oita", true, "out"))
			if _, err := c.write(w); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			got := stored(t, e)
			if !slices.Equal(got.DataCentresOut, c.out) || got.Text != c.text {
				t.Errorf("stored: out %v, text %q, want %v, %q", got.DataCentresOut, got.Text, c.out, c.text)
			}
		})
	}
}

func mustWrite(t testing.TB) func(Object, error) {
	return func(_ Object, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestLostAnswers guards against a write that is reported as rejected although it
// took effect, and against one that is applied twice.
func TestLostAnswers(t *testing.T) {
	ctx := context.Background()
	none, down := storeemulator.Faults{}, storeemulator.Faults{Down: true}
	stale := storeemulator.Faults{StaleReads: true}
	cases := map[string]struct {
		// put replaces the first write of the store.
		put   func(e *storeemulator.Emulator, s storeclient.Store, value []byte, expect uint64) (uint64, error)
		after storeemulator.Faults // faults after the first write
		want  error
		out   bool // the data centre is out of service after the faults
	}{
		"took effect": {func(_ *storeemulator.Emulator, s storeclient.Store, v []byte, x uint64) (uint64, error) {
			_, _ = s.Put(ctx, Key, v, x)
			return 0, storeclient.ErrUnknown
		}, none, nil, true},
		"took no effect": {func(_ *storeemulator.Emulator, _ storeclient.Store, _ []byte, _ uint64) (uint64, error) {
			return 0, storeclient.ErrUnknown
		}, none, nil, true},
		"took no effect, another write came first": {
			func(e *storeemulator.Emulator, _ storeclient.Store, _ []byte, _ uint64) (uint64, error) {
				_, _ = newWriter(e).SetEndpoint(ctx, "e1", true, "other")
				return 0, storeclient.ErrUnknown
			}, none, nil, true},
		"took effect, another write followed": {
			func(e *storeemulator.Emulator, s storeclient.Store, v []byte, x uint64) (uint64, error) {
				_, _ = s.Put(ctx, Key, v, x)
				_, _ = newWriter(e).SetEndpoint(ctx, "e1", true, "other")
				return 0, storeclient.ErrUnknown
			}, none, nil, true},
		"took effect, then an outage": {
			func(_ *storeemulator.Emulator, s storeclient.Store, v []byte, x uint64) (uint64, error) {
				_, _ = s.Put(ctx, Key, v, x)
				return 0, storeclient.ErrUnknown
			}, down, refuser.ErrChangeUnknown, true},
		"took effect, then stale reads": {
			func(_ *storeemulator.Emulator, s storeclient.Store, v []byte, x uint64) (uint64, error) {
				_, _ = s.Put(ctx, Key, v, x)
				return 0, storeclient.ErrUnknown
			}, stale, refuser.ErrChangeUnknown, true},
		"took effect, another write followed, then stale reads": {
			func(e *storeemulator.Emulator, s storeclient.Store, v []byte, x uint64) (uint64, error) {
				_, _ = s.Put(ctx, Key, v, x)
				_, _ = newWriter(e).SetEndpoint(ctx, "e1", true, "other")
				return 0, storeclient.ErrUnknown
			}, stale, nil, true},
		"took no effect, then an outage": {
			func(_ *storeemulator.Emulator, _ storeclient.Store, _ []byte, _ uint64) (uint64, error) {
				return 0, storeclient.ErrUnknown
			}, down, refuser.ErrChangeUnknown, false},
		"refused by an outage": {func(_ *storeemulator.Emulator, _ storeclient.Store, _ []byte, _ uint64) (uint64, error) {
			return 0, storeclient.ErrUnavailable
		}, none, refuser.ErrStoreUnavailable, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := storeemulator.New()
			mustWrite(t)(newWriter(e).Apply(ctx, "text", 0, "first"))
			w := newWriter(e)
			store := e.Store()
			first := true
			w.Store.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
				if !first {
					return store.Put(ctx, key, value, expect)
				}
				first = false
				v, err := c.put(e, store, value, expect)
				e.SetFaults(c.after)
				return v, err
			}
			_, err := w.SetDataCentre(ctx, "oita", true, "out")
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if errors.Is(c.want, refuser.ErrChangeUnknown) && !strings.Contains(fmt.Sprint(err), `"out"`) {
				t.Errorf("the error does not name the change id: %v", err)
			}
			e.SetFaults(storeemulator.Faults{})
			o := stored(t, e)
			if got := slices.Contains(o.DataCentresOut, "oita"); got != c.out {
				t.Errorf("taken out: got %v, want %v", got, c.out)
			}
			_, err = w.Outcome(ctx, "out")
			if got := err == nil; got != c.out || !got && !errors.Is(err, ErrNotRecorded) {
				t.Errorf("outcome: got %v, want recorded %v", err, c.out)
			}
		})
	}
}

// TestConflictNamesTheLines guards against a refusal that does not show the
// operator the differing lines.
func TestConflictNamesTheLines(t *testing.T) {
	ctx := context.Background()
	e := storeemulator.New()
	w := newWriter(e)
	mustWrite(t)(w.Apply(ctx, "same\nstored\nend\n", 0, "first"))
	_, err := w.Apply(ctx, "same\nmine\nmore\nend\n", 7, "x")
	for _, want := range []string{"revision 7", "revision is 1", "-2: stored", "+2: mine", "+3: more"} {
		if !strings.Contains(fmt.Sprint(err), want) {
			t.Errorf("%v does not contain %q", err, want)
		}
	}
	if strings.Contains(fmt.Sprint(err), "same") {
		t.Errorf("%v repeats equal lines", err)
	}
}

// TestRotation guards against a first text that creates no session key, and
// against a rotation that removes a key still in use or adds the same key again.
func TestRotation(t *testing.T) {
	ctx := context.Background()
	e := storeemulator.New()
	w := newWriter(e)
	mustWrite(t)(w.Apply(ctx, "text", 0, "first"))
	before := stored(t, e).SessionKeys
	if len(before) != 1 || len(before[0]) != sessionKeyBytes {
		t.Fatalf("after the first text: got %d keys, want 1", len(before))
	}
	mustWrite(t)(w.Apply(ctx, "other text", 1, "second"))
	if got := stored(t, e).SessionKeys; !bytes.Equal(got[0], before[0]) {
		t.Error("a further text replaced the session key")
	}
	for i := range 5 {
		mustWrite(t)(w.RotateSessionKey(ctx, fmt.Sprint("rotate ", i)))
		mustWrite(t)(w.RotateSessionKey(ctx, fmt.Sprint("rotate ", i))) // repeated id
		got := stored(t, e).SessionKeys
		if len(got) != min(i+2, keptSessionKeys) || len(got[0]) != sessionKeyBytes {
			t.Fatalf("after %d rotations: got %d keys", i+1, len(got))
		}
		if !bytes.Equal(got[1], before[0]) || bytes.Equal(got[0], before[0]) {
			t.Errorf("rotation %d did not keep the former key in second place", i)
		}
		before = got
	}
}

// TestConcurrentOperators guards, over random interleavings with lost answers and
// outages, against a change that is lost, applied twice or reported wrongly, and
// against a revision that differs from the number of accepted writes.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		e := storeemulator.New()
		mustWrite(t)(newWriter(e).Apply(ctx, "0", 0, "first"))
		w := newWriter(e)
		store := e.Store()
		depth := 0
		var accepted []string
		unknown := map[string]bool{}
		var operate func()
		// Another operator makes a change between the read and the write of this one.
		w.Store.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
			if depth < 3 && rapid.Bool().Draw(rt, "race") {
				operate()
			}
			f := storeemulator.Faults{LoseWriteAnswers: rapid.IntRange(0, 1).Draw(rt, "lost")}
			f.Down = rapid.IntRange(0, 9).Draw(rt, "down") == 0
			e.SetFaults(f)
			v, err := store.Put(ctx, key, value, expect)
			f = storeemulator.Faults{StaleReads: rapid.IntRange(0, 9).Draw(rt, "stale") == 0}
			f.Down = rapid.IntRange(0, 9).Draw(rt, "down after") == 0
			e.SetFaults(f)
			return v, err
		}
		n := 0
		operate = func() {
			depth++
			defer func() { depth-- }()
			n++
			id := fmt.Sprint("change ", n)
			var err error
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				var from uint64
				if s, err := store.Get(ctx, Key); err == nil {
					o, _ := Decode(s.Value)
					from = o.Revision
				}
				_, err = w.Apply(ctx, id, from, id)
			case 1:
				_, err = w.SetDataCentre(ctx, "oita", rapid.Bool().Draw(rt, "out"), id)
			case 2:
				_, err = w.SetEndpoint(ctx, "e1", rapid.Bool().Draw(rt, "out"), id)
			}
			switch {
			case err == nil:
				accepted = append(accepted, id)
			case errors.Is(err, refuser.ErrChangeUnknown):
				unknown[id] = true
			}
			e.SetFaults(storeemulator.Faults{})
		}
		for range rapid.IntRange(1, 6).Draw(rt, "operations") {
			operate()
		}
		checkChanges(rt, stored(t, e), accepted, unknown)
	})
}

func checkChanges(rt *rapid.T, o Object, accepted []string, unknown map[string]bool) {
	if got, want := o.Revision, uint64(len(o.Changes)); got != want {
		rt.Fatalf("revision %d after %d changes", got, want)
	}
	recordedIDs := map[string]bool{"first": true}
	for _, c := range o.Changes {
		if c.ID != "first" && recordedIDs[c.ID] {
			rt.Fatalf("%s took effect twice", c.ID)
		}
		recordedIDs[c.ID] = true
		if c.ID != "first" && !slices.Contains(accepted, c.ID) && !unknown[c.ID] {
			rt.Fatalf("%s took effect and was reported as refused", c.ID)
		}
	}
	for _, id := range accepted {
		if !recordedIDs[id] {
			rt.Fatalf("%s was accepted and is not recorded", id)
		}
	}
}
