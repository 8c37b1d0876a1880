package heartbeater

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
	// baseInterval is the time between two heartbeats to a neighbour, an instance
	// of the same data centre, while there are at most fullRateNeighbours.
	baseInterval = 250 * clock.Millis(1)
	// fullRateNeighbours is the number of neighbours up to which each gets a
	// heartbeat every baseInterval. With more, the interval grows in proportion,
	// which bounds the work per instance.
	fullRateNeighbours = 8
	// remoteInterval is the time between two heartbeats to other data centres,
	// whose traffic is billed by the byte. In each interval, every remote instance
	// gets a heartbeat from one instance of this data centre, or from two in a
	// fleet of up to smallFleetSize instances: there a data centre has few
	// instances, and a partitioned one is a large part of them.
	remoteInterval = clock.Second
	smallFleetSize = 16
	// fullReplyInterval is the least time between two full replies to remote
	// instances that were heard for the first time. When a fleet starts, this
	// applies to all of them.
	fullReplyInterval = 500 * clock.Millis(1)
	// maxFullMembers is the largest number of instances that one message to
	// another data centre describes in full. When a fleet starts, the others
	// follow in later messages or are known from the list in the store.
	maxFullMembers = 8
	// A local instance counts as dead after localTimeoutIntervals heartbeat
	// intervals without a message, but not before minLocalTimeout; a remote one
	// after remoteTimeout. The timeouts are generous because the directory may
	// list a dead instance for several seconds but must not omit a live one.
	localTimeoutIntervals = 4
	minLocalTimeout       = 1200 * clock.Millis(1)
	remoteTimeout         = 3500 * clock.Millis(1)
	// fullDescriptionPeriod is the time after its start during which an instance
	// is described in full to other data centres. Each remote instance receives
	// several messages in this period; one that receives none finds the new
	// instance in the list in the store.
	fullDescriptionPeriod = 8 * clock.Second
	// expireAfter is the time without a message after which an instance is removed
	// from the list.
	expireAfter = 5 * clock.Minute
)

// Options configures New. All fields must be set.
type Options struct {
	Clock clock.Clock
	Self  Member
	// Fill adds the current loads, rates and roll-out reports to a message.
	Fill func(m *Message)
	// OnMessage is called with each received message.
	OnMessage func(m *Message)
	// OnAliveChange is called when an instance becomes alive or dead. The age is the
	// time since its last message.
	OnAliveChange func(name string, alive bool, age clock.Millis)
	// OnError is called with socket errors and undecodable messages. None of them
	// stops Run: the next heartbeat replaces a lost one.
	OnError func(err error)
}

// Heartbeater sends the heartbeats of one instance and tracks the other instances by
// theirs. It is safe for concurrent use.
type Heartbeater struct {
	options Options
	conn    net.PacketConn

	mu    sync.Mutex
	ready bool
	feeds bool

	leaving      bool
	peers        *peers
	remoteSentAt clock.Millis // last heartbeats to other data centres
	fullReplyAt  clock.Millis // last full reply
	summaries    map[string]receivedSummary
	loadTable    loadTable
}

// New opens the UDP socket at o.Self.Beat and returns an error if the address
// cannot be used.
func New(o Options) (*Heartbeater, error) {
	conn, err := net.ListenPacket("udp4", o.Self.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	return newBeater(o, conn), nil
}

func newBeater(o Options, conn net.PacketConn) *Heartbeater {
	return &Heartbeater{
		options: o, conn: conn, peers: newPeers(o.Self.DataCentre), summaries: make(map[string]receivedSummary),
	}
}

// SetReady sets whether later messages report this instance as accepting new
// requests, and as about to stop.
func (b *Heartbeater) SetReady(ready, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready, b.leaving = ready, leaving
}

// SetFeeds sets whether later messages report this instance as relaying what it
// reads from the store. It reports whether the value has changed.
func (b *Heartbeater) SetFeeds(feeds bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.feeds != feeds
	b.feeds = feeds
	return changed
}

// AddMember adds an instance that is known from another source than its own
// messages, such as the list in the store. It counts as alive only once a
// message reports it.
func (b *Heartbeater) AddMember(m Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Name == b.options.Self.Name || m.PeerAddress == "" {
		return
	}
	if p := b.peers.get(m.Name); p == nil {
		b.peers.add(&peer{member: m})
	} else if p.member.Incarnation < m.Incarnation {
		p.member = m
	}
}

// Members returns the live instances, including this one, ordered by name. The
// age of each is the time since its last message.
func (b *Heartbeater) Members() []Member {
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
			list = append(list, p.withAge(now))
		}
	}
	if !placed {
		list = append(list, self)
	}
	return list
}

// InstancesIn returns the sorted names of all known instances of a data centre,
// alive or not.
func (b *Heartbeater) InstancesIn(dataCentre string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.peers.namesIn(dataCentre)
	if b.options.Self.DataCentre == dataCentre {
		at, _ := slices.BinarySearch(list, b.options.Self.Name)
		list = slices.Insert(list, at, b.options.Self.Name)
	}
	return list
}

// KnownCount returns the number of known instances, alive or not, including this one.
func (b *Heartbeater) KnownCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.len() + 1
}

func (b *Heartbeater) self() Member {
	m := b.options.Self
	m.Ready, m.Leaving, m.Feeds = b.ready, b.leaving, b.feeds
	return m
}

