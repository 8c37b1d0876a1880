package claimer

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// phase is the state of a claim in the store.
type phase uint8

const (
	phaseFree    phase = iota // nothing was sent; any attempt may claim
	phaseClaimed              // the named attempt may have been sent
	phaseDone                 // the answer is known and final
)

// claim is the record of one call.
type claim struct {
	Phase    phase   `cbor:"phase"`
	Attempt  string  `cbor:"attempt"`
	BodyHash []byte  `cbor:"body_hash"`
	Answer   *Answer `cbor:"answer,omitempty"`
}

// verb is what a change does to a claim.
type verb uint8

const (
	verbClaim   verb = iota + 1 // claim for Attempt if free or held by From
	verbFinish                  // store the answer of Attempt
	verbRelease                 // free the claim of Attempt
)

// change is an encoded change, which can be forwarded to another instance.
type change struct {
	Verb     verb    `cbor:"verb"`
	Attempt  string  `cbor:"attempt"`
	From     string  `cbor:"from,omitempty"`
	BodyHash []byte  `cbor:"body_hash"`
	Answer   *Answer `cbor:"answer,omitempty"`
}

// Apply returns the record after an encoded change, or nil if the change does
// not concern the record as it stands. It has the form of a committer's change.
// The error tells that the change or the record is malformed.
func Apply(old, encoded []byte) ([]byte, error) {
	var h change
	if err := cbor.Unmarshal(encoded, &h); err != nil {
		return nil, errors.Wrap(err, "claimer: decode change")
	}
	var r claim
	if old != nil {
		if err := cbor.Unmarshal(old, &r); err != nil {
			return nil, errors.Wrap(err, "claimer: decode claim")
		}
		if !bytes.Equal(r.BodyHash, h.BodyHash) {
			return nil, nil
		}
	}
	next, ok := h.apply(r)
	if !ok {
		return nil, nil
	}
	value, err := cbor.Marshal(next)
	return value, errors.Wrap(err, "claimer: encode claim")
}

// final reports whether the record does not grow after an encoded change.
func final(encoded []byte) bool {
	var h change
	return cbor.Unmarshal(encoded, &h) == nil && h.Verb == verbFinish
}

func (h change) apply(r claim) (claim, bool) {
	held := r.Phase == phaseClaimed && r.Attempt == h.Attempt
	switch h.Verb {
	case verbClaim:
		taken := r.Phase == phaseClaimed && h.From != "" && r.Attempt == h.From
		if r.Phase != phaseFree && !taken {
			return r, false
		}
		return claim{Phase: phaseClaimed, Attempt: h.Attempt, BodyHash: h.BodyHash}, true
	case verbFinish:
		if !held {
			return r, false
		}
		return claim{Phase: phaseDone, Attempt: h.Attempt, BodyHash: h.BodyHash, Answer: h.Answer}, true
	case verbRelease:
		if !held {
			return r, false
		}
		return claim{Phase: phaseFree, BodyHash: h.BodyHash}, true
	default:
		return r, false
	}
}
