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

// Estimator holds the counts of all instances that this instance has received. It is
// safe for concurrent use. Use New to create one.
type Estimator struct {
	instance    string
	incarnation uint64
	halfLife    clock.Millis
	maxCells    int

	mu        sync.Mutex
	keys      map[Key]map[origin]*cell
	order     cellHeap // all cells, the first to be evicted at the top
	seq       uint64   // sequence number of the newest change
	lateCount uint64   // counts that arrived after their bucket was removed
}

// New returns an empty estimator of one incarnation of an instance. The weight of a
// count halves with each halfLife, and counts are removed after five half-lives.
// At most maxCells cells are held; the oldest are evicted first. New panics if
// halfLife is below 4 ms or maxCells is not positive.
func New(instance string, incarnation uint64, halfLife clock.Millis, maxCells int) *Estimator {
	if halfLife < bucketsPerHalfLife || maxCells <= 0 {
		panic("estimator: half-life or number of cells too small")
	}
	return &Estimator{
		instance: instance, incarnation: incarnation, halfLife: halfLife, maxCells: maxCells,
		keys: map[Key]map[origin]*cell{},
	}
}

// CountAnswer counts an answer given at time at, and whether it failed.
func (e *Estimator) CountAnswer(k Key, at, now clock.Millis, failed bool) {
	e.add(k, at, now, func(c *counts) {
		c[served]++
		if failed {
			c[errored]++
		}
	})
}

// CountCheck counts the check of an answer given at time at.
func (e *Estimator) CountCheck(k Key, at, now clock.Millis, passed bool) {
	e.add(k, at, now, func(c *counts) {
		if passed {
			c[checkPassed]++
		} else {
			c[checkFailed]++
		}
	})
}

// CountRatingRequest counts an answer given at time at for which a rating is
// requested.
func (e *Estimator) CountRatingRequest(k Key, at, now clock.Millis) {
	e.add(k, at, now, func(c *counts) { c[asked]++ })
}

// CountRating counts the rating of an answer given at time at. The quality is clipped
// to [0, 1]. CountRating reports false if the rating is not counted: its bucket has
// been removed, the quality is NaN or the key is invalid.
func (e *Estimator) CountRating(k Key, at, now clock.Millis, quality float64) bool {
	if math.IsNaN(quality) {
		return false
	}
	q := uint64(math.Round(min(1, max(0, quality)) * qualityScale))
	return e.add(k, at, now, func(c *counts) {
		c[rated]++
		c[sum] += q
		c[squares] += q * q
	})
}

// LateCounts returns the number of counts that arrived after their bucket was removed.
func (e *Estimator) LateCounts() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lateCount
}

// Cells returns the number of cells held.
func (e *Estimator) Cells() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.order)
}

// Estimate returns the weighted counts of one key. Counts are added as integers
// within each bucket before they are weighted, so that the result does not depend
// on the order of the cells.
func (e *Estimator) Estimate(k Key, now clock.Millis) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var buckets [bucketsKept + 1]counts
	oldest := e.oldestBucket(now)
	for o, c := range e.keys[k] {
		if i := o.bucket - oldest; i >= 0 && i < int64(len(buckets)) {
			buckets[i].add(c.counts)
		}
	}
	var total Estimate
	for i := range buckets {
		if buckets[i] != (counts{}) {
			total = total.Add(buckets[i].weighted(e.weight(oldest+int64(i), now)))
		}
	}
	return total
}

// Totals returns the unweighted counts of the keys that match accepts, one
// element for each time bucket (a quarter of a half-life) from the one that
// contains since to the one that contains now. Removed buckets are left out.
func (e *Estimator) Totals(match func(Key) bool, since, now clock.Millis) []Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := max(e.bucket(since), e.oldestBucket(now))
	sums := make([]counts, max(0, e.bucket(now)-oldest+1))
	for k, cells := range e.keys {
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
func (e *Estimator) add(k Key, at, now clock.Millis, change func(*counts)) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.bucket(min(at, now))
	if b < e.oldestBucket(now) {
		e.lateCount++
		return false
	}
	if !k.valid() {
		return false
	}
	c := e.cell(k, origin{instance: e.instance, incarnation: e.incarnation, bucket: b})
	change(&c.counts)
	e.markChanged(c)
	e.evict(now)
	return true
}

// cell returns the cell of the key and origin, and creates it if necessary.
func (e *Estimator) cell(k Key, o origin) *cell {
	cells := e.keys[k]
	if cells == nil {
		cells = map[origin]*cell{}
		e.keys[k] = cells
	}
	c := cells[o]
	if c == nil {
		c = &cell{key: k, origin: o, hash: hashCell(k, o)}
		cells[o] = c
		heap.Push(&e.order, c)
	}
	return c
}

// markChanged gives the cell the next sequence number.
func (e *Estimator) markChanged(c *cell) {
	e.seq++
	c.seq = e.seq
}

// evict removes the cells of old buckets, and then the lowest cells until no more
// than maxCells are left. Which cells stay depends only on their names and
// buckets, so the order of merges does not matter.
func (e *Estimator) evict(now clock.Millis) {
	oldest := e.oldestBucket(now)
	for len(e.order) > 0 && (len(e.order) > e.maxCells || e.order[0].origin.bucket < oldest) {
		c := heap.Pop(&e.order).(*cell)
		delete(e.keys[c.key], c.origin)
		if len(e.keys[c.key]) == 0 {
			delete(e.keys, c.key)
		}
	}
}

func (e *Estimator) bucketLength() clock.Millis { return e.halfLife / bucketsPerHalfLife }

func (e *Estimator) bucket(t clock.Millis) int64 { return int64(t / e.bucketLength()) }

func (e *Estimator) oldestBucket(now clock.Millis) int64 { return e.bucket(now) - bucketsKept + 1 }

// weight returns the weight of a bucket's counts, which halves with each
// half-life since the end of the bucket.
func (e *Estimator) weight(bucket int64, now clock.Millis) float64 {
	age := now - clock.Millis(bucket+1)*e.bucketLength()
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(e.halfLife))
}
