package permitter

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Granter issues the permits for the endpoints that are assigned to one member.
// It is not safe for concurrent use.
type Granter struct {
	member         string
	options        Options
	history        []adoption              // newest last, of consecutive epochs
	confirmedUntil clock.Millis            // end of the newest confirmation, 0 if none
	votes          map[string]clock.Millis // when each member was asked for its newest vote
	ledgers        map[Process]*ledger
	// accountedSince holds the value of granterSince for which all requests under
	// earlier granters at a process were known or had ended. From then on the
	// ledger is complete, so members that depart later are counted in it.
	accountedSince map[Process]clock.Millis
	roundCount     uint64 // rounds that were begun
}

// adoption is an assignment with the time at which it was adopted.
type adoption struct {
	Assignment
	at clock.Millis
}

// coldMarkLifetime is how long a granter remembers a sign of cold of a process
// without permits and running requests. During this time, a member that missed
// the sign may still report the process as warm.
const coldMarkLifetime = clock.Hour

// maxAdoptions limits the history in which a granter looks for the time since
// which it has been the granter of an endpoint. A shorter history only makes it
// wait longer.
const maxAdoptions = 32

// NewGranter returns a granter without an assignment.
func NewGranter(member string, o Options) *Granter {
	return &Granter{
		member: member, options: o,
		votes: map[string]clock.Millis{}, ledgers: map[Process]*ledger{}, accountedSince: map[Process]clock.Millis{},
	}
}

// Adopt replaces the assignment by a newer one, and ignores an older one.
// Confirmations of the replaced assignment end.
func (g *Granter) Adopt(now clock.Millis, a Assignment) {
	last := g.assignment()
	if !a.newer(last) {
		return
	}
	g.confirmedUntil = 0
	clear(g.votes)
	switch a.Epoch {
	case last.Epoch:
		g.history[len(g.history)-1] = adoption{Assignment: a, at: now}
	case last.Epoch + 1:
		g.history = append(g.history, adoption{Assignment: a, at: now})
	default:
		g.history = []adoption{{Assignment: a, at: now}}
	}
	if len(g.history) > maxAdoptions {
		g.history = slices.Clone(g.history[1:])
	}
	for _, l := range g.ledgers {
		clear(l.reported)
	}
}

// Confirm records that a conditional write left the assignment's object
// unchanged. The time askedAt is that before the write began; for a confirmation
// that a peer passes on, it is the time before the peer was asked less the age that
// the peer states.
func (g *Granter) Confirm(askedAt clock.Millis, epoch uint64) {
	if a := g.assignment(); a.Epoch == epoch && a.Settled() {
		g.confirmedUntil = max(g.confirmedUntil, askedAt+g.options.ConfirmationLifetime)
	}
}

// Vote records that a member voted for the epoch. The time askedAt is that before the
// member was asked. The votes of a majority confirm the assignment.
func (g *Granter) Vote(askedAt clock.Millis, epoch uint64, member string) {
	a := g.assignment()
	if a.Epoch != epoch || !slices.Contains(a.Members, member) {
		return
	}
	g.votes[member] = max(g.votes[member], askedAt)
	if len(g.votes) <= len(a.Members)/2 {
		return
	}
	times := make([]clock.Millis, 0, len(g.votes))
	for _, t := range g.votes {
		times = append(times, t)
	}
	slices.Sort(times)
	g.Confirm(times[len(times)-len(a.Members)/2-1], epoch)
}

// Confirmed reports whether the assignment is confirmed, so that the granter may
// issue permits.
func (g *Granter) Confirmed(now clock.Millis) bool { return now < g.confirmedUntil }

