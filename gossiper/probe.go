package gossiper

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Tick advances the probes and suspicions to now and returns the packets to
// send. It should be called at least every 100 ms.
func (g *Gossiper) Tick(now clock.Millis) []Packet {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resume(now)
	var packets []Packet
	packets = g.advanceProbes(now, packets)
	packets = g.advanceSuspects(now, packets)
	if now >= g.nextProbe {
		g.nextProbe = now + probeInterval
		if e := g.nextTarget(); e != nil {
			packets = append(packets, g.ping(now, e, true))
		}
	}
	if now >= g.nextTomb {
		g.nextTomb = now + tombstoneInterval
		g.forget(now)
		if len(g.dead) > 0 {
			e := g.members[g.dead[g.rand.IntN(len(g.dead))]]
			packets = append(packets, g.ping(now, e, false))
		}
	}
	return packets
}

// resume detects a pause of this process. The answers to open probes may have
// been lost meanwhile, so nobody is blamed for the pause.
func (g *Gossiper) resume(now clock.Millis) {
	gap := now - g.lastTick
	if g.lastTick != 0 && gap > pauseGap {
		g.probes = g.probes[:0]
		for _, id := range g.suspects {
			g.members[id].deadline += gap
		}
	}
	if g.lastTick == 0 {
		g.nextProbe = now + clock.Millis(g.rand.Int64N(int64(probeInterval)))
		g.nextTomb = now + clock.Millis(g.rand.Int64N(int64(tombstoneInterval)))
	}
	g.lastTick = now
}

func (g *Gossiper) advanceProbes(now clock.Millis, packets []Packet) []Packet {
	kept := g.probes[:0]
	for _, p := range g.probes {
		e := g.members[p.target]
		if e == nil {
			continue
		}
		if p.suspects && !p.indirect && now >= p.sent+indirectAfter {
			p.indirect = true
			for _, id := range g.pick(indirectProbes, p.target) {
				packets = append(packets, g.packet(KindPingReq, g.members[id].Address, p.number, e))
			}
		}
		if now < p.sent+probeInterval {
			kept = append(kept, p)
			continue
		}
		if p.suspects && e.State == Alive {
			g.setState(now, e, Suspect, Alive)
			e.reprobe = now
			g.enqueue(e)
		}
	}
	g.probes = kept
	g.relays = slices.DeleteFunc(g.relays, func(r relay) bool { return now >= r.sent+probeInterval })
	return packets
}

// advanceSuspects pings the members that this instance suspects itself, so
// that they hear of it and refute, and declares the silent ones dead after two
// more pings.
func (g *Gossiper) advanceSuspects(now clock.Millis, packets []Packet) []Packet {
	chances := lastChancePerTick
	for _, id := range slices.Clone(g.suspects) {
		e := g.members[id]
		if now >= e.deadline && e.chances < lastChances && chances > 0 {
			chances--
			e.chances, e.reprobe, e.deadline = e.chances+1, 0, now+lastChance
			packets = append(packets, g.ping(now, e, false))
			continue
		}
		if now >= e.deadline {
			g.setState(now, e, Dead, Suspect)
			g.enqueue(e)
			continue
		}
		if e.reprobe != 0 && now >= e.reprobe {
			e.reprobe = now + g.suspicionTime()/3
			packets = append(packets, g.ping(now, e, false))
		}
	}
	return packets
}

// nextTarget returns the next member of the shuffled round, or nil. A round
// visits each alive member once.
func (g *Gossiper) nextTarget() *entry {
	for range 2 {
		for g.next < len(g.ring) {
			e := g.members[g.ring[g.next]]
			g.next++
			if e != nil && e.State == Alive {
				return e
			}
		}
		g.ring = slices.DeleteFunc(g.ring, func(id string) bool {
			e := g.members[id]
			return e == nil || e.State == Dead || e.State == Leaving
		})
		g.rand.Shuffle(len(g.ring), func(i, j int) { g.ring[i], g.ring[j] = g.ring[j], g.ring[i] })
		g.next = 0
	}
	return nil
}

func (g *Gossiper) ping(now clock.Millis, e *entry, suspects bool) Packet {
	g.number++
	g.probes = append(g.probes, probe{number: g.number, target: e.ID, sent: now, suspects: suspects})
	return g.packet(KindPing, e.Address, g.number, e)
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
	from := g.members[p.From.ID]
	if from == nil {
		g.mu.Unlock()
		return nil
	}
	if p.From.Incarnation >= from.Incarnation {
		from.Heard = now
	}
	var packets []Packet
	speaker, asked := p.From.ID, clock.Millis(0)
	switch p.Kind {
	case KindPing:
		packets = append(packets, g.packet(KindAck, p.From.Address, p.Number, from))
	case KindPingReq:
		packets = g.relayPing(now, p, packets)
	case KindAck:
		speaker = p.Target
		packets, asked = g.acked(now, p, packets)
	}
	var heard Member
	if e := g.members[speaker]; e != nil && (p.Kind != KindAck || asked != 0) {
		e.Digest = p.Digest
		heard = e.Member
	}
	g.mu.Unlock()
	if g.Heard != nil && heard.ID != "" {
		g.Heard(heard, p.Digest, asked)
	}
	return packets
}

// relayPing pings the target of a ping request on behalf of the sender.
func (g *Gossiper) relayPing(now clock.Millis, p Packet, packets []Packet) []Packet {
	e := g.members[p.Target]
	if e == nil || e == g.self || len(g.relays) >= maxRelays {
		return packets
	}
	g.number++
	g.relays = append(g.relays, relay{number: g.number, origin: p.Number, to: p.From.Address, sent: now})
	return append(packets, g.packet(KindPing, e.Address, g.number, e))
}

// acked settles the probe that an ack answers, or forwards the ack to the
// requester of the ping. It returns when the probe was sent, 0 if none matches.
func (g *Gossiper) acked(now clock.Millis, p Packet, packets []Packet) ([]Packet, clock.Millis) {
	for i, r := range g.relays {
		if r.number == p.Number {
			g.relays = slices.Delete(g.relays, i, i+1)
			ack := g.packet(KindAck, r.to, r.origin, nil)
			ack.Target, ack.Digest = p.Target, p.Digest
			return append(packets, ack), r.sent
		}
	}
	for i, q := range g.probes {
		if q.number == p.Number && q.target == p.Target {
			g.probes = slices.Delete(g.probes, i, i+1)
			return packets, q.sent
		}
	}
	return packets, 0
}
