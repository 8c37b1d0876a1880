package gossiper

import (
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Kinds of packets.
const (
	KindPing    = "ping"
	KindAck     = "ack"
	KindPingReq = "ping_req"
)

// MaxPacketBytes bounds the encoded packet, whatever the number of members.
const MaxPacketBytes = 300

const (
	maxRelays = 64
	// headerBytes bounds the number, the digest and the array headers of a packet.
	headerBytes = 48
	// entryBytes bounds the numbers and headers of one encoded member.
	entryBytes = 20
	// fillEntries is the number of alive members sent in turn with each packet,
	// so that a missed update is repaired.
	fillEntries = 2
)

// Packet is one message between two gossipers.
type Packet struct {
	Kind string
	To   string // address of the receiver; not encoded
	From Member // the sender's own entry
	// Number matches an ack to its ping or ping request.
	Number uint64
	// Target is the id to ping in a ping request, and the id that answered in an ack.
	Target  string
	Digest  [DigestBytes]byte
	Updates []Member
}

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       uint8
}

type wirePacket struct {
	_       struct{} `cbor:",toarray"`
	From    wireMember
	Number  uint64
	Target  string
	Digest  []byte
	Updates []wireMember
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the packet without kind and receiver, which the transport
// carries. Members are arrays, not maps, to keep packets small.
// The error is that of the encoder.
func (p Packet) Encode() ([]byte, error) {
	w := wirePacket{From: wire(p.From), Number: p.Number, Target: p.Target, Digest: p.Digest[:]}
	for _, m := range p.Updates {
		w.Updates = append(w.Updates, wire(m))
	}
	b, err := cbor.Marshal(w)
	return b, errors.Wrap(err, "gossiper: encode packet")
}

// Decode reads a packet of the given kind. It is safe against any input.
// The error tells that the bytes are no packet of the kind.
func Decode(kind string, b []byte) (Packet, error) {
	if kind != KindPing && kind != KindAck && kind != KindPingReq {
		return Packet{}, errors.Newf("gossiper: unknown kind %q", kind)
	}
	if len(b) > MaxPacketBytes {
		return Packet{}, errors.Newf("gossiper: packet of %d bytes", len(b))
	}
	var w wirePacket
	if err := decoder.Unmarshal(b, &w); err != nil {
		return Packet{}, errors.Wrap(err, "gossiper: decode packet")
	}
	if len(w.Digest) != DigestBytes || w.From.ID == "" {
		return Packet{}, errors.New("gossiper: incomplete packet")
	}
	p := Packet{Kind: kind, From: unwire(w.From), Number: w.Number, Target: w.Target}
	copy(p.Digest[:], w.Digest)
	for _, m := range w.Updates {
		p.Updates = append(p.Updates, unwire(m))
	}
	return p, nil
}

func wire(m Member) wireMember {
	return wireMember{
		ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Incarnation: m.Incarnation, State: m.State,
	}
}

func unwire(m wireMember) Member {
	return Member{
		ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Incarnation: m.Incarnation, State: m.State,
	}
}

func size(m Member) int {
	return entryBytes + len(m.ID) + len(m.Address) + len(m.DataCentre) + len(m.Region)
}

// packet composes a packet and fills it with updates. peer is the member that
// the packet is about: it is told first if it is held for suspect or dead.
func (g *Gossiper) packet(kind, to string, number uint64, peer *entry) Packet {
	p := Packet{Kind: kind, To: to, From: g.self.Member, Number: number}
	if g.Digest != nil {
		p.Digest = g.Digest()
	}
	p.From.Digest = [DigestBytes]byte{}
	switch kind {
	case KindAck:
		p.Target = g.self.ID
	case KindPingReq:
		p.Target = peer.ID
	}
	room := MaxPacketBytes - headerBytes - size(p.From) - len(p.Target)
	if peer != nil && peer.State != Alive {
		p.Updates = append(p.Updates, compact(peer))
		room -= size(p.Updates[0])
	}
	g.addRumours(&p, &room, peer)
	g.addFill(&p, &room)
	return p
}

// compact leaves out what a receiver that knows the member already has.
func compact(e *entry) Member {
	if e.State == Alive && !e.brief {
		return e.Member
	}
	return Member{ID: e.ID, Incarnation: e.Incarnation, State: e.State}
}

func (g *Gossiper) addRumours(p *Packet, room *int, peer *entry) {
	if len(g.queue) == 0 {
		return
	}
	sort.SliceStable(g.queue, func(i, j int) bool { return g.queue[i].sent < g.queue[j].sent })
	limit := transmissionsPerLevel * g.levels()
	kept := g.queue[:0]
	for _, e := range g.queue {
		m := compact(e)
		if e != g.self && e != peer && size(m) <= *room {
			p.Updates = append(p.Updates, m)
			*room -= size(m)
			e.sent++
		} else if e == g.self {
			e.sent++ // the header carries it
		}
		if e.sent >= limit {
			e.queued = false
			continue
		}
		kept = append(kept, e)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// addFill repeats alive members in turn.
func (g *Gossiper) addFill(p *Packet, room *int) {
	for i := 0; i < fillEntries && len(g.ring) > 0; i++ {
		g.fill = (g.fill + 1) % len(g.ring)
		e := g.members[g.ring[g.fill]]
		if e == nil || e.queued || e.State != Alive || e.Incarnation == 0 || size(e.Member) > *room {
			continue
		}
		p.Updates = append(p.Updates, e.Member)
		*room -= size(e.Member)
	}
}
