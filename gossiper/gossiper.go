package gossiper

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// States of a member. At the same incarnation the larger state wins.
const (
	Alive uint8 = iota
	Suspect
	Leaving
	Dead
)

// DigestBytes is the size of the application's digest in each packet.
const DigestBytes = 20

const (
	probeInterval        = 500 * clock.Millis(1)
	indirectProbeDelay   = 200 * clock.Millis(1) // after an unanswered ping
	indirectProbes       = 3
	baseSuspicionTime    = 1250 * clock.Millis(1)
	suspicionPerDoubling = 400 * clock.Millis(1) // for each doubling of the number of members
	// finalPingTimeout is the time for the answer to each of the maxFinalPings
	// pings that precede the removal of a suspect. With one ping, 6 members of 370
	// were removed wrongly in 600 s at 5% loss.
	finalPingTimeout       = 250 * clock.Millis(1)
	maxFinalPings          = 2
	finalPingsPerTick      = 1 // bounds the pings when many members die at once; the others get none
	tombstoneProbeInterval = 4 * clock.Second
	tombstoneLifetime      = clock.Hour
	// pauseThreshold is the time between two ticks above which an instance counts
	// as paused.
	pauseThreshold = clock.Second
	cacheLifetime  = clock.Second // of the digests in Members
	maxMembers     = 4096         // bounds memory against hostile packets
	// transmissionsPerDoubling bounds how often one update is sent, for each
	// doubling of the number of members.
	transmissionsPerDoubling = 2
)

// Member is one instance as this instance knows it.
type Member struct {
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       uint8
	// Digest is the newest digest of the member, opaque to this package.
	Digest [DigestBytes]byte
	// LastHeard is the local instant of the last packet from the member, 0 if none.
	// Packets of an older incarnation do not count.
	LastHeard clock.Millis
}

// refutationBits is the number of low bits of an incarnation that count how often
// one process has refuted a suspicion or announced its leave.
const refutationBits = 16

// FirstIncarnation returns the incarnation with which a process joins. The
// process number must exceed that of every earlier process under the same id or
// address and stay below 1<<48; the start time in milliseconds does.
func FirstIncarnation(process uint64) uint64 { return process << refutationBits }

// Process returns the number of the member's process. Unlike the incarnation it
// stays the same when the process refutes a suspicion or leaves.
func (m Member) Process() uint64 { return m.Incarnation >> refutationBits }

// entry is a member and the state of its probes and updates.
type entry struct {
	Member
	queued            bool         // the entry is in Gossiper.updates
	transmissions     int          // of the current update
	suspicionDeadline clock.Millis // end of the suspicion or of the wait after a final ping
	nextPing          clock.Millis // of a suspect; 0 if another instance suspected it or final pings were sent
	finalPingsSent    int
	addressKnown      bool         // updates may omit the address
	changedAt         clock.Millis // last change of state
}

// probe is an open ping of this instance.
type probe struct {
	sequence         uint64
	target           string
	sentAt           clock.Millis
	indirectSent     bool // ping requests were sent
	suspectOnTimeout bool // a missing ack leads to suspicion
}

// relay is an open ping on behalf of another instance.
type relay struct {
	sequence        uint64 // of this instance's ping
	requestSequence uint64 // of the requester's probe
	requester       string // address
	sentAt          clock.Millis
}

// Gossiper is the membership state machine of one instance. It does no I/O
// and reads no clock: the owner calls Tick several times a second, sends the
// returned packets, and passes received packets to Receive. It is safe for
// concurrent use. The function fields are set before the first call.
type Gossiper struct {
	// OwnDigest returns the digest to send with the next packet. It may be nil.
	OwnDigest func() [DigestBytes]byte
	// OnDigest is called for each digest received. probedAt is the local instant of
	// the probe that the packet answers, so that the digest was composed after
	// it; it is 0 for packets that answer nothing. OnDigest may be nil.
	OnDigest func(from Member, digest [DigestBytes]byte, probedAt clock.Millis)

	mu                 sync.Mutex
	rand               *rand.Rand
	self               *entry
	members            map[string]*entry
	byAddress          map[string]string // id of the newest process at an address
	probeOrder         []string          // ids in the shuffled order of the current round
	nextProbeIndex     int
	updates            []*entry // entries with an update still to be sent
	suspects           []string // ids
	dead               []string // ids
	refreshIndex       int      // in probeOrder, of the last repeated member
	probes             []probe
	relays             []relay
	lastSequence       uint64
	lastTick           clock.Millis
	nextProbe          clock.Millis
	nextTombstoneProbe clock.Millis
	replaced           bool
	cachedMembers      []Member // result of Members, nil if outdated
	cachedAt           clock.Millis
}

