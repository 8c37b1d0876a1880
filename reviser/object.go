package reviser

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
	// maxDifference bounds the lines of a difference in an error message.
	maxDifference = 100
)

// Change is one accepted write.
type Change struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	What     string `json:"what"`
}

// Object is the fleet object. Values are not changed after they were decoded.
type Object struct {
	Revision       uint64   `json:"revision"`
	Text           string   `json:"text"`
	DataCentresOut []string `json:"data_centres_out"`
	EndpointsOut   []string `json:"endpoints_out"`
	// SessionKeys are the keys of session tokens, the newest first.
	SessionKeys [][]byte `json:"session_keys"`
	// Changes are the last 64 writes, the newest last.
	Changes []Change `json:"changes"`
}

// Decode reads the stored value of the fleet object.
// The error tells that the value is malformed or has no revision.
func Decode(value []byte) (Object, error) {
	var o Object
	if err := json.Unmarshal(value, &o); err != nil {
		return Object{}, errors.Wrap(err, "reviser: decode the fleet object")
	}
	if o.Revision == 0 {
		return Object{}, errors.New("reviser: the fleet object has no revision")
	}
	return o, nil
}

// Encode returns the value to store.
// The error is that of the encoder.
func (o Object) Encode() ([]byte, error) {
	b, err := json.Marshal(o)
	return b, errors.Wrap(err, "reviser: encode the fleet object")
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

// with returns the next revision of o, in which edit has been made.
func (o Object) with(id, what string, edit func(*Object)) Object {
	n := o
	edit(&n)
	n.Revision++
	n.Changes = append(slices.Clone(o.Changes), Change{ID: id, Revision: n.Revision, What: what})
	if extra := len(n.Changes) - keptChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	return n
}

// set returns the sorted names with name added or removed.
func set(names []string, name string, member bool) []string {
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

// difference lists the lines that differ between the common start and the
// common end of two texts, "-" for stored and "+" for submitted ones.
func difference(stored, submitted string) string {
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
	if extra := len(lines) - maxDifference; extra > 0 {
		lines = append(lines[:maxDifference], fmt.Sprintf("and %d more lines", extra))
	}
	return strings.Join(lines, "\n")
}
