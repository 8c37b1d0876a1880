package estimator

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Indices of the counters of a cell. The owner of a cell only increases them.
// Counters sum and squares are in units of 1/qualityScale and 1/qualityScale².
const (
	served = iota
	errored
	asked
	rated
	sum
	squares
	checkPassed
	checkFailed
	numCounters
)

type counts [numCounters]uint64

// merge keeps the larger value of each counter and reports whether any counter
// has changed.
func (c *counts) merge(o counts) bool {
	changed := false
	for i, v := range o {
		if v > c[i] {
			c[i], changed = v, true
		}
	}
	return changed
}

func (c *counts) add(o counts) {
	for i, v := range o {
		c[i] += v
	}
}

// valid reports whether the counters are consistent and plausible. Counts of
// more than 2^40 would need centuries of requests.
func (c *counts) valid() bool {
	for i, v := range c {
		if i != squares && i != sum && v > 1<<40 {
			return false
		}
	}
	return c[errored] <= c[served] && c[sum] <= c[rated]*qualityScale && c[squares] <= c[sum]*qualityScale
}

// weighted returns the counts multiplied by w, with qualities in [0, 1].
func (c *counts) weighted(w float64) Estimate {
	return Estimate{
		Served: w * float64(c[served]), Errors: w * float64(c[errored]),
		Asked: w * float64(c[asked]), Rated: w * float64(c[rated]),
		Sum:     w * float64(c[sum]) / qualityScale,
		Squares: w * float64(c[squares]) / (qualityScale * qualityScale),
		Passed:  w * float64(c[checkPassed]), Failed: w * float64(c[checkFailed]),
	}
}

// origin identifies the owner of a cell and its time bucket.
type origin struct {
	instance    string
	incarnation uint64
	bucket      int64
}

// cell holds the counters of one key, owner and time bucket.
type cell struct {
	key    Key
	origin origin
	counts counts
	hash   uint64 // of key and origin
	seq    uint64 // sequence number of the last change of the cell in this estimator
}

// hashCell returns a hash of key and origin that is the same at all instances.
func hashCell(k Key, o origin) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{k.Workspace, k.Kind, k.Version, k.From, o.instance} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	var b [17]byte
	b[0] = k.Step
	binary.LittleEndian.PutUint64(b[1:], o.incarnation)
	binary.LittleEndian.PutUint64(b[9:], uint64(o.bucket))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// less orders cells by bucket, then by hash, then by names. The order is total
// and the same at all instances.
func (c *cell) less(o *cell) bool {
	if c.origin.bucket != o.origin.bucket {
		return c.origin.bucket < o.origin.bucket
	}
	if c.hash != o.hash {
		return c.hash < o.hash
	}
	return strings.Join(c.names(), "\x00") < strings.Join(o.names(), "\x00")
}

// names returns the strings of key and origin.
func (c *cell) names() []string {
	return []string{c.key.Workspace, c.key.Kind, c.key.Version, c.key.From, c.origin.instance}
}

// cellHeap is a min-heap of cells in the order of less.
type cellHeap []*cell

func (h cellHeap) Len() int           { return len(h) }
func (h cellHeap) Less(i, j int) bool { return h[i].less(h[j]) }
func (h cellHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface; x is a *cell.
func (h *cellHeap) Push(x any) { *h = append(*h, x.(*cell)) }

// Pop implements heap.Interface.
func (h *cellHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
