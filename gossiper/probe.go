package gossiper

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Tick advances the probes and suspicions to the instant now and returns the
// packets to send. It should be called at least every 100 ms.
func (g *Gossiper) Tick(now clock.Millis) []Packet {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handlePause(now)
	var packets []Packet
	packets = g.advanceProbes(now, packets)
	packets = g.advanceSuspects(now, packets)
	if now >= g.nextProbe {
		g.nextProbe = now + probeInterval
		if e := g.nextProbeTarget(); e != nil {
			packets = append(packets, g.ping(now, e, true))
		}
	}
	if now >= g.nextTombstoneProbe {
		g.nextTombstoneProbe = now + tombstoneProbeInterval
		g.removeExpired(now)
		if len(g.dead) > 0 {
			e := g.members[g.dead[g.rand.IntN(len(g.dead))]]
			packets = append(packets, g.ping(now, e, false))
		}
	}
	return packets
}

// handlePause detects a pause of this process. The answers to open probes may
// have been lost meanwhile, so it discards these probes and extends the
// suspicions by the pause.
func (g *Gossiper) handlePause(now clock.Millis) {
	pause := now - g.lastTick
	if g.lastTick != 0 && pause > pauseThreshold {
		g.probes = g.probes[:0]
		for _, id := range g.suspects {
			g.members[id].suspicionDeadline += pause
		}
	}
	if g.lastTick == 0 {
		g.nextProbe = now + clock.Millis(g.rand.Int64N(int64(probeInterval)))
		g.nextTombstoneProbe = now + clock.Millis(g.rand.Int64N(int64(tombstoneProbeInterval)))
	}
	g.lastTick = now
}

// advanceProbes sends ping requests for the probes without an ack after
// indirectProbeDelay and suspects the targets of those without one after
// probeInterval.
func (g *Gossiper) advanceProbes(now clock.Millis, packets []Packet) []Packet {
	kept := g.probes[:0]
	for _, p := range g.probes {
		e := g.members[p.target]
		if e == nil {
			continue
		}
		if p.suspectOnTimeout && !p.indirectSent && now >= p.sentAt+indirectProbeDelay {
			p.indirectSent = true
			for _, id := range g.randomAlive(indirectProbes, p.target) {
				packets = append(packets, g.newPacket(KindPingReq, g.members[id].Address, p.sequence, e))
			}
		}
		if now < p.sentAt+probeInterval {
			kept = append(kept, p)
			continue
		}
		if p.suspectOnTimeout && e.State == Alive {
			g.setState(now, e, Suspect, Alive)
			e.nextPing = now
			g.enqueue(e)
		}
	}
	g.probes = kept
	g.relays = slices.DeleteFunc(g.relays, func(r relay) bool { return now >= r.sentAt+probeInterval })
	return packets
}

// advanceSuspects pings the members that this instance itself suspects, so
// that they learn of the suspicion and refute it. After the suspicion time it sends
// up to maxFinalPings final pings and declares suspects dead that answer none.
func (g *Gossiper) advanceSuspects(now clock.Millis, packets []Packet) []Packet {
	finalPingsLeft := finalPingsPerTick
	for _, id := range slices.Clone(g.suspects) {
		e := g.members[id]
		if now >= e.suspicionDeadline && e.finalPingsSent < maxFinalPings && finalPingsLeft > 0 {
			finalPingsLeft--
			e.finalPingsSent, e.nextPing, e.suspicionDeadline = e.finalPingsSent+1, 0, now+finalPingTimeout
			packets = append(packets, g.ping(now, e, false))
			continue
		}
		if now >= e.suspicionDeadline {
			g.setState(now, e, Dead, Suspect)
			g.enqueue(e)
			continue
		}
		if e.nextPing != 0 && now >= e.nextPing {
			e.nextPing = now + g.suspicionTime()/3
			packets = append(packets, g.ping(now, e, false))
		}
	}
	return packets
}

