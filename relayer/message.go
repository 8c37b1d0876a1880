package relayer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// Change is one changed object of a kind.
type Change struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
	Spec     []byte `cbor:"4,keyasint,omitempty"`
	Status   []byte `cbor:"5,keyasint,omitempty"`
	Deleted  bool   `cbor:"6,keyasint,omitempty"`
	Era      int64  `cbor:"7,keyasint,omitempty"`
}

// Message is one message of a feed, from the reader to a neighbour.
type Message struct {
	// FullKinds lists the kinds of which Changes holds all objects. It is empty
	// unless the message carries the full state.
	FullKinds []string `cbor:"1,keyasint,omitempty"`
	// Changes is the encoded []Change. It is encoded once for all neighbours at
	// the same log position.
	Changes cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Packed is Changes compressed with DEFLATE, and then Changes is empty. It is sent
	// only to neighbours that ask for it and if it is shorter.
	Packed []byte `cbor:"8,keyasint,omitempty"`
	// Confirmed is the reader's last confirmation and Now the instant at which
	// the message was made, both by the reader's clock.
	Confirmed clock.Millis `cbor:"3,keyasint"`
	Now       clock.Millis `cbor:"5,keyasint"`
	// PingSentAt is the sending time of the neighbour's last ping by the
	// neighbour's clock, and PingReceivedAt its arrival time by the reader's
	// clock. Both are 0 before the first ping.
	PingSentAt     clock.Millis `cbor:"6,keyasint,omitempty"`
	PingReceivedAt clock.Millis `cbor:"7,keyasint,omitempty"`
	// SinceRegained is the time in ms since the store answered the reader again
	// after an outage, or -1 if there was none.
	SinceRegained clock.Millis `cbor:"4,keyasint"`
	// Era is the era of the store as the reader knows it; 0 if the reader's build does
	// not state it.
	Era int64 `cbor:"9,keyasint,omitempty"`
}

// ping is the message from a neighbour to the reader by which the neighbour
// measures the clock offset.
type ping struct {
	Now clock.Millis `cbor:"1,keyasint"`
}

func (c Change) object() watcher.Object {
	return watcher.Object{
		Name: c.Name, Era: c.Era, Revision: c.Revision, Spec: c.Spec, Status: c.Status, Deleted: c.Deleted,
	}
}

func newChange(kind string, o watcher.Object) Change {
	return Change{
		Kind: kind, Name: o.Name, Era: o.Era, Revision: o.Revision, Spec: o.Spec, Status: o.Status, Deleted: o.Deleted,
	}
}

// maxMessageBytes limits the size of a received message. All objects of a large
// deployment take a few MB.
const maxMessageBytes = 64 << 20

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
	changes := []byte(m.Changes)
	if len(m.Packed) > 0 {
		var err error
		if changes, err = unpack(m.Packed); err != nil {
			return nil, nil, err
		}
	}
	var list []Change
	if len(changes) > 0 {
		if err := cbor.Unmarshal(changes, &list); err != nil {
			return nil, nil, errors.Wrap(err, "decode changes")
		}
	}
	return m, list, nil
}

// batch is an encoded list of changes.
type batch struct {
	plain  cbor.RawMessage
	packed []byte // empty if it would not be shorter
}

// minPackedBytes is the size from which changes are compressed. Smaller ones fit in
// a few packets.
const minPackedBytes = 4 << 10

// newBatch encodes and compresses a list of changes.
func newBatch(list []Change) (batch, error) {
	plain, err := encodeChanges(list)
	if err != nil || len(plain) < minPackedBytes {
		return batch{plain: plain}, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return batch{}, errors.Wrap(err, "compress changes")
	}
	_, err = w.Write(plain)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return batch{}, errors.Wrap(err, "compress changes")
	}
	if b.Len() >= len(plain) {
		return batch{plain: plain}, nil
	}
	return batch{plain: plain, packed: b.Bytes()}, nil
}

// unpack decompresses changes of at most maxMessageBytes.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes")
	}
	if len(data) > maxMessageBytes {
		return nil, errors.Newf("decompressed changes exceed %d bytes", maxMessageBytes)
	}
	return data, nil
}
