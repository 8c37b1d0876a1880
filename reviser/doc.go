// Package reviser makes operators' writes to the fleet object, the single
// object that holds the configuration of the fleet.
//
// The object is JSON, so that it can be read with the object API's own tools.
// It holds the text and, beside it, the data centres and endpoints that
// operators took out; a text edit replaces only the text. Each write is a
// conditional update that increases the revision and records a change id.
//
// A change of what is out is merged: after a conflict it is applied to the
// newer object. A text edit names the revision it was made from, and is
// refused with the line difference if the object has another one.
//
// If the answer to a write is lost, the object is read again. The change id
// tells that the write took effect; another version without the id tells that
// it did not and cannot any more; the same version leaves it open, and the same
// conditional write is repeated, of which at most one can take effect. If the
// object cannot be read, the outcome is refuser.ErrChangeUnknown with the id.
package reviser