// New returns a gossiper for an instance that knows only itself. The
// incarnation of self is a result of FirstIncarnation.
func New(self Member, r *rand.Rand) *Gossiper {
	self.State = Alive
	e := &entry{Member: self}
	g := &Gossiper{
		rand:      r,
		self:      e,
		members:   map[string]*entry{self.ID: e},
		byAddress: map[string]string{self.Address: self.ID},
	}
	g.enqueue(e)
	return g
}

// Members returns every known member, this instance, leaving ones and
// tombstones included, ordered by id. Digest and LastHeard may lag by a second. The
// caller must not change the slice; the same one is returned until a member changes
// or cacheLifetime has passed.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cachedMembers == nil || g.lastTick-g.cachedAt >= cacheLifetime {
		g.cachedAt = g.lastTick
		g.cachedMembers = make([]Member, 0, len(g.members))
		for _, e := range g.members {
			g.cachedMembers = append(g.cachedMembers, e.Member)
		}
		sort.Slice(g.cachedMembers, func(i, j int) bool { return g.cachedMembers[i].ID < g.cachedMembers[j].ID })
	}
	return g.cachedMembers
}

// Self returns this instance's own entry.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.Member
}

// IsReplaced reports whether a newer process runs under this instance's id. The
// owner should shut the instance down.
func (g *Gossiper) IsReplaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replaced
}

// Seed adds members that are not known yet, such as those of the instance
// list. Seeds of known members are ignored, because the list may be outdated.
func (g *Gossiper) Seed(now clock.Millis, members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		if _, ok := g.members[m.ID]; ok {
			continue
		}
		if id, ok := g.byAddress[m.Address]; ok && g.members[id].State != Dead {
			continue
		}
		m.State, m.Incarnation, m.LastHeard = Alive, 0, 0
		g.merge(now, m)
	}
}

// Leave marks this instance as leaving and returns pings that inform some
// members at once. The instance keeps answering probes until it stops.
func (g *Gossiper) Leave(now clock.Millis) []Packet {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State == Leaving {
		return nil
	}
	g.self.State = Leaving
	g.self.Incarnation++
	g.cachedMembers = nil
	g.enqueue(g.self)
	var packets []Packet
	for _, id := range g.randomAlive(2*indirectProbes, "") {
		packets = append(packets, g.ping(now, g.members[id], false))
	}
	return packets
}

// doublings returns the bit length of the number of members, with which suspicion
// times and transmissions grow.
func (g *Gossiper) doublings() int { return bits.Len(uint(len(g.members))) }

// suspicionTime returns how long a suspect may take to refute the suspicion.
func (g *Gossiper) suspicionTime() clock.Millis {
	return baseSuspicionTime + suspicionPerDoubling*clock.Millis(g.doublings())
}

// randomAlive returns the ids of up to n distinct alive members other than this
// one and except.
func (g *Gossiper) randomAlive(n int, except string) []string {
	var picked []string
	if len(g.probeOrder) == 0 {
		return nil
	}
	start := g.rand.IntN(len(g.probeOrder))
	for i := 0; i < len(g.probeOrder) && len(picked) < n; i++ {
		id := g.probeOrder[(start+i)%len(g.probeOrder)]
		if e := g.members[id]; e != nil && e.State == Alive && id != except {
			picked = append(picked, id)
		}
	}
	return picked
}
