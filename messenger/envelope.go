package messenger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes bounds one encoded envelope. It allows for the largest object
// of the object API.
const MaxMessageBytes = 1<<20 + 64<<10

const maxKindBytes = 64

// Kinds of the messenger's own messages.
const (
	kindAnswer  = "answer"
	kindRefusal = "refusal"
)

// Envelope is one message between instances.
type Envelope struct {
	Kind        string `cbor:"kind"`
	From        string `cbor:"from"`
	Incarnation uint64 `cbor:"incarnation"`
	// ID matches an answer to its call; it is 0 for one-way messages.
	ID   uint64 `cbor:"id,omitempty"`
	Body []byte `cbor:"body,omitempty"`
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the envelope as CBOR. The error is ErrTooLarge or that of the
// encoder.
func (e Envelope) Encode() ([]byte, error) {
	b, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "messenger: encode envelope")
	}
	if len(b) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return b, nil
}

// Decode reads an envelope. It is safe against any input.
// The error is ErrTooLarge or states why the bytes are not an envelope.
func Decode(b []byte) (Envelope, error) {
	if len(b) > MaxMessageBytes {
		return Envelope{}, ErrTooLarge
	}
	var e Envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return Envelope{}, errors.Wrap(err, "messenger: decode envelope")
	}
	if e.Kind == "" || len(e.Kind) > maxKindBytes || e.From == "" {
		return Envelope{}, errors.New("messenger: envelope lacks a valid kind or the sender's id")
	}
	return e, nil
}
