package heartbeater

import (
	"rosemaryarch.example/rosemaryarch/clock"
)

// handleMessage applies a message of another instance: its state and loads, what
// it reports of its neighbours, and the summary of its data centre. It replies to
// an instance that is heard for the first time.
func (b *Heartbeater) handleMessage(m *Message) {
	b.mu.Lock()
	now := b.options.Clock.Now()
	old := b.peers.get(m.From.Name)
	firstContact := old == nil || old.lastHeard == 0 || old.member.Incarnation != m.From.Incarnation
	local := m.From.DataCentre == b.options.Self.DataCentre
	if p := b.update(m.From, now); p != nil && local && m.LoadsComplete {
		p.loads, p.rates, p.reported = m.Loads, m.Rates, true
	}
	for _, n := range m.Neighbours {
		if n.Name != b.options.Self.Name && n.DataCentre != b.options.Self.DataCentre {
			b.update(n, now-clock.Millis(n.Age))
		}
	}
	b.updateStates(now, m.States)
	if m.Summary != nil && !local {
		b.adoptSummary(now, m.From.DataCentre, *m.Summary)
	}
	reply, due := b.reply(now, m.From, firstContact)
	b.mu.Unlock()
	if due {
		b.send(&reply, []string{m.From.PeerAddress})
	}
	b.options.OnMessage(m)
}

// adoptSummary stores a newer summary of a data centre. A summary of less than
// half as many instances is ignored until the present one is summaryHoldTime
// old: its sender has just started or is partitioned from its neighbours. The
// lock is held.
func (b *Heartbeater) adoptSummary(now clock.Millis, dataCentre string, s Summary) {
	old, ok := b.summaries[dataCentre]
	if ok && 2*s.Instances < old.Instances && now-old.receivedAt < summaryHoldTime {
		return
	}
	b.summaries[dataCentre] = receivedSummary{Summary: s, receivedAt: now}
}

// reply returns the reply to an instance that was heard for the first time and
// whether to send it. The reply makes this instance known to it at once; a
// remote instance also gets full descriptions of the live neighbours. The lock
// is held.
func (b *Heartbeater) reply(now clock.Millis, to Member, firstContact bool) (Message, bool) {
	if !firstContact {
		return Message{}, false
	}
	m := Message{From: b.self()}
	if to.DataCentre == b.options.Self.DataCentre {
		return m, true
	}
	if now-b.fullReplyAt < fullReplyInterval {
		return Message{}, false
	}
	b.fullReplyAt = now
	for p := range b.peers.ordered() {
		if p.member.DataCentre == b.options.Self.DataCentre && b.isAlive(now, p) {
			m.Neighbours = append(m.Neighbours, p.withAge(now))
		}
	}
	return m, true
}

// updateStates applies states of remote instances; those of unknown instances
// are ignored. The lock is held.
func (b *Heartbeater) updateStates(now clock.Millis, list []MemberState) {
	for _, s := range list {
		p := b.peers.byID[s.ID]
		if p == nil || p.member.DataCentre == b.options.Self.DataCentre {
			continue
		}
		m := p.member
		m.Incarnation, m.Ready, m.Leaving = s.Incarnation, s.Flags&flagReady != 0, s.Flags&flagLeaving != 0
		b.update(m, now-clock.Millis(s.Age))
	}
}

// update stores the state that an instance had at an instant and returns the
// peer. It returns nil if a newer state, or one of a later incarnation, is
// known. The lock is held.
func (b *Heartbeater) update(m Member, at clock.Millis) *peer {
	p := b.peers.get(m.Name)
	if p == nil {
		p = &peer{member: m, lastHeard: at, firstHeard: at}
		b.peers.add(p)
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
