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
	OwnWork     float64 // weight of the request's own work against waiting: it delays all that come after it
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
	return Balancer{OwnWork: 6, RunningWork: 1.5, FullWork: 60, HitFirst: 0.7, HitSecond: 0.2, HitCached: 0.95}
}

// choices is the number of endpoints, the first of the order for the request's
// subject, among which the least loaded is taken. A few choices keep instances
// with the same, slightly old reports from taking the same endpoint at once
// (Mitzenmacher: The power of two choices, IEEE Transactions on Parallel and
// Distributed Systems 12, 2001).
const choices = 3

// spill is the work in ms by which another endpoint must be better than all
// choices to be taken.
const spill = 250

// Pick returns the index of the best candidate, -1 if there is none. salt
// orders the endpoints for requests without a subject and those beyond the
// choices.
func (b Balancer) Pick(q Query, list []Candidate, salt string) int {
	key := q.Subject
	if key == "" {
		key = salt
	}
	// A cache that saves more than a far endpoint costs is worth its place
	// anywhere; the others are looked for nearby.
	anywhere := q.Subject != "" && b.HitFirst*q.Shared > q.Distance
	chosen := order(key, list, anywhere)
	best, bestCost := -1, 0.0
	for rank, i := range chosen {
		if i < 0 {
			break
		}
		if cost := b.cost(q, &list[i], rank); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	// Of the others, too, only a few are looked at, which differ by request.
	for _, i := range order(salt, list, false) {
		if i < 0 {
			break
		}
		if cost := b.cost(q, &list[i], len(chosen)) + spill; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if bestCost < unusable {
		return best
	}
	for i := range list {
		if cost := b.cost(q, &list[i], len(chosen)); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// unusable is a cost in ms at which all other endpoints are looked at. Long
// prompts of large models reach it by the weight of their own work alone.
const unusable = 1000

// cost returns the work in ms that waits at an endpoint and the weighted work of
// the request there. rank is the endpoint's place in the order of the subject.
func (b Balancer) cost(q Query, c *Candidate, rank int) float64 {
	hit := 0.0
	if q.Subject != "" {
		switch {
		case c.Cached:
			hit = b.HitCached
		case rank == 0:
			hit = b.HitFirst
		case rank == 1:
			hit = b.HitSecond
		}
	}
	cost := c.Work + b.OwnWork*(q.Prompt-hit*q.Shared) + float64(c.Running)*b.RunningWork + c.Penalty
	if over := c.Running + 1 - c.Slots; c.Slots > 0 && over > 0 {
		cost += float64(over) * b.FullWork
	}
	if !c.Near {
		cost += q.Distance
	}
	return cost
}

// order returns the indices of the first endpoints for a key, nearby ones
// before others unless anywhere is set; -1 where there are fewer.
func order(key string, list []Candidate, anywhere bool) [choices]int {
	first := [choices]int{-1, -1, -1}
	var hashes [choices]uint64
	for i := range list {
		h := matcher.Hash(list[i].ID, key) >> 1
		if list[i].Near && !anywhere {
			h |= 1 << 63
		}
		for k := range first {
			if first[k] < 0 || h > hashes[k] {
				copy(first[k+1:], first[k:])
				copy(hashes[k+1:], hashes[k:])
				first[k], hashes[k] = i, h
				break
			}
		}
	}
	return first
}