// localInterval returns the time between two heartbeats to a neighbour. The
// lock is held.
func (b *Heartbeater) localInterval() clock.Millis {
	return baseInterval * clock.Millis(max(1, (b.peers.localCount+fullRateNeighbours-1)/fullRateNeighbours))
}

func (b *Heartbeater) isAlive(now clock.Millis, p *peer) bool {
	if p.lastHeard == 0 {
		return false
	}
	limit := remoteTimeout
	if p.member.DataCentre == b.options.Self.DataCentre {
		limit = max(minLocalTimeout, localTimeoutIntervals*b.localInterval())
	}
	return now-p.lastHeard < limit
}

// Run sends and receives messages until ctx ends, then closes the socket.
func (b *Heartbeater) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receive(ctx)
	}()
	for ctx.Err() == nil {
		b.sendHeartbeats()
		b.mu.Lock()
		wait := b.localInterval()
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		}
	}
	_ = b.conn.Close()
	<-received
}

// Announce sends a heartbeat at once, to publish a change without waiting for
// the next interval.
func (b *Heartbeater) Announce() { b.sendHeartbeats() }

// Broadcast sends a message to all other instances at once. It sets From.
func (b *Heartbeater) Broadcast(m Message) {
	b.mu.Lock()
	m.From = b.self()
	addresses := make([]string, 0, b.peers.len())
	for p := range b.peers.ordered() {
		addresses = append(addresses, p.member.PeerAddress)
	}
	b.mu.Unlock()
	b.send(&m, addresses)
}

func (b *Heartbeater) sendHeartbeats() {
	m := Message{}
	b.options.Fill(&m)
	m.LoadsComplete = true
	b.mu.Lock()
	now := b.options.Clock.Now()
	b.peers.expire(now - expireAfter)
	var local []string
	for p := range b.peers.ordered() {
		b.updateAlive(now, p)
		if p.member.DataCentre == b.options.Self.DataCentre {
			local = append(local, p.member.PeerAddress)
		}
	}
	m.From = b.self()
	var remote []string
	if now-b.remoteSentAt >= remoteInterval {
		b.remoteSentAt = now
		remote = b.remoteTargets(now, time.Now().Unix())
	}
	var remoteMessage Message
	if len(remote) > 0 {
		remoteMessage = Message{From: m.From, Rollouts: m.Rollouts, Summary: b.buildSummary(now, &m)}
		remoteMessage.Neighbours, remoteMessage.States = b.neighbourUpdates(now)
	}
	b.mu.Unlock()
	b.send(&m, local)
	b.send(&remoteMessage, remote)
}

// remoteTargets returns the addresses in other data centres that get a heartbeat
// now. The live instances of this data centre share the instances of each remote
// data centre round-robin: the start index is this instance's position plus the
// Unix time in seconds. So each remote instance is reached about once in each
// second, even if the clocks differ. The lock is held.
func (b *Heartbeater) remoteTargets(now clock.Millis, second int64) []string {
	position, senders := 0, 1
	known := make(map[string][]string)
	for p := range b.peers.ordered() {
		dc := p.member.DataCentre
		if dc != b.options.Self.DataCentre {
			known[dc] = append(known[dc], p.member.PeerAddress)
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
	if b.peers.len() < smallFleetSize {
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

func (b *Heartbeater) updateAlive(now clock.Millis, p *peer) {
	if alive := b.isAlive(now, p); alive != p.alive {
		p.alive = alive
		b.options.OnAliveChange(p.member.Name, alive, now-p.lastHeard)
	}
}

// neighbourUpdates returns the states of the live neighbours, and full
// descriptions of those that started within fullDescriptionPeriod: a random
// choice of maxFullMembers if there are more. The lock is held.
func (b *Heartbeater) neighbourUpdates(now clock.Millis) ([]Member, []MemberState) {
	var full []Member
	var states []MemberState
	for p := range b.peers.ordered() {
		if p.member.DataCentre != b.options.Self.DataCentre || !b.isAlive(now, p) {
			continue
		}
		m := p.withAge(now)
		states = append(states, newState(m, clock.Millis(m.Age)))
		if now-p.firstHeard < fullDescriptionPeriod {
			full = append(full, m)
		}
	}
	if len(full) > maxFullMembers {
		rand.Shuffle(len(full), func(i, j int) { full[i], full[j] = full[j], full[i] })
		full = full[:maxFullMembers]
	}
	return full, states
}

func (b *Heartbeater) send(m *Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := m.encode()
	if err == nil && len(data) > maxDatagramBytes {
		err = errors.Newf("message of %d bytes exceeds the limit of a datagram", len(data))
	}
	if err != nil {
		b.options.OnError(errors.Wrap(err, "encode heartbeat"))
		return
	}
	for _, a := range addresses {
		u, err := net.ResolveUDPAddr("udp4", a)
		if err == nil {
			_, err = b.conn.WriteTo(data, u)
		}
		if err != nil {
			b.options.OnError(errors.Wrapf(err, "send heartbeat to %s", a))
		}
	}
}

func (b *Heartbeater) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				b.options.OnError(errors.Wrap(err, "receive heartbeat"))
				time.Sleep(baseInterval.Duration())
			}
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			b.options.OnError(errors.Wrap(err, "decode heartbeat"))
			continue
		}
		if m.From.Name == "" || m.From.Name == b.options.Self.Name {
			continue
		}
		b.handleMessage(m)
	}
}
