package rater

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The counters of a cell. Each only grows while its owner lives.
const (
	served = iota
	errored
	asked
	rated
	sum
	squares
	checkPassed
	checkFailed
	counters
)

type counts [counters]uint64

// merge keeps the larger value of each counter and reports a change.
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

// valid reports whether the counters fit together. Counts of more than 2^40
// would need centuries of requests.
func (c *counts) valid() bool {
	for i, v := range c {
		if i != squares && i != sum && v > 1<<40 {
			return false
		}
	}
	return c[errored] <= c[served] && c[sum] <= c[rated]*qualityScale && c[squares] <= c[sum]*qualityScale
}

func (c *counts) weighted(w float64) Estimate {
	return Estimate{
		Served: w * float64(c[served]), Errors: w * float64(c[errored]),
		Asked: w * float64(c[asked]), Rated: w * float64(c[rated]),
		Sum:     w * float64(c[sum]) / qualityScale,
		Squares: w * float64(c[squares]) / (qualityScale * qualityScale),
		Passed:  w * float64(c[checkPassed]), Failed: w * float64(c[checkFailed]),
	}
}

// origin names the owner of a cell and its time bucket.
type origin struct {
	instance    string
	incarnation uint64
	bucket      int64
}

type cell struct {
	key    Key
	origin origin
	counts counts
	rank   uint64 // hash of the names
	seq    uint64 // number of the last change in this rater
}

func rank(k Key, o origin) uint64 {
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

// less orders cells by bucket, then by hash, then by name, so that it is total.
func (c *cell) less(o *cell) bool {
	if c.origin.bucket != o.origin.bucket {
		return c.origin.bucket < o.origin.bucket
	}
	if c.rank != o.rank {
		return c.rank < o.rank
	}
	return strings.Join(c.names(), "\x00") < strings.Join(o.names(), "\x00")
}

func (c *cell) names() []string {
	return []string{c.key.Workspace, c.key.Kind, c.key.Version, c.key.From, c.origin.instance}
}

// cellHeap keeps the lowest cell at its root.
type cellHeap []*cell

func (h cellHeap) Len() int           { return len(h) }
func (h cellHeap) Less(i, j int) bool { return h[i].less(h[j]) }
func (h cellHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x, which is a *cell; it serves container/heap.
func (h *cellHeap) Push(x any) { *h = append(*h, x.(*cell)) }

// Pop removes the last cell; it serves container/heap.
func (h *cellHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
