package balancer

import (
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Candidate is an endpoint that may take the request. Times are in ms of the
// endpoint's work.
type Candidate struct {
	ID      string
	Work    float64 // prompts that wait or are read there
	Running int     // requests there
	Slots   int     // requests that run at once; 0: unknown
	Near    bool    // in the instance's data centre
	Cached  bool    // the subject was sent there lately
	Penalty float64 // extra work, for example for an endpoint that has failed
}

// Query is a request.
type Query struct {
	Subject  string  // names the shared part of the prompt; empty: none
	Prompt   float64 // work of the whole prompt
	Shared   float64 // part of Prompt that a cache may hold
	Distance float64 // work that a choice in another data centre must save
}

// Balancer holds the weights.
type Balancer struct {
	RunningWork float64 // ms that each running request delays a new one
	FullWork    float64 // ms for each running request beyond the slots
	HitFirst    float64 // expected share of Shared in the cache of the first of the order, if nothing is known
	HitSecond   float64 // and of the second
	HitCached   float64 // where the subject was sent lately
}

// Default returns the weights of the platform deployment. A decode step of a
// full engine is about 4 ms, of which each request adds about a hundredth; a
// request beyond the slots waits for a running one to end, which takes some
// hundred ms.
func Default() Balancer {
	return Balancer{RunningWork: 1.5, FullWork: 60, HitFirst: 0.7, HitSecond: 0.2, HitCached: 0.95}
}

// Pick returns the index of the best candidate, -1 if there is none. salt
// breaks ties between requests without a subject.
func (b Balancer) Pick(q Query, list []Candidate, salt string) int {
	key := q.Subject
	if key == "" {
		key = salt
	}
	first, second := order(key, list)
	best, bestCost := -1, 0.0
	for i := range list {
		c := &list[i]
		hit := 0.0
		if q.Subject != "" {
			switch {
			case c.Cached:
				hit = b.HitCached
			case i == first:
				hit = b.HitFirst
			case i == second:
				hit = b.HitSecond
			}
		}
		cost := c.Work + q.Prompt - hit*q.Shared + float64(c.Running)*b.RunningWork + c.Penalty
		if over := c.Running + 1 - c.Slots; c.Slots > 0 && over > 0 {
			cost += float64(over) * b.FullWork
		}
		if !c.Near {
			cost += q.Distance
		}
		if i == first {
			cost -= 1e-3
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// order returns the indices of the two first endpoints for a key, nearby ones
// before others.
func order(key string, list []Candidate) (first, second int) {
	first, second = -1, -1
	var h1, h2 uint64
	for i := range list {
		h := matcher.Hash(list[i].ID, key) >> 1
		if list[i].Near {
			h |= 1 << 63
		}
		switch {
		case first < 0 || h > h1:
			second, h2 = first, h1
			first, h1 = i, h
		case second < 0 || h > h2:
			second, h2 = i, h
		}
	}
	return first, second
}
