package configwriter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Key is the store key of the fleet object.
const Key = "fleet"

const (
	keptChanges     = 64
	keptSessionKeys = 3
	sessionKeyBytes = 32
	// maxDifferenceLines is the largest number of differing lines that an error
	// message lists.
	maxDifferenceLines = 100
)

// Change is the record of one accepted write.
type Change struct {
	ID          string `json:"id"`
	Revision    uint64 `json:"revision"` // revision that the write produced
	Description string `json:"what"`     // description of the change
}

// Object is the fleet object. A decoded value is never modified.
type Object struct {
	Revision       uint64   `json:"revision"`         // number of accepted writes
	Text           string   `json:"text"`             // configuration text
	DataCentresOut []string `json:"data_centres_out"` // out of service, sorted
	EndpointsOut   []string `json:"endpoints_out"`    // out of service, sorted
	// SessionKeys are the keys that sign session tokens, newest first, at most three.
	SessionKeys [][]byte `json:"session_keys"`
	// Changes are the last 64 accepted writes, newest last.
	Changes []Change `json:"changes"`
}

// Decode decodes the stored value of the fleet object. The error states that the
// value is malformed or has no revision.
func Decode(value []byte) (Object, error) {
	var o Object
	if err := json.Unmarshal(value, &o); err != nil {
		return Object{}, errors.Wrap(err, "configwriter: decode the fleet object")
	}
	if o.Revision == 0 {
		return Object{}, errors.New("configwriter: the fleet object has no revision")
	}
	return o, nil
}

// Encode returns the value to store. The error is that of the encoder.
func (o Object) Encode() ([]byte, error) {
	b, err := json.Marshal(o)
	return b, errors.Wrap(err, "configwriter: encode the fleet object")
}

// Change returns the recorded change with the given id.
func (o Object) Change(id string) (Change, bool) {
	for _, c := range o.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// with returns the next revision of o with edit applied and the change recorded.
func (o Object) with(id, description string, edit func(*Object)) Object {
	n := o
	edit(&n)
	n.Revision++
	n.Changes = append(slices.Clone(o.Changes), Change{ID: id, Revision: n.Revision, Description: description})
	if extra := len(n.Changes) - keptChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	return n
}

// withMember returns the sorted names with name added or removed.
func withMember(names []string, name string, member bool) []string {
	at, found := slices.BinarySearch(names, name)
	switch {
	case found == member:
		return names
	case member:
		return slices.Insert(slices.Clone(names), at, name)
	default:
		return slices.Delete(slices.Clone(names), at, at+1)
	}
}

// lineDifference lists the lines between the common prefix and the common suffix
// of two texts, marked with "-" for stored and "+" for submitted lines.
func lineDifference(stored, submitted string) string {
	a, b := strings.Split(stored, "\n"), strings.Split(submitted, "\n")
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	end := 0
	for end < len(a)-start && end < len(b)-start && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	var lines []string
	for i := start; i < len(a)-end; i++ {
		lines = append(lines, fmt.Sprintf("-%d: %s", i+1, a[i]))
	}
	for i := start; i < len(b)-end; i++ {
		lines = append(lines, fmt.Sprintf("+%d: %s", i+1, b[i]))
	}
	if len(lines) == 0 {
		return "the texts are equal"
	}
	if extra := len(lines) - maxDifferenceLines; extra > 0 {
		lines = append(lines[:maxDifferenceLines], fmt.Sprintf("and %d more lines", extra))
	}
	return strings.Join(lines, "\n")
}
