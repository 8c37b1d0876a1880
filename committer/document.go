package committer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// recordOverhead is an upper bound of the encoded size of a record beyond its
// key and value.
const recordOverhead = 24

// record is one entry of a segment. Reserve is the size up to which the value
// may grow after the segment was sealed.
type record struct {
	Value   []byte `cbor:"value"`
	Reserve int    `cbor:"reserve,omitempty"`
}

func (r record) cost(key string) int {
	return recordOverhead + len(key) + max(len(r.Value), r.Reserve)
}

// document is the content of a segment object.
type document struct {
	Number   uint64            `cbor:"number"`    // of the segment, the slot is Number modulo the ring
	Serial   uint64            `cbor:"serial"`    // count of commits to this segment
	Elapsed  clock.Millis      `cbor:"elapsed"`   // shard time of the last commit
	Sealed   bool              `cbor:"sealed"`    // no new records
	SealedAt clock.Millis      `cbor:"sealed_at"` // shard time of sealing
	Commits  []string          `cbor:"commits"`   // ids of the last commits, oldest first
	Records  map[string]record `cbor:"records"`
}

func decodeDocument(value []byte) (document, error) {
	var d document
	if err := cbor.Unmarshal(value, &d); err != nil {
		return document{}, errors.Wrap(err, "committer: decode segment")
	}
	return d, nil
}

func (d document) encode() ([]byte, error) {
	value, err := cbor.Marshal(d)
	return value, errors.Wrap(err, "committer: encode segment")
}

// next returns a copy of d, whose records may be changed, as the content after
// one more commit.
func (d document) next(id string, keep int, elapsed clock.Millis) document {
	n := d
	n.Serial++
	n.Elapsed = elapsed
	n.Commits = append(append([]string(nil), d.Commits...), id)
	if len(n.Commits) > keep {
		n.Commits = n.Commits[len(n.Commits)-keep:]
	}
	n.Records = make(map[string]record, len(d.Records)+8)
	for k, r := range d.Records {
		n.Records[k] = r
	}
	return n
}

// verdict tells whether the commit id with the given serial took effect, where
// d is a later content of the segment.
type verdict int

const (
	committed   verdict = iota
	lost                // never took effect and never will
	undecided           // the id may have left the list
	unavailable         // not executed; may be repeated
)

func (d document) verdict(number, serial uint64, id string) verdict {
	if d.Number != number {
		return undecided
	}
	for _, c := range d.Commits {
		if c == id {
			return committed
		}
	}
	if d.Serial >= serial+uint64(len(d.Commits)) {
		return undecided
	}
	return lost
}

// load returns an upper bound of the encoded size of all records, with every
// record grown to its reserve.
func (d document) load() int {
	total := 0
	for k, r := range d.Records {
		total += r.cost(k)
	}
	return total
}

// keySet holds the hashes of the keys of a sealed segment in ascending order.
// A false match only costs a read.
type keySet []uint64

func (s keySet) has(hash uint64) bool {
	_, ok := slices.BinarySearch(s, hash)
	return ok
}

func (d document) keys() keySet {
	s := make(keySet, 0, len(d.Records))
	for k := range d.Records {
		s = append(s, xxhash.Sum64String(k))
	}
	slices.Sort(s)
	return s
}
