package claimer

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// scenario is a call at instance a, during which a fault occurs, and a retry of
// the call at instance b after the fault.
type scenario struct {
	*fleet
	a, b          *node
	service       *service
	cancelFirst   context.CancelFunc // ends the first caller's wait
	firstReturned chan struct{}      // closed when the first call has returned

	mu         sync.Mutex
	puts       int       // writes of instance a so far
	pauses     int       // pauses of instance a's committer so far
	down       bool      // instance a cannot reach the store
	lateWrites []putFunc // writes that the store applies after the fault
}

// kill stops instance a and cancels the first call. It does not return.
func (sc *scenario) kill() {
	sc.a.set(func(n *node) { n.dead = true })
	sc.cancelFirst()
	select {}
}

// startOutage makes the store unreachable from instance a.
func (sc *scenario) startOutage() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.down = true
}

func (sc *scenario) isDown() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.down
}

// putFunc performs a write of instance a and returns its result.
type putFunc func() (uint64, error)

// fault is the fault injected at instance a. Write 1 is the claim, write 2 the
// outcome.
type fault struct {
	onWrite      map[int]func(sc *scenario, put putFunc) (uint64, error)
	beforeSend   func(sc *scenario) error // called by the run before the service
	afterSend    func(sc *scenario) error // called by the run after the service
	lookUp       bool                     // the service offers look-ups
	staleOutcome bool                     // the first commit of the outcome returns a state from before the claim
}

func (sc *scenario) store(s storeclient.Store, f fault) storeclient.Store {
	c := s
	c.Get = func(ctx context.Context, key string) (storeclient.Object, error) {
		if sc.isDown() {
			return storeclient.Object{}, storeclient.ErrUnavailable
		}
		return s.Get(ctx, key)
	}
	c.Put = func(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
		sc.mu.Lock()
		sc.puts++
		inject, ok := f.onWrite[sc.puts]
		sc.mu.Unlock()
		put := func() (uint64, error) {
			if sc.isDown() {
				return 0, storeclient.ErrUnavailable
			}
			return s.Put(context.Background(), key, value, expect)
		}
		if ok {
			return inject(sc, put)
		}
		return put()
	}
	return c
}

func newScenario(f fault) *scenario {
	e := storeemulator.New()
	sc := &scenario{fleet: newFleet(e, "b"), service: newService(), firstReturned: make(chan struct{})}
	sc.b = sc.node("b")
	sc.a = sc.start("a", 1, sc.store(e.Store(), f), func(c *Claimer) {
		c.CommitWait = clock.Minute
		c.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
			if f.staleOutcome && isFinal(change) {
				f.staleOutcome = false
				return nil, nil
			}
			return c.CommitLocal(ctx, shard, key, change)
		}
		inner := c.committer.Sleep
		c.committer.Sleep = func(ctx context.Context, d clock.Millis) {
			sc.mu.Lock()
			sc.pauses++
			giveUp := sc.pauses == 20
			sc.mu.Unlock()
			if giveUp {
				sc.cancelFirst() // the caller gives up while the committer retries
			}
			inner(ctx, d)
		}
	})
	for _, n := range sc.nodes {
		if f.lookUp {
			n.claimer.LookUp = sc.service.lookUp
		}
	}
	return sc
}

func (sc *scenario) run(f fault) Run {
	return func(_ context.Context, attempt string) (Answer, error) {
		if f.beforeSend != nil {
			if err := f.beforeSend(sc); err != nil {
				return Answer{}, err
			}
		}
		answer, err := sc.service.execute("k", attempt)
		if err == nil && f.afterSend != nil {
			err = f.afterSend(sc)
		}
		return answer, err
	}
}

// firstCall makes the first call and returns its answer and outcome.
func (sc *scenario) firstCall(f fault) (Answer, string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sc.cancelFirst = cancel
	answer, err := sc.a.claimer.Do(ctx, sc.call("k"), sc.run(f))
	close(sc.firstReturned)
	if sc.a.isDead() {
		return answer, "killed"
	}
	return answer, outcomeOf(err)
}

