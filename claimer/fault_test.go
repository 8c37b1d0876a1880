package claimer

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
	"rosemaryarch.example/rosemaryarch/storer"
)

// world is a first call at instance a, which meets a fault, and a retry of it
// at instance b after the fault.
type world struct {
	*fleet
	a, b    *node
	service *service
	cancel  context.CancelFunc // ends the first caller's wait
	left    chan struct{}      // closed when the first caller has left

	mu     sync.Mutex
	puts   int // writes of instance a so far
	pauses int
	down   bool      // instance a cannot reach the store
	late   []putFunc // writes that land when the fault is over
}

// kill ends instance a and the first caller's wait, and does not return.
func (w *world) kill() {
	w.a.set(func(n *node) { n.dead = true })
	w.cancel()
	select {}
}

// outage cuts instance a off from the store.
func (w *world) outage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
}

func (w *world) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// putFunc makes a write of instance a and returns its result.
type putFunc func() (uint64, error)

// fault says what befalls instance a. Write 1 is the claim, write 2 the outcome.
type fault struct {
	write  map[int]func(w *world, put putFunc) (uint64, error)
	unsent func(w *world) error // in the run, before the service is called
	sent   func(w *world) error // in the run, after that
	lookUp bool
	denied bool // the first write of the outcome is answered from a state before the claim
}

func (w *world) store(s storer.Store, f fault) storer.Store {
	c := s
	c.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if w.isDown() {
			return storer.Object{}, storer.ErrUnavailable
		}
		return s.Get(ctx, key)
	}
	c.Put = func(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
		w.mu.Lock()
		w.puts++
		meet, ok := f.write[w.puts]
		w.mu.Unlock()
		put := func() (uint64, error) {
			if w.isDown() {
				return 0, storer.ErrUnavailable
			}
			return s.Put(context.Background(), key, value, expect)
		}
		if ok {
			return meet(w, put)
		}
		return put()
	}
	return c
}

func newWorld(f fault) *world {
	e := storeemulator.New()
	w := &world{fleet: newFleet(e, "b"), service: newService(), left: make(chan struct{})}
	w.b = w.node("b")
	w.a = w.start("a", 1, w.store(e.Store(), f), func(c *Claimer) {
		c.CommitWait = clock.Minute
		c.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
			if f.denied && final(change) {
				f.denied = false
				return nil, nil
			}
			return c.CommitLocal(ctx, shard, key, change)
		}
		inner := c.committer.Sleep
		c.committer.Sleep = func(ctx context.Context, d clock.Millis) {
			w.mu.Lock()
			w.pauses++
			leave := w.pauses == 20
			w.mu.Unlock()
			if leave {
				w.cancel() // the caller gives up while the committer tries again
			}
			inner(ctx, d)
		}
	})
	for _, n := range w.nodes {
		if f.lookUp {
			n.claimer.LookUp = w.service.lookUp
		}
	}
	return w
}

func (w *world) run(f fault) Run {
	return func(_ context.Context, attempt string) (Answer, error) {
		if f.unsent != nil {
			if err := f.unsent(w); err != nil {
				return Answer{}, err
			}
		}
		answer, err := w.service.execute("k", attempt)
		if err == nil && f.sent != nil {
			err = f.sent(w)
		}
		return answer, err
	}
}

// first makes the first call and returns what the caller is told.
func (w *world) first(f fault) (Answer, string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.cancel = cancel
	answer, err := w.a.claimer.Do(ctx, w.call("k"), w.run(f))
	close(w.left)
	if w.a.isDead() {
		return answer, "killed"
	}
	return answer, outcomeOf(err)
}

// heal ends the fault and lets late writes land.
func (w *world) heal() {
	w.mu.Lock()
	w.down = false
	late := w.late
	w.mu.Unlock()
	for _, land := range late {
		_, _ = land()
	}
}

func lostApplied(_ *world, put putFunc) (uint64, error) {
	_, _ = put()
	return 0, storer.ErrUnknown
}

func lostUnapplied(*world, putFunc) (uint64, error) { return 0, storer.ErrUnknown }

func late(w *world, put putFunc) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = append(w.late, put)
	return 0, storer.ErrUnknown
}

// lateInOutage loses the write until the store can be reached again.
func lateInOutage(w *world, put putFunc) (uint64, error) {
	defer w.outage()
	return late(w, put)
}

func lateAndKill(w *world, put putFunc) (uint64, error) {
	defer w.kill()
	return late(w, put)
}

func before(meet func(*world)) func(*world, putFunc) (uint64, error) {
	return func(w *world, put putFunc) (uint64, error) {
		meet(w)
		return put()
	}
}

func after(meet func(*world)) func(*world, putFunc) (uint64, error) {
	return func(w *world, put putFunc) (uint64, error) {
		defer meet(w)
		return put()
	}
}

func pause(d clock.Millis) func(*world) { return func(w *world) { w.clock.Advance(d) } }

// leave ends the first caller's wait during the run.
func (w *world) leave() error {
	w.cancel()
	<-w.left
	return nil
}

