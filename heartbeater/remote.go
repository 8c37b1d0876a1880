package heartbeater

import (
	"maps"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// remoteDataCentre holds the addresses of the instances of another data centre,
// ordered by name.
type remoteDataCentre struct{ known, alive []string }

// relays returns the addresses of the instances that may pass a message on.
func (d remoteDataCentre) relays() []string {
	if len(d.alive) > 0 {
		return d.alive
	}
	return d.known
}

// senderPosition is the position of this instance by name among the live
// instances of its data centre, and their number.
type senderPosition struct{ position, senders int }

// remoteInstances returns the position of this instance in its data centre and the
// other data centres, ordered by name. The lock is held.
func (h *Heartbeater) remoteInstances(now clock.Millis) (senderPosition, []remoteDataCentre) {
	self := senderPosition{senders: 1}
	byName := make(map[string]remoteDataCentre)
	for p := range h.peers.ordered() {
		dc, alive := p.member.DataCentre, h.isAlive(now, p)
		switch {
		case dc != h.options.Self.DataCentre:
			d := byName[dc]
			d.known = append(d.known, p.member.PeerAddress)
			if alive {
				d.alive = append(d.alive, p.member.PeerAddress)
			}
			byName[dc] = d
		case alive:
			self.senders++
			if p.member.Name < h.options.Self.Name {
				self.position++
			}
		}
	}
	list := make([]remoteDataCentre, 0, len(byName))
	for _, dc := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[dc])
	}
	return self, list
}

// remoteTargets returns the addresses in other data centres that get a heartbeat
// in this round: those that are the only receivers, and those that pass it on. The
// lock is held.
func (h *Heartbeater) remoteTargets(now clock.Millis, second int64) (direct, relays []string) {
	self, remote := h.remoteInstances(now)
	round := h.remoteRounds
	h.remoteRounds++
	copies := 1
	if h.peers.len() < smallFleetSize {
		copies = 2
	}
	for _, d := range remote {
		if len(d.known) <= maxDirectTargets {
			direct = append(direct, self.directTargets(d.known, copies, second)...)
			continue
		}
		relays = append(relays, self.relayTargets(d.relays(), round)...)
	}
	return direct, relays
}

// directTargets returns this instance's part of the addresses of a data centre.
// The senders share them round-robin: the start index is the sender's position
// plus second, the Unix time in seconds. So each address gets a heartbeat about
// once in each second, even if the clocks differ.
func (s senderPosition) directTargets(addresses []string, copies int, second int64) []string {
	count := len(addresses)
	each := min(count, copies*((count+s.senders-1)/s.senders))
	first := (int64(s.position) + second) % int64(count)
	list := make([]string, 0, each)
	for i := range each {
		list = append(list, addresses[(int(first)+i*max(1, count/each))%count])
	}
	return list
}

// relayTargets returns the addresses of a data centre to which this instance sends
// in a round, by its own count. About relayCopies of the senders send in each
// round, in turn. Each sender takes the receivers in turn, so that no pair of them
// meets again before all others have.
func (s senderPosition) relayTargets(addresses []string, round int) []string {
	period := max(1, s.senders/relayCopies)
	if (s.position+round)%period != 0 {
		return nil
	}
	each := min(len(addresses), max(1, relayCopies/s.senders))
	first := s.position + each*(round/period)
	list := make([]string, 0, each)
	for i := range each {
		list = append(list, addresses[(first+i)%len(addresses)])
	}
	return list
}
