package estimator

import (
	"container/heap"
	"math"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Steps of a chain of versions. StepOnly stands for a chain of one version. An
// answer of StepFirst has passed its check; an answer of StepEscalated was
// requested after the check of the answer of version Key.From had failed.
const (
	StepOnly uint8 = iota
	StepFirst
	StepEscalated
	numSteps
)

const (
	qualityScale       = 1000 // counter units for a quality of 1
	bucketsPerHalfLife = 4
	bucketsKept        = 20
)

// Key identifies the answers that are counted together. Answers under a key with
// a name of more than 256 bytes or an unknown step are not counted.
type Key struct {
	Workspace string
	Kind      string // kind of request
	Version   string // version key of the answer
	From      string // version whose check failed; only with StepEscalated
	Step      uint8
}

// valid reports whether peers accept the key.
func (k Key) valid() bool {
	return len(k.Workspace) <= maxNameBytes && len(k.Kind) <= maxNameBytes && len(k.Version) <= maxNameBytes &&
		len(k.From) <= maxNameBytes && k.Step < numSteps
}

// Estimator holds the counts of all instances as far as this instance has received
// them. It is safe for concurrent use. Use New to create one.
type Estimator struct {
	instance    string
	incarnation uint64
	halfLife    clock.Millis
	maxCells    int

	mu    sync.Mutex
	keys  map[Key]map[origin]*cell
	order cellHeap
	seq   uint64 // sequence number of the newest change
	late  uint64 // counts that arrived after their bucket was removed
}

// New returns an empty rater of one incarnation of an instance. The weight of a
// count halves with each halfLife, and counts are removed after five half-lives.
// At most maxCells cells are held; the oldest are evicted first. New panics if
// halfLife is below 4 ms or maxCells is not positive.
func New(instance string, incarnation uint64, halfLife clock.Millis, maxCells int) *Estimator {
	if halfLife < bucketsPerHalfLife || maxCells <= 0 {
		panic("rater: half-life or number of cells too small")
	}
	return &Estimator{
		instance: instance, incarnation: incarnation, halfLife: halfLife, maxCells: maxCells,
		keys: map[Key]map[origin]*cell{},
	}
}

// CountAnswer counts an answer given at time at, and whether it failed.
func (r *Estimator) CountAnswer(k Key, at, now clock.Millis, failed bool) {
	r.add(k, at, now, func(c *counts) {
		c[served]++
		if failed {
			c[errored]++
		}
	})
}

// CountCheck counts the check of an answer given at time at.
func (r *Estimator) CountCheck(k Key, at, now clock.Millis, passed bool) {
	r.add(k, at, now, func(c *counts) {
		if passed {
			c[checkPassed]++
		} else {
			c[checkFailed]++
		}
	})
}

// CountRatingRequest counts an answer, given at time at, for which a rating is requested.
func (r *Estimator) CountRatingRequest(k Key, at, now clock.Millis) {
	r.add(k, at, now, func(c *counts) { c[asked]++ })
}

// CountRating counts the rating of an answer given at time at. Quality is clipped to
// [0, 1]. Rate reports false if the rating is not counted: its bucket has been
// removed, quality is NaN or the key is invalid.
func (r *Estimator) CountRating(k Key, at, now clock.Millis, quality float64) bool {
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

// LateCounts returns the number of counts that arrived after their bucket was removed.
func (r *Estimator) LateCounts() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

// Cells returns the number of cells held.
func (r *Estimator) Cells() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order)
}

// Estimate returns the weighted counts of one key. Counts are added as integers
// within each bucket before they are weighted, so that the result does not depend
// on the order of the cells.
func (r *Estimator) Estimate(k Key, now clock.Millis) Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var buckets [bucketsKept + 1]counts
	oldest := r.oldestBucket(now)
	for o, c := range r.keys[k] {
		if i := o.bucket - oldest; i >= 0 && i < int64(len(buckets)) {
			buckets[i].add(c.counts)
		}
	}
	var e Estimate
	for i := range buckets {
		if buckets[i] != (counts{}) {
			e = e.Add(buckets[i].weighted(r.weight(oldest+int64(i), now)))
		}
	}
	return e
}

// Totals returns the unweighted counts of the keys that match accepts, one
// element for each time bucket (a quarter of a half-life) from the one that
// contains since to the one that contains now. Removed buckets are left out.
func (r *Estimator) Totals(match func(Key) bool, since, now clock.Millis) []Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := max(r.bucket(since), r.oldestBucket(now))
	sums := make([]counts, max(0, r.bucket(now)-oldest+1))
	for k, cells := range r.keys {
		if !match(k) {
			continue
		}
		for o, c := range cells {
			if i := o.bucket - oldest; i >= 0 && i < int64(len(sums)) {
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

// add applies change to the counters of the key and of the bucket that contains
// at. It reports false if the bucket was removed or the key is invalid.
func (r *Estimator) add(k Key, at, now clock.Millis, change func(*counts)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(min(at, now))
	if b < r.oldestBucket(now) {
		r.late++
		return false
	}
	if !k.valid() {
		return false
	}
	c := r.cell(k, origin{instance: r.instance, incarnation: r.incarnation, bucket: b})
	change(&c.counts)
	r.markChanged(c)
	r.evict(now)
	return true
}

// cell returns the cell of key and origin, and creates it if necessary.
func (r *Estimator) cell(k Key, o origin) *cell {
	cells := r.keys[k]
	if cells == nil {
		cells = map[origin]*cell{}
		r.keys[k] = cells
	}
	c := cells[o]
	if c == nil {
		c = &cell{key: k, origin: o, hash: hashCell(k, o)}
		cells[o] = c
		heap.Push(&r.order, c)
	}
	return c
}

// markChanged gives the cell the next sequence number.
func (r *Estimator) markChanged(c *cell) {
	r.seq++
	c.seq = r.seq
}

// evict removes the cells of old buckets, and then the lowest cells until no more
// than maxCells are left. Which cells stay depends only on their names and
// buckets, so the order of merges does not matter.
func (r *Estimator) evict(now clock.Millis) {
	oldest := r.oldestBucket(now)
	for len(r.order) > 0 && (len(r.order) > r.maxCells || r.order[0].origin.bucket < oldest) {
		c := heap.Pop(&r.order).(*cell)
		delete(r.keys[c.key], c.origin)
		if len(r.keys[c.key]) == 0 {
			delete(r.keys, c.key)
		}
	}
}

func (r *Estimator) bucketLength() clock.Millis { return r.halfLife / bucketsPerHalfLife }

func (r *Estimator) bucket(t clock.Millis) int64 { return int64(t / r.bucketLength()) }

func (r *Estimator) oldestBucket(now clock.Millis) int64 { return r.bucket(now) - bucketsKept + 1 }

// weight returns the weight of a bucket's counts, which halves with each
// half-life since the end of the bucket.
func (r *Estimator) weight(bucket int64, now clock.Millis) float64 {
	age := now - clock.Millis(bucket+1)*r.bucketLength()
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(r.halfLife))
}