// endFault ends the outage and performs the late writes.
func (sc *scenario) endFault() {
	sc.mu.Lock()
	sc.down = false
	late := sc.lateWrites
	sc.mu.Unlock()
	for _, put := range late {
		_, _ = put()
	}
}

func appliedAnswerLost(_ *scenario, put putFunc) (uint64, error) {
	_, _ = put()
	return 0, storeclient.ErrUnknown
}

func requestLost(*scenario, putFunc) (uint64, error) { return 0, storeclient.ErrUnknown }

func delayed(sc *scenario, put putFunc) (uint64, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.lateWrites = append(sc.lateWrites, put)
	return 0, storeclient.ErrUnknown
}

// delayedInOutage delays the write until the end of an outage.
func delayedInOutage(sc *scenario, put putFunc) (uint64, error) {
	defer sc.startOutage()
	return delayed(sc, put)
}

func delayedAndKilled(sc *scenario, put putFunc) (uint64, error) {
	defer sc.kill()
	return delayed(sc, put)
}

func before(inject func(*scenario)) func(*scenario, putFunc) (uint64, error) {
	return func(sc *scenario, put putFunc) (uint64, error) {
		inject(sc)
		return put()
	}
}

func after(inject func(*scenario)) func(*scenario, putFunc) (uint64, error) {
	return func(sc *scenario, put putFunc) (uint64, error) {
		defer inject(sc)
		return put()
	}
}

func pause(d clock.Millis) func(*scenario) { return func(sc *scenario) { sc.clock.Advance(d) } }

// cancelDuringRun cancels the first call during the run.
func (sc *scenario) cancelDuringRun() error {
	sc.cancelFirst()
	<-sc.firstReturned
	return nil
}

