package allocator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/linker"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storer"
)

// Key is the store key of the assignment.
const Key = "permits"

const (
	tickInterval    = 50 * clock.Millis(1)
	callTimeout     = 500 * clock.Millis(1)
	confirmInterval = clock.Second
	stableFor       = clock.Second // of the membership, before it is written
	demandLasts     = 500 * clock.Millis(1)
	idleAfter       = 500 * clock.Millis(1) // without use, a limited permit is given back
	askAgain        = 200 * clock.Millis(1)
	keptDrained     = 1024
)

// demand is what this instance needs at one process.
type demand struct {
	waiting  int // requests that could not start since the last ask
	wantedAt clock.Millis
	usedAt   clock.Millis
	askedAt  clock.Millis
	running  int
	reported uint64 // epoch under which the running requests were last reported
}

// Allocator gives the requests of one instance the right to start at endpoints.
// It is safe for concurrent use.
type Allocator struct {
	// Call makes a call to a peer; see linker.Linker.Call.
	Call func(ctx context.Context, address, kind string, body []byte) ([]byte, error)
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// Processes returns the processes of all endpoints that may take work.
	Processes func() []permitter.Process

	clock    clock.Clock
	self     string
	options  permitter.Options
	registry *permitter.Registry
	store    storer.Store

	mu        sync.Mutex
	random    *rand.Rand
	holder    *permitter.Holder
	granter   *permitter.Granter
	demands   map[permitter.Process]*demand
	asking    map[string]bool // granters with an open call
	confirmed clock.Millis    // instant of the last confirmation, 0 if none
	left      bool            // grants and votes no more
	joined    bool            // has been a member of a settled assignment
	drained   []string
	departed  map[string]clock.Millis // since when each departed member has been gone
	keeper    keeper
	open      sync.WaitGroup // asks under way
}

// MemberName names an instance with its incarnation.
func MemberName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// New returns an allocator for the member self. Call, Members and Processes must
// be set before it runs.
func New(self string, s storer.Store, o permitter.Options, c clock.Clock, random *rand.Rand) *Allocator {
	return &Allocator{
		clock: c, self: self, options: o, random: random, store: s,
		registry: &permitter.Registry{Get: s.Get, Put: s.Put, Key: Key},
		holder:   permitter.NewHolder(self, o), granter: permitter.NewGranter(self, o),
		demands: map[permitter.Process]*demand{}, asking: map[string]bool{}, departed: map[string]clock.Millis{},
	}
}

// Connect lets the allocator call through l and registers its handlers.
func (a *Allocator) Connect(l *linker.Linker) {
	a.Call = l.Call
	for kind, handler := range a.Handlers() {
		l.Handle(kind, func(ctx context.Context, e linker.Envelope) ([]byte, error) { return handler(ctx, e.Body) })
	}
}

// Handlers returns the handlers of the messages by kind.
func (a *Allocator) Handlers() map[string]func(context.Context, []byte) ([]byte, error) {
	return map[string]func(context.Context, []byte) ([]byte, error){
		KindAsk:        serve(a.grant),
		KindAssignment: serve(a.assignmentReply),
		KindCold: serve(func(c cold) struct{} {
			a.noteCold(c.Process)
			return struct{}{}
		}),
		KindDrained: serve(func(d drained) struct{} {
			a.noteDrained(d.Member)
			return struct{}{}
		}),
	}
}

// Run keeps assignment and permits until done is closed.
func (a *Allocator) Run(done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.keepAssignment(ctx)
	t := time.NewTicker(tickInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.Tick(ctx)
		case <-done:
			return
		}
	}
}

// Joined reports whether this instance has become a member of an assignment, so
// that it can get permits.
func (a *Allocator) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joined
}

// Wait returns when no ask is under way.
func (a *Allocator) Wait() { a.open.Wait() }

// Units returns how many further requests may start at a process.
func (a *Allocator) Units(p permitter.Process) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Units(a.clock.Now(), p)
}

// Start reports whether a request may start at a process, and counts it. A
// request whose deadline lies beyond the longest work is not started.
func (a *Allocator) Start(p permitter.Process, deadline clock.Millis) (permitter.Work, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if deadline > now+a.options.Work {
		return permitter.Work{}, false
	}
	w, ok := a.holder.Start(now, p)
	d := a.demand(p)
	if !ok {
		d.waiting++
		d.wantedAt = now
		return w, false
	}
	d.running++
	d.usedAt = now
	return w, true
}

// Finish ends a request that Start has counted; see permitter.Holder.Finish.
func (a *Allocator) Finish(w permitter.Work, normal bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Finish(w, normal)
	d := a.demand(w.Process)
	d.running = max(d.running-1, 0)
	d.usedAt = a.clock.Now()
}

// Wanted tells that a request would have started at a process.
func (a *Allocator) Wanted(p permitter.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.demand(p)
	d.waiting++
	d.wantedAt = a.clock.Now()
}

// Cold records that a process showed a sign of being cold and tells every peer.
func (a *Allocator) Cold(p permitter.Process) {
	a.noteCold(p)
	klog.Warningf("allocator: endpoint %s is cold", p.Endpoint)
	go a.tellAll(KindCold, cold{Process: p})
}

// Leave tells every peer that this instance has no running requests and starts
// no more, so that its departure delays no permits.
// The object API is told too, for the case that every peer leaves at the same time.
func (a *Allocator) Leave() {
	a.mu.Lock()
	a.left = true
	a.mu.Unlock()
	a.recordDrained()
	a.tellAll(KindDrained, drained{Member: a.self})
}

// tellAll sends a message to every live peer and waits for the answers.
func (a *Allocator) tellAll(kind string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	var open sync.WaitGroup
	for name, address := range a.live() {
		if name == a.self {
			continue
		}
		open.Add(1)
		go func() {
			defer open.Done()
			_, _ = call[any, struct{}](ctx, a, address, kind, message) // the peer may be gone
		}()
	}
	open.Wait()
}

func (a *Allocator) noteCold(p permitter.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Cold(p)
	a.granter.Cold(a.clock.Now(), p)
}

func (a *Allocator) noteDrained(member string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drained = append(a.drained, member)
	if len(a.drained) > keptDrained {
		a.drained = append([]string(nil), a.drained[keptDrained/2:]...)
	}
}

// live returns the addresses of the members that may grant, by member name. A
// leaving member may stop at any moment and is not one of them.
func (a *Allocator) live() map[string]string {
	return a.addresses(gossiper.Alive, gossiper.Suspect)
}

func (a *Allocator) addresses(states ...uint8) map[string]string {
	found := map[string]string{}
	for _, m := range a.Members() {
		if slices.Contains(states, m.State) {
			found[MemberName(m.ID, m.Process())] = m.Address
		}
	}
	return found
}

func (a *Allocator) demand(p permitter.Process) *demand {
	d, ok := a.demands[p]
	if !ok {
		d = &demand{}
		a.demands[p] = d
	}
	return d
}

// grant answers the asks of a holder. A member that is gone from this
// instance's view gets no permits, so that its work ends with those it has.
func (a *Allocator) grant(q asks) permits {
	live := a.addresses(gossiper.Alive, gossiper.Suspect, gossiper.Leaving)
	a.mu.Lock()
	defer a.mu.Unlock()
	var r permits
	if a.left {
		return r
	}
	for _, ask := range q.Asks {
		if _, here := live[ask.Holder]; !here {
			continue
		}
		if p, ok := a.granter.Grant(a.clock.Now(), ask); ok {
			r.Permits = append(r.Permits, p)
		}
	}
	return r
}
