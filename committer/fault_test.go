package committer

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// add appends a token to a record unless it is there.
func add(token string) Change {
	return Change{Apply: func(old []byte) ([]byte, error) {
		if strings.Contains(string(old), token) {
			return nil, nil
		}
		return append(append([]byte(nil), old...), token...), nil
	}}
}

// history submits changes through several writers under faults. Each submitter
// leaves after a random number of pauses.
type history struct {
	*storeemulator.Chaos
	writers []*Committer
	told    map[string]error // by token
	keys    map[string]string
	leave   func()
	patient int
}

func (h *history) sleep(context.Context, clock.Millis) {
	if h.patient--; h.patient < 0 && h.leave != nil {
		h.leave()
	}
}

func (h *history) submit(c *Committer, patience int) {
	token := fmt.Sprintf("<%d>", len(h.told))
	key := fmt.Sprint("k", h.IntN(12))
	h.told[token], h.keys[token] = nil, key
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	left := make(chan struct{})
	outerLeave, outerPatient := h.leave, h.patient
	h.patient = patience
	h.leave = func() { cancel(); <-left }
	_, err := c.Submit(ctx, "s", key, add(token))
	close(left)
	for l := c.lanes["s"]; !l.idle(); {
		runtime.Gosched()
	}
	h.leave, h.patient = outerLeave, outerPatient
	h.told[token] = err
}

// TestOutcomesAreTrue guards against a change that is reported as not executed
// and takes effect later, such as through a write that lands after its
// submitter has left, against a committed change that is lost, and against one
// that is applied twice.
func TestOutcomesAreTrue(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		e := storeemulator.New()
		seed := rapid.Uint64().Draw(t, "seed")
		x := storeemulator.NewChaos(e, seed, rapid.Float64Range(0.05, 0.6).Draw(t, "rate"))
		h := &history{Chaos: x, told: map[string]error{}, keys: map[string]string{}}
		m := clock.NewManual(0)
		kept := rapid.IntRange(1, 4).Draw(t, "kept")
		o := Options{LoadReads: 1, Segments: 12, SegmentBytes: 512, KeptCommits: kept, Seed: seed}
		for i := range 3 {
			o.Instance = fmt.Sprint("i", i)
			c := New(x.Store(), m.Clock(), o)
			c.Sleep = h.sleep
			h.writers = append(h.writers, c)
		}
		// The third writer writes while another one's write is under way.
		x.Beside = func() {
			for range 1 + x.IntN(4) {
				h.submit(h.writers[2], 3)
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			h.submit(h.writers[x.IntN(2)], x.IntN(8))
		}
		x.Calm()
		h.check(t, e, m, outcomes)
	})
	t.Logf("outcomes: %v", outcomes)
	for _, o := range []string{"committed", "not executed", "unknown, present", "unknown, absent"} {
		if outcomes[o] == 0 {
			t.Errorf("no history has the outcome %q", o)
		}
	}
}

func (h *history) check(t *rapid.T, e *storeemulator.Emulator, m *clock.Manual, outcomes map[string]int) {
	reader := newTest(e.Store(), m, h.writers[0].options)
	for token, err := range h.told {
		read := Change{Apply: func([]byte) ([]byte, error) { return nil, nil }}
		value, readErr := reader.Submit(context.Background(), "s", h.keys[token], read)
		if readErr != nil {
			t.Fatalf("read: %v", readErr)
		}
		got := strings.Count(string(value), token)
		switch {
		case got > 1:
			t.Fatalf("%s was applied %d times", token, got)
		case err == nil && got != 1:
			t.Fatalf("%s was committed and is lost", token)
		case err == nil:
			outcomes["committed"]++
		case errors.Is(err, ErrNotExecuted) && got != 0:
			t.Fatalf("%s was reported as not executed and took effect", token)
		case errors.Is(err, ErrNotExecuted):
			outcomes["not executed"]++
		case !errors.Is(err, ErrUnknown):
			t.Fatalf("%s: got %v", token, err)
		case got == 1:
			outcomes["unknown, present"]++
		default:
			outcomes["unknown, absent"]++
		}
	}
}
