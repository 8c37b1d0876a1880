package scheduler

import (
	"container/heap"
	"math"
)

// entry is one waiting request with its order of arrival.
type entry struct {
	item     Item
	sequence uint64
}

// queue holds the waiting requests of one workspace.
type queue struct {
	entries entries
	counts  map[int]int // waiting requests of each priority
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) push(e entry) {
	if q.counts == nil {
		q.counts = map[int]int{}
	}
	q.counts[e.item.Priority]++
	heap.Push(&q.entries, e)
}

func (q *queue) pop() Item { return q.forget(heap.Pop(&q.entries).(entry).item) }

// remove takes out the request with the id and reports whether it was there.
func (q *queue) remove(id string) bool {
	for k := range q.entries {
		if q.entries[k].item.ID == id {
			q.forget(heap.Remove(&q.entries, k).(entry).item)
			return true
		}
	}
	return false
}

func (q *queue) forget(i Item) Item {
	q.counts[i.Priority]--
	if q.counts[i.Priority] == 0 {
		delete(q.counts, i.Priority)
	}
	return i
}

// before returns how many requests start before a new one of the priority.
func (q *queue) before(priority int) int {
	var n int
	for p, c := range q.counts {
		if p >= priority {
			n += c
		}
	}
	return n
}

// entries is a heap by priority, then by arrival.
type entries []entry

func (q entries) Len() int { return len(q) }

func (q entries) Less(i, j int) bool {
	if q[i].item.Priority != q[j].item.Priority {
		return q[i].item.Priority > q[j].item.Priority
	}
	return q[i].sequence < q[j].sequence
}

func (q entries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *entries) Push(x any) { *q = append(*q, x.(entry)) }

func (q *entries) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = entry{}
	*q = (*q)[:last]
	return e
}

// gain is the weight of a new measurement in an average.
const gain = 0.1

// average is an exponentially weighted mean with its mean absolute deviation
// (as in Jacobson 1988). Its first measurement replaces the value with which it
// starts.
type average struct {
	value     float64
	deviation float64
	measured  bool
}

func (a *average) add(x float64) {
	if !a.measured {
		a.value, a.measured = x, true
		return
	}
	a.deviation += gain * (math.Abs(x-a.value) - a.deviation)
	a.value += gain * (x - a.value)
}

// fresh returns an average that starts at the value of a.
func (a average) fresh() average { return average{value: a.value, deviation: a.deviation} }