// Grant processes a permit request and returns the permit that answers it. It reports
// false if the granter must not answer; the holder then keeps the permit that it has.
// The state that a request under the present assignment reports is recorded in either
// case.
func (g *Granter) Grant(now clock.Millis, q PermitRequest) (Permit, bool) {
	a := g.assignment()
	if q.Epoch != a.Epoch || !a.Settled() || a.Granter(q.Endpoint) != g.member {
		return Permit{}, false
	}
	if !slices.Contains(a.Members, q.Holder) && !slices.Contains(a.Departed, q.Holder) {
		return Permit{}, false
	}
	l := g.ledger(q.Process)
	if !l.report(now, q, g.options) {
		return Permit{}, false
	}
	if !g.Confirmed(now) {
		return Permit{}, false
	}
	if !l.warm && q.Want > 0 && !g.accounted(now, q.Process, l) {
		return Permit{}, false
	}
	units := l.grant(now, q, g.options)
	return Permit{
		Process: q.Process, Holder: q.Holder, Epoch: q.Epoch, Sequence: q.Sequence,
		Units: units, Round: l.round, Lifetime: g.options.lifetime(units),
	}, true
}

// MarkCold records a sign that a process is cold. It is called at every member, since
// any member may become the granter.
func (g *Granter) MarkCold(now clock.Millis, p Process) {
	l := g.ledger(p)
	l.lastUsed = now
	l.resetToCold(g.options, g.nextRound())
}

// Limit returns the present limit of concurrent requests at a process, or
// Unlimited if it is warm.
func (g *Granter) Limit(p Process) int {
	l, ok := g.ledgers[p]
	if !ok {
		return g.options.ColdLimit
	}
	return l.currentLimit()
}

// Outstanding returns the number of requests that may be running at a process
// according to the permits and reports of all holders.
func (g *Granter) Outstanding(now clock.Millis, p Process) int {
	l, ok := g.ledgers[p]
	if !ok {
		return 0
	}
	return l.outstandingElsewhere(now, "")
}

// Tick drops the processes without outstanding requests for which no permit request
// and no sign of cold has arrived lately.
func (g *Granter) Tick(now clock.Millis) {
	for p, l := range g.ledgers {
		idle := g.options.TakeoverWait()
		if l.coldSeen {
			idle = max(idle, coldMarkLifetime)
		}
		if l.outstandingElsewhere(now, "") == 0 && now >= l.lastUsed+idle {
			delete(g.ledgers, p)
			delete(g.accountedSince, p)
		}
	}
}

// accounted reports whether all requests that were permitted by earlier granters
// are known or have ended.
func (g *Granter) accounted(now clock.Millis, p Process, l *ledger) bool {
	start := g.granterSince(p.Endpoint)
	if at, ok := g.accountedSince[p]; ok && at == start {
		return true
	}
	if now < start+g.options.TakeoverWait() && !g.allReported(l) {
		return false
	}
	g.accountedSince[p] = start
	return true
}

// allReported reports whether every member that may have running requests has
// reported them under the present assignment.
func (g *Granter) allReported(l *ledger) bool {
	for _, m := range g.assignment().permitHolders() {
		if !l.reported[m] {
			return false
		}
	}
	return true
}

// granterSince returns the time since which the member has been the endpoint's
// granter without interruption. An assignment that was not settled does not count
// as the start: the granter before it may still have been confirmed.
func (g *Granter) granterSince(endpoint string) clock.Millis {
	at := g.history[len(g.history)-1].at
	for k := len(g.history) - 1; k >= 0; k-- {
		h := g.history[k]
		if h.Granter(endpoint) != g.member {
			break
		}
		if h.Settled() {
			at = h.at
		}
	}
	return at
}

func (g *Granter) assignment() Assignment {
	if len(g.history) == 0 {
		return Assignment{}
	}
	return g.history[len(g.history)-1].Assignment
}

func (g *Granter) ledger(p Process) *ledger {
	l, ok := g.ledgers[p]
	if !ok {
		l = newLedger(g.options, g.nextRound())
		g.ledgers[p] = l
	}
	return l
}

// nextRound returns an identifier that no granter has used before: a hash of the
// member's unique name and a counter.
func (g *Granter) nextRound() uint64 {
	g.roundCount++
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", g.member, g.roundCount))
}