// TestFaults guards, for each fault at each step, against a second run, against
// an attempt that is reported as not executed although it ran or runs later, and
// against a call that stays refused although it certainly was not executed.
func TestFaults(t *testing.T) {
	type puts = map[int]func(*scenario, putFunc) (uint64, error)
	kill, outage := (*scenario).kill, (*scenario).startOutage
	hours, minutes := pause(2*clock.Hour), pause(2*clock.Minute)
	killed := func(sc *scenario) error { sc.kill(); return nil }
	loseStore := func(sc *scenario) error { sc.startOutage(); return nil }
	noAnswer := func(*scenario) error { return errors.New("connection reset") }
	notSent := func(*scenario) error { return errors.Mark(errors.New("connection refused"), ErrNotSent) }
	cases := map[string]struct {
		fault        fault
		first, retry string
		runs         int
	}{
		"no fault":                           {fault{}, "ok", "ok", 1},
		"before the claim: past deadline":    {fault{onWrite: puts{1: before(hours)}}, "deadline_exceeded", "ok", 1},
		"before the claim: past window":      {fault{onWrite: puts{1: before(minutes)}}, "ok", "ok", 1},
		"before the claim: killed":           {fault{onWrite: puts{1: before(kill)}}, "killed", "ok", 1},
		"before the claim: store down":       {fault{onWrite: puts{1: before(outage)}}, "store_unavailable", "ok", 1},
		"claim: answer lost":                 {fault{onWrite: puts{1: appliedAnswerLost}}, "ok", "ok", 1},
		"claim: request lost":                {fault{onWrite: puts{1: requestLost}}, "ok", "ok", 1},
		"claim: late":                        {fault{onWrite: puts{1: delayed}}, "ok", "ok", 1},
		"claim: late, store down":            {fault{onWrite: puts{1: delayedInOutage}}, "store_unavailable", "ok", 1},
		"claim: late, killed":                {fault{onWrite: puts{1: delayedAndKilled}}, "killed", "outcome_unknown", 0},
		"claim: late, killed, look-up":       {fault{onWrite: puts{1: delayedAndKilled}, lookUp: true}, "killed", "ok", 1},
		"before dispatch: past deadline":     {fault{onWrite: puts{1: after(hours)}}, "deadline_exceeded", "ok", 1},
		"before dispatch: past window":       {fault{onWrite: puts{1: after(minutes)}}, "ok", "ok", 1},
		"before dispatch: killed":            {fault{onWrite: puts{1: after(kill)}}, "killed", "outcome_unknown", 0},
		"before dispatch: killed, look-up":   {fault{onWrite: puts{1: after(kill)}, lookUp: true}, "killed", "ok", 1},
		"before dispatch: store down":        {fault{onWrite: puts{1: after(outage)}}, "ok", "ok", 1},
		"run: caller leaves":                 {fault{beforeSend: (*scenario).cancelDuringRun}, "still_running", "ok", 1},
		"run: killed before sending":         {fault{beforeSend: killed}, "killed", "outcome_unknown", 0},
		"run: killed after sending":          {fault{afterSend: killed}, "killed", "outcome_unknown", 1},
		"run: killed after sending, look-up": {fault{afterSend: killed, lookUp: true}, "killed", "ok", 1},
		"run: proven not sent":               {fault{beforeSend: notSent}, "not sent", "ok", 1},
		"run: answer lost":                   {fault{afterSend: noAnswer}, "outcome_unknown", "outcome_unknown", 1},
		"run: answer lost, look-up":          {fault{afterSend: noAnswer, lookUp: true}, "ok", "ok", 1},
		"run: request lost":                  {fault{beforeSend: noAnswer}, "outcome_unknown", "outcome_unknown", 0},
		"run: request lost, look-up":         {fault{beforeSend: noAnswer, lookUp: true}, "not sent", "ok", 1},
		"run: store down":                    {fault{afterSend: loseStore}, "ok", "ok", 1},
		"outcome: answer lost":               {fault{onWrite: puts{2: appliedAnswerLost}}, "ok", "ok", 1},
		"outcome: request lost":              {fault{onWrite: puts{2: requestLost}}, "ok", "ok", 1},
		"outcome: late":                      {fault{onWrite: puts{2: delayed}}, "ok", "ok", 1},
		"outcome: late, store down":          {fault{onWrite: puts{2: delayedInOutage}}, "ok", "ok", 1},
		"outcome: answered from older state": {fault{staleOutcome: true}, "ok", "ok", 1},
		"outcome: killed before":             {fault{onWrite: puts{2: before(kill)}}, "killed", "outcome_unknown", 1},
		"outcome: killed before, look-up":    {fault{onWrite: puts{2: before(kill)}, lookUp: true}, "killed", "ok", 1},
		"outcome: killed after":              {fault{onWrite: puts{2: after(kill)}}, "killed", "ok", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sc := newScenario(c.fault)
			answer, got := sc.firstCall(c.fault)
			if got != c.first {
				t.Errorf("first call: got %q, want %q", got, c.first)
			}
			sc.endFault()
			again, err := sc.b.claimer.Do(context.Background(), sc.call("k"), sc.run(fault{}))
			if got := outcomeOf(err); got != c.retry {
				t.Errorf("retry: got %q, want %q", got, c.retry)
			}
			if got == "ok" && err == nil && string(again.Body) != string(answer.Body) {
				t.Errorf("retry: got answer %q, want %q", again.Body, answer.Body)
			}
			if got := sc.service.count("k"); got != c.runs {
				t.Errorf("got %d runs, want %d", got, c.runs)
			}
		})
	}
}

// TestForgottenAttempts guards against a sent attempt that is reported as
// abandoned after its instance has removed it from memory.
func TestForgottenAttempts(t *testing.T) {
	c := newFleet(storeemulator.New(), "a").node("a").claimer
	c.MaxUnknownOutcomes = 2
	for i := range 7 {
		a := c.begin("place", nil)
		c.dispatch(a)
		c.markUnknown(a, nil)
		if got := c.State(a.id); got != Dispatched {
			t.Errorf("attempt %d: got %s, want %s", i, got, Dispatched)
		}
	}
	if got := len(c.table.byID); got > c.MaxUnknownOutcomes {
		t.Errorf("got %d attempts in memory, want at most %d", got, c.MaxUnknownOutcomes)
	}
	a := c.begin("place", nil)
	c.abandon(a)
	if got := c.State(a.id); got != Abandoned {
		t.Errorf("attempt that was not sent: got %s, want %s", got, Abandoned)
	}
}
