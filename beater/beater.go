package beater

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
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
	// priced. Each instance there gets one in it from one of this data centre, or
	// two in a fleet of up to smallFleet instances, where a data centre has a few
	// instances only and one that is cut off would be a large part of them.
	farInterval = clock.Second
	smallFleet  = 16
	// replyInterval spaces the full answers to instances of other data centres
	// that were heard for the first time: when a fleet starts, they all are.
	replyInterval = 500 * clock.Millis(1)
	// maxFull is the number of instances that one message describes in full. The
	// others of a fleet that starts come with later messages, or are known from
	// the store's list.
	maxFull = 8
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

// Beater is safe for concurrent use.
type Beater struct {
	options Options
	conn    net.PacketConn

	mu    sync.Mutex
	ready bool
	feeds bool

	leaving   bool
	peers     *peers
	sentAt    clock.Millis // of the last send to other data centres
	repliedAt clock.Millis // of the last full answer
	summaries map[string]summary
	table     loadTable
}

// New opens the socket. An error tells that the address is not usable.
func New(o Options) (*Beater, error) {
	conn, err := net.ListenPacket("udp4", o.Self.Beat)
	if err != nil {
		return nil, errors.Wrap(err, "beater: listen")
	}
	return newBeater(o, conn), nil
}

func newBeater(o Options, conn net.PacketConn) *Beater {
	return &Beater{options: o, conn: conn, peers: newPeers(o.Self.DataCentre), summaries: make(map[string]summary)}
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
	if p := b.peers.get(m.Name); p == nil {
		b.peers.add(&peer{member: m})
	} else if p.member.Incarnation < m.Incarnation {
		p.member = m
	}
}

// Members returns the living instances with the age of what is known of them,
// this one included, ordered by name.
func (b *Beater) Members() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	list := make([]Member, 0, b.peers.len()+1)
	self := b.self()
	placed := false
	for p := range b.peers.ordered() {
		if !placed && p.member.Name > self.Name {
			list, placed = append(list, self), true
		}
		if b.isAlive(now, p) {
			list = append(list, p.aged(now))
		}
	}
	if !placed {
		list = append(list, self)
	}
	return list
}

// Neighbours returns the names of all known instances of a data centre,
// alive or not, in order.
func (b *Beater) Neighbours(dataCentre string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.peers.of(dataCentre)
	if b.options.Self.DataCentre == dataCentre {
		at, _ := slices.BinarySearch(list, b.options.Self.Name)
		list = slices.Insert(list, at, b.options.Self.Name)
	}
	return list
}

// Known returns the number of known instances, alive or not.
func (b *Beater) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.len() + 1
}

func (b *Beater) self() Member {
	m := b.options.Self
	m.Ready, m.Leaving, m.Feeds = b.ready, b.leaving, b.feeds
	return m
}

// near returns the interval of messages within the data centre.
func (b *Beater) near() clock.Millis {
	return interval * clock.Millis(max(1, (b.peers.near+fullFanout-1)/fullFanout))
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
	addresses := make([]string, 0, b.peers.len())
	for p := range b.peers.ordered() {
		addresses = append(addresses, p.member.Beat)
	}
	b.mu.Unlock()
	b.send(&m, addresses)
}

func (b *Beater) beat() {
	m := Message{}
	b.options.Fill(&m)
	m.Loaded = true
	b.mu.Lock()
	now := b.options.Clock.Now()
	b.peers.forget(now - forgetAfter)
	var near []string
	for p := range b.peers.ordered() {
		b.note(now, p)
		if p.member.DataCentre == b.options.Self.DataCentre {
			near = append(near, p.member.Beat)
		}
	}
	m.From = b.self()
	var far []string
	if now-b.sentAt >= farInterval {
		b.sentAt = now
		far = b.farTargets(now, time.Now().Unix())
	}
	var farMessage Message
	if len(far) > 0 {
		farMessage = Message{From: m.From, Rollouts: m.Rollouts, Summary: b.sums(now, &m)}
		farMessage.Neighbours, farMessage.States = b.news(now)
	}
	b.mu.Unlock()
	b.send(&m, near)
	b.send(&farMessage, far)
}

// farTargets returns the addresses in other data centres that get a message
// now. Of each data centre, the living instances here take the instances there
// in turns that move with the time of day in seconds, so each of them is reached
// about once, however the clocks differ.
func (b *Beater) farTargets(now clock.Millis, second int64) []string {
	position, senders := 0, 1
	known := make(map[string][]string)
	for p := range b.peers.ordered() {
		dc := p.member.DataCentre
		if dc != b.options.Self.DataCentre {
			known[dc] = append(known[dc], p.member.Beat)
			continue
		}
		if b.isAlive(now, p) {
			senders++
			if p.member.Name < b.options.Self.Name {
				position++
			}
		}
	}
	copies := 1
	if b.peers.len() < smallFleet {
		copies = 2
	}
	var list []string
	for _, dc := range slices.Sorted(maps.Keys(known)) {
		addresses := known[dc]
		count := len(addresses)
		each := min(count, copies*((count+senders-1)/senders))
		first := (int64(position) + second) % int64(count)
		for i := range each {
			list = append(list, addresses[(int(first)+i*max(1, count/each))%count])
		}
	}
	return list
}

func (b *Beater) note(now clock.Millis, p *peer) {
	if alive := b.isAlive(now, p); alive != p.alive {
		p.alive = alive
		b.options.Changed(p.member.Name, alive, now-p.heard)
	}
}

// news returns the living instances of the data centre, at most maxFull of
// those that started lately in full.
func (b *Beater) news(now clock.Millis) ([]Member, []State) {
	var full []Member
	var states []State
	for p := range b.peers.ordered() {
		if p.member.DataCentre != b.options.Self.DataCentre || !b.isAlive(now, p) {
			continue
		}
		m := p.aged(now)
		states = append(states, newState(m, clock.Millis(m.Age)))
		if now-p.since < newFor {
			full = append(full, m)
		}
	}
	if len(full) > maxFull {
		rand.Shuffle(len(full), func(i, j int) { full[i], full[j] = full[j], full[i] })
		full = full[:maxFull]
	}
	return full, states
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
