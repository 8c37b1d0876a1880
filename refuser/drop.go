package refuser

// DropReason is the reason why a response of an endpoint, or bytes from it, did
// not reach a client. It is also the label of its counter.
type DropReason string

// The drop reasons.
const (
	DropOtherID        DropReason = "other_id"
	DropWithoutID      DropReason = "without_id"
	DropBadStatus      DropReason = "bad_status"
	DropUnsigned       DropReason = "unsigned"
	DropEncoded        DropReason = "encoded"
	DropIncomplete     DropReason = "incomplete"
	DropNotResumed     DropReason = "not_resumed"
	DropFalseRefusal   DropReason = "false_refusal"
	DropStrayBytes     DropReason = "stray_bytes"
	DropSecondResponse DropReason = "second_response"
	DropOutOfOrder     DropReason = "out_of_order"
	DropNoMemory       DropReason = "no_memory"       // what may be held for all responses is used up
	DropClientTooSlow  DropReason = "client_too_slow" // what may be held for slow clients is used up
)

// DropReasons returns every drop reason.
func DropReasons() []DropReason {
	return []DropReason{
		DropOtherID, DropWithoutID, DropBadStatus, DropUnsigned, DropEncoded, DropIncomplete, DropNotResumed,
		DropFalseRefusal, DropStrayBytes, DropSecondResponse, DropOutOfOrder, DropNoMemory, DropClientTooSlow,
	}
}
