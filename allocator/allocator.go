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
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Key is the store key of the assignment.
const Key = "permits"

const (
	tickInterval    = 50 * clock.Millis(1)
	callTimeout     = 500 * clock.Millis(1) // of a call to a peer
	confirmInterval = clock.Second          // of the assignment
	stabilityTime   = clock.Second          // without a change of the membership, before it is written
	demandLifetime  = 500 * clock.Millis(1) // a request that could not start counts as demand for this time
	idleTimeout     = 500 * clock.Millis(1) // a limited permit is returned if unused for this time
	requestInterval = 200 * clock.Millis(1) // shortest time between two permit requests for a process
	maxDrained      = 1024                  // drained members that are remembered
)

// demand records the requests of this instance for one endpoint process.
type demand struct {
	waiting       int          // requests that could not start since the last permit request
	wantedAt      clock.Millis // when a request last could not start
	usedAt        clock.Millis // when a request last started or ended
	requestedAt   clock.Millis // time of the last permit request
	running       int          // requests
	reportedEpoch uint64       // epoch under which the running requests were last reported
}

// Allocator decides whether requests of one instance may start at endpoints, and
// grants permits to the other instances. It is safe for concurrent use.
type Allocator struct {
	// Call calls a peer; see messenger.Messenger.Call.
	Call func(ctx context.Context, address, kind string, body []byte) ([]byte, error)
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// Processes returns the processes of all endpoints that may get requests.
	Processes func() []permitter.Process

	clock           clock.Clock
	self            string
	options         permitter.Options
	assignmentStore *permitter.AssignmentStore
	store           storeclient.Store

	mu            sync.Mutex
	random        *rand.Rand
	holder        *permitter.Holder
	granter       *permitter.Granter
	demands       map[permitter.Process]*demand
	openRequests  map[string]bool         // granters with permit requests that are not answered yet
	confirmedAt   clock.Millis            // time of the last confirmation of the assignment, 0 if none
	leaving       bool                    // this instance no longer grants and votes
	joined        bool                    // has been a member of a settled assignment
	drained       []string                // members that have left without running requests
	departedSince map[string]clock.Millis // since when each departed member has been absent
	update        updateState
	pending       sync.WaitGroup // permit requests that are not answered yet
}

// MemberName returns the member name of an instance with the given incarnation.
func MemberName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// New returns an allocator for the member self. The fields Call, Members and
// Processes must be set before it runs.
func New(self string, s storeclient.Store, o permitter.Options, c clock.Clock, random *rand.Rand) *Allocator {
	return &Allocator{
		clock: c, self: self, options: o, random: random, store: s,
		assignmentStore: &permitter.AssignmentStore{Get: s.Get, Put: s.Put, Key: Key},
		holder:          permitter.NewHolder(self, o), granter: permitter.NewGranter(self, o),
		demands: map[permitter.Process]*demand{}, openRequests: map[string]bool{}, departedSince: map[string]clock.Millis{},
	}
}

// Connect makes the allocator call its peers through m, and registers its handlers
// there.
func (a *Allocator) Connect(m *messenger.Messenger) {
	a.Call = m.Call
	for kind, handler := range a.Handlers() {
		m.Handle(kind, func(ctx context.Context, e messenger.Envelope) ([]byte, error) { return handler(ctx, e.Body) })
	}
}

// Handlers returns the message handlers by kind.
func (a *Allocator) Handlers() map[string]func(context.Context, []byte) ([]byte, error) {
	return map[string]func(context.Context, []byte) ([]byte, error){
		KindAsk:        decodeAndHandle(a.grant),
		KindAssignment: decodeAndHandle(a.assignmentReply),
		KindCold: decodeAndHandle(func(c coldMessage) struct{} {
			a.applyCold(c.Process)
			return struct{}{}
		}),
		KindDrained: decodeAndHandle(func(d drainedMessage) struct{} {
			a.addDrained(d.Member)
			return struct{}{}
		}),
	}
}

// Run keeps the assignment and the permits up to date until done is closed.
func (a *Allocator) Run(done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.runUpdates(ctx)
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

// Wait blocks until no permit request is unanswered.
func (a *Allocator) Wait() { a.pending.Wait() }

// AvailableUnits returns the number of further requests that may start at a process
// now.
func (a *Allocator) AvailableUnits(p permitter.Process) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.AvailableUnits(a.clock.Now(), p)
}

