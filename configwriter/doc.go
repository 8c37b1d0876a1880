// Package configwriter applies operators' changes to the fleet object, the single
// stored object that holds the configuration of the fleet.
//
// The object is JSON, so that it can be read with the object API's own tools.
// It holds the configuration text and, separately, the data centres and endpoints
// that operators took out of service; a text edit replaces only the text. Each
// write is a conditional update that increases the revision and records a change
// id.
//
// A change that takes a data centre or endpoint out of service or back in is
// applied again to the newer object after a conflict. A text edit names the
// revision it was made from, and is refused with the differing lines if the
// object has another one.
//
// If the answer to a write is lost, the object is read again. If it contains the
// change id, the write took effect. If it has another version and not the id, the
// write did not take effect and no longer can. If it has the same version, the
// outcome is open and the same conditional write is repeated; at most one of the
// writes can take effect. If the object cannot be read, the outcome is
// refuser.ErrChangeUnknown with the id.
package configwriter
