package claimer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// node is one process of an instance. Its store calls, runs and pauses call
// gate, which blocks forever once the node is dead.
type node struct {
	claimer      *Claimer
	mu           sync.Mutex
	dead         bool
	unresponsive bool // does not answer QueryAttempt, like a paused process
	atGate       func()
}

func (n *node) gate() {
	n.mu.Lock()
	dead, pause := n.dead, n.atGate
	n.mu.Unlock()
	if dead {
		select {}
	}
	if pause != nil {
		pause()
	}
}

func (n *node) set(change func(*node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// fleet is several instances that share one store. Their pauses advance the
// manual clock.
type fleet struct {
	clock        *clock.Manual
	emulator     *storeemulator.Emulator
	mu           sync.Mutex
	nodes        map[string]*node
	clockStopped bool // pauses do not advance the clock
}

func newFleet(e *storeemulator.Emulator, names ...string) *fleet {
	f := &fleet{clock: clock.NewManual(0), emulator: e, nodes: map[string]*node{}}
	for _, name := range names {
		f.start(name, 1, e.Store(), func(*Claimer) {})
	}
	return f
}

// start starts an instance, or a new process of it.
func (f *fleet) start(name string, incarnation uint64, s storeclient.Store, configure func(*Claimer)) *node {
	n := &node{}
	gated := s
	gated.Get = func(ctx context.Context, key string) (storeclient.Object, error) {
		n.gate()
		defer n.gate()
		return s.Get(ctx, key)
	}
	gated.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		n.gate()
		defer n.gate()
		return s.Put(ctx, key, value, expect)
	}
	m := committer.New(gated, f.clock.Clock(), committer.Options{Instance: name, Incarnation: incarnation})
	m.Sleep = func(_ context.Context, d clock.Millis) {
		n.gate()
		if !f.clockStopped {
			f.clock.Advance(d)
		}
		time.Sleep(20 * time.Microsecond)
	}
	n.claimer = New(m, f.clock.Clock(), name, incarnation)
	n.claimer.Sleep = m.Sleep
	n.claimer.Shards = 4
	n.claimer.QueryAttempt = f.queryAttempt
	configure(n.claimer)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = n
	return n
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) queryAttempt(_ context.Context, instance, attempt string) State {
	n := f.node(instance)
	n.mu.Lock()
	unreachable := n.dead || n.unresponsive
	n.mu.Unlock()
	if unreachable {
		return Unreachable
	}
	return n.claimer.State(attempt)
}

func (f *fleet) call(key string) Call {
	return Call{
		Workspace: "w", Service: "booking", Key: key, BodyHash: []byte("h"),
		Deadline: f.clock.Now() + clock.Hour,
	}
}

// service is a plain service that executes every attempt it receives, except
// those that a look-up has reported as not executed.
type service struct {
	mu      sync.Mutex
	runs    map[string][]string // attempts, by key
	answers map[string]Answer   // by attempt
	fenced  map[string]bool     // refused attempts
}

func newService() *service {
	return &service{runs: map[string][]string{}, answers: map[string]Answer{}, fenced: map[string]bool{}}
}

func (s *service) execute(key, attempt string) (Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced[attempt] {
		return Answer{}, errors.New("service: attempt was refused")
	}
	s.runs[key] = append(s.runs[key], attempt)
	a := Answer{Status: 200, Body: []byte(fmt.Sprintf("%s by %s", key, attempt))}
	s.answers[attempt] = a
	return a, nil
}

func (s *service) lookUp(_ context.Context, _ Call, attempt string) (Answer, State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[attempt]; ok {
		return a, Done
	}
	s.fenced[attempt] = true
	return Answer{}, NotExecuted
}

func (s *service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs[key])
}

// outcomeOf returns the outcome of a call as reported to the caller: "ok",
// "not sent" or the refusal's reason.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotSent):
		return "not sent"
	default:
		return string(refuser.From(err).Reason)
	}
}
