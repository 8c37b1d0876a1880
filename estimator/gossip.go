package estimator

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// ErrInvalidSnapshot is returned if received bytes are not a valid snapshot.
var ErrInvalidSnapshot = errors.New("estimator: invalid snapshot")

const (
	maxNameBytes     = 256
	maxWireCells     = 65536
	snapshotOverhead = 32 // bytes of the map, its keys and the array headers
	nameOverhead     = 3  // bytes of a string header
)

// snapshot is the encoded form of a set of cells, which refer to Names by index.
type snapshot struct {
	Names []string          `cbor:"names"`
	Cells []cbor.RawMessage `cbor:"cells"`
}

// wireCell is the encoded form of a cell. Workspace, Kind, Version, From and
// Instance are indices into snapshot.Names.
type wireCell struct {
	_           struct{} `cbor:",toarray"`
	Workspace   int
	Kind        int
	Version     int
	From        int
	Step        uint8
	Instance    int
	Incarnation uint64
	Bucket      int64
	Counts      []uint64
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxWireCells, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Snapshot encodes the cells that have changed after the sequence number since,
// oldest change first, in at most maxBytes. It returns the sequence number to
// continue from; since 0 starts with the first change. The body is nil if there are
// no changes. The error is that of the encoder.
func (e *Estimator) Snapshot(since uint64, maxBytes int) (body []byte, next uint64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var changed []*cell
	for _, c := range e.order {
		if c.seq > since {
			changed = append(changed, c)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].seq < changed[j].seq })
	w := snapshotWriter{index: map[string]int{}, remaining: maxBytes - snapshotOverhead, lastChange: since}
	for _, c := range changed {
		ok, err := w.add(c)
		if err != nil {
			return nil, since, errors.Wrap(err, "estimator: encode cell")
		}
		if !ok {
			break
		}
	}
	if len(w.snapshot.Cells) == 0 {
		return nil, since, nil
	}
	body, err = cbor.Marshal(w.snapshot)
	return body, w.lastChange, errors.Wrap(err, "estimator: encode snapshot")
}

// snapshotWriter builds a snapshot of bounded size.
type snapshotWriter struct {
	snapshot   snapshot
	index      map[string]int // of each name in snapshot.Names
	remaining  int            // bytes
	lastChange uint64         // sequence number of the last cell that was added
}

// add appends c. It reports false and changes nothing if c does not fit.
func (w *snapshotWriter) add(c *cell) (bool, error) {
	numNames, cost := len(w.snapshot.Names), 0
	refs := make([]int, 0, 5)
	for _, s := range c.names() {
		i, ok := w.index[s]
		if !ok {
			i = len(w.snapshot.Names)
			w.index[s] = i
			w.snapshot.Names = append(w.snapshot.Names, s)
			cost += len(s) + nameOverhead
		}
		refs = append(refs, i)
	}
	b, err := cbor.Marshal(wireCell{
		Workspace: refs[0], Kind: refs[1], Version: refs[2], From: refs[3], Instance: refs[4],
		Step: c.key.Step, Incarnation: c.origin.incarnation, Bucket: c.origin.bucket, Counts: c.counts[:],
	})
	if cost += len(b); err != nil || cost > w.remaining {
		for _, s := range w.snapshot.Names[numNames:] {
			delete(w.index, s)
		}
		w.snapshot.Names = w.snapshot.Names[:numNames]
		return false, err
	}
	w.remaining -= cost
	w.lastChange = c.seq
	w.snapshot.Cells = append(w.snapshot.Cells, b)
	return true, nil
}

// Merge takes the larger value of each counter of a snapshot and reports whether
// anything has changed. Cells older than the kept buckets, or more than one
// bucket ahead of now, are ignored. An invalid snapshot changes nothing.
// The error is ErrInvalidSnapshot.
func (e *Estimator) Merge(body []byte, now clock.Millis) (changed bool, err error) {
	var s snapshot
	if err := decoder.Unmarshal(body, &s); err != nil {
		return false, errors.Mark(errors.Wrap(err, "estimator: decode snapshot"), ErrInvalidSnapshot)
	}
	cells := make([]cell, 0, len(s.Cells))
	for i, b := range s.Cells {
		c, err := s.cell(b)
		if err != nil {
			return false, errors.Wrapf(err, "cell %d", i)
		}
		cells = append(cells, c)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest, newest := e.oldestBucket(now), e.bucket(now)+1
	for i := range cells {
		c := &cells[i]
		if c.origin.bucket < oldest || c.origin.bucket > newest {
			continue
		}
		if own := e.cell(c.key, c.origin); own.counts.merge(c.counts) {
			e.markChanged(own)
			changed = true
		}
	}
	e.evict(now)
	return changed, nil
}

// cell decodes and validates a cell of the snapshot.
func (s *snapshot) cell(b cbor.RawMessage) (cell, error) {
	var w wireCell
	if err := decoder.Unmarshal(b, &w); err != nil {
		return cell{}, errors.Mark(err, ErrInvalidSnapshot)
	}
	var names [5]string
	for i, n := range []int{w.Workspace, w.Kind, w.Version, w.From, w.Instance} {
		if n < 0 || n >= len(s.Names) || len(s.Names[n]) > maxNameBytes {
			return cell{}, errors.Wrapf(ErrInvalidSnapshot, "name index %d, %d names", n, len(s.Names))
		}
		names[i] = s.Names[n]
	}
	c := cell{
		key:    Key{Workspace: names[0], Kind: names[1], Version: names[2], From: names[3], Step: w.Step},
		origin: origin{instance: names[4], incarnation: w.Incarnation, bucket: w.Bucket},
	}
	if w.Step >= numSteps || len(w.Counts) != numCounters {
		return cell{}, errors.Wrapf(ErrInvalidSnapshot, "step %d, %d counters", w.Step, len(w.Counts))
	}
	copy(c.counts[:], w.Counts)
	if !c.counts.valid() {
		return cell{}, errors.Wrapf(ErrInvalidSnapshot, "counts %v", w.Counts)
	}
	return c, nil
}

// Digest returns a hash of all cells that does not depend on their order. Two
// estimators with the same cells have the same digest.
func (e *Estimator) Digest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var d uint64
	var b [8 * (numCounters + 1)]byte
	for _, c := range e.order {
		binary.LittleEndian.PutUint64(b[:], c.hash)
		for i, v := range c.counts {
			binary.LittleEndian.PutUint64(b[8*(i+1):], v)
		}
		d ^= xxhash.Sum64(b[:])
	}
	return d
}

// LastChange returns the sequence number of the newest change. A snapshot since
// this number holds the changes from now on.
func (e *Estimator) LastChange() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seq
}