// nextProbeTarget returns the next member of the shuffled round, or nil. A round
// visits each alive member once.
func (g *Gossiper) nextProbeTarget() *entry {
	for range 2 {
		for g.nextProbeIndex < len(g.probeOrder) {
			e := g.members[g.probeOrder[g.nextProbeIndex]]
			g.nextProbeIndex++
			if e != nil && e.State == Alive {
				return e
			}
		}
		g.probeOrder = slices.DeleteFunc(g.probeOrder, func(id string) bool {
			e := g.members[id]
			return e == nil || e.State == Dead || e.State == Leaving
		})
		g.rand.Shuffle(len(g.probeOrder), func(i, j int) {
			g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i]
		})
		g.nextProbeIndex = 0
	}
	return nil
}

// ping opens a probe of the member and returns its packet.
func (g *Gossiper) ping(now clock.Millis, e *entry, suspectOnTimeout bool) Packet {
	g.lastSequence++
	g.probes = append(g.probes, probe{
		sequence: g.lastSequence, target: e.ID, sentAt: now, suspectOnTimeout: suspectOnTimeout,
	})
	return g.newPacket(KindPing, e.Address, g.lastSequence, e)
}

// Receive applies a packet and returns the packets to send in answer.
func (g *Gossiper) Receive(now clock.Millis, p Packet) []Packet {
	g.mu.Lock()
	if g.replaced || p.From.ID == g.self.ID {
		g.merge(now, p.From)
		g.mu.Unlock()
		return nil
	}
	g.merge(now, p.From)
	for _, m := range p.Updates {
		g.merge(now, m)
	}
	sender := g.members[p.From.ID]
	if sender == nil {
		g.mu.Unlock()
		return nil
	}
	if p.From.Incarnation >= sender.Incarnation {
		sender.LastHeard = now
	}
	var packets []Packet
	digestOwnerID, probedAt := p.From.ID, clock.Millis(0)
	switch p.Kind {
	case KindPing:
		packets = append(packets, g.newPacket(KindAck, p.From.Address, p.Sequence, sender))
	case KindPingReq:
		packets = g.relayPing(now, p, packets)
	case KindAck:
		digestOwnerID = p.Target
		packets, probedAt = g.handleAck(now, p, packets)
	}
	var digestOwner Member
	if e := g.members[digestOwnerID]; e != nil && (p.Kind != KindAck || probedAt != 0) {
		e.Digest = p.Digest
		digestOwner = e.Member
	}
	g.mu.Unlock()
	if g.OnDigest != nil && digestOwner.ID != "" {
		g.OnDigest(digestOwner, p.Digest, probedAt)
	}
	return packets
}

// relayPing pings the target of a ping request on behalf of the requester.
func (g *Gossiper) relayPing(now clock.Millis, p Packet, packets []Packet) []Packet {
	e := g.members[p.Target]
	if e == nil || e == g.self || len(g.relays) >= maxRelays {
		return packets
	}
	g.lastSequence++
	g.relays = append(g.relays, relay{
		sequence: g.lastSequence, requestSequence: p.Sequence, requester: p.From.Address, sentAt: now,
	})
	return append(packets, g.newPacket(KindPing, e.Address, g.lastSequence, e))
}

// handleAck completes the probe that an ack answers, or forwards the ack to the
// requester of the ping. It returns the instant at which the ping was sent, 0 if
// none matches.
func (g *Gossiper) handleAck(now clock.Millis, packet Packet, packets []Packet) ([]Packet, clock.Millis) {
	for i, r := range g.relays {
		if r.sequence == packet.Sequence {
			g.relays = slices.Delete(g.relays, i, i+1)
			ack := g.newPacket(KindAck, r.requester, r.requestSequence, nil)
			ack.Target, ack.Digest = packet.Target, packet.Digest
			return append(packets, ack), r.sentAt
		}
	}
	for i, p := range g.probes {
		if p.sequence == packet.Sequence && p.target == packet.Target {
			g.probes = slices.Delete(g.probes, i, i+1)
			return packets, p.sentAt
		}
	}
	return packets, 0
}
