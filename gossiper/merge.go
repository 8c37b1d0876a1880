package gossiper

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// supersedes reports whether update m replaces entry e.
func supersedes(m Member, e *entry) bool {
	if m.Incarnation != e.Incarnation {
		return m.Incarnation > e.Incarnation
	}
	return m.State > e.State
}

// merge applies one update.
func (g *Gossiper) merge(now clock.Millis, m Member) {
	if m.State > Dead {
		return
	}
	if m.ID == g.self.ID {
		g.mergeSelf(m)
		return
	}
	e, ok := g.members[m.ID]
	if !ok {
		g.add(now, m)
		return
	}
	if !supersedes(m, e) {
		// An update without address may have come before the one that tells of a move.
		if m.Incarnation == e.Incarnation && m.Address != "" && m.Address != e.Address {
			g.move(e, m.Address)
		}
		return
	}
	before := e.State
	e.brief = before != Leaving && e.Incarnation > 0 && (m.Address == "" || m.Address == e.Address)
	if m.Address != "" && m.Address != e.Address {
		g.move(e, m.Address)
	}
	e.Incarnation = m.Incarnation
	if m.DataCentre != "" {
		e.DataCentre, e.Region = m.DataCentre, m.Region
	}
	g.setState(now, e, m.State, before)
	g.enqueue(e)
	if m.State == Alive {
		g.retireOthers(now, e)
	}
}

// mergeSelf refutes what others say about this instance. An alive entry with
// a higher incarnation can only come from a newer process under the same id.
func (g *Gossiper) mergeSelf(m Member) {
	if m.Incarnation < g.self.Incarnation || g.replaced {
		return
	}
	if m.State == Alive || m.State == Leaving {
		g.replaced = g.replaced || m.Incarnation > g.self.Incarnation
		return
	}
	g.self.Incarnation = m.Incarnation + 1
	g.cached = nil
	g.enqueue(g.self)
}

// add learns of a new member. Unknown members that are not alive are ignored,
// so that forgotten tombstones do not return.
func (g *Gossiper) add(now clock.Millis, m Member) {
	if m.State != Alive || m.ID == "" || m.Address == "" || len(g.members) >= maxMembers {
		return
	}
	e := &entry{Member: m, changed: now}
	g.members[m.ID] = e
	g.cached = nil
	g.retireOthers(now, e)
	if _, taken := g.byAddress[m.Address]; !taken {
		g.byAddress[m.Address] = m.ID
	}
	g.insert(m.ID)
	if m.Incarnation > 0 {
		g.enqueue(e)
	}
}

// insert puts id at a random place of the probe order.
func (g *Gossiper) insert(id string) {
	at := g.rand.IntN(len(g.ring) + 1)
	g.ring = slices.Insert(g.ring, at, id)
	if at < g.next {
		g.next++
	}
}

func (g *Gossiper) move(e *entry, address string) {
	if g.byAddress[e.Address] == e.ID {
		delete(g.byAddress, e.Address)
	}
	e.Address = address
	g.cached = nil
}

// retireOthers marks an older process under the address of e as gone. A new
// process cannot listen there while the old one runs.
func (g *Gossiper) retireOthers(now clock.Millis, e *entry) {
	id, ok := g.byAddress[e.Address]
	if ok && id != e.ID {
		old := g.members[id]
		if old == g.self || old.Incarnation >= e.Incarnation {
			return
		}
		g.setState(now, old, Leaving, old.State)
	}
	g.byAddress[e.Address] = e.ID
}

func (g *Gossiper) setState(now clock.Millis, e *entry, state, before uint8) {
	e.State = state
	g.cached = nil
	if state == before {
		return
	}
	e.changed, e.deadline, e.reprobe, e.chances = now, 0, 0, 0
	g.suspects = without(g.suspects, e.ID)
	g.dead = without(g.dead, e.ID)
	switch state {
	case Alive:
		if !slices.Contains(g.ring, e.ID) {
			g.insert(e.ID)
		}
	case Suspect:
		e.deadline = now + g.suspicionTime()
		g.suspects = append(g.suspects, e.ID)
	case Dead:
		g.dead = append(g.dead, e.ID)
	}
}

func without(ids []string, id string) []string {
	if i := slices.Index(ids, id); i >= 0 {
		return slices.Delete(ids, i, i+1)
	}
	return ids
}

// enqueue schedules the entry's present update for dissemination.
func (g *Gossiper) enqueue(e *entry) {
	e.sent = 0
	if !e.queued {
		e.queued = true
		g.queue = append(g.queue, e)
	}
}

// forget drops tombstones and members that left long ago.
func (g *Gossiper) forget(now clock.Millis) {
	for id, e := range g.members {
		gone := e.State == Dead || e.State == Leaving
		if e == g.self || !gone || now-e.changed < tombstoneKept {
			continue
		}
		delete(g.members, id)
		if g.byAddress[e.Address] == id {
			delete(g.byAddress, e.Address)
		}
		g.dead = without(g.dead, id)
		g.ring = without(g.ring, id)
		g.queue = slices.DeleteFunc(g.queue, func(q *entry) bool { return q == e })
		g.cached = nil
	}
}
