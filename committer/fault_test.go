package committer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
	"rosemaryarch.example/rosemaryarch/storer"
)

// chaos injects faults into the calls of a store. Writes whose answer is lost
// may land at any later call, or when the test ends.
type chaos struct {
	inner  storer.Store
	random *rand.Rand
	rate   float64 // of faults per call
	late   []func()
	other  func() // another writer's work, done beside some writes
}

func (c *chaos) hit() bool { return c.random.Float64() < c.rate }

func (c *chaos) landOne() {
	if len(c.late) > 0 && c.hit() {
		i := c.random.IntN(len(c.late))
		land := c.late[i]
		c.late = append(c.late[:i], c.late[i+1:]...)
		land()
	}
}

func (c *chaos) interleave() {
	if other := c.other; other != nil && c.hit() {
		c.other = nil
		other()
		c.other = other
	}
}

func (c *chaos) store(e *storeemulator.Emulator) storer.Store {
	c.inner = e.Store()
	s := c.inner
	s.Get = func(ctx context.Context, key string) (storer.Object, error) {
		c.landOne()
		if c.hit() {
			return storer.Object{}, storer.ErrUnavailable
		}
		e.SetFaults(storeemulator.Faults{StaleReads: c.hit()})
		defer e.SetFaults(storeemulator.Faults{})
		return c.inner.Get(ctx, key)
	}
	s.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		c.landOne()
		c.interleave()
		if !c.hit() {
			return c.inner.Put(ctx, key, value, expect)
		}
		put := func() { _, _ = c.inner.Put(context.Background(), key, value, expect) }
		switch c.random.IntN(4) {
		case 0:
			return 0, storer.ErrUnavailable
		case 1:
			put()
			c.interleave()
		case 2:
			c.late = append(c.late, put)
		}
		return 0, storer.ErrUnknown
	}
	return s
}

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
	chaos   *chaos
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
	key := fmt.Sprint("k", h.chaos.random.IntN(12))
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
		x := &chaos{
			random: rand.New(rand.NewPCG(seed, 0)), rate: rapid.Float64Range(0.05, 0.6).Draw(t, "rate"),
		}
		h := &history{chaos: x, told: map[string]error{}, keys: map[string]string{}}
		m := clock.NewManual(0)
		o := Options{Segments: 16, SegmentBytes: 512, KeptCommits: rapid.IntRange(1, 4).Draw(t, "kept"), Seed: seed}
		for i := range 3 {
			o.Instance = fmt.Sprint("i", i)
			c := New(x.store(e), m.Clock(), o)
			c.Sleep = h.sleep
			h.writers = append(h.writers, c)
		}
		// The third writer writes while another one's write is under way.
		x.other = func() {
			for range 1 + x.random.IntN(4) {
				h.submit(h.writers[2], 3)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			h.submit(h.writers[x.random.IntN(2)], x.random.IntN(8))
		}
		for _, land := range x.late {
			land()
		}
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
