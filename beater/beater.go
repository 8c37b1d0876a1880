package beater

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// interval is the time between two sends to a neighbour in a small data
	// centre.
	interval = 250 * clock.Millis(1)
	// fullFanout is the number of neighbours up to which each gets a message
	// every interval; with more the interval grows, so that the work per
	// instance does not.
	fullFanout = 8
	// farInterval spaces the messages to other data centres, whose bytes are
	// priced; farFanout instances get one each time.
	farInterval = clock.Second
	farFanout   = 6
	// fullLoads is the number of instances up to which the loads go to other
	// data centres too. Beyond, their bytes cost more than they gain.
	fullLoads = 16
	// An instance of the data centre no longer counts as alive after the silence
	// of deadIntervals messages and of deadAtLeast, one elsewhere after farDead.
	// A directory may name a dead instance for several seconds, and a living
	// one must not be left out.
	deadIntervals = 4
	deadAtLeast   = 1200 * clock.Millis(1)
	farDead       = 3500 * clock.Millis(1)
	// newFor is how long an instance is described in full to other data centres.
	// Each of their instances hears one of this data centre several times in it;
	// one that does not learns of the new instance from the store's list.
	newFor = 8 * clock.Second
	// forgetAfter drops an instance that was not heard for long.
	forgetAfter = 5 * clock.Minute
)

// Options are the settings of a beater.
type Options struct {
	Clock clock.Clock
	Self  Member
	// Fill adds the present state to a message.
	Fill func(m *Message)
	// Heard takes each message.
	Heard func(m *Message)
	// Changed takes the name of an instance that appeared or fell silent.
	Changed func(name string, alive bool, age clock.Millis)
	// Failed takes errors of the socket and unreadable messages. None of them
	// ends the beater: the next message makes up for a lost one.
	Failed func(err error)
}

type peer struct {
	member Member
	heard  clock.Millis // 0: never
	since  clock.Millis // instant at which this incarnation was first heard
	alive  bool
	loads  map[uint64]Load
	rates  []Rate
}

// Beater is safe for concurrent use.
type Beater struct {
	options Options
	conn    net.PacketConn

	mu    sync.Mutex
	ready bool
	feeds bool

	leaving bool
	peers   map[string]*peer
	sentAt  clock.Millis // of the last send to other data centres
}

// New opens the socket. An error tells that the address is not usable.
func New(o Options) (*Beater, error) {
	conn, err := net.ListenPacket("udp4", o.Self.Beat)
	if err != nil {
		return nil, errors.Wrap(err, "beater: listen")
	}
	return &Beater{options: o, conn: conn, peers: make(map[string]*peer)}, nil
}

// SetReady tells the others whether this instance takes new requests, and
// whether it is about to stop.
func (b *Beater) SetReady(ready, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready, b.leaving = ready, leaving
}

// SetFeeds tells the others whether this instance passes on what it reads from
// the store. It reports whether that is new.
func (b *Beater) SetFeeds(feeds bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.feeds != feeds
	b.feeds = feeds
	return changed
}

// Learn takes an instance from another source than its own messages.
func (b *Beater) Learn(m Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Name == b.options.Self.Name || m.Beat == "" {
		return
	}
	p := b.peers[m.Name]
	if p == nil {
		b.peers[m.Name] = &peer{member: m}
		return
	}
	if p.member.Incarnation < m.Incarnation {
		p.member = m
	}
}

