package allocator

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// Kinds of the messages between allocators.
const (
	KindAsk        = "permit_ask"
	KindAssignment = "permit_assignment"
	KindCold       = "cold"
	KindDrained    = "permit_drained"
)

// asks are the permits that one holder asks of one granter.
type asks struct {
	Asks []permitter.Ask `cbor:"asks"`
}

type permits struct {
	Permits []permitter.Permit `cbor:"permits"`
}

// assignmentAsk asks a member for its assignment and its vote. Known is the epoch
// of a settled assignment that the asker has, 0 if none; if it is still the
// member's, the answer leaves the assignment out.
type assignmentAsk struct {
	Epoch uint64 `cbor:"epoch"`
	Known uint64 `cbor:"known,omitempty"`
}

// assignmentReply holds the member's assignment. Age is that of the last
// confirmation, or negative if there is none.
type assignmentReply struct {
	Member     string               `cbor:"member"`
	Same       bool                 `cbor:"same,omitempty"` // the asker knows the assignment
	Assignment permitter.Assignment `cbor:"assignment"`
	Age        clock.Millis         `cbor:"age"`
	Vote       bool                 `cbor:"vote"` // for the asked epoch
}

// cold reports a process that showed a sign of being cold.
type cold struct {
	Process permitter.Process `cbor:"process"`
}

// drained tells that a leaving member has no running requests.
type drained struct {
	Member string `cbor:"member"`
}

// serve decodes a message, runs the handler and encodes its answer.
func serve[Q, R any](handle func(Q) R) func(context.Context, []byte) ([]byte, error) {
	return func(_ context.Context, body []byte) ([]byte, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, errors.Wrap(err, "allocator: decode message")
		}
		return cbor.Marshal(handle(q))
	}
}

// call sends a message and decodes the answer.
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
