package stager

import (
	"math"
	"math/bits"

	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// kindSlots is the number of kinds of request that are told apart. Kinds that
	// share a slot are compared together, for both versions alike.
	kindSlots = 32
	// bucketCount is the number of buckets of a histogram. Two buckets cover a
	// factor of two, so the last one begins at 2^19.5: nine minutes in ms.
	bucketCount = 40
	// bucketsPerDouble is the number of buckets that cover a factor of two.
	bucketsPerDouble = 2
)

// measure is one of the latencies of a response.
type measure uint8

const (
	// firstMeasure is the time to the first event or the whole plain response, in
	// percent of the expected time, or in ms if none is known.
	firstMeasure measure = iota
	// paceMeasure is the mean time between the events of a stream, in tenths of a
	// millisecond.
	paceMeasure
	measureCount
)

// latencyKind identifies a measure of one kind of request.
type latencyKind uint8

func newLatencyKind(slot uint8, m measure) latencyKind {
	return latencyKind(slot)*latencyKind(measureCount) + latencyKind(m)
}

func (k latencyKind) measure() measure { return measure(k % latencyKind(measureCount)) }

// kindSlot returns the slot of a kind of request.
func kindSlot(kind string) uint8 { return uint8(matcher.Hash("kind", kind) % kindSlots) }

// Latencies counts the latencies of one kind of request by size, as sent to
// other instances.
type Latencies struct {
	Kind      uint8    `cbor:"1,keyasint"`
	DoneFirst uint8    `cbor:"2,keyasint,omitempty"` // bucket of the first count in Done
	Done      []uint16 `cbor:"3,keyasint,omitempty"` // measured latencies
	OpenFirst uint8    `cbor:"4,keyasint,omitempty"` // bucket of the first count in Open
	Open      []uint16 `cbor:"5,keyasint,omitempty"` // lower bounds: requests that wait or were abandoned
}

// histogram counts values by size.
type histogram [bucketCount]int32

// bucket returns the bucket of a value: bucket b holds the values from 2^(b/2) up
// to 2^((b+1)/2).
func bucket(value int64) int {
	value = max(1, value)
	b := bucketsPerDouble * (bits.Len64(uint64(value)) - 1)
	if float64(value) >= math.Sqrt2*float64(int64(1)<<(b/bucketsPerDouble)) {
		b++
	}
	return min(b, bucketCount-1)
}

func (h *histogram) add(first uint8, counts []uint16) {
	for i, n := range counts {
		h[min(int(first)+i, bucketCount-1)] += int32(n)
	}
}

// from returns the number of values in the buckets from b on.
func (h *histogram) from(b int) int {
	n := 0
	for _, count := range h[min(max(0, b), bucketCount):] {
		n += int(count)
	}
	return n
}

// quantileBucket returns the bucket of the given quantile.
func (h *histogram) quantileBucket(q float64) int {
	rank, sum := q*float64(h.from(0)), 0
	for b, n := range h {
		if sum += int(n); float64(sum) >= rank {
			return b
		}
	}
	return bucketCount - 1
}

// trimmed returns the counts without the zeros at both ends, and the bucket of
// the first one.
func (h *histogram) trimmed() (first uint8, counts []uint16) {
	begin, end := 0, bucketCount
	for begin < end && h[begin] == 0 {
		begin++
	}
	for end > begin && h[end-1] == 0 {
		end--
	}
	if begin == end {
		return 0, nil
	}
	for _, n := range h[begin:end] {
		counts = append(counts, uint16(min(n, math.MaxUint16)))
	}
	return uint8(begin), counts
}

// latencyCounts are the latencies of one kind of request.
type latencyCounts struct {
	done, open histogram
}

// latencyTable holds the latencies of one version.
type latencyTable struct {
	used  uint64 // bit k is set if kinds[k] has counts
	kinds [kindSlots * int(measureCount)]latencyCounts
}

func (t *latencyTable) counts(k latencyKind) *latencyCounts {
	t.used |= 1 << k
	return &t.kinds[k]
}

func (t *latencyTable) has(k latencyKind) bool { return t.used>>k&1 != 0 }

// copyFrom makes the table equal to another one.
func (t *latencyTable) copyFrom(o *latencyTable) {
	for k := range latencyKind(len(t.kinds)) {
		if t.has(k) || o.has(k) {
			t.kinds[k] = o.kinds[k]
		}
	}
	t.used = o.used
}

func (t *latencyTable) merge(list []Latencies) {
	for _, l := range list {
		if int(l.Kind) >= len(t.kinds) {
			continue
		}
		c := t.counts(latencyKind(l.Kind))
		c.done.add(l.DoneFirst, l.Done)
		c.open.add(l.OpenFirst, l.Open)
	}
}

// list returns the table as sent to other instances.
func (t *latencyTable) list() []Latencies {
	var list []Latencies
	for k := range latencyKind(len(t.kinds)) {
		if !t.has(k) {
			continue
		}
		c := &t.kinds[k]
		l := Latencies{Kind: uint8(k)}
		l.DoneFirst, l.Done = c.done.trimmed()
		l.OpenFirst, l.Open = c.open.trimmed()
		if len(l.Done)+len(l.Open) > 0 {
			list = append(list, l)
		}
	}
	return list
}

