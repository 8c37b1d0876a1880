package stager

import (
	"math"
	"math/bits"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// routeSlots is the number of routes that are told apart. Routes that share a slot
	// are compared together.
	routeSlots = 32
	// minRateIncrease is the failure rate of the target minus that of the old
	// version. A third of the requests of one kind in four is 0.08 of all; 0.1 let
	// a version with 13 failures in 125 responses complete.
	minRateIncrease = 0.05
	// minRouteIncrease is the same for one route, of which a bad version fails a third
	// at least.
	minRouteIncrease = 0.15
	// endSpan is the time within which responses that break off at one endpoint have
	// one cause. An endpoint takes at least that long to start again.
	endSpan = 2 * clock.Second
	// endTolerance is the difference between the times at which two instances see an end.
	endTolerance = 300 * clock.Millis(1)
)

// endSet is a set of ends of endpoints by their hashes. Instances that have seen the
// same end set the same bit.
type endSet uint64

// endAt returns the set of one end of an endpoint, given by the hash of its id, at a time
// since the begin of the roll-out.
func endAt(endpoint uint64, elapsed clock.Millis) endSet {
	return 1 << ((endpoint + uint64(max(0, elapsed)/endSpan)) % 64)
}

// Excuse tells that an endpoint, given by the hash of its id, has ended at an instant for
// a reason that no version has.
func (s *Stager) Excuse(endpoint uint64, at clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rollouts {
		if r.finished() {
			continue
		}
		// Instances see an end at slightly different times.
		r.excused |= endAt(endpoint, r.elapsed(at-endTolerance)) | endAt(endpoint, r.elapsed(at+endTolerance))
	}
}

// count returns the number of ends. Ends whose hashes collide count as one.
func (s endSet) count() int { return bits.OnesCount64(uint64(s)) }

// RouteCounts counts the responses of both versions to requests of one route, without
// those that broke off before the first event.
type RouteCounts struct {
	Slot      uint8 `cbor:"1,keyasint"`
	NewServed int   `cbor:"2,keyasint,omitempty"`
	NewFailed int   `cbor:"3,keyasint,omitempty"`
	OldServed int   `cbor:"4,keyasint,omitempty"`
	OldFailed int   `cbor:"5,keyasint,omitempty"`
}

// routeTable holds the counts of all routes, by slot.
type routeTable [routeSlots]RouteCounts

func routeSlot(route string) uint8 { return uint8(matcher.Hash("route", route) % routeSlots) }

// record adds one response.
func (t *routeTable) record(slot uint8, old, failed bool) {
	c := &t[slot]
	served, failures := &c.NewServed, &c.NewFailed
	if old {
		served, failures = &c.OldServed, &c.OldFailed
	}
	*served++
	if failed {
		*failures++
	}
}

func (t *routeTable) merge(list []RouteCounts) {
	for _, o := range list {
		if o.Slot >= routeSlots {
			continue
		}
		c := &t[o.Slot]
		c.NewServed, c.NewFailed = c.NewServed+o.NewServed, c.NewFailed+o.NewFailed
		c.OldServed, c.OldFailed = c.OldServed+o.OldServed, c.OldFailed+o.OldFailed
	}
}

// list returns the table as sent to other instances.
func (t *routeTable) list() []RouteCounts {
	var list []RouteCounts
	for slot, c := range t {
		if c.NewServed+c.OldServed > 0 {
			c.Slot = uint8(slot)
			list = append(list, c)
		}
	}
	return list
}

// failureCounts are responses and the failures among them.
type failureCounts struct{ served, failed int }

func (c failureCounts) rate() float64 { return float64(c.failed) / float64(max(1, c.served)) }

// responses returns the responses of which it is known whether they are failures: not
// those that broke off before the first event.
func (e Evidence) responses() failureCounts {
	return failureCounts{served: e.Served - e.Breaks + e.Begun, failed: e.Failures - e.Breaks}
}

// breaks returns all responses, of which those that broke off count as failed.
func (e Evidence) breaks() failureCounts { return failureCounts{served: e.Served, failed: e.Breaks} }

// failsMore reports whether more responses of the target are failures, of all routes
// or of one, or break off. Responses that break off are compared apart: most of them
// are due to an endpoint that a request or its host has ended, of whatever version.
func (t sums) failsMore(level strictness) bool {
	if exceedsRate(t.target.responses(), t.old.responses(), minRateIncrease, level.failures, level.failErrors) {
		return true
	}
	for _, c := range t.routes {
		target, old := failureCounts{c.NewServed, c.NewFailed}, failureCounts{c.OldServed, c.OldFailed}
		if old.served > 0 && exceedsRate(target, old, minRouteIncrease, level.ofRoute, level.failErrors+kindErrors) {
			return true
		}
	}
	return t.breaksMore(level)
}

// breaksMore compares the responses that broke off. All that one end of an endpoint
// has broken off have one cause, so that the standard errors grow with the root of their
// mean number (the design effect of cluster sampling).
func (t sums) breaksMore(level strictness) bool {
	if (t.target.Ends &^ t.excused).count() < level.ends {
		return false
	}
	ends := t.target.Ends.count() + t.old.Ends.count()
	perEnd := float64(t.target.Breaks+t.old.Breaks) / float64(ends)
	return exceedsRate(t.target.breaks(), t.old.breaks(), minRateIncrease, level.failures,
		level.failErrors*math.Sqrt(max(1, perEnd)))
}

// exceedsRate reports whether the failure rate of the target exceeds that of the old
// version by more than increase and the given number of standard errors. If the old
// version has served nothing, a rate above a third is enough.
func exceedsRate(target, old failureCounts, increase float64, minFailed int, standardErrors float64) bool {
	if target.failed < minFailed {
		return false
	}
	p := failureCounts{target.served + old.served, target.failed + old.failed}.rate()
	n, m := float64(target.served), float64(max(1, old.served))
	standardError := math.Sqrt(p * (1 - p) * (1/n + 1/m))
	excess := target.rate() - old.rate()
	return excess > increase && excess > standardErrors*standardError ||
		old.served == 0 && target.rate() > 1.0/3
}
