package dispatcher

import (
	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/shedder"
)

// minOwnRequests is the least number of requests of a service that an instance has in
// progress before it assumes the load of instances that have not reported yet.
const minOwnRequests = 2

// idleWork is the queued work in ms below which an endpoint with a free slot is idle.
const idleWork = 1

// room is what is expected of a request before its first send.
type room struct {
	service  string
	at       clock.Millis // instant of the estimate
	work     float64      // of the request, in ms
	expected clock.Millis // time until the first event, or the response of a plain service
	known    clock.Millis // expected, without assumed load
	idle     bool         // an endpoint has a free slot and no queued work
}

// admitRoom decides once, before the request is sent for the first time, whether there
// is room for it. It returns the refusal, or nil. Without an endpoint, reserve decides.
func (x *exchange) admitRoom() error {
	if x.room != nil || x.sends > 0 {
		return nil
	}
	d, now, q := x.dispatcher, x.now(), x.criteria()
	first, rest := d.eligible(now, q)
	if len(first)+len(rest) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x.room = d.expectRoom(now, q, append(first, rest...))
	remaining := x.remaining()
	if x.room.known <= remaining { // assumed load alone makes no request hopeless
		x.room.expected = min(x.room.expected, remaining)
	}
	session := x.request.Header.Get(d.options.Names.Session)
	verdict := d.shedder.Decide(now, shedder.Request{
		ID: x.content ^ matcher.Hash("session", session), Service: q.service, Kind: x.route.Name,
		Workspace: x.workspace.Name, Session: session, Rank: x.priority(), Size: x.prompt.tokens, Work: x.room.work,
		Expected: x.room.expected, Target: x.route.Target, Remaining: remaining, Idle: x.room.idle,
	})
	if verdict.Admitted {
		return nil
	}
	d.options.Meter.CountNoRoom(x.priority())
	message := "the endpoints have more work than they can do in time"
	if verdict.Hopeless {
		message = "the response would come after the deadline"
	}
	return refuser.ErrNoRoom.WithMessage("%s", message).WithRetryAfter(verdict.RetryAfter)
}

// observeRoom records the time until the first event, or the response of a plain
// service, of a request that was sent once.
func (x *exchange) observeRoom(now clock.Millis) {
	r := x.room
	if r == nil || x.sends != 1 {
		return
	}
	d := x.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shedder.Observe(now, r.service, x.route.Name, r.expected, now-r.at)
}

// expectRoom estimates the time until a request has its first event at the endpoint
// with the least queued work. The lock must be held.
func (d *Dispatcher) expectRoom(now clock.Millis, q *criteria, list []*cataloger.State) *room {
	r := &room{service: q.service, at: now, work: d.ownWork(q)}
	assumed, assumes := d.assumedWait(q, r.work)
	least := -1.0
	for _, e := range list {
		c := d.candidate(now, q, e)
		if c.Penalty >= openPenalty {
			continue
		}
		wait, free := endpointWait(c, e, q.isEngine(), r.work)
		if least < 0 || wait < least {
			least = wait
		}
		// No other endpoint has less work, so the others need not be looked at. Load is
		// assumed only in this data centre.
		if free && (!assumes || e.DataCentre != d.options.DataCentre) {
			r.idle = true
			break
		}
	}
	if least < 0 { // all circuits are open
		r.idle = true
	}
	own := clock.Millis(0)
	if q.isEngine() {
		own = firstEventOverhead
	}
	r.known = clock.Millis(max(0, least)+r.work) + own
	r.expected = r.known
	if assumes && !r.idle {
		r.expected = max(r.known, clock.Millis(assumed+r.work)+own)
	}
	return r
}

// endpointWait returns the time in ms until an endpoint begins with a request, and whether
// it is free. The slots are those of the endpoint, not the soft limit of the candidate: that
// is a preference among endpoints, and full use of it is no shortage.
func endpointWait(c balancer.Candidate, e *cataloger.State, engine bool, duration float64) (float64, bool) {
	free := e.Slots == 0 || c.Running < e.Slots
	if engine {
		return c.Work, free && c.Work < idleWork
	}
	return slotWait(c.Running, e.Slots, duration), free
}

// ownWork returns the work in ms of a request without that of others.
func (d *Dispatcher) ownWork(q *criteria) float64 {
	if !q.isEngine() {
		return d.options.Calibrator.PlainDuration(q.service)
	}
	return d.prefillTime(q, q.prompt.tokens, meanCacheHit*q.prompt.shared)
}

// slotWait returns the time in ms until a request gets a slot.
func slotWait(running, slots int, duration float64) float64 {
	if slots == 0 {
		return 0
	}
	return max(0, float64(running+1-slots)) * duration / float64(slots)
}

// assumedWait returns the time in ms that a request waits if every instance of the data
// centre has put as much load on its endpoints as this one. That is assumed after the
// start, until neighbours report, for requests beyond this instance's share of the
// slots. It reports false otherwise. The lock must be held.
func (d *Dispatcher) assumedWait(q *criteria, duration float64) (float64, bool) {
	if d.options.Neighbours == nil {
		return 0, false
	}
	instances, reported := d.options.Neighbours()
	if reported {
		return 0, false
	}
	slots, endpoints, own, work := 0, 0, 0, 0.0
	for _, e := range d.options.Catalog.Snapshot(d.options.Clock.Now()).Service(q.service) {
		if e.DataCentre != d.options.DataCentre {
			continue
		}
		slots += e.Slots
		endpoints++
		if l := d.loads[e.ID]; l != nil {
			own += l.running
			work += l.work
		}
	}
	if endpoints == 0 || own < max(minOwnRequests, slots/max(1, instances)) {
		return 0, false
	}
	if q.isEngine() {
		return work * float64(instances) / float64(endpoints), true
	}
	return slotWait(own*instances, slots, duration), true
}

// peerDemand returns the demand of other instances for a service.
func (d *Dispatcher) peerDemand(_ clock.Millis, service string) shedder.Demand {
	if d.options.PeerDemand == nil {
		return shedder.Demand{}
	}
	return d.options.PeerDemand(service)
}

// Demand calls each with the demand of every workspace for a service on this instance,
// in ms of work per ms.
func (d *Dispatcher) Demand(each func(service, workspace string, rate float64)) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shedder.Rates(now, each)
}

// roomChanged logs the beginning or the end of a shortage.
func (d *Dispatcher) roomChanged(s shedder.Shortage) {
	state := "ended"
	if s.Begins {
		state = "began"
		d.options.Meter.CountEvent("room_short")
	}
	d.options.Logger.Log("room_short", logger.Text("state", state), logger.Text("service", s.Service),
		logger.Number("expected_ms", s.Expected), logger.Number("refused", s.Refused),
		logger.Number("workspaces_above", s.Workspaces))
}