// Slowness compares the latencies of the target with those of the old version.
type Slowness struct {
	Compared   int     // responses of the target
	Slow       int     // of these, slower than nearly all of the old version by a factor of two
	Expected   float64 // slow responses if the target is like the old version
	Score      float64 // excess over maxSlowRatio times Expected in standard errors of a normal distribution
	Shift      float64 // logarithm to the base 2 of the ratio of the mean latencies
	ShiftScore float64 // excess of Shift over the margin of the measure in standard errors
}

const (
	// slowQuantile is the quantile of the old version's latencies that is compared
	// with. Responses that take twice as long at least are slow.
	slowQuantile = 0.9
	// minOldLatencies is the number of latencies of the old version below which a
	// kind of request is not compared.
	minOldLatencies = 15
	// minBucketVariance is the least variance of latencies in buckets. Nearly
	// equal latencies would make any difference significant.
	minBucketVariance = 1.0
	// maxSlowRatio is the number of slow responses over the expected one that a
	// good version may have. Cold endpoints and empty caches make its first events
	// 1.6 times as late, which triples the number.
	maxSlowRatio = 3.0
)

// margins are the values of Slowness.Shift that a good version may have: factors
// of 1.6 and 1.4. Empty caches delay only the first event.
var margins = [measureCount]float64{firstMeasure: 0.7, paceMeasure: 0.5}

// compare compares the latencies of one measure, summed over all kinds of request
// and for each kind alone, of which the worst is returned.
func compare(target, old *latencyTable, m measure) (all, worst Slowness) {
	var variance, total float64
	for k := range latencyKind(len(target.kinds)) {
		t, o := &target.kinds[k], &old.kinds[k]
		if k.measure() != m || !target.has(k) || !old.has(k) || o.done.from(0) < minOldLatencies {
			continue
		}
		one := countSlow(t, o)
		// Requests in progress count if they take longer than the median already.
		median := o.done.quantileBucket(0.5)
		targetMean, n, _ := t.mean(median)
		oldMean, oldCount, bucketVariance := o.mean(median)
		sum := n * (targetMean - oldMean) / bucketsPerDouble
		sumVariance := n * n * max(minBucketVariance, bucketVariance) * (1/max(1, n) + 1/oldCount) /
			(bucketsPerDouble * bucketsPerDouble)
		one.setScores(sum, sumVariance, n, margins[m])
		if one.score() > worst.score() {
			worst = one
		}
		all.Compared, all.Slow = all.Compared+one.Compared, all.Slow+one.Slow
		all.Expected += one.Expected
		all.Shift += sum
		variance += sumVariance
		total += n
	}
	all.setScores(all.Shift, variance, total, margins[m])
	return all, worst
}

// setScores sets the shift and both scores. sum is the sum of the shifts of n
// responses.
func (s *Slowness) setScores(sum, variance, n, margin float64) {
	if variance > 0 {
		s.Shift = sum / n
		s.ShiftScore = (sum - n*margin) / math.Sqrt(variance)
	}
	s.Score = poissonScore(s.Slow, maxSlowRatio*s.Expected)
}

// poissonScore returns the standard errors at which a normal distribution has
// the probability of at least n events if mean are expected. The number of slow
// responses is far from normal if few are expected.
func poissonScore(n int, mean float64) float64 {
	const maxScore = 8
	if float64(n) <= mean {
		return 0
	}
	term, sum := math.Exp(-mean), 0.0
	for i := range n {
		sum += term
		term *= mean / float64(i+1)
	}
	return min(maxScore, math.Sqrt2*math.Erfinv(min(1, max(0, 2*sum-1))))
}

func (s Slowness) score() float64 { return max(s.Score, s.ShiftScore) }

// countSlow counts the slow responses of one kind. Requests that wait or were
// abandoned count once they are slow already, for both versions alike.
func countSlow(target, old *latencyCounts) Slowness {
	slowFrom := old.done.quantileBucket(slowQuantile) + 1 + bucketsPerDouble
	oldSlow := float64(old.done.from(slowFrom) + old.open.from(slowFrom))
	oldCount := float64(old.done.from(0) + old.open.from(slowFrom))
	rate := (oldSlow + 0.5) / (oldCount + 1)
	s := Slowness{Slow: target.done.from(slowFrom) + target.open.from(slowFrom)}
	s.Compared = target.done.from(0) + target.open.from(slowFrom)
	s.Expected = float64(s.Compared) * rate
	return s
}

// mean returns the mean, number and variance of the latencies in buckets,
// including the open ones above the given bucket.
func (c *latencyCounts) mean(openAbove int) (mean, n, variance float64) {
	var sum, squares float64
	for b, count := range c.done {
		if b > openAbove {
			count += c.open[b]
		}
		n += float64(count)
		sum += float64(int(count) * b)
		squares += float64(int(count) * b * b)
	}
	if n == 0 {
		return 0, 0, 0
	}
	mean = sum / n
	return mean, n, squares/n - mean*mean
}

// exceeds reports whether the target is slower: on average, or in more of its
// responses.
func (s Slowness) exceeds(level strictness, standardErrors float64) bool {
	return s.Compared >= level.compared &&
		(s.ShiftScore > standardErrors || s.Slow >= level.slow && s.Score > standardErrors)
}
