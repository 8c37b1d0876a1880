package allocator

import (
	"context"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// Tick sends the permit requests that are due, in one call for each granter.
func (a *Allocator) Tick(ctx context.Context) {
	members := a.liveMembers()
	processes := a.Processes()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.holder.Tick(now)
	a.granter.Tick(now)
	a.dropStaleDemands(processes)
	assignment := a.holder.Assignment()
	batches := map[string][]permitter.PermitRequest{}
	for _, p := range processes {
		granter := assignment.Granter(p.Endpoint)
		if _, known := members[granter]; !known || a.openRequests[granter] {
			continue
		}
		if want, due := a.requestDue(p, assignment, now); due {
			d := a.demand(p)
			d.requestedAt, d.waiting, d.reportedEpoch = now, 0, assignment.Epoch
			batches[granter] = append(batches[granter], a.holder.Ask(now, p, want))
		}
	}
	for granter, batch := range batches {
		a.openRequests[granter] = true
		a.pending.Add(1)
		go a.requestPermits(ctx, granter, members[granter], batch)
	}
}

// dropStaleDemands drops the demands for processes that no longer exist, once
// there are more than twice as many demands as processes.
func (a *Allocator) dropStaleDemands(processes []permitter.Process) {
	if len(a.demands) <= 2*len(processes) {
		return
	}
	current := make(map[permitter.Process]bool, len(processes))
	for _, p := range processes {
		current[p] = true
	}
	for p, d := range a.demands {
		if !current[p] && d.running == 0 {
			delete(a.demands, p)
		}
	}
}

// requestDue returns whether to request a permit now, and of how many units.
func (a *Allocator) requestDue(
	p permitter.Process, assignment permitter.Assignment, now clock.Millis,
) (want int, due bool) {
	d := a.demand(p)
	if now < d.requestedAt+requestInterval {
		return 0, false
	}
	units := a.holder.AvailableUnits(now, p)
	needed := now < d.wantedAt+demandLifetime
	inUse := d.running > 0 || now < d.usedAt+idleTimeout
	want = d.running + d.waiting
	switch {
	case needed && units == 0:
		return max(want, 1), true
	case inUse && a.holder.NeedsRenewal(now, p):
		return max(want, 1), true
	case units >= permitter.Unlimited-d.running:
		// An unlimited permit is kept, since it takes no units from other holders.
		return 1, a.holder.NeedsRenewal(now, p)
	case units > 0 && !inUse && now > d.requestedAt+idleTimeout:
		return 0, true
	case d.reportedEpoch != assignment.Epoch:
		return want, true
	case units == 0 && a.shouldExplore():
		return 1, true
	}
	return 0, false
}

// exploreProbability is the probability, in each tick and for each process without
// a permit, that a permit is requested although no request waits. Such permits let
// the cold endpoints of a data centre that is back in service warm up before they
// are needed.
const exploreProbability = 0.005

func (a *Allocator) shouldExplore() bool { return a.random.Float64() < exploreProbability }

// requestPermits sends a batch of permit requests to a granter and stores the permits
// that it returns.
func (a *Allocator) requestPermits(ctx context.Context, granter, address string, batch []permitter.PermitRequest) {
	defer a.pending.Done()
	var r permitBatch
	var err error
	if granter == a.self {
		r = a.grant(permitRequestBatch{Requests: batch})
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		r, err = call[permitRequestBatch, permitBatch](callCtx, a, address, KindAsk, permitRequestBatch{Requests: batch})
		cancel()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.openRequests, granter)
	if err != nil {
		return // the present permits stay in use until they expire
	}
	now := a.clock.Now()
	for _, p := range r.Permits {
		a.holder.Accept(now, p)
	}
}
