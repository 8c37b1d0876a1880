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

// DigestBytes is the size of the digest that an instance sends with each packet.
const DigestBytes = 20

const (
	probeInterval     = 500 * clock.Millis(1)
	indirectAfter     = 200 * clock.Millis(1)
	indirectProbes    = 3
	baseSuspicion     = 1250 * clock.Millis(1)
	suspicionPerLevel = 400 * clock.Millis(1) // for each doubling of the fleet
	// lastChance is the time for the answer to each of the pings that an instance
	// sends before it removes a suspect. With one ping, 6 members of 370 were
	// removed wrongly in 600 s at 5% loss.
	lastChance        = 250 * clock.Millis(1)
	lastChances       = 2
	lastChancePerTick = 1 // bounds the pings when many members die at once
	tombstoneInterval = 4 * clock.Second
	tombstoneKept     = clock.Hour
	// pauseGap is the span between two ticks from which an instance counts as paused.
	pauseGap   = clock.Second
	cacheAge   = clock.Second // of the digests in Members
	maxMembers = 4096         // bounds memory against hostile packets
	// transmissionsPerLevel bounds how often one update is sent, for each
	// doubling of the fleet.
	transmissionsPerLevel = 2
)

// Member is one instance as this instance knows it.
type Member struct {
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       uint8
	// Digest is what the member last said about itself, opaque to this package.
	Digest [DigestBytes]byte
	// Heard is the local instant of the last packet from the member, 0 if none.
	Heard clock.Millis
}

// refutationBits are the low bits of an incarnation. They count how often one
// process has refuted a suspicion or announced its leave.
const refutationBits = 16

// FirstIncarnation returns the incarnation with which a process joins. The
// number must exceed that of every earlier process under the same id or address
// and stay below 1<<48; the start time in milliseconds does.
func FirstIncarnation(process uint64) uint64 { return process << refutationBits }

// Process returns the number of the member's process. Unlike the incarnation it
// stays the same when the process refutes a suspicion or leaves.
func (m Member) Process() uint64 { return m.Incarnation >> refutationBits }

type entry struct {
	Member
	queued   bool
	sent     int          // transmissions of the present update
	deadline clock.Millis // of the suspicion
	reprobe  clock.Millis // next direct ping of a suspect, 0 if another instance suspected it
	chances  int          // last pings sent to the suspect
	brief    bool         // others know the address: updates need not repeat it
	changed  clock.Millis // last change of state
}

type probe struct {
	number   uint64
	target   string
	sent     clock.Millis
	indirect bool // ping requests were sent
	suspects bool // no ack leads to suspicion
}

type relay struct {
	number uint64 // of this instance's ping
	origin uint64 // number of the requester's probe
	to     string // address of the requester
	sent   clock.Millis
}

// Gossiper is the membership state machine of one instance. It does no I/O
// and reads no clock: the owner calls Tick several times a second, sends the
// returned packets, and hands received packets to Receive. It is safe for
// concurrent use. The function fields are set before the first call.
type Gossiper struct {
	// Digest returns the digest to send with the next packet. It may be nil.
	Digest func() [DigestBytes]byte
	// Heard is called for each digest received. asked is the local instant of
	// the probe that the packet answers, so that the digest was composed after
	// it; it is 0 for packets that answer nothing. It may be nil.
	Heard func(from Member, digest [DigestBytes]byte, asked clock.Millis)

	mu        sync.Mutex
	rand      *rand.Rand
	self      *entry
	members   map[string]*entry
	byAddress map[string]string
	ring      []string // probe order
	next      int
	queue     []*entry // updates still to be sent
	suspects  []string
	dead      []string
	fill      int
	probes    []probe
	relays    []relay
	number    uint64
	lastTick  clock.Millis
	nextProbe clock.Millis
	nextTomb  clock.Millis
	replaced  bool
	cached    []Member
	cachedAt  clock.Millis
}

// New returns a gossiper for an instance that knows only itself. The
// incarnation of self is that of FirstIncarnation.
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
// tombstones included, ordered by id. Digest and Heard may lag by a second. The
// caller must not change the slice; the same one is returned until something
// changes.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cached == nil || g.lastTick-g.cachedAt >= cacheAge {
		g.cachedAt = g.lastTick
		g.cached = make([]Member, 0, len(g.members))
		for _, e := range g.members {
			g.cached = append(g.cached, e.Member)
		}
		sort.Slice(g.cached, func(i, j int) bool { return g.cached[i].ID < g.cached[j].ID })
	}
	return g.cached
}

// Self returns this instance's own entry.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.Member
}

// Replaced reports whether a newer process runs under this instance's id. The
// owner should shut the instance down.
func (g *Gossiper) Replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replaced
}

// Seed adds members that are not known yet, such as those of the instance
// list. What a seed says about known members is ignored, because the list lags.
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
		m.State, m.Incarnation, m.Heard = Alive, 0, 0
		g.merge(now, m)
	}
}

// Leave announces that this instance leaves and returns packets that tell
// some members at once. The instance keeps answering probes until it stops.
func (g *Gossiper) Leave(now clock.Millis) []Packet {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State == Leaving {
		return nil
	}
	g.self.State = Leaving
	g.self.Incarnation++
	g.cached = nil
	g.enqueue(g.self)
	var packets []Packet
	for _, id := range g.pick(2*indirectProbes, "") {
		packets = append(packets, g.ping(now, g.members[id], false))
	}
	return packets
}

// levels returns the number of doublings from one member to the fleet.
func (g *Gossiper) levels() int { return bits.Len(uint(len(g.members))) }

func (g *Gossiper) suspicionTime() clock.Millis {
	return baseSuspicion + suspicionPerLevel*clock.Millis(g.levels())
}

// pick returns up to n distinct alive members other than this one and except.
func (g *Gossiper) pick(n int, except string) []string {
	var picked []string
	if len(g.ring) == 0 {
		return nil
	}
	start := g.rand.IntN(len(g.ring))
	for i := 0; i < len(g.ring) && len(picked) < n; i++ {
		id := g.ring[(start+i)%len(g.ring)]
		if e := g.members[id]; e != nil && e.State == Alive && id != except {
			picked = append(picked, id)
		}
	}
	return picked
}
