package allocator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// keeper is the state of the loop that keeps the assignment. Only that loop
// uses it.
type keeper struct {
	loaded  bool
	seen    []string // live members at the last look
	seenAt  clock.Millis
	nextRun clock.Millis // of a confirmation, or of a question to the coordinator
}

// keepAssignment runs Keep until ctx ends.
func (a *Allocator) keepAssignment(ctx context.Context) {
	t := time.NewTicker((4 * tickInterval).Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.Keep(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Keep brings the assignment up to date once. It must not run twice at a time.
func (a *Allocator) Keep(ctx context.Context) {
	live := a.live()
	names := make([]string, 0, len(live))
	for n := range live {
		names = append(names, n)
	}
	slices.Sort(names)
	now := a.clock.Now()
	if !slices.Equal(names, a.keeper.seen) {
		a.keeper.seen, a.keeper.seenAt = names, now
	}
	a.noteDeparted(live)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	coordinator := coordinator(names)
	if coordinator != a.self {
		a.keeper.loaded = false
		a.follow(ctx, coordinator, live[coordinator])
		return
	}
	if err := a.coordinate(ctx, live, names, now); err != nil {
		klog.V(1).Infof("allocator: keeping the assignment failed: %v", err)
		a.keeper.loaded = false
		a.confirmByVotes(ctx, live)
	}
}

// coordinator returns the member that writes the assignment: the one with the
// highest hash, so that most changes of the membership keep it.
func coordinator(names []string) string {
	var best string
	var highest uint64
	for _, n := range names {
		if h := xxhash.Sum64String("coordinator " + n); best == "" || h > highest {
			best, highest = n, h
		}
	}
	return best
}

// coordinate writes, settles or confirms the assignment.
func (a *Allocator) coordinate(ctx context.Context, live map[string]string, names []string, now clock.Millis) error {
	if !a.keeper.loaded {
		loaded, err := a.registry.Load(ctx)
		if err != nil {
			return err
		}
		a.adopt(loaded)
		if err := a.readDrained(ctx, loaded); err != nil {
			return err
		}
		a.keeper.loaded = true
	}
	current := a.assignment()
	switch {
	case !slices.Equal(current.Members, names) && now >= a.keeper.seenAt+stableFor:
		next := current.Next(a.self, names, a.drainedMembers())
		if !a.reaches(ctx, live, names, current, next) {
			return nil
		}
		return a.save(ctx, next)
	case current.Epoch == 0:
		return nil // waits for a stable membership
	case !current.Settled():
		votes := append(a.votes(ctx, live, current), a.gone(current, names)...)
		settled, ok := current.Settle(votes)
		if !ok {
			return nil
		}
		return a.save(ctx, settled)
	case now >= a.keeper.nextRun:
		a.keeper.nextRun = now + confirmInterval
		epoch, err := a.registry.Confirm(ctx)
		if err != nil {
			return err
		}
		a.confirm(now, epoch)
	}
	return nil
}

// reaches reports whether the next assignment can be settled at all: the members
// that would have to vote answer now. Without that an instance that reaches the
// store, but not the fleet, would keep the fleet from settling.
func (a *Allocator) reaches(
	ctx context.Context, live map[string]string, names []string, current, next permitter.Assignment,
) bool {
	votes := append(a.votes(ctx, live, current), a.gone(next, names)...)
	_, ok := next.Settle(votes)
	return ok
}

func (a *Allocator) save(ctx context.Context, n permitter.Assignment) error {
	if err := a.registry.Save(ctx, n); err != nil {
		return err
	}
	klog.Infof("allocator: assignment %d with %d members, settled: %t", n.Epoch, len(n.Members), n.Settled())
	a.adopt(n)
	return nil
}

func (a *Allocator) assignment() permitter.Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Assignment()
}

// drainedMembers returns the members that have no running requests: those that
// said so, and those that departed and have been gone from the membership for
// so long that all their work has ended.
func (a *Allocator) drainedMembers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.Clone(a.drained)
	for m, at := range a.departed {
		if a.clock.Now() > at+goneFactor*a.options.Quiet() {
			all = append(all, m)
		}
	}
	return all
}

// goneFactor covers the time that the granters' views of the membership may
// differ: they give no permits to members that are gone.
const goneFactor = 2

// noteDeparted remembers since when the departed members have been gone.
func (a *Allocator) noteDeparted(live map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := map[string]clock.Millis{}
	for _, m := range a.holder.Assignment().Departed {
		at, known := a.departed[m]
		if _, here := live[m]; here || !known {
			at = a.clock.Now()
		}
		since[m] = at
	}
	a.departed = since
}

func (a *Allocator) adopt(n permitter.Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.holder.Assignment()
	a.holder.Adopt(n)
	a.granter.Adopt(a.clock.Now(), n)
	after := a.holder.Assignment()
	if after.Epoch != before.Epoch {
		a.confirmed = 0
	}
	a.joined = a.joined || after.Settled() && slices.Contains(after.Members, a.self)
}

// confirm records a confirmation at the instant asked.
func (a *Allocator) confirm(asked clock.Millis, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granter.Confirm(asked, epoch)
	if as := a.holder.Assignment(); as.Epoch == epoch && as.Settled() {
		a.confirmed = max(a.confirmed, asked)
	}
}

// assignmentReply answers a member that asks for the assignment.
func (a *Allocator) assignmentReply(q assignmentAsk) assignmentReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.holder.Assignment()
	same := q.Known > 0 && q.Known == current.Epoch && current.Settled()
	if same {
		current = permitter.Assignment{}
	}
	r := assignmentReply{
		Member: a.self, Same: same, Assignment: current, Vote: a.holder.Vote(q.Epoch) && !a.left, Age: -1,
	}
	if a.confirmed > 0 {
		r.Age = a.clock.Now() - a.confirmed
	}
	return r
}

