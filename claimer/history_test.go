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

// history is a random sequence of calls at several instances under faults. Its
// invariants hold for every interleaving of its goroutines.
type history struct {
	*fleet
	*storeemulator.FaultInjector
	service *service
	lookUp  bool
	forward bool         // changes are committed at random instances
	late    atomic.Int64 // forwarded changes that have not arrived yet

	mu           sync.Mutex                 // guards the fields below
	runs         map[int]int                // number of runs, by call of Do
	results      map[int]error              // returned errors, by call of Do
	answers      map[string]map[string]bool // returned answers, by key
	reasonCounts map[string]int             // calls, by outcome
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
// answer may be lost, and the message may be delayed.
func (h *history) commitElsewhere(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
	n := h.node(names[h.IntN(len(names))])
	if h.DrawFault() && h.IntN(4) > 0 {
		return nil, committer.ErrUnknown
	}
	if h.DrawFault() {
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
	if ctx.Err() != nil || h.DrawFault() {
		return nil, committer.ErrUnknown
	}
	return record, err
}

// do makes one call and records its result. The caller stops waiting shortly
// after its timeout, because a dead or paused instance does not return.
func (h *history) do(id int, name, key string, callerTimeout time.Duration) {
	n := h.node(name)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	returned := make(chan struct{})
	go func() {
		defer cancel()
		defer close(returned)
		answer, err := n.claimer.Do(ctx, h.call(key), h.run(id, n, key))
		h.mu.Lock()
		defer h.mu.Unlock()
		h.results[id] = err
		h.reasonCounts[outcomeOf(err)]++
		if err == nil {
			h.answers[key][string(answer.Body)] = true
		}
	}()
	select {
	case <-returned:
	case <-time.After(callerTimeout + 5*time.Millisecond):
	}
}

func (h *history) run(id int, n *node, key string) Run {
	return func(_ context.Context, attempt string) (Answer, error) {
		n.gate()
		if h.DrawFault() {
			return Answer{}, errors.Mark(errors.New("connection refused"), ErrNotSent)
		}
		if h.DrawFault() {
			return Answer{}, errors.New("request lost")
		}
		h.count(id, 1)
		answer, err := h.service.execute(key, attempt)
		if err != nil {
			h.count(id, -1) // refused after a look-up
		}
		n.gate()
		if err == nil && h.DrawFault() {
			return Answer{}, errors.New("answer lost")
		}
		return answer, err
	}
}

func (h *history) count(id, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] += n
}

// injectFaults pauses, kills and restarts instances and makes the store
// unavailable.
func (h *history) injectFaults() {
	for i := range 4 {
		n := h.node(names[h.IntN(len(names))])
		switch h.IntN(4) {
		case 0:
			resume := make(chan struct{})
			n.set(func(n *node) { n.unresponsive, n.atGate = true, func() { <-resume } })
			h.clock.Advance(clock.Millis(h.IntN(int(2 * clock.Minute))))
			time.Sleep(2 * time.Millisecond)
			n.set(func(n *node) { n.unresponsive, n.atGate = h.IntN(2) == 0, nil })
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

// TestRandomHistories guards against two runs of one key, against a call that is
// reported as not executed although it ran or runs later, and against two
// different answers for one key.
func TestRandomHistories(t *testing.T) {
	reasons := map[string]int{}
	keys := []string{"k0", "k1", "k2"}
	rapid.Check(t, func(t *rapid.T) {
		e := storeemulator.New()
		seed, rate := rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "rate")
		h := &history{
			fleet: newFleet(e), FaultInjector: storeemulator.NewFaultInjector(e, seed, rate), service: newService(),
			lookUp: rapid.Bool().Draw(t, "look-up"), forward: rapid.Bool().Draw(t, "forward"),
			runs: map[int]int{}, results: map[int]error{}, answers: map[string]map[string]bool{}, reasonCounts: map[string]int{},
		}
		h.clockStopped = true // concurrent short pauses would advance the clock beyond every dispatch window
		for _, k := range keys {
			h.answers[k] = map[string]bool{}
		}
		for _, name := range names {
			h.startNode(name, 1)
		}
		const callers, calls = 8, 4
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				for j := range calls {
					callerTimeout := time.Duration(200+h.IntN(3000)) * time.Microsecond
					h.do(i*calls+j, names[h.IntN(len(names))], keys[h.IntN(len(keys))], callerTimeout)
				}
			})
		}
		h.injectFaults()
		group.Wait()
		h.EndFaults()
		for h.late.Load() > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		for _, name := range names {
			h.node(name).set(func(n *node) { n.unresponsive = false })
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
	t.Logf("outcomes of the calls: %v", reasons)
}

func (h *history) check(t *rapid.T, keys []string, reasons map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r, n := range h.reasonCounts {
		reasons[r] += n
	}
	for _, k := range keys {
		if got := h.service.count(k); got > 1 {
			t.Errorf("%s: got %d runs, want at most 1: %v", k, got, h.service.runs[k])
		}
		if got := len(h.answers[k]); got > 1 {
			t.Errorf("%s: got %d different answers, want at most 1: %v; runs %v", k, got, h.answers[k], h.service.runs[k])
		}
	}
	for id, err := range h.results {
		notExecuted := err != nil && (errors.Is(err, ErrNotSent) || refuser.From(err).Execution == refuser.NotExecuted)
		if notExecuted && h.runs[id] > 0 {
			t.Errorf("call %d returned %v, which states that it was not executed, but it ran", id, err)
		}
	}
}
