package allocator

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// Kinds of messages between allocators.
const (
	KindAsk        = "permit_ask"
	KindAssignment = "permit_assignment"
	KindCold       = "cold"
	KindDrained    = "permit_drained"
)

// permitRequestBatch holds the permit requests of one holder to one granter.
type permitRequestBatch struct {
	Requests []permitter.PermitRequest `cbor:"asks"`
}

// permitBatch is the answer to a permitRequestBatch. Requests without an answer have no
// permit in it.
type permitBatch struct {
	Permits []permitter.Permit `cbor:"permits"`
}

// assignmentRequest asks a member for its assignment and for its vote on Epoch. Known
// is the epoch of a settled assignment that the asker has, 0 if none; if it is
// still the member's assignment, the answer omits the assignment.
type assignmentRequest struct {
	Epoch uint64 `cbor:"epoch"`
	Known uint64 `cbor:"known,omitempty"`
}

// assignmentReply holds the member's assignment. Age is the time in milliseconds
// since the last confirmation, or negative if there is none.
type assignmentReply struct {
	Member     string               `cbor:"member"`
	Same       bool                 `cbor:"same,omitempty"` // the asker has the assignment, which is omitted
	Assignment permitter.Assignment `cbor:"assignment"`
	Age        clock.Millis         `cbor:"age"`
	Vote       bool                 `cbor:"vote"` // the member has adopted assignmentRequest.Epoch
}

// coldMessage reports a process that showed a sign of being cold.
type coldMessage struct {
	Process permitter.Process `cbor:"process"`
}

// drainedMessage reports that a leaving member has no running requests.
type drainedMessage struct {
	Member string `cbor:"member"`
}

// decodeAndHandle returns a message handler that decodes the message, calls handle
// and encodes its answer.
func decodeAndHandle[Q, R any](handle func(Q) R) func(context.Context, []byte) ([]byte, error) {
	return func(_ context.Context, body []byte) ([]byte, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, errors.Wrap(err, "allocator: decode message")
		}
		return cbor.Marshal(handle(q))
	}
}

// call sends a message to the member at address and decodes the answer.
func call[Q, R any](ctx context.Context, a *Allocator, address, kind string, q Q) (R, error) {
	var r R
	body, err := cbor.Marshal(q)
	if err != nil {
		return r, errors.Wrap(err, "allocator: encode message")
	}
	answer, err := a.Call(ctx, address, kind, body)
	if err != nil {
		return r, err
	}
	return r, errors.Wrap(cbor.Unmarshal(answer, &r), "allocator: decode answer")
}