// follow takes assignment and confirmation from the coordinator.
func (a *Allocator) follow(ctx context.Context, coordinator, address string) {
	asked := a.clock.Now()
	if address == "" || asked < a.keeper.nextRun {
		return
	}
	known := a.assignment()
	q := assignmentAsk{}
	if known.Settled() {
		q.Known = known.Epoch
	}
	r, err := call[assignmentAsk, assignmentReply](ctx, a, address, KindAssignment, q)
	if err != nil || r.Member != coordinator {
		return
	}
	if r.Same {
		r.Assignment = known
	}
	a.adopt(r.Assignment)
	if r.Age >= 0 {
		a.confirm(asked-r.Age, r.Assignment.Epoch)
	}
	if r.Assignment.Settled() {
		a.keeper.nextRun = asked + confirmInterval
	}
}

// votes returns the members that have adopted the assignment.
func (a *Allocator) votes(ctx context.Context, live map[string]string, n permitter.Assignment) []string {
	votes := []string{a.self}
	var mu sync.Mutex
	var open sync.WaitGroup
	for name, address := range live {
		if name == a.self {
			continue
		}
		open.Add(1)
		go func() {
			defer open.Done()
			q := assignmentAsk{Epoch: n.Epoch}
			r, err := call[assignmentAsk, assignmentReply](ctx, a, address, KindAssignment, q)
			if err != nil || !r.Vote || r.Member != name {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			votes = append(votes, name)
		}()
	}
	open.Wait()
	return votes
}

// confirmByVotes confirms the assignment while the store does not answer.
func (a *Allocator) confirmByVotes(ctx context.Context, live map[string]string) {
	current := a.assignment()
	if !current.Settled() {
		return
	}
	asked := a.clock.Now()
	granted := 0
	for _, v := range a.votes(ctx, live, current) {
		if slices.Contains(current.Members, v) {
			granted++
		}
	}
	if 2*granted > len(current.Members) {
		a.confirm(asked, current.Epoch)
	}
}
