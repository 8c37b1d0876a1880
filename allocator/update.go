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

// updateState is the state of the loop that keeps the assignment up to date. It is
// used only by that loop.
type updateState struct {
	loaded       bool         // the assignment was read as coordinator, without an error since
	members      []string     // names of the live members in the last run, sorted
	membersSince clock.Millis // when members last changed
	nextAt       clock.Millis // time of the next confirmation, or of the next query to the coordinator
}

// runUpdates calls UpdateAssignment periodically until ctx ends.
func (a *Allocator) runUpdates(ctx context.Context) {
	t := time.NewTicker((4 * tickInterval).Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.UpdateAssignment(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// UpdateAssignment brings the assignment up to date once: as the coordinator by
// writing, settling or confirming it, otherwise by asking the coordinator. It is not
// safe for concurrent use.
func (a *Allocator) UpdateAssignment(ctx context.Context) {
	live := a.liveMembers()
	names := make([]string, 0, len(live))
	for n := range live {
		names = append(names, n)
	}
	slices.Sort(names)
	now := a.clock.Now()
	if !slices.Equal(names, a.update.members) {
		a.update.members, a.update.membersSince = names, now
	}
	a.trackDeparted(live)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	coordinator := coordinator(names)
	if coordinator != a.self {
		a.update.loaded = false
		a.followCoordinator(ctx, coordinator, live[coordinator])
		return
	}
	if err := a.coordinate(ctx, live, names, now); err != nil {
		klog.V(1).Infof("allocator: update assignment: %v", err)
		a.update.loaded = false
		a.confirmByVotes(ctx, live)
	}
}

// coordinator returns the member that writes the assignment: the one with the
// highest hash, so that it stays the same in most changes of the membership.
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

// coordinate writes, settles or confirms the assignment, whichever is due.
func (a *Allocator) coordinate(ctx context.Context, live map[string]string, names []string, now clock.Millis) error {
	if !a.update.loaded {
		loaded, err := a.assignmentStore.Load(ctx)
		if err != nil {
			return err
		}
		a.adoptAssignment(loaded)
		if err := a.loadDrained(ctx, loaded); err != nil {
			return err
		}
		a.update.loaded = true
	}
	current := a.assignment()
	switch {
	case !slices.Equal(current.Members, names) && now >= a.update.membersSince+stabilityTime:
		next := current.Next(a.self, names, a.drainedMembers())
		if !a.canSettle(ctx, live, names, current, next) {
			return nil
		}
		return a.save(ctx, next)
	case current.Epoch == 0:
		return nil // the membership is not stable yet
	case !current.Settled():
		votes := append(a.collectVotes(ctx, live, current), a.retired(current, names)...)
		settled, ok := current.Settle(votes)
		if !ok {
			return nil
		}
		return a.save(ctx, settled)
	case now >= a.update.nextAt:
		a.update.nextAt = now + confirmInterval
		epoch, err := a.assignmentStore.Confirm(ctx)
		if err != nil {
			return err
		}
		a.recordConfirmation(now, epoch)
	}
	return nil
}

// canSettle reports whether the next assignment can be settled, that is, whether
// enough of the members that would have to vote for it answer now. Without this
// check, an instance that reaches the store but not its peers would prevent the
// others from settling an assignment.
func (a *Allocator) canSettle(
	ctx context.Context, live map[string]string, names []string, current, next permitter.Assignment,
) bool {
	votes := append(a.collectVotes(ctx, live, current), a.retired(next, names)...)
	_, ok := next.Settle(votes)
	return ok
}

// save stores and adopts an assignment.
func (a *Allocator) save(ctx context.Context, n permitter.Assignment) error {
	if err := a.assignmentStore.Save(ctx, n); err != nil {
		return err
	}
	klog.Infof("allocator: assignment %d with %d members, settled: %t", n.Epoch, len(n.Members), n.Settled())
	a.adoptAssignment(n)
	return nil
}

// assignment returns the newest assignment that was adopted.
func (a *Allocator) assignment() permitter.Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Assignment()
}

// drainedMembers returns the members that have no running requests: those that
// reported this, and those that have departed and have been absent from the
// membership for so long that all their requests have ended.
func (a *Allocator) drainedMembers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.Clone(a.drained)
	for m, at := range a.departedSince {
		if a.clock.Now() > at+absenceFactor*a.options.TakeoverWait() {
			all = append(all, m)
		}
	}
	return all
}

// absenceFactor is the time, as a multiple of permitter.Options.TakeoverWait, after
// which an absent member has no running requests. Granters issue no permits to absent
// members; the factor covers the time for which their views of the membership may
// differ.
const absenceFactor = 2

// trackDeparted records since when the departed members have been absent.
func (a *Allocator) trackDeparted(live map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := map[string]clock.Millis{}
	for _, m := range a.holder.Assignment().Departed {
		at, known := a.departedSince[m]
		if _, present := live[m]; present || !known {
			at = a.clock.Now()
		}
		since[m] = at
	}
	a.departedSince = since
}

// adoptAssignment adopts a newer assignment as holder and granter.
func (a *Allocator) adoptAssignment(n permitter.Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.holder.Assignment()
	a.holder.Adopt(n)
	a.granter.Adopt(a.clock.Now(), n)
	after := a.holder.Assignment()
	if after.Epoch != before.Epoch {
		a.confirmedAt = 0
	}
	a.joined = a.joined || after.Settled() && slices.Contains(after.Members, a.self)
}

// recordConfirmation records a confirmation that was requested at time askedAt.
func (a *Allocator) recordConfirmation(askedAt clock.Millis, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granter.Confirm(askedAt, epoch)
	if current := a.holder.Assignment(); current.Epoch == epoch && current.Settled() {
		a.confirmedAt = max(a.confirmedAt, askedAt)
	}
}

// assignmentReply answers a member that asks for the assignment or for a vote.
func (a *Allocator) assignmentReply(q assignmentRequest) assignmentReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.holder.Assignment()
	same := q.Known > 0 && q.Known == current.Epoch && current.Settled()
	if same {
		current = permitter.Assignment{}
	}
	r := assignmentReply{
		Member: a.self, Same: same, Assignment: current, Vote: a.holder.Vote(q.Epoch) && !a.leaving, Age: -1,
	}
	if a.confirmedAt > 0 {
		r.Age = a.clock.Now() - a.confirmedAt
	}
	return r
}

