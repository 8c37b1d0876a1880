package supervisor

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/roller"
)

// Key is the store key of the records.
const Key = "stops"

// maxRecords bounds the object; the records of the oldest roll-outs go first.
const maxRecords = 256

// Record is what the fleet knows of one roll-out.
type Record struct {
	Entry string             `json:"entry" cbor:"entry"` // of the text, see Entry
	Since clock.Millis       `json:"since" cbor:"since"` // start of the roll-out
	Stop  *roller.StopRecord `json:"stop,omitempty" cbor:"stop,omitempty"`
}

// Entry names a version's entry in the configuration text.
func Entry(v parser.Version) string {
	return fmt.Sprintf("%s %s %g %d", v.Key, v.State, v.SharePercent, v.Attempt)
}

// records are the known records by entry.
type records map[string]Record

// merge adopts what b adds and reports whether anything changed.
func (r records) merge(b []Record) bool {
	changed := false
	for _, n := range b {
		o, known := r[n.Entry]
		if !known {
			o = n
			changed = true
		}
		if n.Since < o.Since {
			o.Since, changed = n.Since, true
		}
		if n.Stop != nil && (o.Stop == nil || n.Stop.At < o.Stop.At) {
			o.Stop, changed = n.Stop, true
		}
		r[n.Entry] = o
	}
	return changed
}

// list returns the newest records, ordered by entry.
func (r records) list() []Record {
	all := make([]Record, 0, len(r))
	for _, x := range r {
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Since != all[j].Since {
			return all[i].Since > all[j].Since
		}
		return all[i].Entry < all[j].Entry
	})
	all = all[:min(len(all), maxRecords)]
	sort.Slice(all, func(i, j int) bool { return all[i].Entry < all[j].Entry })
	return all
}

// decode reads the stored form.
func decode(value []byte) ([]Record, error) {
	var all []Record
	if err := json.Unmarshal(value, &all); err != nil {
		return nil, errors.Wrap(err, "supervisor: decode records")
	}
	return all, nil
}
