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
	maxRelays = 64 // open pings on behalf of other instances
	// maxHeaderBytes bounds the sequence number, the digest and the array headers of
	// a packet.
	maxHeaderBytes = 48
	// maxEntryOverheadBytes bounds the numbers and headers of one encoded member.
	maxEntryOverheadBytes = 20
	// refreshEntries is the number of alive members that each packet repeats in
	// turn, so that a lost update is repaired.
	refreshEntries = 2
)

// Packet is one message between two gossipers.
type Packet struct {
	Kind string
	To   string // address of the receiver; not encoded
	From Member // the sender's own entry
	// Sequence matches an ack to its ping or ping request.
	Sequence uint64
	// Target is the id to ping in a ping request, and the id that answered in an ack.
	Target  string
	Digest  [DigestBytes]byte
	Updates []Member
}

// wireMember is the encoded form of a Member.
type wireMember struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       uint8
}

// wirePacket is the encoded form of a Packet.
type wirePacket struct {
	_        struct{} `cbor:",toarray"`
	From     wireMember
	Sequence uint64
	Target   string
	Digest   []byte
	Updates  []wireMember
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the packet as CBOR without kind and receiver, which the
// transport carries. Members are arrays, not maps, to keep packets small.
// The error is that of the encoder.
func (p Packet) Encode() ([]byte, error) {
	w := wirePacket{From: toWire(p.From), Sequence: p.Sequence, Target: p.Target, Digest: p.Digest[:]}
	for _, m := range p.Updates {
		w.Updates = append(w.Updates, toWire(m))
	}
	b, err := cbor.Marshal(w)
	return b, errors.Wrap(err, "gossiper: encode packet")
}

// Decode reads a packet of the given kind. It is safe against any input.
// The error states why the bytes are not a packet of this kind.
func Decode(kind string, b []byte) (Packet, error) {
	if kind != KindPing && kind != KindAck && kind != KindPingReq {
		return Packet{}, errors.Newf("gossiper: unknown kind %q", kind)
	}
	if len(b) > MaxPacketBytes {
		return Packet{}, errors.Newf("gossiper: packet of %d bytes is too large", len(b))
	}
	var w wirePacket
	if err := decoder.Unmarshal(b, &w); err != nil {
		return Packet{}, errors.Wrap(err, "gossiper: decode packet")
	}
	if len(w.Digest) != DigestBytes || w.From.ID == "" {
		return Packet{}, errors.New("gossiper: packet lacks a digest or the sender's id")
	}
	p := Packet{Kind: kind, From: fromWire(w.From), Sequence: w.Sequence, Target: w.Target}
	copy(p.Digest[:], w.Digest)
	for _, m := range w.Updates {
		p.Updates = append(p.Updates, fromWire(m))
	}
	return p, nil
}

func toWire(m Member) wireMember {
	return wireMember{
		ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Incarnation: m.Incarnation, State: m.State,
	}
}

func fromWire(m wireMember) Member {
	return Member{
		ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Incarnation: m.Incarnation, State: m.State,
	}
}

// maxEncodedBytes bounds the size of the encoded member.
func maxEncodedBytes(m Member) int {
	return maxEntryOverheadBytes + len(m.ID) + len(m.Address) + len(m.DataCentre) + len(m.Region)
}

// newPacket composes a packet and fills it with updates. peer is the receiver,
// or the target of a ping request; its own state comes first unless it is alive,
// so that it can refute.
func (g *Gossiper) newPacket(kind, to string, sequence uint64, peer *entry) Packet {
	p := Packet{Kind: kind, To: to, From: g.self.Member, Sequence: sequence}
	if g.OwnDigest != nil {
		p.Digest = g.OwnDigest()
	}
	p.From.Digest = [DigestBytes]byte{}
	switch kind {
	case KindAck:
		p.Target = g.self.ID
	case KindPingReq:
		p.Target = peer.ID
	}
	remaining := MaxPacketBytes - maxHeaderBytes - maxEncodedBytes(p.From) - len(p.Target)
	if peer != nil && peer.State != Alive {
		p.Updates = append(p.Updates, compactUpdate(peer))
		remaining -= maxEncodedBytes(p.Updates[0])
	}
	g.addUpdates(&p, &remaining, peer)
	g.addRefreshes(&p, &remaining)
	return p
}

// compactUpdate omits the fields that receivers of the update know already.
func compactUpdate(e *entry) Member {
	if e.State == Alive && !e.addressKnown {
		return e.Member
	}
	return Member{ID: e.ID, Incarnation: e.Incarnation, State: e.State}
}

// addUpdates adds the queued updates that fit, the least transmitted first, and
// removes those that were transmitted often enough from the queue.
func (g *Gossiper) addUpdates(p *Packet, remaining *int, peer *entry) {
	if len(g.updates) == 0 {
		return
	}
	sort.SliceStable(g.updates, func(i, j int) bool { return g.updates[i].transmissions < g.updates[j].transmissions })
	limit := transmissionsPerDoubling * g.doublings()
	kept := g.updates[:0]
	for _, e := range g.updates {
		m := compactUpdate(e)
		if e != g.self && e != peer && maxEncodedBytes(m) <= *remaining {
			p.Updates = append(p.Updates, m)
			*remaining -= maxEncodedBytes(m)
			e.transmissions++
		} else if e == g.self {
			e.transmissions++ // sent as Packet.From
		}
		if e.transmissions >= limit {
			e.queued = false
			continue
		}
		kept = append(kept, e)
	}
	clear(g.updates[len(kept):])
	g.updates = kept
}

// addRefreshes adds up to refreshEntries alive members in turn.
func (g *Gossiper) addRefreshes(p *Packet, remaining *int) {
	for i := 0; i < refreshEntries && len(g.probeOrder) > 0; i++ {
		g.refreshIndex = (g.refreshIndex + 1) % len(g.probeOrder)
		e := g.members[g.probeOrder[g.refreshIndex]]
		if e == nil || e.queued || e.State != Alive || e.Incarnation == 0 || maxEncodedBytes(e.Member) > *remaining {
			continue
		}
		p.Updates = append(p.Updates, e.Member)
		*remaining -= maxEncodedBytes(e.Member)
	}
}
