package supervisor

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/promoter"
)

// RecordsKey is the object API key under which the records are stored.
const RecordsKey = "stops"

// maxRecords limits the stored object; the oldest roll-outs are dropped first.
const maxRecords = 256

// Record is the shared state of one roll-out.
type Record struct {
	Entry string               `json:"entry" cbor:"entry"`                   // see Entry
	Since clock.Millis         `json:"since" cbor:"since"`                   // start of the roll-out
	Stop  *promoter.StopRecord `json:"stop,omitempty" cbor:"stop,omitempty"` // nil unless stopped
}

// Entry returns the identifier of a version's entry in the configuration: its
// key, state, share in percent and attempt.
func Entry(v parser.Version) string {
	return fmt.Sprintf("%s %s %g %d", v.Key, v.State, v.SharePercent, v.RolloutAttempt)
}

// records holds records by entry.
type records map[string]Record

// merge adds the records of other, keeps the earliest start and stop of each
// entry, and reports whether anything changed.
func (r records) merge(other []Record) bool {
	changed := false
	for _, record := range other {
		merged, known := r[record.Entry]
		if !known {
			merged = record
			changed = true
		}
		if record.Since < merged.Since {
			merged.Since, changed = record.Since, true
		}
		if record.Stop != nil && (merged.Stop == nil || record.Stop.At < merged.Stop.At) {
			merged.Stop, changed = record.Stop, true
		}
		r[record.Entry] = merged
	}
	return changed
}

// list returns the maxRecords newest records, ordered by entry.
func (r records) list() []Record {
	all := make([]Record, 0, len(r))
	for _, record := range r {
		all = append(all, record)
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

// decode decodes the stored form of the records.
func decode(value []byte) ([]Record, error) {
	var all []Record
	if err := json.Unmarshal(value, &all); err != nil {
		return nil, errors.Wrap(err, "supervisor: decode records")
	}
	return all, nil
}
