package rater

import (
	"container/heap"
	"math"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The steps of a chain. An answer of StepFirst has passed its check; an answer
// of StepEscalated follows a failed check of the version Key.From.
const (
	StepOnly uint8 = iota
	StepFirst
	StepEscalated
	steps
)

const (
	qualityScale   = 1000 // units of quality 1
	bucketsPerLife = 4
	bucketsKept    = 20
)

// Key names what is counted. Names of more than 256 bytes and unknown steps are
// not counted.
type Key struct {
	Workspace string
	Kind      string // kind of request
	Version   string // version key
	From      string // version whose check failed; only with StepEscalated
	Step      uint8
}

// valid reports whether peers accept the key.
func (k Key) valid() bool {
	return len(k.Workspace) <= maxNameBytes && len(k.Kind) <= maxNameBytes && len(k.Version) <= maxNameBytes &&
		len(k.From) <= maxNameBytes && k.Step < steps
}

// Rater holds the counts of the fleet as this instance knows them. It is safe
// for concurrent use. The zero value is not usable; see New.
type Rater struct {
	instance    string
	incarnation uint64
	halfLife    clock.Millis
	maxCells    int

	mu    sync.Mutex
	keys  map[Key]map[origin]*cell
	order cellHeap
	seq   uint64
	late  uint64
}

// New returns an empty rater of one incarnation of an instance. Counts weigh
// half after halfLife and are removed after five half-lives. At most maxCells
// cells are held; the oldest are removed first. It panics if halfLife is under
// 4 ms or maxCells is not positive.
func New(instance string, incarnation uint64, halfLife clock.Millis, maxCells int) *Rater {
	if halfLife < bucketsPerLife || maxCells <= 0 {
		panic("rater: half-life or number of cells too small")
	}
	return &Rater{
		instance: instance, incarnation: incarnation, halfLife: halfLife, maxCells: maxCells,
		keys: map[Key]map[origin]*cell{},
	}
}

// Serve counts an answer given at the instant at, and whether it failed.
func (r *Rater) Serve(k Key, at, now clock.Millis, failed bool) {
	r.add(k, at, now, func(c *counts) {
		c[served]++
		if failed {
			c[errored]++
		}
	})
}

// Check counts the check of an answer given at the instant at.
func (r *Rater) Check(k Key, at, now clock.Millis, passed bool) {
	r.add(k, at, now, func(c *counts) {
		if passed {
			c[checkPassed]++
		} else {
			c[checkFailed]++
		}
	})
}

// Ask counts an answer, given at the instant at, that is sent to the rating service.
func (r *Rater) Ask(k Key, at, now clock.Millis) {
	r.add(k, at, now, func(c *counts) { c[asked]++ })
}

// Rate counts the rating of an answer given at the instant at; quality is
// clipped to [0, 1], and a NaN is ignored. It reports false if the rating is too
// late to be counted.
func (r *Rater) Rate(k Key, at, now clock.Millis, quality float64) bool {
	if math.IsNaN(quality) {
		return false
	}
	q := uint64(math.Round(min(1, max(0, quality)) * qualityScale))
	return r.add(k, at, now, func(c *counts) {
		c[rated]++
		c[sum] += q
		c[squares] += q * q
	})
}

// Late returns the number of counts that arrived after their bucket was removed.
func (r *Rater) Late() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

// Cells returns the number of cells held.
func (r *Rater) Cells() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order)
}

// Estimate returns the aged counts of one key. It adds whole numbers by bucket
// first, so that the result does not depend on the order of the cells.
func (r *Rater) Estimate(k Key, now clock.Millis) Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var buckets [bucketsKept + 1]counts
	floor := r.floor(now)
	for o, c := range r.keys[k] {
		if i := o.bucket - floor; i >= 0 && i < int64(len(buckets)) {
			buckets[i].add(c.counts)
		}
	}
	var e Estimate
	for i := range buckets {
		if buckets[i] != (counts{}) {
			e = e.Plus(buckets[i].weighted(r.weight(floor+int64(i), now)))
		}
	}
	return e
}

// Totals returns the counts, without ageing, of the keys that match accepts, by
// time bucket of a quarter of a half-life from that of since to that of now.
// Removed buckets are left out.
func (r *Rater) Totals(match func(Key) bool, since, now clock.Millis) []Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := max(r.bucket(since), r.floor(now))
	sums := make([]counts, max(0, r.bucket(now)-first+1))
	for k, cells := range r.keys {
		if !match(k) {
			continue
		}
		for o, c := range cells {
			if i := o.bucket - first; i >= 0 && i < int64(len(sums)) {
				sums[i].add(c.counts)
			}
		}
	}
	totals := make([]Estimate, len(sums))
	for i := range sums {
		totals[i] = sums[i].weighted(1)
	}
	return totals
}

func (r *Rater) add(k Key, at, now clock.Millis, change func(*counts)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(min(at, now))
	if b < r.floor(now) {
		r.late++
		return false
	}
	if !k.valid() {
		return false
	}
	c := r.cell(k, origin{instance: r.instance, incarnation: r.incarnation, bucket: b})
	change(&c.counts)
	r.touch(c)
	r.trim(now)
	return true
}

func (r *Rater) cell(k Key, o origin) *cell {
	cells := r.keys[k]
	if cells == nil {
		cells = map[origin]*cell{}
		r.keys[k] = cells
	}
	c := cells[o]
	if c == nil {
		c = &cell{key: k, origin: o, rank: rank(k, o)}
		cells[o] = c
		heap.Push(&r.order, c)
	}
	return c
}

func (r *Rater) touch(c *cell) {
	r.seq++
	c.seq = r.seq
}

// trim removes the cells of old buckets, then the lowest cells above the limit.
// Which cells stay depends only on their names, so the order of merges does not
// matter.
func (r *Rater) trim(now clock.Millis) {
	floor := r.floor(now)
	for len(r.order) > 0 && (len(r.order) > r.maxCells || r.order[0].origin.bucket < floor) {
		c := heap.Pop(&r.order).(*cell)
		delete(r.keys[c.key], c.origin)
		if len(r.keys[c.key]) == 0 {
			delete(r.keys, c.key)
		}
	}
}

func (r *Rater) span() clock.Millis { return r.halfLife / bucketsPerLife }

func (r *Rater) bucket(t clock.Millis) int64 { return int64(t / r.span()) }

func (r *Rater) floor(now clock.Millis) int64 { return r.bucket(now) - bucketsKept + 1 }

// weight halves for each half-life since the end of the bucket.
func (r *Rater) weight(bucket int64, now clock.Millis) float64 {
	age := now - clock.Millis(bucket+1)*r.span()
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(r.halfLife))
}
