package gossiper

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// supersedes reports whether update m replaces entry e: the higher incarnation
// wins, then the higher state.
func supersedes(m Member, e *entry) bool {
	if m.Incarnation != e.Incarnation {
		return m.Incarnation > e.Incarnation
	}
	return m.State > e.State
}

// merge applies one update from a packet or a seed.
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
		g.addMember(now, m)
		return
	}
	if !supersedes(m, e) {
		// An update without the address may have arrived before the one with the new
		// address.
		if m.Incarnation == e.Incarnation && m.Address != "" && m.Address != e.Address {
			g.changeAddress(e, m.Address)
		}
		return
	}
	oldState := e.State
	e.addressKnown = oldState != Leaving && e.Incarnation > 0 && (m.Address == "" || m.Address == e.Address)
	if m.Address != "" && m.Address != e.Address {
		g.changeAddress(e, m.Address)
	}
	e.Incarnation = m.Incarnation
	if m.DataCentre != "" {
		e.DataCentre, e.Region = m.DataCentre, m.Region
	}
	g.setState(now, e, m.State, oldState)
	g.enqueue(e)
	if m.State == Alive {
		g.retireOldProcess(now, e)
	}
}

// mergeSelf refutes a suspicion or death of this instance. An alive or leaving
// entry with a higher incarnation can only come from a newer process under the
// same id.
func (g *Gossiper) mergeSelf(m Member) {
	if m.Incarnation < g.self.Incarnation || g.replaced {
		return
	}
	if m.State == Alive || m.State == Leaving {
		g.replaced = g.replaced || m.Incarnation > g.self.Incarnation
		return
	}
	g.self.Incarnation = m.Incarnation + 1
	g.cachedMembers = nil
	g.enqueue(g.self)
}

// addMember adds a member that is not known yet. It ignores members that are not
// alive, so that expired tombstones do not return.
func (g *Gossiper) addMember(now clock.Millis, m Member) {
	if m.State != Alive || m.ID == "" || m.Address == "" || len(g.members) >= maxMembers {
		return
	}
	e := &entry{Member: m, changedAt: now}
	g.members[m.ID] = e
	g.cachedMembers = nil
	g.retireOldProcess(now, e)
	if _, taken := g.byAddress[m.Address]; !taken {
		g.byAddress[m.Address] = m.ID
	}
	g.insertProbeTarget(m.ID)
	if m.Incarnation > 0 {
		g.enqueue(e)
	}
}

// insertProbeTarget inserts id at a random index of the probe order.
func (g *Gossiper) insertProbeTarget(id string) {
	index := g.rand.IntN(len(g.probeOrder) + 1)
	g.probeOrder = slices.Insert(g.probeOrder, index, id)
	if index < g.nextProbeIndex {
		g.nextProbeIndex++
	}
}

// changeAddress replaces the member's address and removes the old one from
// byAddress.
func (g *Gossiper) changeAddress(e *entry, address string) {
	if g.byAddress[e.Address] == e.ID {
		delete(g.byAddress, e.Address)
	}
	e.Address = address
	g.cachedMembers = nil
}

// retireOldProcess marks an older process at the address of e as leaving. The
// new process could not listen there while the old one runs.
func (g *Gossiper) retireOldProcess(now clock.Millis, e *entry) {
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

// setState changes the member's state and starts or ends its suspicion.
func (g *Gossiper) setState(now clock.Millis, e *entry, state, oldState uint8) {
	e.State = state
	g.cachedMembers = nil
	if state == oldState {
		return
	}
	e.changedAt, e.suspicionDeadline, e.nextPing, e.finalPingsSent = now, 0, 0, 0
	g.suspects = removeID(g.suspects, e.ID)
	g.dead = removeID(g.dead, e.ID)
	switch state {
	case Alive:
		if !slices.Contains(g.probeOrder, e.ID) {
			g.insertProbeTarget(e.ID)
		}
	case Suspect:
		e.suspicionDeadline = now + g.suspicionTime()
		g.suspects = append(g.suspects, e.ID)
	case Dead:
		g.dead = append(g.dead, e.ID)
	}
}

// removeID removes id from ids in place.
func removeID(ids []string, id string) []string {
	if i := slices.Index(ids, id); i >= 0 {
		return slices.Delete(ids, i, i+1)
	}
	return ids
}

// enqueue queues the entry's current state to be sent with the next packets.
func (g *Gossiper) enqueue(e *entry) {
	e.transmissions = 0
	if !e.queued {
		e.queued = true
		g.updates = append(g.updates, e)
	}
}

// removeExpired removes tombstones and members that left, tombstoneLifetime after
// their last change of state.
func (g *Gossiper) removeExpired(now clock.Millis) {
	for id, e := range g.members {
		gone := e.State == Dead || e.State == Leaving
		if e == g.self || !gone || now-e.changedAt < tombstoneLifetime {
			continue
		}
		delete(g.members, id)
		if g.byAddress[e.Address] == id {
			delete(g.byAddress, e.Address)
		}
		g.dead = removeID(g.dead, id)
		g.probeOrder = removeID(g.probeOrder, id)
		g.updates = slices.DeleteFunc(g.updates, func(q *entry) bool { return q == e })
		g.cachedMembers = nil
	}
}
