package scheduler

import (
	"container/heap"
	"math"
)

// entry is one waiting request.
type entry struct {
	request  Request
	sequence uint64 // increases with the order of arrival
}

// queue holds the waiting requests of one workspace.
type queue struct {
	entries         entries
	countByPriority map[int]int // number of waiting requests of each priority
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) push(e entry) {
	if q.countByPriority == nil {
		q.countByPriority = map[int]int{}
	}
	q.countByPriority[e.request.Priority]++
	heap.Push(&q.entries, e)
}

func (q *queue) pop() Request { return q.uncount(heap.Pop(&q.entries).(entry).request) }

// remove removes the request with the given ID and reports whether it was in the
// queue.
func (q *queue) remove(id string) bool {
	for k := range q.entries {
		if q.entries[k].request.ID == id {
			q.uncount(heap.Remove(&q.entries, k).(entry).request)
			return true
		}
	}
	return false
}

// uncount subtracts a removed request from the counts and returns it.
func (q *queue) uncount(request Request) Request {
	q.countByPriority[request.Priority]--
	if q.countByPriority[request.Priority] == 0 {
		delete(q.countByPriority, request.Priority)
	}
	return request
}

// countAhead returns the number of waiting requests that start before a new one
// of the given priority.
func (q *queue) countAhead(priority int) int {
	var n int
	for p, c := range q.countByPriority {
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
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
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

// averageGain is the weight of a new sample in an average.
const averageGain = 0.1

// average is an exponentially weighted moving average with its mean absolute
// deviation (as in Jacobson 1988). The first sample replaces the initial mean.
type average struct {
	mean      float64
	deviation float64 // mean absolute deviation
	hasSample bool
}

func (a *average) add(x float64) {
	if !a.hasSample {
		a.mean, a.hasSample = x, true
		return
	}
	a.deviation += averageGain * (math.Abs(x-a.mean) - a.deviation)
	a.mean += averageGain * (x - a.mean)
}

// withoutSamples returns an average whose initial mean and deviation are those
// of a.
func (a average) withoutSamples() average { return average{mean: a.mean, deviation: a.deviation} }
