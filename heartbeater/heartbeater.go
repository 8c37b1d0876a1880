package heartbeater

import (
	"context"
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
	// which bounds the work per instance. At 0.75 s between twenty neighbours, instances
	// sent more long prompts to an engine that others had just loaded.
	fullRateNeighbours = 24
	// remoteInterval is the least time between two rounds of heartbeats to other data
	// centres, traffic to which is billed by the byte. If another data centre has at
	// most maxDirectTargets instances, each of them gets a heartbeat from one
	// instance of this data centre in each round, or from two in a fleet of up to
	// smallFleetSize instances. In such a fleet a data centre has few instances, so
	// that a single partitioned one is a large part of them.
	remoteInterval   = clock.Second
	smallFleetSize   = 16
	maxDirectTargets = 8
	// relayCopies is the number of heartbeats that a data centre with more instances
	// gets in each round, from different senders to different receivers, which pass
	// them on to their neighbours. If a third of the instances has just ended, one
	// in two and a half arrives.
	relayCopies = 4
	// broadcastCopies is the same for the messages of Broadcast.
	broadcastCopies = 2
	// fullReplyInterval is the least time between two full replies to remote
	// instances that are heard for the first time. It bounds the work while a fleet
	// starts, when every remote instance is new.
	fullReplyInterval = 500 * clock.Millis(1)
	// maxFullMembers is the largest number of instances that one message to
	// another data centre describes in full. If more start at the same time, the
	// others follow in later messages or are known from the list in the store.
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
	// Fill adds the current loads, rates, roll-out reports, held parts of prompts, limits
	// of endpoints and the time for which the store has answered to a message.
	Fill func(m *Message)
	// OnMessage is called with each received message.
	OnMessage func(m *Message)
	// OnAliveChange is called when an instance becomes alive or dead. The age is
	// the time since its last message.
	OnAliveChange func(name string, alive bool, age clock.Millis)
	// OnError is called with socket errors and undecodable messages. None of them
	// stops Run: the next heartbeat replaces a lost one.
	OnError func(err error)
}

// Heartbeater sends the heartbeats of one instance and tracks the other instances
// by theirs. It is safe for concurrent use.
type Heartbeater struct {
	options Options
	conn    net.PacketConn

	mu    sync.Mutex
	ready bool
	feeds bool

	leaving      bool
	peers        *peers
	remoteSentAt clock.Millis // instant of the last heartbeats to other data centres
	remoteRounds int          // number of rounds of heartbeats to other data centres
	fullReplyAt  clock.Millis // instant of the last full reply
	summaries    map[string]receivedSummary
	loadTable    loadTable
}

// New opens the UDP socket at o.Self.PeerAddress and returns an error if the
// address cannot be used.
func New(o Options) (*Heartbeater, error) {
	conn, err := net.ListenPacket("udp4", o.Self.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	return newHeartbeater(o, conn), nil
}

func newHeartbeater(o Options, conn net.PacketConn) *Heartbeater {
	return &Heartbeater{
		options: o, conn: conn, peers: newPeers(o.Self.DataCentre), summaries: make(map[string]receivedSummary),
	}
}

// SetReady sets whether later messages report this instance as accepting new
// requests (ready) and as about to stop (leaving).
func (h *Heartbeater) SetReady(ready, leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready, h.leaving = ready, leaving
}

// SetFeeds sets whether later messages report this instance as relaying what it
// reads from the store. It reports whether the value has changed.
func (h *Heartbeater) SetFeeds(feeds bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.feeds != feeds
	h.feeds = feeds
	return changed
}

// AddMember adds an instance that is known from another source than its own
// messages, such as the list in the store. It counts as alive only once a
// message reports it.
func (h *Heartbeater) AddMember(m Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Name == h.options.Self.Name || m.PeerAddress == "" {
		return
	}
	if p := h.peers.get(m.Name); p == nil {
		h.peers.add(&peer{member: m})
	} else if p.member.Incarnation < m.Incarnation {
		p.member = m
	}
}

// Members returns the live instances, including this one, ordered by name. The
// age of each is the time since its last message.
func (h *Heartbeater) Members() []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	list := make([]Member, 0, h.peers.len()+1)
	self := h.self()
	placed := false
	for p := range h.peers.ordered() {
		if !placed && p.member.Name > self.Name {
			list, placed = append(list, self), true
		}
		if h.isAlive(now, p) {
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
func (h *Heartbeater) InstancesIn(dataCentre string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.peers.namesIn(dataCentre)
	if h.options.Self.DataCentre == dataCentre {
		at, _ := slices.BinarySearch(list, h.options.Self.Name)
		list = slices.Insert(list, at, h.options.Self.Name)
	}
	return list
}

// Instances returns the names of all known instances, alive or not, including this
// one.
func (h *Heartbeater) Instances() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(slices.Clone(h.peers.names), h.options.Self.Name)
}

// KnownCount returns the number of known instances, alive or not, including this
// one.
func (h *Heartbeater) KnownCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers.len() + 1
}

func (h *Heartbeater) self() Member {
	m := h.options.Self
	m.Ready, m.Leaving, m.Feeds = h.ready, h.leaving, h.feeds
	return m
}

// localInterval returns the time between two heartbeats to a neighbour. The
// lock is held.
func (h *Heartbeater) localInterval() clock.Millis {
	return baseInterval * clock.Millis(max(1, (h.peers.localCount+fullRateNeighbours-1)/fullRateNeighbours))
}

func (h *Heartbeater) isAlive(now clock.Millis, p *peer) bool {
	if p.lastHeard == 0 {
		return false
	}
	limit := remoteTimeout
	if p.member.DataCentre == h.options.Self.DataCentre {
		limit = max(minLocalTimeout, localTimeoutIntervals*h.localInterval())
	}
	return now-p.lastHeard < limit
}

// Run sends and receives messages until ctx ends, then closes the socket.
func (h *Heartbeater) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		h.receive(ctx)
	}()
	for ctx.Err() == nil {
		h.sendHeartbeats()
		h.mu.Lock()
		wait := h.localInterval()
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		}
	}
	_ = h.conn.Close()
	<-received
}

