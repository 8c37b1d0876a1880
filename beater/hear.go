package beater

import (
	"rosemaryarch.example/rosemaryarch/clock"
)

// hear takes a message of another instance.
func (b *Beater) hear(m *Message) {
	b.mu.Lock()
	now := b.options.Clock.Now()
	old := b.peers.get(m.From.Name)
	fresh := old == nil || old.heard == 0 || old.member.Incarnation != m.From.Incarnation
	near := m.From.DataCentre == b.options.Self.DataCentre
	if p := b.learn(m.From, now); p != nil && near && m.Loaded {
		p.loads, p.rates, p.loaded = m.Loads, m.Rates, true
	}
	for _, n := range m.Neighbours {
		if n.Name != b.options.Self.Name && n.DataCentre != b.options.Self.DataCentre {
			b.learn(n, now-clock.Millis(n.Age))
		}
	}
	b.learnStates(now, m.States)
	if m.Summary != nil && !near {
		b.adopt(now, m.From.DataCentre, *m.Summary)
	}
	reply, due := b.reply(now, m.From, fresh)
	b.mu.Unlock()
	if due {
		b.send(&reply, []string{m.From.Beat})
	}
	b.options.Heard(m)
}

// adopt takes a newer summary of a data centre. One of far fewer instances, as
// of an instance that has just started or is cut off from its neighbours,
// replaces an old one only. The lock is held.
func (b *Beater) adopt(now clock.Millis, dataCentre string, s Summary) {
	old, ok := b.summaries[dataCentre]
	if ok && 2*s.Instances < old.Instances && now-old.heard < summaryKept {
		return
	}
	b.summaries[dataCentre] = summary{Summary: s, heard: now}
}

// reply returns the answer to an instance that was heard for the first time, so
// that it learns of this one at once, and in another data centre of the
// neighbours. The lock is held.
func (b *Beater) reply(now clock.Millis, to Member, fresh bool) (Message, bool) {
	if !fresh {
		return Message{}, false
	}
	m := Message{From: b.self()}
	if to.DataCentre == b.options.Self.DataCentre {
		return m, true
	}
	if now-b.repliedAt < replyInterval {
		return Message{}, false
	}
	b.repliedAt = now
	for p := range b.peers.ordered() {
		if p.member.DataCentre == b.options.Self.DataCentre && b.isAlive(now, p) {
			m.Neighbours = append(m.Neighbours, p.aged(now))
		}
	}
	return m, true
}

// learnStates takes news of instances that are known. The lock is held.
func (b *Beater) learnStates(now clock.Millis, list []State) {
	for _, s := range list {
		p := b.peers.byID[s.ID]
		if p == nil || p.member.DataCentre == b.options.Self.DataCentre {
			continue
		}
		m := p.member
		m.Incarnation, m.Ready, m.Leaving = s.Incarnation, s.Flags&flagReady != 0, s.Flags&flagLeaving != 0
		b.learn(m, now-clock.Millis(s.Age))
	}
}

// learn takes what was heard of an instance at an instant, unless newer is
// known. The lock is held.
func (b *Beater) learn(m Member, at clock.Millis) *peer {
	p := b.peers.get(m.Name)
	if p == nil {
		p = &peer{member: m, heard: at, since: at}
		b.peers.add(p)
		return p
	}
	if p.heard != 0 && (m.Incarnation < p.member.Incarnation || m.Incarnation == p.member.Incarnation && at < p.heard) {
		return nil
	}
	if m.Incarnation != p.member.Incarnation || p.heard == 0 {
		p.since = at
	}
	p.member, p.heard = m, max(p.heard, at)
	return p
}
