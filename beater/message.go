package beater

import (
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/stager"
)

// Load is the work that one instance has placed on an endpoint.
type Load struct {
	Endpoint uint64  `cbor:"1,keyasint"` // hash of the endpoint's id
	Work     float32 `cbor:"2,keyasint"` // ms
	Running  int     `cbor:"3,keyasint"`
	Delay    float32 `cbor:"4,keyasint,omitempty"` // ms that the sender has seen requests wait there lately
}

// Rate is what one instance has to do for a service.
type Rate struct {
	Service uint64  `cbor:"1,keyasint"` // hash of the service's name
	Base    float32 `cbor:"2,keyasint"` // work of first models, in ms per ms
	Demand  float32 `cbor:"3,keyasint"` // work of larger models, if none were held back
	// Requests and Borrowed are the counts of the retry budget in its window:
	// requests, and repeats beyond the instance's own part.
	Requests float32 `cbor:"4,keyasint,omitempty"`
	Borrowed float32 `cbor:"5,keyasint,omitempty"`
}

func (r Rate) plus(o Rate) Rate {
	r.Base += o.Base
	r.Demand += o.Demand
	r.Requests += o.Requests
	r.Borrowed += o.Borrowed
	return r
}

// Member is an instance.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Front       string `cbor:"3,keyasint"` // address for callers
	Beat        string `cbor:"4,keyasint"` // address for datagrams
	Incarnation int64  `cbor:"5,keyasint"` // grows with each start
	Ready       bool   `cbor:"6,keyasint"` // takes new requests
	Age         int64  `cbor:"7,keyasint"` // ms since it was last heard
	Leaving     bool   `cbor:"9,keyasint"` // stops soon and takes no new connections
	Feeds       bool   `cbor:"8,keyasint"` // passes on what it reads from the store
}

// State is what changes of an instance that the receiver knows already. It
// takes a quarter of the bytes of a Member.
type State struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64   // hash of the instance's name
	Incarnation int64
	Age         int64 // ms since it was last heard
	Flags       uint8 // ready, leaving
}

// The flags of a State.
const (
	flagReady = 1 << iota
	flagLeaving
)

func newState(m Member, age clock.Millis) State {
	s := State{ID: nameHash(m.Name), Incarnation: m.Incarnation, Age: int64(age)}
	if m.Ready {
		s.Flags |= flagReady
	}
	if m.Leaving {
		s.Flags |= flagLeaving
	}
	return s
}

func nameHash(name string) uint64 { return matcher.Hash("instance", name) }

// Message is one datagram.
type Message struct {
	From       Member          `cbor:"1,keyasint"`
	Loads      []Load          `cbor:"2,keyasint,omitempty"`
	Rates      []Rate          `cbor:"7,keyasint,omitempty"`
	Loaded     bool            `cbor:"6,keyasint,omitempty"` // Loads is complete
	Rollouts   []stager.Report `cbor:"3,keyasint,omitempty"`
	Marks      []stager.Mark   `cbor:"5,keyasint,omitempty"`
	Neighbours []Member        `cbor:"4,keyasint,omitempty"` // of the sender's data centre, if new
	States     []State         `cbor:"8,keyasint,omitempty"` // of its neighbours
	Summary    *Summary        `cbor:"9,keyasint,omitempty"` // of its data centre, to others
}

// maxDatagram is the largest message that is read.
const maxDatagram = 60 << 10

func (m *Message) encode() ([]byte, error) { return cbor.Marshal(m) }

func decode(b []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}