// TestFaults guards, for each fault at each step, against a second run, against
// "not run" for an attempt that ran or runs later, and against an order that
// can no longer be placed although it is certain that it was not.
func TestFaults(t *testing.T) {
	type puts = map[int]func(*world, putFunc) (uint64, error)
	kill, outage := (*world).kill, (*world).outage
	hours, minutes := pause(2*clock.Hour), pause(2*clock.Minute)
	die := func(w *world) error { w.kill(); return nil }
	loseStore := func(w *world) error { w.outage(); return nil }
	noAnswer := func(*world) error { return errors.New("connection reset") }
	notSent := func(*world) error { return errors.Mark(errors.New("connection refused"), ErrNotSent) }
	cases := map[string]struct {
		fault        fault
		first, retry string
		runs         int
	}{
		"no fault":                           {fault{}, "ok", "ok", 1},
		"before the claim: past deadline":    {fault{write: puts{1: before(hours)}}, "deadline_exceeded", "ok", 1},
		"before the claim: past window":      {fault{write: puts{1: before(minutes)}}, "ok", "ok", 1},
		"before the claim: killed":           {fault{write: puts{1: before(kill)}}, "killed", "ok", 1},
		"before the claim: store down":       {fault{write: puts{1: before(outage)}}, "store_unavailable", "ok", 1},
		"claim: answer lost":                 {fault{write: puts{1: lostApplied}}, "ok", "ok", 1},
		"claim: request lost":                {fault{write: puts{1: lostUnapplied}}, "ok", "ok", 1},
		"claim: late":                        {fault{write: puts{1: late}}, "ok", "ok", 1},
		"claim: late, store down":            {fault{write: puts{1: lateInOutage}}, "store_unavailable", "ok", 1},
		"claim: late, killed":                {fault{write: puts{1: lateAndKill}}, "killed", "outcome_unknown", 0},
		"claim: late, killed, look-up":       {fault{write: puts{1: lateAndKill}, lookUp: true}, "killed", "ok", 1},
		"before dispatch: past deadline":     {fault{write: puts{1: after(hours)}}, "deadline_exceeded", "ok", 1},
		"before dispatch: past window":       {fault{write: puts{1: after(minutes)}}, "ok", "ok", 1},
		"before dispatch: killed":            {fault{write: puts{1: after(kill)}}, "killed", "outcome_unknown", 0},
		"before dispatch: killed, look-up":   {fault{write: puts{1: after(kill)}, lookUp: true}, "killed", "ok", 1},
		"before dispatch: store down":        {fault{write: puts{1: after(outage)}}, "ok", "ok", 1},
		"run: caller leaves":                 {fault{unsent: (*world).leave}, "still_running", "ok", 1},
		"run: killed before sending":         {fault{unsent: die}, "killed", "outcome_unknown", 0},
		"run: killed after sending":          {fault{sent: die}, "killed", "outcome_unknown", 1},
		"run: killed after sending, look-up": {fault{sent: die, lookUp: true}, "killed", "ok", 1},
		"run: proven not sent":               {fault{unsent: notSent}, "not sent", "ok", 1},
		"run: answer lost":                   {fault{sent: noAnswer}, "outcome_unknown", "outcome_unknown", 1},
		"run: answer lost, look-up":          {fault{sent: noAnswer, lookUp: true}, "ok", "ok", 1},
		"run: request lost":                  {fault{unsent: noAnswer}, "outcome_unknown", "outcome_unknown", 0},
		"run: request lost, look-up":         {fault{unsent: noAnswer, lookUp: true}, "not sent", "ok", 1},
		"run: store down":                    {fault{sent: loseStore}, "ok", "ok", 1},
		"outcome: answer lost":               {fault{write: puts{2: lostApplied}}, "ok", "ok", 1},
		"outcome: request lost":              {fault{write: puts{2: lostUnapplied}}, "ok", "ok", 1},
		"outcome: late":                      {fault{write: puts{2: late}}, "ok", "ok", 1},
		"outcome: late, store down":          {fault{write: puts{2: lateInOutage}}, "ok", "ok", 1},
		"outcome: denied by an older state":  {fault{denied: true}, "ok", "ok", 1},
		"outcome: killed before":             {fault{write: puts{2: before(kill)}}, "killed", "outcome_unknown", 1},
		"outcome: killed before, look-up":    {fault{write: puts{2: before(kill)}, lookUp: true}, "killed", "ok", 1},
		"outcome: killed after":              {fault{write: puts{2: after(kill)}}, "killed", "ok", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(c.fault)
			answer, got := w.first(c.fault)
			if got != c.first {
				t.Errorf("first call: got %q, want %q", got, c.first)
			}
			w.heal()
			again, err := w.b.claimer.Do(context.Background(), w.call("k"), w.run(fault{}))
			if got := outcomeOf(err); got != c.retry {
				t.Errorf("retry: got %q, want %q", got, c.retry)
			}
			if got == "ok" && err == nil && string(again.Body) != string(answer.Body) {
				t.Errorf("retry: got answer %q, want %q", again.Body, answer.Body)
			}
			if got := w.service.count("k"); got != c.runs {
				t.Errorf("got %d runs, want %d", got, c.runs)
			}
		})
	}
}

// TestForget guards against a sent attempt that counts as abandoned once its
// instance has forgotten it.
func TestForget(t *testing.T) {
	c := newFleet(storeemulator.New(), "a").node("a").claimer
	c.MaxLost = 2
	for i := range 7 {
		a := c.begin("place", nil)
		c.dispatch(a)
		c.lose(a, nil)
		if got := c.State(a.id); got != Dispatched {
			t.Errorf("attempt %d: got %s, want %s", i, got, Dispatched)
		}
	}
	if got := len(c.table.byID); got > c.MaxLost {
		t.Errorf("got %d attempts in memory, want at most %d", got, c.MaxLost)
	}
	a := c.begin("place", nil)
	c.abandon(a)
	if got := c.State(a.id); got != Abandoned {
		t.Errorf("attempt that was not sent: got %s, want %s", got, Abandoned)
	}
}
