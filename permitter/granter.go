package permitter

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Granter gives out the permits for the endpoints that are assigned to one
// member. It is not safe for concurrent use.
type Granter struct {
	member  string
	options Options
	history []adoption // the newest last, epochs without a gap
	until   clock.Millis
	votes   map[string]clock.Millis // when each member was asked for its newest vote
	ledgers map[Process]*ledger
	// cleared holds the start of the duty during which all work of earlier
	// granters at a process was known to have ended. From then on the ledger is
	// complete, so members that depart later are counted in it.
	cleared map[Process]clock.Millis
	rounds  uint64 // rounds that were begun
}

// adoption is an assignment with the instant at which it was adopted.
type adoption struct {
	Assignment
	at clock.Millis
}

// markLifetime is how long a granter remembers a sign of cold of a process for
// which nothing is out. A member that missed the sign may until then report the
// process as warm.
const markLifetime = clock.Hour

// keptAdoptions bounds the history in which a granter looks for the start of
// its uninterrupted duty. A shorter history only makes it wait longer.
const keptAdoptions = 32

// NewGranter returns a granter without an assignment.
func NewGranter(member string, o Options) *Granter {
	return &Granter{
		member: member, options: o,
		votes: map[string]clock.Millis{}, ledgers: map[Process]*ledger{}, cleared: map[Process]clock.Millis{},
	}
}

// Adopt takes over a newer assignment. Confirmations of the former one end.
func (g *Granter) Adopt(now clock.Millis, a Assignment) {
	last := g.assignment()
	if !a.newer(last) {
		return
	}
	g.until = 0
	clear(g.votes)
	switch a.Epoch {
	case last.Epoch:
		g.history[len(g.history)-1] = adoption{Assignment: a, at: now}
	case last.Epoch + 1:
		g.history = append(g.history, adoption{Assignment: a, at: now})
	default:
		g.history = []adoption{{Assignment: a, at: now}}
	}
	if len(g.history) > keptAdoptions {
		g.history = slices.Clone(g.history[1:])
	}
	for _, l := range g.ledgers {
		clear(l.reported)
	}
}

// Confirm records that a conditional write left the assignment's object as it
// was. Asked is the instant before the write began; for a confirmation that a
// peer passes on, the instant before the peer was asked less the age it names.
func (g *Granter) Confirm(asked clock.Millis, epoch uint64) {
	if a := g.assignment(); a.Epoch == epoch && a.Settled() {
		g.until = max(g.until, asked+g.options.Confirm)
	}
}

// Vote records that a member voted for the epoch. Asked is the instant before
// the member was asked. A majority confirms the assignment.
func (g *Granter) Vote(asked clock.Millis, epoch uint64, member string) {
	a := g.assignment()
	if a.Epoch != epoch || !slices.Contains(a.Members, member) {
		return
	}
	g.votes[member] = max(g.votes[member], asked)
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

// Confirmed reports whether the granter may act on its assignment.
func (g *Granter) Confirmed(now clock.Millis) bool { return now < g.until }

// Grant answers an ask. It reports false if the granter may give no answer, in
// which case the holder keeps the permit that it has. The holder's report
// counts even then.
func (g *Granter) Grant(now clock.Millis, q Ask) (Permit, bool) {
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
	if !l.warm && q.Want > 0 && !g.mayStart(now, q.Process, l) {
		return Permit{}, false
	}
	units := l.grant(now, q, g.options)
	return Permit{
		Process: q.Process, Holder: q.Holder, Epoch: q.Epoch, Sequence: q.Sequence,
		Units: units, Round: l.round, Lifetime: g.options.lifetime(units),
	}, true
}

// Cold records that a process is cold. A member that is not the granter now
// keeps the mark too.
func (g *Granter) Cold(now clock.Millis, p Process) {
	l := g.ledger(p)
	l.used = now
	l.cool(g.options, g.nextRound())
}

// Limit returns the present limit of a process, or Unlimited if it is warm.
func (g *Granter) Limit(p Process) int {
	l, ok := g.ledgers[p]
	if !ok {
		return g.options.ColdLimit
	}
	return l.bound()
}

// Out returns the concurrent requests that the granter counts at a process.
func (g *Granter) Out(now clock.Millis, p Process) int {
	l, ok := g.ledgers[p]
	if !ok {
		return 0
	}
	return l.others(now, "")
}

// Tick forgets the processes for which nothing is out and nobody asks.
func (g *Granter) Tick(now clock.Millis) {
	for p, l := range g.ledgers {
		idle := g.options.Quiet()
		if l.doubted {
			idle = max(idle, markLifetime)
		}
		if l.others(now, "") == 0 && now >= l.used+idle {
			delete(g.ledgers, p)
			delete(g.cleared, p)
		}
	}
}

// mayStart reports whether all work of earlier granters is known or has ended.
func (g *Granter) mayStart(now clock.Millis, p Process, l *ledger) bool {
	since := g.since(p.Endpoint)
	if at, ok := g.cleared[p]; ok && at == since {
		return true
	}
	if now < since+g.options.Quiet() && !g.allReported(l) {
		return false
	}
	g.cleared[p] = since
	return true
}

// allReported reports whether every member that may have running work has
// reported it under the present assignment.
func (g *Granter) allReported(l *ledger) bool {
	for _, m := range g.assignment().holders() {
		if !l.reported[m] {
			return false
		}
	}
	return true
}

// since returns from when on the member has been the endpoint's granter
// without interruption. An assignment that was not settled does not start the
// duty: the granter before it may still have been confirmed.
func (g *Granter) since(endpoint string) clock.Millis {
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

// nextRound returns a number that no granter has used before: it hashes the
// member's unique name with a counter.
func (g *Granter) nextRound() uint64 {
	g.rounds++
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", g.member, g.rounds))
}