// Start reports whether a request may start at a process and, if so, counts it
// until Finish is called. A request whose deadline is later than
// permitter.Options.MaxRequestTime from now may not start.
func (a *Allocator) Start(p permitter.Process, deadline clock.Millis) (permitter.RunningRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if deadline > now+a.options.MaxRequestTime {
		return permitter.RunningRequest{}, false
	}
	r, ok := a.holder.Start(now, p)
	d := a.demand(p)
	if !ok {
		d.waiting++
		d.wantedAt = now
		return r, false
	}
	d.running++
	d.usedAt = now
	return r, true
}

// Finish ends a request that Start has counted; see permitter.Holder.Finish.
func (a *Allocator) Finish(r permitter.RunningRequest, normal bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Finish(r, normal)
	d := a.demand(r.Process)
	d.running = max(d.running-1, 0)
	d.usedAt = a.clock.Now()
}

// RecordDemand records that a request would have started at a process if it had been
// allowed to.
func (a *Allocator) RecordDemand(p permitter.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.demand(p)
	d.waiting++
	d.wantedAt = a.clock.Now()
}

// MarkCold records a sign that a process is cold, and reports it to every peer.
func (a *Allocator) MarkCold(p permitter.Process) {
	a.applyCold(p)
	klog.Warningf("allocator: endpoint %s shows a sign of being cold", p.Endpoint)
	go a.broadcast(KindCold, coldMessage{Process: p})
}

// Leave informs every peer that this instance has no running requests and starts
// no more, so that its departure delays no permits. It also stores this in the
// object API, in case all instances leave at the same time.
func (a *Allocator) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.storeDrained()
	a.broadcast(KindDrained, drainedMessage{Member: a.self})
}

// broadcast sends a message to every live peer and waits for the answers.
func (a *Allocator) broadcast(kind string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	var pending sync.WaitGroup
	for name, address := range a.liveMembers() {
		if name == a.self {
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			_, _ = call[any, struct{}](ctx, a, address, kind, message) // the peer may have stopped
		}()
	}
	pending.Wait()
}

// applyCold records a sign of cold at this instance's holder and granter.
func (a *Allocator) applyCold(p permitter.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.MarkCold(p)
	a.granter.MarkCold(a.clock.Now(), p)
}

// addDrained remembers that a member has left without running requests.
func (a *Allocator) addDrained(member string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drained = append(a.drained, member)
	if len(a.drained) > maxDrained {
		a.drained = append([]string(nil), a.drained[maxDrained/2:]...)
	}
}

// liveMembers returns the addresses of the members that may grant, by member name.
// A leaving member may stop at any time and is not one of them.
func (a *Allocator) liveMembers() map[string]string {
	return a.addressesOf(gossiper.Alive, gossiper.Suspect)
}

// addressesOf returns the addresses of the members in the given states, by member
// name.
func (a *Allocator) addressesOf(states ...uint8) map[string]string {
	found := map[string]string{}
	for _, m := range a.Members() {
		if slices.Contains(states, m.State) {
			found[MemberName(m.ID, m.Process())] = m.Address
		}
	}
	return found
}

// demand returns the demand for a process, and creates it if necessary.
func (a *Allocator) demand(p permitter.Process) *demand {
	d, ok := a.demands[p]
	if !ok {
		d = &demand{}
		a.demands[p] = d
	}
	return d
}

// grant answers the permit requests of a holder. A member that is not in this
// instance's view of the membership gets no permits, so that it starts no request
// after its present permits have expired.
func (a *Allocator) grant(q permitRequestBatch) permitBatch {
	live := a.addressesOf(gossiper.Alive, gossiper.Suspect, gossiper.Leaving)
	a.mu.Lock()
	defer a.mu.Unlock()
	var r permitBatch
	if a.leaving {
		return r
	}
	for _, request := range q.Requests {
		if _, present := live[request.Holder]; !present {
			continue
		}
		if p, ok := a.granter.Grant(a.clock.Now(), request); ok {
			r.Permits = append(r.Permits, p)
		}
	}
	return r
}
