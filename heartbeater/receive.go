package heartbeater

import (
	"rosemaryarch.example/rosemaryarch/clock"
)

// handleMessage applies a message from another instance: its state and loads, the
// states of its neighbours, and the summary of its data centre. It passes the
// message on if asked to, and replies to an instance that is heard for the first
// time.
func (h *Heartbeater) handleMessage(m *Message) {
	m.dropInvalid()
	if m.Hop == hopRelay {
		h.relay(*m)
	}
	h.mu.Lock()
	now := h.options.Clock.Now()
	old := h.peers.get(m.From.Name)
	firstContact := old == nil || old.lastHeard == 0 || old.member.Incarnation != m.From.Incarnation
	local := m.From.DataCentre == h.options.Self.DataCentre
	p := h.update(m.From, now)
	if p == nil {
		// A later message of the sender has arrived before. What has changed since the one
		// before this, such as the samples of endpoints, must not count twice.
		m.Loads = nil
	}
	if p != nil && local && m.LoadsComplete {
		p.loads, p.rates, p.demands, p.reported = m.Loads, m.Rates, receivedDemands(m.Demands), true
	}
	for _, n := range m.Neighbours {
		if n.Name != h.options.Self.Name && n.DataCentre != h.options.Self.DataCentre {
			h.update(n, now-clock.Millis(n.Age))
		}
	}
	h.updateStates(now, m.States)
	if m.Summary != nil && !local {
		h.adoptSummary(now, m.From.DataCentre,
			receivedSummary{Summary: *m.Summary, demands: receivedDemands(m.DemandSums)})
	}
	// Only one of the instances that a relayed message reaches replies.
	reply, due := h.reply(now, m.From, firstContact && m.Hop != hopRelayed)
	h.mu.Unlock()
	if due {
		h.send(&reply, []string{m.From.PeerAddress})
	}
	h.options.OnMessage(m)
}

// relay passes a message of another data centre on to the neighbours.
func (h *Heartbeater) relay(m Message) {
	if m.From.DataCentre == h.options.Self.DataCentre {
		return
	}
	h.mu.Lock()
	local := h.localAddresses()
	h.mu.Unlock()
	m.Hop = hopRelayed
	h.send(&m, local)
}

// adoptSummary stores a newer summary of a data centre. A summary of less than
// half as many instances is ignored until the present one is summaryHoldTime
// old: its sender has just started or is partitioned from its neighbours. A summary of an
// impossible number of instances is ignored. The lock is held.
func (h *Heartbeater) adoptSummary(now clock.Millis, dataCentre string, s receivedSummary) {
	if s.Instances < 1 || s.Instances > maxSummaryInstances {
		return
	}
	old, ok := h.summaries[dataCentre]
	if ok && 2*s.Instances < old.Instances && now-old.receivedAt < summaryHoldTime {
		return
	}
	s.receivedAt = now
	h.summaries[dataCentre] = s
}

// reply returns the reply to an instance that was heard for the first time and
// whether to send it. The reply makes this instance known to it at once. A remote
// instance also gets full descriptions of the live neighbours, at most one such
// reply in fullReplyInterval. The lock is held.
func (h *Heartbeater) reply(now clock.Millis, to Member, firstContact bool) (Message, bool) {
	if !firstContact {
		return Message{}, false
	}
	m := Message{From: h.self()}
	if to.DataCentre == h.options.Self.DataCentre {
		return m, true
	}
	if now-h.fullReplyAt < fullReplyInterval {
		return Message{}, false
	}
	h.fullReplyAt = now
	for p := range h.peers.ordered() {
		if p.member.DataCentre == h.options.Self.DataCentre && h.isAlive(now, p) {
			m.Neighbours = append(m.Neighbours, p.withAge(now))
		}
	}
	return m, true
}

// updateStates applies states of remote instances; those of unknown instances
// are ignored. The lock is held.
func (h *Heartbeater) updateStates(now clock.Millis, list []MemberState) {
	for _, s := range list {
		p := h.peers.byID[s.ID]
		if p == nil || p.member.DataCentre == h.options.Self.DataCentre {
			continue
		}
		m := p.member
		m.Incarnation, m.Ready, m.Leaving = s.Incarnation, s.Flags&flagReady != 0, s.Flags&flagLeaving != 0
		h.update(m, now-clock.Millis(s.Age))
	}
}

// update stores the state that an instance had at an instant and returns the
// peer. It returns nil if a newer state, or one of a later incarnation, is
// known. The lock is held.
func (h *Heartbeater) update(m Member, at clock.Millis) *peer {
	p := h.peers.get(m.Name)
	if p == nil {
		p = &peer{member: m, lastHeard: at, firstHeard: at}
		h.peers.add(p)
		return p
	}
	if p.lastHeard != 0 &&
		(m.Incarnation < p.member.Incarnation || m.Incarnation == p.member.Incarnation && at < p.lastHeard) {
		return nil
	}
	if m.Incarnation != p.member.Incarnation || p.lastHeard == 0 {
		p.firstHeard = at
	}
	p.member, p.lastHeard = m, max(p.lastHeard, at)
	return p
}
