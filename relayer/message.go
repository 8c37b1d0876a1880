package relayer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// Change is one object of a kind.
type Change struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
	Spec     []byte `cbor:"4,keyasint,omitempty"`
	Status   []byte `cbor:"5,keyasint,omitempty"`
	Deleted  bool   `cbor:"6,keyasint,omitempty"`
}

// Message is one step of a feed.
type Message struct {
	// Full lists the kinds whose objects are all among the changes; empty in
	// later messages.
	Full []string `cbor:"1,keyasint,omitempty"`
	// Changes is the encoded list of changes. It is the same for all neighbours
	// that are equally far, and is encoded once.
	Changes cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Confirmed is the reader's last confirmation and Now the instant of the
	// message, both by the reader's clock.
	Confirmed clock.Millis `cbor:"3,keyasint"`
	Now       clock.Millis `cbor:"5,keyasint"`
	// Echo is the instant that the neighbour's last ping carried, by the
	// neighbour's clock, and Seen the instant of its arrival by the reader's.
	Echo clock.Millis `cbor:"6,keyasint,omitempty"`
	Seen clock.Millis `cbor:"7,keyasint,omitempty"`
	// Returned is the time in ms since the store came back to the reader, -1
	// if it was never away.
	Returned clock.Millis `cbor:"4,keyasint"`
}

// ping is what a neighbour sends to compare the clocks.
type ping struct {
	Now clock.Millis `cbor:"1,keyasint"`
}

func (c Change) object() watcher.Object {
	return watcher.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec, Status: c.Status, Deleted: c.Deleted}
}

func change(kind string, o watcher.Object) Change {
	return Change{Kind: kind, Name: o.Name, Revision: o.Revision, Spec: o.Spec, Status: o.Status, Deleted: o.Deleted}
}

// maxMessage bounds a message: all objects of a large deployment take a few MB.
const maxMessage = 64 << 20

func encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

func encodeChanges(list []Change) (cbor.RawMessage, error) {
	if len(list) == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(list)
	return data, errors.Wrap(err, "encode changes")
}

func decode(b []byte) (*Message, []Change, error) {
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, nil, errors.Wrap(err, "decode message")
	}
	var list []Change
	if len(m.Changes) > 0 {
		if err := cbor.Unmarshal(m.Changes, &list); err != nil {
			return nil, nil, errors.Wrap(err, "decode changes")
		}
	}
	return m, list, nil
}