// Members returns the living instances with the age of what is known of them,
// this one included, ordered by name.
func (b *Beater) Members() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	list := []Member{b.self()}
	for _, p := range b.peers {
		if b.isAlive(now, p) {
			m := p.member
			m.Age = int64(now - p.heard)
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y Member) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// Neighbours returns the names of all known instances of a data centre,
// alive or not, in order.
func (b *Beater) Neighbours(dataCentre string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	if b.options.Self.DataCentre == dataCentre {
		list = append(list, b.options.Self.Name)
	}
	for name, p := range b.peers {
		if p.member.DataCentre == dataCentre {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Known returns the number of known instances, alive or not.
func (b *Beater) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers) + 1
}

// delayHalf is the time in ms after which half of an observed delay counts.
const delayHalf = 500

// Load returns the work that living neighbours have placed on an endpoint, and
// the longest delay that one of them has seen there lately. Work is taken to
// shrink since the message: work that is over would send all instances
// elsewhere at once.
func (b *Beater) Load(endpoint uint64) (work float64, running int, delay float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	for _, p := range b.peers {
		l, ok := p.loads[endpoint]
		if !ok || !b.isAlive(now, p) {
			continue
		}
		work += max(0, float64(l.Work)-float64(now-p.heard))
		running += l.Running
		delay = max(delay, float64(l.Delay)*math.Exp2(-float64(now-p.heard)/delayHalf))
	}
	return work, running, delay
}

// Rates returns the sum of what living instances have told of a service, their
// number and the age of the oldest message.
func (b *Beater) Rates(service uint64) (sum Rate, instances int, age clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	for _, p := range b.peers {
		if p.loads == nil || !b.isAlive(now, p) {
			continue
		}
		instances++
		age = max(age, now-p.heard)
		for _, r := range p.rates {
			if r.Service == service {
				sum.Base += r.Base
				sum.Demand += r.Demand
				sum.Requests += r.Requests
				sum.Borrowed += r.Borrowed
			}
		}
	}
	return sum, instances, age
}

func (b *Beater) self() Member {
	m := b.options.Self
	m.Ready, m.Leaving, m.Feeds = b.ready, b.leaving, b.feeds
	return m
}

// near returns the interval of messages within the data centre.
func (b *Beater) near() clock.Millis {
	n := 0
	for _, p := range b.peers {
		if p.member.DataCentre == b.options.Self.DataCentre {
			n++
		}
	}
	return interval * clock.Millis(max(1, (n+fullFanout-1)/fullFanout))
}

func (b *Beater) isAlive(now clock.Millis, p *peer) bool {
	if p.heard == 0 {
		return false
	}
	limit := farDead
	if p.member.DataCentre == b.options.Self.DataCentre {
		limit = max(deadAtLeast, deadIntervals*b.near())
	}
	return now-p.heard < limit
}

// Run sends and receives until ctx ends, and closes the socket.
func (b *Beater) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receive(ctx)
	}()
	for ctx.Err() == nil {
		b.beat()
		b.mu.Lock()
		wait := b.near()
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		}
	}
	_ = b.conn.Close()
	<-received
}

// Announce sends the present state at once, for a change that others should
// know soon.
func (b *Beater) Announce() { b.beat() }

// Broadcast sends a message to all instances at once. The beater sets the
// sender.
func (b *Beater) Broadcast(m Message) {
	b.mu.Lock()
	m.From = b.self()
	addresses := make([]string, 0, len(b.peers))
	for _, p := range b.peers {
		addresses = append(addresses, p.member.Beat)
	}
	b.mu.Unlock()
	b.send(&m, addresses)
}

