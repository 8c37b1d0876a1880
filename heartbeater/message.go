package heartbeater

import (
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/capper"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/stager"
)

// Load is the work that one instance has placed on one endpoint.
type Load struct {
	Endpoint uint64  `cbor:"1,keyasint"`           // hash of the endpoint's id
	Work     float32 `cbor:"2,keyasint"`           // estimated work not done yet, in ms
	Running  int     `cbor:"3,keyasint"`           // number of the sender's running requests
	Delay    float32 `cbor:"4,keyasint,omitempty"` // waiting time that the sender has recently observed, in ms
	// Ratios is the sum of the ratios of observed to expected durations of the samples
	// since the sender's last message, Samples their number, and Long, which is in some
	// messages only, the long-term mean of the ratio.
	Ratios  float32 `cbor:"5,keyasint,omitempty"`
	Samples int     `cbor:"6,keyasint,omitempty"`
	Long    float32 `cbor:"7,keyasint,omitempty"`
}

// Rate is the demand of one instance for a service.
type Rate struct {
	Service uint64  `cbor:"1,keyasint"` // hash of the service's name
	Base    float32 `cbor:"2,keyasint"` // work of first models, in ms per ms
	Demand  float32 `cbor:"3,keyasint"` // work of larger models without throttling, in ms per ms
	// Requests and Borrowed are counts over the retry budget's window: the
	// requests, and the retries beyond the instance's own share of the budget.
	Requests float32 `cbor:"4,keyasint,omitempty"`
	Borrowed float32 `cbor:"5,keyasint,omitempty"`
	Long     float32 `cbor:"6,keyasint,omitempty"` // work of long prompts, in ms per ms
}

func (r Rate) add(o Rate) Rate {
	r.Base += o.Base
	r.Demand += o.Demand
	r.Requests += o.Requests
	r.Borrowed += o.Borrowed
	r.Long += o.Long
	return r
}

// Member describes an instance.
type Member struct {
	Name            string `cbor:"1,keyasint"`
	DataCentre      string `cbor:"2,keyasint"`
	FrontendAddress string `cbor:"3,keyasint"` // address for clients
	PeerAddress     string `cbor:"4,keyasint"` // UDP address for heartbeats, TCP address of the feed
	Incarnation     int64  `cbor:"5,keyasint"` // increases with each start of the process
	Ready           bool   `cbor:"6,keyasint"` // accepts new requests
	Age             int64  `cbor:"7,keyasint"` // ms since its last message
	Leaving         bool   `cbor:"9,keyasint"` // about to stop; accepts no new connections
	Feeds           bool   `cbor:"8,keyasint"` // relays what it reads from the store
}

// MemberState holds the changing fields of a Member that the receiver already
// knows. Its encoding takes a quarter of the bytes of a Member's.
type MemberState struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64   // hash of the instance's name
	Incarnation int64
	Age         int64 // ms since its last message
	Flags       uint8 // flagReady, flagLeaving
}

// Bits of MemberState.Flags.
const (
	flagReady = 1 << iota
	flagLeaving
)

func newMemberState(m Member, age clock.Millis) MemberState {
	s := MemberState{ID: nameHash(m.Name), Incarnation: m.Incarnation, Age: int64(age)}
	if m.Ready {
		s.Flags |= flagReady
	}
	if m.Leaving {
		s.Flags |= flagLeaving
	}
	return s
}

func nameHash(name string) uint64 { return matcher.Hash("instance", name) }

// Message is the content of one datagram.
type Message struct {
	From          Member              `cbor:"1,keyasint"`
	Loads         []Load              `cbor:"2,keyasint,omitempty"`
	Rates         []Rate              `cbor:"7,keyasint,omitempty"`
	LoadsComplete bool                `cbor:"6,keyasint,omitempty"` // Loads and Rates replace all earlier ones
	Rollouts      []stager.Report     `cbor:"3,keyasint,omitempty"`
	SessionUses   []stager.SessionUse `cbor:"5,keyasint,omitempty"`
	Neighbours    []Member            `cbor:"4,keyasint,omitempty"` // of the sender: recently started, or all in a reply
	States        []MemberState       `cbor:"8,keyasint,omitempty"` // of all live neighbours of the sender
	Summary       *Summary            `cbor:"9,keyasint,omitempty"` // of the sender's data centre, in messages to others
	Hop           hop                 `cbor:"10,keyasint,omitempty"`
	RolloutSums   []stager.Report     `cbor:"11,keyasint,omitempty"` // of the sender's data centre, in messages to others
	// Quarantine holds observations of the sender about prompts that crash
	// endpoints, or nil.
	Quarantine *quarantiner.Report `cbor:"12,keyasint,omitempty"`
	// Limits holds what the sender has heard from endpoints about the rates that they
	// accept, and KnownLimits, in messages to other data centres, all that it knows.
	Limits      []capper.Report `cbor:"13,keyasint,omitempty"`
	KnownLimits []capper.Report `cbor:"14,keyasint,omitempty"`
	// Demands holds the demand of the largest workspaces on the sender, and DemandSums,
	// in messages to other data centres, that of the sender's data centre.
	Demands    []Demand `cbor:"20,keyasint,omitempty"`
	DemandSums []Demand `cbor:"21,keyasint,omitempty"`
	// StoreUpFor is the time in ms for which the store has answered the sender, or the
	// neighbour that it follows, without a break; 0 if it does not.
	StoreUpFor int64 `cbor:"22,keyasint,omitempty"`
}

// maxValue bounds the loads in ms and the rates that a message may state.
const maxValue = 1e9

// dropInvalid sets loads and rates to 0 that are negative, no numbers or absurdly large.
// Added up with those of others, one of them would hide all.
func (m *Message) dropInvalid() {
	for i := range m.Loads {
		l := &m.Loads[i]
		l.Work, l.Delay = valid(l.Work), valid(l.Delay)
		l.Running = max(0, l.Running)
	}
	dropInvalidRates(m.Rates)
	if m.Summary != nil {
		dropInvalidRates(m.Summary.Rates)
	}
}

func dropInvalidRates(list []Rate) {
	for i := range list {
		r := &list[i]
		r.Base, r.Demand, r.Long = valid(r.Base), valid(r.Demand), valid(r.Long)
		r.Requests, r.Borrowed = valid(r.Requests), valid(r.Borrowed)
	}
}

// valid returns a value, or 0 if it is invalid.
func valid(v float32) float32 {
	if v >= 0 && v <= maxValue {
		return v
	}
	return 0
}

// hop says how a message reached its receiver.
type hop uint8

const (
	hopDirect  hop = iota // the sender has sent it to every receiver itself
	hopRelay              // the receiver passes it on to its neighbours
	hopRelayed            // a neighbour has passed it on
)

// maxDatagramBytes is the size of the largest message that is sent or read.
const maxDatagramBytes = 60 << 10

func (m *Message) encode() ([]byte, error) { return cbor.Marshal(m) }

func decode(b []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}
