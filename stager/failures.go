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
	// minRateIncrease is the failure rate of the target minus that of the old version
	// which makes a version worse, however many responses show it. A single endpoint
	// that spoils a few responses causes less.
	minRateIncrease = 0.02
	// minRouteIncrease is the same for one route, of which a bad version fails a third at
	// least, or a tenth if only a part of its endpoints is busy.
	minRouteIncrease = 0.1
	// minMeanIncrease is the same where routes cannot be compared. A third of the
	// requests of one kind in four is 0.08 of all; 0.1 let a version with 13 failures in
	// 125 responses complete.
	minMeanIncrease = 0.05
	// minLoaded is the number of responses to requests of the full share from which they
	// are tested apart. The test is repeated as their number grows.
	minLoaded = 12
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
// those that broke off before the first event. Loaded are those of New to requests that
// were sent while the target served all sessions.
type RouteCounts struct {
	Slot      uint8 `cbor:"1,keyasint"`
	NewServed int   `cbor:"2,keyasint,omitempty"`
	NewFailed int   `cbor:"3,keyasint,omitempty"`
	OldServed int   `cbor:"4,keyasint,omitempty"`
	OldFailed int   `cbor:"5,keyasint,omitempty"`

	// Instances of earlier builds neither send nor read the following.
	LoadedServed int `cbor:"6,keyasint,omitempty"`
	LoadedFailed int `cbor:"7,keyasint,omitempty"`
}

// routeTable holds the counts of all routes, by slot.
type routeTable [routeSlots]RouteCounts

func routeSlot(route string) uint8 { return uint8(matcher.Hash("route", route) % routeSlots) }

// recordServed adds one response. loaded tells that the target served all sessions when
// the request was sent.
func (t *routeTable) recordServed(slot uint8, old, loaded bool) {
	c := &t[slot]
	switch {
	case old:
		c.OldServed++
	case loaded:
		c.LoadedServed++
		c.NewServed++
	default:
		c.NewServed++
	}
}

// recordFailed tells that one of the responses is a failure.
func (t *routeTable) recordFailed(slot uint8, old, loaded bool) {
	c := &t[slot]
	switch {
	case old:
		c.OldFailed++
	case loaded:
		c.LoadedFailed++
		c.NewFailed++
	default:
		c.NewFailed++
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
		c.LoadedServed, c.LoadedFailed = c.LoadedServed+o.LoadedServed, c.LoadedFailed+o.LoadedFailed
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

// loaded returns the number of responses to requests of the full share, and of the
// failures among them.
func (t *routeTable) loaded() (served, failed int) {
	for _, c := range t {
		served, failed = served+c.LoadedServed, failed+c.LoadedFailed
	}
	return served, failed
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
	if t.hasAllRoutes() {
		return t.routesFailMore(level) || t.breaksMore(level)
	}
	return exceedsRate(t.target.responses(), t.old.responses(), minMeanIncrease, level.failures, level.failErrors) ||
		t.breaksMore(level)
}

// hasAllRoutes reports whether the routes of all responses are known, and the old version
// has served some. Instances of earlier builds send no routes.
func (t sums) hasAllRoutes() bool {
	target, old := 0, 0
	for _, c := range t.routes {
		target, old = target+c.NewServed, old+c.OldServed
	}
	return old > 0 && target >= t.target.responses().served && old >= t.old.responses().served
}

// routesFailMore reports whether the responses of one route, or of all routes, are
// failures more often than on the old version. Each route is compared with its own rate
// there: the versions do not serve the same mix of routes, and a route that the old
// version has not served may fail on any. The responses of the full share are tested
// apart as well, since a version that fails under load only has many sound responses from
// before. The probability of a false alarm is divided among the routes that can cause one
// (Tarone: A modified Bonferroni method for discrete data, Biometrics 46, 1990); the samples
// of one route are strongly correlated.
func (t sums) routesFailMore(level strictness) bool {
	var all, loaded []comparison
	testable := 0 // routes that can fail a test, given the number of their failures
	for _, c := range t.routes {
		old := failureCounts{c.OldServed, c.OldFailed}
		if old.served == 0 {
			continue
		}
		if c.NewServed >= level.ofRoute && c.leastFalseAlarm() < level.falseAlarm {
			testable++
		}
		if c.NewServed > 0 {
			all = append(all, comparison{failureCounts{c.NewServed, c.NewFailed}, old})
		}
		if c.LoadedServed >= minLoaded {
			loaded = append(loaded, comparison{failureCounts{c.LoadedServed, c.LoadedFailed}, old})
		}
	}
	probability := level.falseAlarm / float64(max(1, testable))
	for _, list := range [][]comparison{all, loaded} {
		if differ(list, minRateIncrease, level.failures, probability) {
			return true
		}
		for i := range list {
			if differ(list[i:i+1], minRouteIncrease, level.ofRoute, probability) {
				return true
			}
		}
	}
	return false
}

// comparison holds the responses of both versions to requests of one route.
type comparison struct{ target, old failureCounts }

// differ reports whether the target fails more often, summed over routes: by more than
// increase, and by more than chance explains with the given probability if both versions
// are alike.
func differ(list []comparison, increase float64, minFailed int, probability float64) bool {
	served, failed, expected := 0, 0, 0.0
	for _, c := range list {
		served, failed = served+c.target.served, failed+c.target.failed
		expected += float64(c.target.served) * c.old.rate()
	}
	return failed >= minFailed && float64(failed)-expected > increase*float64(served) &&
		falseAlarm(list, failed) < probability
}

// falseAlarm returns the probability that at least the given number of failures fall to
// the target if both versions fail equally often on each route. It is the one-sided exact
// test of Fisher (The logic of inductive inference, Journal of the Royal Statistical
// Society 98, 1935), which holds for few responses too, with each route as a stratum.
func falseAlarm(list []comparison, failed int) float64 {
	sum := []float64{1} // probabilities of the numbers of failures of the routes so far
	for _, c := range list {
		sum = convolve(sum, hypergeometric(c.target.served, c.old.served, c.target.failed+c.old.failed))
	}
	p := 0.0
	for _, q := range sum[min(failed, len(sum)):] {
		p += q
	}
	return min(1, p)
}

// hypergeometric returns the probabilities that 0, 1, ... of the failures among n + m
// responses fall to the n.
func hypergeometric(n, m, failures int) []float64 {
	probabilities := make([]float64, min(n, failures)+1)
	all := logBinomial(n+m, failures)
	for k := max(0, failures-m); k < len(probabilities); k++ {
		probabilities[k] = math.Exp(logBinomial(n, k) + logBinomial(m, failures-k) - all)
	}
	return probabilities
}

// leastFalseAlarm returns the probability of a false alarm if all failures of the route
// that can fall to the target do so. It is 1 for a route that never fails or always does.
func (c RouteCounts) leastFalseAlarm() float64 {
	n, m, failures := c.NewServed, c.OldServed, c.NewFailed+c.OldFailed
	k := min(n, failures)
	return math.Exp(logBinomial(n, k) + logBinomial(m, failures-k) - logBinomial(n+m, failures))
}

// convolve returns the distribution of the sum of two independent numbers.
func convolve(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i, p := range a {
		for j, q := range b {
			sum[i+j] += p * q
		}
	}
	return sum
}

// logBinomial returns the natural logarithm of the number of ways to choose k of n.
func logBinomial(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
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
	return exceedsRate(t.target.breaks(), t.old.breaks(), minMeanIncrease, level.failures,
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