func (b *Beater) beat() {
	b.mu.Lock()
	now := b.options.Clock.Now()
	var near, far []string
	for name, p := range b.peers {
		if p.heard != 0 && now-p.heard > forgetAfter {
			delete(b.peers, name)
			continue
		}
		b.note(now, name, p)
		if p.member.DataCentre == b.options.Self.DataCentre {
			near = append(near, p.member.Beat)
			continue
		}
		far = append(far, p.member.Beat)
	}
	m := Message{From: b.self()}
	farDue := now-b.sentAt >= farInterval
	if farDue {
		b.sentAt = now
	}
	neighbours, states := b.news(now)
	b.mu.Unlock()
	if len(near) == 0 && (!farDue || len(far) == 0) {
		return
	}
	b.options.Fill(&m)
	m.Loaded = true
	b.send(&m, near)
	if !farDue || len(far) == 0 {
		return
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	if b.Known() > fullLoads {
		m.Loads, m.Loaded = nil, false
	}
	m.Neighbours, m.States = neighbours, states
	b.send(&m, far[:min(len(far), farFanout)])
}

func (b *Beater) note(now clock.Millis, name string, p *peer) {
	if alive := b.isAlive(now, p); alive != p.alive {
		p.alive = alive
		b.options.Changed(name, alive, now-p.heard)
	}
}

// neighbours returns the living instances of the data centre with the age of
// what is known of them.
func (b *Beater) neighbours(now clock.Millis) []Member {
	var list []Member
	for _, p := range b.peers {
		if p.member.DataCentre == b.options.Self.DataCentre && b.isAlive(now, p) {
			m := p.member
			m.Age = int64(now - p.heard)
			list = append(list, m)
		}
	}
	return list
}

// news returns the living instances of the data centre, those that started
// lately in full.
func (b *Beater) news(now clock.Millis) ([]Member, []State) {
	var full []Member
	var states []State
	for _, m := range b.neighbours(now) {
		if now-b.peers[m.Name].since < newFor {
			full = append(full, m)
			continue
		}
		states = append(states, newState(m, clock.Millis(m.Age)))
	}
	return full, states
}

// learnStates takes news of instances that are known. The lock is held.
func (b *Beater) learnStates(now clock.Millis, list []State) {
	if len(list) == 0 {
		return
	}
	byID := make(map[uint64]string, len(b.peers))
	for name := range b.peers {
		byID[nameHash(name)] = name
	}
	for _, s := range list {
		p := b.peers[byID[s.ID]]
		if p == nil || p.member.DataCentre == b.options.Self.DataCentre {
			continue
		}
		m := p.member
		m.Incarnation, m.Ready, m.Leaving = s.Incarnation, s.Flags&flagReady != 0, s.Flags&flagLeaving != 0
		b.learn(m, now-clock.Millis(s.Age))
	}
}

func (b *Beater) send(m *Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := m.encode()
	if err == nil && len(data) > maxDatagram {
		err = errors.Newf("message of %d bytes", len(data))
	}
	if err != nil {
		b.options.Failed(errors.Wrap(err, "encode"))
		return
	}
	for _, a := range addresses {
		u, err := net.ResolveUDPAddr("udp4", a)
		if err == nil {
			_, err = b.conn.WriteTo(data, u)
		}
		if err != nil {
			b.options.Failed(errors.Wrapf(err, "send to %s", a))
		}
	}
}

func (b *Beater) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				b.options.Failed(errors.Wrap(err, "receive"))
				time.Sleep(interval.Duration())
			}
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			b.options.Failed(errors.Wrap(err, "decode"))
			continue
		}
		if m.From.Name == "" || m.From.Name == b.options.Self.Name {
			continue
		}
		b.hear(m)
	}
}

func (b *Beater) hear(m *Message) {
	b.mu.Lock()
	now := b.options.Clock.Now()
	old := b.peers[m.From.Name]
	fresh := old == nil || old.heard == 0 || old.member.Incarnation != m.From.Incarnation
	if p := b.learn(m.From, now); p != nil && m.Loaded {
		p.rates = m.Rates
		p.loads = make(map[uint64]Load, len(m.Loads))
		for _, l := range m.Loads {
			p.loads[l.Endpoint] = l
		}
	}
	for _, n := range m.Neighbours {
		if n.Name != b.options.Self.Name && n.DataCentre != b.options.Self.DataCentre {
			b.learn(n, now-clock.Millis(n.Age))
		}
	}
	b.learnStates(now, m.States)
	reply := Message{From: b.self(), Neighbours: b.neighbours(now)}
	b.mu.Unlock()
	if fresh {
		// A new instance learns of this one at once.
		b.send(&reply, []string{m.From.Beat})
	}
	b.options.Heard(m)
}

// learn takes what was heard of an instance at an instant, unless newer is
// known.
func (b *Beater) learn(m Member, at clock.Millis) *peer {
	p := b.peers[m.Name]
	if p == nil {
		p = &peer{member: m, heard: at, since: at}
		b.peers[m.Name] = p
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
