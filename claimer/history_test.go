package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

var names = []string{"a", "b", "c"}

// history is a random run of several instances under faults. Its invariants
// hold for every interleaving of its goroutines.
type history struct {
	*fleet
	*storeemulator.Chaos
	service *service
	lookUp  bool
	forward bool         // changes are committed at random instances
	late    atomic.Int64 // forwarded changes that arrive late

	mu     sync.Mutex                 // guards what follows
	ran    map[int]int                // runs, by call of Do
	told   map[int]error              // by call of Do
	bodies map[string]map[string]bool // answers told, by key
	reason map[string]int
}

func (h *history) startNode(name string, incarnation uint64) {
	h.start(name, incarnation, h.Store(), func(c *Claimer) {
		c.CommitWait = clock.Millis(h.IntN(5))
		if h.lookUp {
			c.LookUp = h.service.lookUp
		}
		if h.forward {
			c.Commit = h.commitElsewhere
		}
	})
}

// commitElsewhere forwards a change to a random instance. The message or its
// answer may be lost, and the message may arrive late.
func (h *history) commitElsewhere(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
	n := h.node(names[h.IntN(len(names))])
	if h.Hit() && h.IntN(4) > 0 {
		return nil, committer.ErrUnknown
	}
	if h.Hit() {
		h.late.Add(1)
		go func() {
			defer h.late.Add(-1)
			time.Sleep(time.Duration(h.IntN(5000)) * time.Microsecond)
			late, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			defer cancel()
			_, _ = n.claimer.CommitLocal(late, shard, key, change)
		}()
		return nil, committer.ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
	defer cancel()
	record, err := n.claimer.CommitLocal(ctx, shard, key, change)
	if ctx.Err() != nil || h.Hit() {
		return nil, committer.ErrUnknown
	}
	return record, err
}

// do makes one call and records what the caller is told. The caller does not
// wait for an instance that is dead or paused for long.
func (h *history) do(id int, name, key string, patience time.Duration) {
	n := h.node(name)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	heard := make(chan struct{})
	go func() {
		defer cancel()
		defer close(heard)
		answer, err := n.claimer.Do(ctx, h.call(key), h.run(id, n, key))
		h.mu.Lock()
		defer h.mu.Unlock()
		h.told[id] = err
		h.reason[outcomeOf(err)]++
		if err == nil {
			h.bodies[key][string(answer.Body)] = true
		}
	}()
	select {
	case <-heard:
	case <-time.After(patience + 5*time.Millisecond):
	}
}

func (h *history) run(id int, n *node, key string) Run {
	return func(_ context.Context, attempt string) (Answer, error) {
		n.gate()
		if h.Hit() {
			return Answer{}, errors.Mark(errors.New("connection refused"), ErrNotSent)
		}
		if h.Hit() {
			return Answer{}, errors.New("request lost")
		}
		h.count(id, 1)
		answer, err := h.service.execute(key, attempt)
		if err != nil {
			h.count(id, -1) // refused, since a look-up came first
		}
		n.gate()
		if err == nil && h.Hit() {
			return Answer{}, errors.New("answer lost")
		}
		return answer, err
	}
}

func (h *history) count(id, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[id] += n
}

// disturb pauses, kills and replaces instances and takes the store down.
func (h *history) disturb() {
	for i := range 4 {
		n := h.node(names[h.IntN(len(names))])
		switch h.IntN(4) {
		case 0:
			resume := make(chan struct{})
			n.set(func(n *node) { n.cut, n.onGate = true, func() { <-resume } })
			h.clock.Advance(clock.Millis(h.IntN(int(2 * clock.Minute))))
			time.Sleep(2 * time.Millisecond)
			n.set(func(n *node) { n.cut, n.onGate = h.IntN(2) == 0, nil })
			close(resume)
		case 1:
			n.set(func(n *node) { n.dead = true })
			h.startNode(n.claimer.instance, uint64(i+2))
		default:
			h.SetDown(i%2 == 0)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestHistories guards against two runs of one key, against "not run" for a
// call that ran or runs later, and against two answers for one key.
func TestHistories(t *testing.T) {
	reasons := map[string]int{}
	keys := []string{"k0", "k1", "k2"}
	rapid.Check(t, func(t *rapid.T) {
		e := storeemulator.New()
		seed, rate := rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "rate")
		h := &history{
			fleet: newFleet(e), Chaos: storeemulator.NewChaos(e, seed, rate), service: newService(),
			lookUp: rapid.Bool().Draw(t, "look-up"), forward: rapid.Bool().Draw(t, "forward"),
			ran: map[int]int{}, told: map[int]error{}, bodies: map[string]map[string]bool{}, reason: map[string]int{},
		}
		h.still = true // many short pauses at once would pass every dispatch window
		for _, k := range keys {
			h.bodies[k] = map[string]bool{}
		}
		for _, name := range names {
			h.startNode(name, 1)
		}
		const callers, calls = 8, 4
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				for j := range calls {
					patience := time.Duration(200+h.IntN(3000)) * time.Microsecond
					h.do(i*calls+j, names[h.IntN(len(names))], keys[h.IntN(len(keys))], patience)
				}
			})
		}
		h.disturb()
		group.Wait()
		h.Calm()
		for h.late.Load() > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		for _, name := range names {
			h.node(name).set(func(n *node) { n.cut = false })
		}
		for i, k := range keys {
			for j, name := range names {
				h.do(1000+10*i+j, name, k, 20*time.Millisecond)
			}
		}
		h.check(t, keys, reasons)
		for _, name := range names {
			h.node(name).claimer.Close()
		}
	})
	t.Logf("callers were told: %v", reasons)
}

func (h *history) check(t *rapid.T, keys []string, reasons map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r, n := range h.reason {
		reasons[r] += n
	}
	for _, k := range keys {
		if got := h.service.count(k); got > 1 {
			t.Errorf("%s: got %d runs, want at most 1: %v", k, got, h.service.runs[k])
		}
		if got := len(h.bodies[k]); got > 1 {
			t.Errorf("%s: got %d different answers, want at most 1: %v; runs %v", k, got, h.bodies[k], h.service.runs[k])
		}
	}
	for id, err := range h.told {
		notRun := err != nil && (errors.Is(err, ErrNotSent) || refuser.From(err).Run == refuser.RunNo)
		if notRun && h.ran[id] > 0 {
			t.Errorf("call %d was told %v and ran", id, err)
		}
	}
}
