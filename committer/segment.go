package committer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// recordOverheadBytes is an upper bound of the encoded size of a record without
// its key and value.
const recordOverheadBytes = 24

// record is one entry of a segment. Reserve is the size in bytes up to which the
// value may grow after the segment is sealed.
type record struct {
	Value   []byte `cbor:"value"`
	Reserve int    `cbor:"reserve,omitempty"`
}

// reservedSize returns an upper bound of the encoded size of the record with the
// value grown to Reserve.
func (r record) reservedSize(key string) int {
	return recordOverheadBytes + len(key) + max(len(r.Value), r.Reserve)
}

// segment is the content of a segment object.
type segment struct {
	Number   uint64            `cbor:"number"`    // of the segment in the shard; the slot is Number modulo the ring size
	Serial   uint64            `cbor:"serial"`    // number of commits to this segment
	Elapsed  clock.Millis      `cbor:"elapsed"`   // shard time of the last commit
	Sealed   bool              `cbor:"sealed"`    // takes updates but no new records
	SealedAt clock.Millis      `cbor:"sealed_at"` // shard time at which it was sealed
	Commits  []string          `cbor:"commits"`   // ids of the last commits, oldest first
	Records  map[string]record `cbor:"records"`
}

func decodeSegment(value []byte) (segment, error) {
	var s segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return segment{}, errors.Wrap(err, "committer: decode segment")
	}
	return s, nil
}

func (s segment) encode() ([]byte, error) {
	value, err := cbor.Marshal(s)
	return value, errors.Wrap(err, "committer: encode segment")
}

// next returns the content after one more commit with the given id. Its records
// are a copy, which may be changed.
func (s segment) next(id string, maxCommits int, elapsed clock.Millis) segment {
	n := s
	n.Serial++
	n.Elapsed = elapsed
	n.Commits = append(append([]string(nil), s.Commits...), id)
	if len(n.Commits) > maxCommits {
		n.Commits = n.Commits[len(n.Commits)-maxCommits:]
	}
	n.Records = make(map[string]record, len(s.Records)+8)
	for k, r := range s.Records {
		n.Records[k] = r
	}
	return n
}

// writeOutcome is the outcome of a write of a segment.
type writeOutcome int

const (
	committed    writeOutcome = iota
	notCommitted              // did not take effect and never will; the segment has changed
	undetermined              // may have taken effect
	notExecuted               // did not take effect and may be repeated
)

// outcomeOf returns the outcome of the write with the commit id and serial to
// segment number, where s is a later content of the slot. It is undetermined if
// the slot was reused or the id may have been dropped from Commits.
func (s segment) outcomeOf(number, serial uint64, id string) writeOutcome {
	if s.Number != number {
		return undetermined
	}
	for _, c := range s.Commits {
		if c == id {
			return committed
		}
	}
	if s.Serial >= serial+uint64(len(s.Commits)) {
		return undetermined
	}
	return notCommitted
}

// reservedSize returns the sum of the reserved sizes of all records, in bytes.
func (s segment) reservedSize() int {
	total := 0
	for k, r := range s.Records {
		total += r.reservedSize(k)
	}
	return total
}

// keySet holds the hashes of the keys of a sealed segment in ascending order.
// A hash collision costs one read and has no other effect.
type keySet []uint64

func (s keySet) has(hash uint64) bool {
	_, ok := slices.BinarySearch(s, hash)
	return ok
}

func (s segment) keys() keySet {
	hashes := make(keySet, 0, len(s.Records))
	for k := range s.Records {
		hashes = append(hashes, xxhash.Sum64String(k))
	}
	slices.Sort(hashes)
	return hashes
}