// followCoordinator gets the assignment and its confirmation from the coordinator.
func (a *Allocator) followCoordinator(ctx context.Context, coordinator, address string) {
	askedAt := a.clock.Now()
	if address == "" || askedAt < a.update.nextAt {
		return
	}
	known := a.assignment()
	q := assignmentRequest{}
	if known.Settled() {
		q.Known = known.Epoch
	}
	r, err := call[assignmentRequest, assignmentReply](ctx, a, address, KindAssignment, q)
	if err != nil || r.Member != coordinator {
		return
	}
	if r.Same {
		r.Assignment = known
	}
	a.adoptAssignment(r.Assignment)
	if r.Age >= 0 {
		a.recordConfirmation(askedAt-r.Age, r.Assignment.Epoch)
	}
	if r.Assignment.Settled() {
		a.update.nextAt = askedAt + confirmInterval
	}
}

// collectVotes asks the live members for their votes and returns the names of those
// that have adopted the assignment, including this one.
func (a *Allocator) collectVotes(ctx context.Context, live map[string]string, n permitter.Assignment) []string {
	votes := []string{a.self}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for name, address := range live {
		if name == a.self {
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			q := assignmentRequest{Epoch: n.Epoch}
			r, err := call[assignmentRequest, assignmentReply](ctx, a, address, KindAssignment, q)
			if err != nil || !r.Vote || r.Member != name {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			votes = append(votes, name)
		}()
	}
	pending.Wait()
	return votes
}

// confirmByVotes confirms the assignment by the votes of a majority, for the time
// when the store does not answer.
func (a *Allocator) confirmByVotes(ctx context.Context, live map[string]string) {
	current := a.assignment()
	if !current.Settled() {
		return
	}
	askedAt := a.clock.Now()
	votes := 0
	for _, v := range a.collectVotes(ctx, live, current) {
		if slices.Contains(current.Members, v) {
			votes++
		}
	}
	if 2*votes > len(current.Members) {
		a.recordConfirmation(askedAt, current.Epoch)
	}
}
