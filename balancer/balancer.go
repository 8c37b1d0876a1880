package balancer

import (
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Candidate is an endpoint that may serve the request. Work is in ms of the
// endpoint's time.
type Candidate struct {
	ID      string
	Work    float64 // prompts that are queued or in prefill
	Running int     // requests in progress
	Slots   int     // requests that can run at the same time; 0 if unknown
	Local   bool    // in the data centre of this instance
	Cached  bool    // the prefix was sent there recently
	Penalty float64 // additional work, for example after a failure
	// Reserved marks the endpoints that read long prompts.
	Reserved bool
	Factor   float64 // durations there relative to those of other endpoints; 0 if unknown
}

// Query describes a request. Work is in ms.
type Query struct {
	PrefixID   string  // id of the shared prompt prefix; empty if there is none
	Prompt     float64 // work of the whole prompt
	Shared     float64 // part of Prompt that a cache may save
	RemoteCost float64 // work that an endpoint in another data centre must save
	// Gap is the time in ms between events that the streams of the service tolerate;
	// 0: unknown, and reserved endpoints are like others.
	Gap       float64
	Long      bool    // the prompt's prefill takes so long that reserved endpoints read it
	GroupCost float64 // work that an endpoint of the other group must save; at most Gap
}

// wrongGroup reports whether an endpoint should be left to other requests.
func (q *Query) wrongGroup(c *Candidate) bool { return q.GroupCost > 0 && c.Reserved != q.Long }

// Balancer holds the weights of the cost function.
type Balancer struct {
	OwnWork float64 // weight of the request's own work relative to queued work: it delays all later requests
	// GroupedOwnWork replaces OwnWork where endpoints are reserved for long prompts. With
	// OwnWork, prompts stay at busy endpoints of their group that hold a part of them.
	GroupedOwnWork float64
	// SpeedWork is the weight of the time by which the request's own work takes longer
	// there than at the median endpoint. With OwnWork's weight, long prompts wait behind
	// each other at the fastest endpoints while slower ones are idle.
	SpeedWork    float64
	RunningWork  float64 // ms by which each running request delays a new one
	OverflowWork float64 // ms for each request beyond the slots
	HitFirst     float64 // expected cached share of Shared at the first preferred endpoint, without other information
	HitSecond    float64 // the same at the second preferred endpoint
	HitCached    float64 // the same where the prefix was sent recently
	LateWork     float64 // weight, per running request, of the work by which prompts exceed Query.Gap
}

// Default returns the weights of the platform deployment. A decode step of a
// full engine takes about 4 ms, of which each request adds about a hundredth. A
// request beyond the slots waits until a running one ends, which takes a few
// hundred ms. With a LateWork of 0.3, more streams were late in the simulated overload
// of package dispatcher.
func Default() Balancer {
	return Balancer{
		OwnWork: 6, GroupedOwnWork: 4, SpeedWork: 1, RunningWork: 1.5, OverflowWork: 60,
		HitFirst: 0.7, HitSecond: 0.2, HitCached: 0.95, LateWork: 0.03,
	}
}

// preferredCount is the number of endpoints preferred for a prefix, of which the
// one with the lowest cost is chosen. A small number keeps instances with the
// same, slightly outdated load reports from choosing the same endpoint at once
// (Mitzenmacher: The power of two choices, IEEE Transactions on Parallel and
// Distributed Systems 12, 2001).
const preferredCount = 3

// spillMargin is the work in ms that another endpoint must save to be chosen
// instead of a preferred one.
const spillMargin = 250

// Pick returns the index of a candidate, or -1 if there is none. It compares the
// preferred candidates with a few others, and with all if the lowest cost among
// those reaches overloadCost. The salt determines the preferred candidates of a
// request without a prefix, and the others.
func (b Balancer) Pick(q Query, list []Candidate, salt string) int {
	key := q.PrefixID
	if key == "" {
		key = salt
	}
	// A cache hit that saves more than the cost of another data centre is worth
	// using anywhere. Otherwise local endpoints go first.
	anywhere := q.PrefixID != "" && b.HitFirst*q.Shared > q.RemoteCost
	preferred := rendezvous(&q, key, list, anywhere)
	best, bestCost := -1, 0.0
	for rank, i := range preferred {
		if i < 0 {
			break
		}
		if cost := b.cost(q, &list[i], rank); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	// Of the other endpoints only a few are considered, which differ between
	// requests.
	for _, i := range rendezvous(&q, salt, list, false) {
		if i < 0 {
			break
		}
		if cost := b.cost(q, &list[i], len(preferred)) + spillMargin; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	overload := float64(overloadCost)
	if best >= 0 && list[best].Factor > 0 && list[best].Factor != 1 {
		// Instances that agree on the speeds would all choose the fastest endpoint. With
		// GroupedOwnWork as the weight, more streams were late.
		overload += b.OwnWork * q.Prompt
	}
	if bestCost < overload {
		return best
	}
	for i := range list {
		if cost := b.cost(q, &list[i], len(preferred)); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// overloadCost is the cost in ms from which all endpoints are considered. For long
// prompts of large models the weighted work of the request alone may reach it.
const overloadCost = 1000

// cost returns the cost in ms of a request at an endpoint. rank is the
// endpoint's position in the order of preference.
func (b Balancer) cost(q Query, c *Candidate, rank int) float64 {
	hit := 0.0
	if q.PrefixID != "" {
		switch {
		case c.Cached:
			hit = b.HitCached
		case rank == 0:
			hit = b.HitFirst
		case rank == 1:
			hit = b.HitSecond
		}
	}
	own := q.Prompt - hit*q.Shared
	cost := c.Work + b.ownWeight(&q)*own + float64(c.Running)*b.RunningWork + c.Penalty
	if q.Gap > 0 {
		cost += b.gapCost(&q, c, own)
	}
	if c.Factor > 0 {
		cost += b.SpeedWork * (c.Factor - 1) * own
	}
	if excess := c.Running + 1 - c.Slots; c.Slots > 0 && excess > 0 {
		cost += float64(excess) * b.OverflowWork
	}
	if !c.Local {
		cost += q.RemoteCost
	}
	return cost
}

// ownWeight returns the weight of the request's own work.
func (b Balancer) ownWeight(q *Query) float64 {
	if q.Gap > 0 {
		return b.GroupedOwnWork
	}
	return b.OwnWork
}

// gapCost returns the cost of an endpoint of the other group, and of running streams
// that become late by the request's own work.
func (b Balancer) gapCost(q *Query, c *Candidate, own float64) float64 {
	cost := 0.0
	if q.wrongGroup(c) {
		cost = q.GroupCost
	}
	if excess := c.Work + own - q.Gap; excess > 0 {
		// The bound keeps the cost of the group the larger one.
		cost += min(q.Gap/2, excess*float64(c.Running)*b.LateWork)
	}
	return cost
}

// rendezvous returns the indices of the candidates with the highest hashes for a
// key, in descending order; -1 where there are fewer. Local candidates go before
// others unless anywhere is set, and among equals those of the request's group.
func rendezvous(q *Query, key string, list []Candidate, anywhere bool) [preferredCount]int {
	best := [preferredCount]int{-1, -1, -1}
	var hashes [preferredCount]uint64
	for i := range list {
		h := matcher.Hash(list[i].ID, key) >> 2
		if !q.wrongGroup(&list[i]) {
			h |= 1 << 62
		}
		if list[i].Local && !anywhere {
			h |= 1 << 63
		}
		for k := range best {
			if best[k] < 0 || h > hashes[k] {
				copy(best[k+1:], best[k:])
				copy(hashes[k+1:], hashes[k:])
				best[k], hashes[k] = i, h
				break
			}
		}
	}
	return best
}
