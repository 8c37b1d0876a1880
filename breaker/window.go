package breaker

import "rosemaryarch.example/rosemaryarch/clock"

// buckets is the number of parts of a sliding window.
const buckets = 10

// window counts results in a ring of buckets, each a tenth of the window long.
type window struct {
	index  int64 // number of the newest bucket, counted from time 0
	total  [buckets]int
	failed [buckets]int
}

// add records one result at now and drops the buckets that have left the window.
func (w *window) add(now, length clock.Millis, succeeded bool) {
	width := max(int64(length)/buckets, 1)
	index := int64(now) / width
	for k := max(w.index+1, index-buckets+1); k <= index; k++ {
		w.total[k%buckets], w.failed[k%buckets] = 0, 0
	}
	w.index = max(w.index, index)
	slot := w.index % buckets
	w.total[slot]++
	if !succeeded {
		w.failed[slot]++
	}
}

func (w *window) sum() (total, failed int) {
	for k := range buckets {
		total += w.total[k]
		failed += w.failed[k]
	}
	return total, failed
}
