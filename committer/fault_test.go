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

// add appends a token to a record unless the record contains it.
func add(token string) Change {
	return Change{Apply: func(old []byte) ([]byte, error) {
		if strings.Contains(string(old), token) {
			return nil, nil
		}
		return append(append([]byte(nil), old...), token...), nil
	}}
}

// history submits changes through several writers under faults. Each submitter
// cancels its call after a random number of pauses.
type history struct {
	*storeemulator.FaultInjector
	writers      []*Committer
	results      map[string]error  // returned errors, by token
	keys         map[string]string // record keys, by token
	cancelSubmit func()            // cancels the present call of Submit and waits for its return
	pausesLeft   int               // pauses until cancelSubmit is called
}

func (h *history) sleep(context.Context, clock.Millis) {
	if h.pausesLeft--; h.pausesLeft < 0 && h.cancelSubmit != nil {
		h.cancelSubmit()
	}
}

func (h *history) submit(c *Committer, pauses int) {
	token := fmt.Sprintf("<%d>", len(h.results))
	key := fmt.Sprint("k", h.IntN(12))
	h.results[token], h.keys[token] = nil, key
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	returned := make(chan struct{})
	outerCancel, outerPauses := h.cancelSubmit, h.pausesLeft
	h.pausesLeft = pauses
	h.cancelSubmit = func() { cancel(); <-returned }
	_, err := c.Submit(ctx, "s", key, add(token))
	close(returned)
	for w := c.workers["s"]; !w.idle(); {
		runtime.Gosched()
	}
	h.cancelSubmit, h.pausesLeft = outerCancel, outerPauses
	h.results[token] = err
}

// TestReportedOutcomes guards against a change that is reported as not executed
// and takes effect later, for example through a delayed write whose submitter has
// left, against a committed change that is lost, and against one that is applied
// twice.
func TestReportedOutcomes(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		e := storeemulator.New()
		seed := rapid.Uint64().Draw(t, "seed")
		x := storeemulator.NewFaultInjector(e, seed, rapid.Float64Range(0.05, 0.6).Draw(t, "rate"))
		h := &history{FaultInjector: x, results: map[string]error{}, keys: map[string]string{}}
		m := clock.NewManual(0)
		keptCommits := rapid.IntRange(1, 4).Draw(t, "kept")
		o := Options{LoadReads: 1, Segments: 12, SegmentBytes: 512, KeptCommits: keptCommits, Seed: seed}
		for i := range 3 {
			o.Instance = fmt.Sprint("i", i)
			c := New(x.Store(), m.Clock(), o)
			c.Sleep = h.sleep
			h.writers = append(h.writers, c)
		}
		// The third writer submits changes during a write of another one.
		x.DuringWrite = func() {
			for range 1 + x.IntN(4) {
				h.submit(h.writers[2], 3)
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			h.submit(h.writers[x.IntN(2)], x.IntN(8))
		}
		x.EndFaults()
		h.check(t, e, m, outcomes)
	})
	t.Logf("outcomes: %v", outcomes)
	for _, o := range []string{"committed", "not executed", "unknown, present", "unknown, absent"} {
		if outcomes[o] == 0 {
			t.Errorf("no change has the outcome %q", o)
		}
	}
}

func (h *history) check(t *rapid.T, e *storeemulator.Emulator, m *clock.Manual, outcomes map[string]int) {
	reader := newTest(e.Store(), m, h.writers[0].options)
	for token, err := range h.results {
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
			t.Fatalf("%s was reported as committed and is missing", token)
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
