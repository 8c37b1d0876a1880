package claimer

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// phase is the state of a call in its stored record.
type phase uint8

const (
	phaseFree    phase = iota // nothing was sent; any attempt may claim the call
	phaseClaimed              // the named attempt may have been sent
	phaseDone                 // the answer is stored and final
)

// callRecord is the stored record of one call.
type callRecord struct {
	Phase    phase   `cbor:"phase"`
	Attempt  string  `cbor:"attempt"`
	BodyHash []byte  `cbor:"body_hash"`
	Answer   *Answer `cbor:"answer,omitempty"`
}

// operation is what a change does to a record.
type operation uint8

const (
	opClaim   operation = iota + 1 // claim the call for Attempt if it is free or claimed by From
	opFinish                       // store the answer of Attempt
	opRelease                      // release the claim of Attempt
)

// change is one change of a record. Its encoding can be forwarded to another
// instance.
type change struct {
	Operation operation `cbor:"verb"`
	Attempt   string    `cbor:"attempt"`
	From      string    `cbor:"from,omitempty"` // attempt that was not executed, whose claim opClaim may take over
	BodyHash  []byte    `cbor:"body_hash"`
	Answer    *Answer   `cbor:"answer,omitempty"`
}

// Apply returns the encoded record after an encoded change, or nil if the change
// does not apply to the present record, as committer.Change.Apply does. The
// error states that the change or the record is malformed.
func Apply(old, encoded []byte) ([]byte, error) {
	var ch change
	if err := cbor.Unmarshal(encoded, &ch); err != nil {
		return nil, errors.Wrap(err, "claimer: decode change")
	}
	var r callRecord
	if old != nil {
		if err := cbor.Unmarshal(old, &r); err != nil {
			return nil, errors.Wrap(err, "claimer: decode record")
		}
		if !bytes.Equal(r.BodyHash, ch.BodyHash) {
			return nil, nil
		}
	}
	next, ok := ch.apply(r)
	if !ok {
		return nil, nil
	}
	value, err := cbor.Marshal(next)
	return value, errors.Wrap(err, "claimer: encode record")
}

// isFinal reports whether an encoded change stores the answer, after which the
// record no longer grows.
func isFinal(encoded []byte) bool {
	var ch change
	return cbor.Unmarshal(encoded, &ch) == nil && ch.Operation == opFinish
}

func (ch change) apply(r callRecord) (callRecord, bool) {
	heldByAttempt := r.Phase == phaseClaimed && r.Attempt == ch.Attempt
	switch ch.Operation {
	case opClaim:
		takenOver := r.Phase == phaseClaimed && ch.From != "" && r.Attempt == ch.From
		if r.Phase != phaseFree && !takenOver {
			return r, false
		}
		return callRecord{Phase: phaseClaimed, Attempt: ch.Attempt, BodyHash: ch.BodyHash}, true
	case opFinish:
		if !heldByAttempt {
			return r, false
		}
		return callRecord{Phase: phaseDone, Attempt: ch.Attempt, BodyHash: ch.BodyHash, Answer: ch.Answer}, true
	case opRelease:
		if !heldByAttempt {
			return r, false
		}
		return callRecord{Phase: phaseFree, BodyHash: ch.BodyHash}, true
	default:
		return r, false
	}
}
