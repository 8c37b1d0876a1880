package allocator

import (
	"context"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// Tick sends the asks that are due, one call for each granter.
func (a *Allocator) Tick(ctx context.Context) {
	members := a.live()
	processes := a.Processes()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.holder.Tick(now)
	a.granter.Tick(now)
	a.forget(processes)
	assignment := a.holder.Assignment()
	batches := map[string][]permitter.Ask{}
	for _, p := range processes {
		granter := assignment.Granter(p.Endpoint)
		if _, known := members[granter]; !known || a.asking[granter] {
			continue
		}
		if want, due := a.due(p, assignment, now); due {
			d := a.demand(p)
			d.askedAt, d.waiting, d.reported = now, 0, assignment.Epoch
			batches[granter] = append(batches[granter], a.holder.Ask(now, p, want))
		}
	}
	for granter, batch := range batches {
		a.asking[granter] = true
		a.open.Add(1)
		go a.ask(ctx, granter, members[granter], batch)
	}
}

// forget drops the demands of processes that no longer exist.
func (a *Allocator) forget(processes []permitter.Process) {
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

// due returns how many units to ask for and whether to ask now.
func (a *Allocator) due(p permitter.Process, as permitter.Assignment, now clock.Millis) (want int, due bool) {
	d := a.demand(p)
	if now < d.askedAt+askAgain {
		return 0, false
	}
	units := a.holder.Units(now, p)
	needed := now < d.wantedAt+demandLasts
	recent := d.running > 0 || now < d.usedAt+idleAfter
	want = d.running + d.waiting
	switch {
	case needed && units == 0:
		return max(want, 1), true
	case recent && a.holder.Renew(now, p):
		return max(want, 1), true
	case units >= permitter.Unlimited-d.running:
		// A permit for a warm process is kept: it holds nobody back.
		return 1, a.holder.Renew(now, p)
	case units > 0 && !recent && now > d.askedAt+idleAfter:
		return 0, true
	case d.reported != as.Epoch:
		return want, true
	case units == 0 && a.mayExplore():
		return 1, true
	}
	return 0, false
}

// exploreShare is the probability, for each tick and each process without a
// permit, of an ask without a waiting request. It lets cold endpoints of a
// returned data centre warm up before they are needed.
const exploreShare = 0.005

func (a *Allocator) mayExplore() bool { return a.random.Float64() < exploreShare }

// ask sends a batch of asks to a granter and takes the permits.
func (a *Allocator) ask(ctx context.Context, granter, address string, batch []permitter.Ask) {
	defer a.open.Done()
	var r permits
	var err error
	if granter == a.self {
		r = a.grant(asks{Asks: batch})
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		r, err = call[asks, permits](callCtx, a, address, KindAsk, asks{Asks: batch})
		cancel()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.asking, granter)
	if err != nil {
		return // the permits held stay in use until they run out
	}
	now := a.clock.Now()
	for _, p := range r.Permits {
		a.holder.Accept(now, p)
	}
}