// Announce sends a heartbeat at once, to publish a change without waiting for
// the next interval.
func (h *Heartbeater) Announce() { h.sendHeartbeats() }

// Broadcast sends a message to all other instances at once, to those of large data
// centres through some of them. It sets From.
func (h *Heartbeater) Broadcast(m Message) {
	h.mu.Lock()
	m.From = h.self()
	direct, relays := h.localAddresses(), []string(nil)
	_, remote := h.remoteInstances(h.options.Clock.Now())
	for _, d := range remote {
		if len(d.known) <= maxDirectTargets {
			direct = append(direct, d.known...)
			continue
		}
		list := d.relays()
		first := rand.IntN(len(list))
		for i := range min(broadcastCopies, len(list)) {
			relays = append(relays, list[(first+i)%len(list)])
		}
	}
	h.mu.Unlock()
	h.send(&m, direct)
	m.Hop = hopRelay
	h.send(&m, relays)
}

// IsSmallFleet reports whether the fleet is small enough that each instance may broadcast
// several times a second.
func (h *Heartbeater) IsSmallFleet() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers.len() < smallFleetSize
}

// localAddresses returns the addresses of the known neighbours, alive or not. The
// lock is held.
func (h *Heartbeater) localAddresses() []string {
	list := make([]string, 0, h.peers.localCount)
	for p := range h.peers.ordered() {
		if p.member.DataCentre == h.options.Self.DataCentre {
			list = append(list, p.member.PeerAddress)
		}
	}
	return list
}

func (h *Heartbeater) sendHeartbeats() {
	m := Message{}
	h.options.Fill(&m)
	m.LoadsComplete = true
	h.mu.Lock()
	now := h.options.Clock.Now()
	h.peers.expire(now - expireAfter)
	for p := range h.peers.ordered() {
		h.updateAlive(now, p)
	}
	local := h.localAddresses()
	m.From = h.self()
	var direct, relays []string
	if now-h.remoteSentAt >= remoteInterval {
		h.remoteSentAt = now
		direct, relays = h.remoteTargets(now, time.Now().Unix())
	}
	var remoteMessage Message
	if len(direct)+len(relays) > 0 {
		remoteMessage = Message{
			From: m.From, Rollouts: m.Rollouts, RolloutSums: m.RolloutSums, Quarantine: m.Quarantine,
			KnownLimits: m.KnownLimits, Summary: h.buildSummary(now, &m), DemandSums: h.demandSums(now, m.Demands),
			StoreUpFor: m.StoreUpFor,
		}
		remoteMessage.Neighbours, remoteMessage.States = h.neighbourUpdates(now)
	}
	h.mu.Unlock()
	m.RolloutSums, m.KnownLimits = nil, nil
	h.send(&m, local)
	h.send(&remoteMessage, direct)
	remoteMessage.Hop = hopRelay
	h.send(&remoteMessage, relays)
}

func (h *Heartbeater) updateAlive(now clock.Millis, p *peer) {
	if alive := h.isAlive(now, p); alive != p.alive {
		p.alive = alive
		h.options.OnAliveChange(p.member.Name, alive, now-p.lastHeard)
	}
}

// neighbourUpdates returns the states of the live neighbours, and full
// descriptions of those that started within fullDescriptionPeriod: a random
// choice of maxFullMembers if there are more. The lock is held.
func (h *Heartbeater) neighbourUpdates(now clock.Millis) ([]Member, []MemberState) {
	var full []Member
	var states []MemberState
	for p := range h.peers.ordered() {
		if p.member.DataCentre != h.options.Self.DataCentre || !h.isAlive(now, p) {
			continue
		}
		m := p.withAge(now)
		states = append(states, newMemberState(m, clock.Millis(m.Age)))
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

func (h *Heartbeater) send(m *Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := m.encode()
	if err == nil && len(data) > maxDatagramBytes {
		err = errors.Newf("message of %d bytes exceeds the limit of a datagram", len(data))
	}
	if err != nil {
		h.options.OnError(errors.Wrap(err, "encode heartbeat"))
		return
	}
	for _, a := range addresses {
		u, err := net.ResolveUDPAddr("udp4", a)
		if err == nil {
			_, err = h.conn.WriteTo(data, u)
		}
		if err != nil {
			h.options.OnError(errors.Wrapf(err, "send heartbeat to %s", a))
		}
	}
}

func (h *Heartbeater) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := h.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				h.options.OnError(errors.Wrap(err, "receive heartbeat"))
				time.Sleep(baseInterval.Duration())
			}
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			h.options.OnError(errors.Wrap(err, "decode heartbeat"))
			continue
		}
		if m.From.Name == "" || m.From.Name == h.options.Self.Name {
			continue
		}
		h.handleMessage(m)
	}
}
