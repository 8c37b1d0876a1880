package stager

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Evidence summarises the responses of one version.
type Evidence struct {
	Served     int     `cbor:"1,keyasint,omitempty"` // responses that count
	Failures   int     `cbor:"2,keyasint,omitempty"` // responses that failed or broke off
	Timed      int     `cbor:"3,keyasint,omitempty"` // responses with a latency
	LogSum     float64 `cbor:"4,keyasint,omitempty"` // sum of the logarithms of the latencies in ms
	LogSquares float64 `cbor:"5,keyasint,omitempty"` // sum of the squares of these logarithms
	Breaks     int     `cbor:"6,keyasint,omitempty"` // of Failures, responses that broke off
	Begun      int     `cbor:"8,keyasint,omitempty"` // of Breaks, responses of which events had arrived
	Ends       endSet  `cbor:"7,keyasint,omitempty"` // ends of endpoints that may have broken them off
}

// Report is the evidence of one instance about a roll-out.
type Report struct {
	Service     string   `cbor:"1,keyasint"`
	Target      string   `cbor:"2,keyasint"`
	Elapsed     int64    `cbor:"3,keyasint"`           // ms since any instance first saw the roll-out
	Stopped     bool     `cbor:"4,keyasint,omitempty"` // the target was judged bad
	OldInFlight int      `cbor:"5,keyasint,omitempty"` // requests in progress on the old version
	New         Evidence `cbor:"6,keyasint"`           // of the target
	Old         Evidence `cbor:"7,keyasint"`           // of all other versions

	// Instances of earlier builds neither send nor read the following.
	NewLatencies []Latencies `cbor:"8,keyasint,omitempty"`
	OldLatencies []Latencies `cbor:"9,keyasint,omitempty"`
	Doubtful     bool        `cbor:"10,keyasint,omitempty"` // the target may be bad
	Stage        stage       `cbor:"11,keyasint,omitempty"` // share that this instance uses

	Routes  []RouteCounts `cbor:"12,keyasint,omitempty"` // unknown to earlier builds, too
	NewSent int           `cbor:"13,keyasint,omitempty"` // requests sent to the target
	OldSent int           `cbor:"14,keyasint,omitempty"` // requests sent to all other versions
}

func (e Evidence) add(o Evidence) Evidence {
	return Evidence{
		Served: e.Served + o.Served, Failures: e.Failures + o.Failures, Timed: e.Timed + o.Timed,
		LogSum: e.LogSum + o.LogSum, LogSquares: e.LogSquares + o.LogSquares,
		Breaks: e.Breaks + o.Breaks, Begun: e.Begun + o.Begun, Ends: e.Ends | o.Ends,
	}
}

// logMean returns the mean of the logarithms of the latencies and the variance
// of that mean.
func (e Evidence) logMean() (m, v float64) {
	n := float64(e.Timed)
	m = e.LogSum / n
	return m, max(0.05, e.LogSquares/n-m*m) / n
}

// sums is the evidence of all instances.
type sums struct {
	target, old Evidence
	oldInFlight int
	excused     endSet
	targetSent  int
	oldSent     int
	routes      routeTable
	all, worst  [measureCount]Slowness // of all kinds of request, and of the worst one
}

// sums adds up the evidence of this instance and of all others. It overwrites
// both tables.
func (r *rolloutState) sums(now clock.Millis, targetLatencies, oldLatencies *latencyTable) sums {
	t := sums{target: r.report.New, old: r.report.Old, oldInFlight: r.report.OldInFlight, routes: r.routes}
	t.targetSent, t.oldSent, t.excused = r.report.NewSent, r.report.OldSent, r.excused
	r.copyLatencies(now, targetLatencies, oldLatencies)
	for p := range r.others {
		t.target, t.old = t.target.add(p.New), t.old.add(p.Old)
		t.oldInFlight += p.OldInFlight
		t.targetSent, t.oldSent = t.targetSent+p.NewSent, t.oldSent+p.OldSent
		t.routes.merge(p.Routes)
		targetLatencies.merge(p.NewLatencies)
		oldLatencies.merge(p.OldLatencies)
	}
	for m := range measureCount {
		t.all[m], t.worst[m] = compare(targetLatencies, oldLatencies, m)
	}
	return t
}

// strictness says how much evidence against the target is required.
type strictness struct {
	failures   int     // of the target, below which the rate does not count
	ofRoute    int     // the same for one route
	falseAlarm float64 // probability that equally good versions differ that much on a route
	ends       int     // ends of endpoints of the target, below which broken responses do not count
	failErrors float64 // standard errors of the difference between the failure rates
	compared   int     // latencies of the target
	slow       int     // slow responses of the target, below which they do not count
	slowErrors float64 // standard errors of a difference between latencies
}

// The evidence is evaluated about a hundred times in a roll-out, so an immediate
// verdict requires more of it than the decisions before completion. The last one, of a
// plain service, requires the least, and a little less keeps its roll-out undecided. A bad
// version fails a third of its requests of one kind at least, or takes several times as
// long. Ends of endpoints need more evidence: one request that crashes endpoints may end
// several of the same version before it is held.
var (
	immediate = strictness{
		failures: 5, ofRoute: 4, falseAlarm: 2e-4, ends: 7, failErrors: 3.5, compared: 10, slow: 5, slowErrors: 3.8,
	}
	final = strictness{
		failures: 4, ofRoute: 3, falseAlarm: 6.5e-3, ends: 6, failErrors: 2.6, compared: 8, slow: 4, slowErrors: 3,
	}
	last = strictness{
		failures: 4, ofRoute: 3, falseAlarm: 1.5e-2, ends: 6, failErrors: 2.6, compared: 8, slow: 4, slowErrors: 3,
	}
	undecided = strictness{
		failures: 4, ofRoute: 3, falseAlarm: 2.2e-2, ends: 6, failErrors: 2.6, compared: 8, slow: 4, slowErrors: 3,
	}
	doubt = strictness{
		failures: 3, ofRoute: 2, falseAlarm: 3e-2, ends: 4, failErrors: 2, compared: 5, slow: 3, slowErrors: 1.5,
	}
)

const (
	// kindErrors are the standard errors required in addition for one kind of
	// request, since the worst of about ten kinds is judged.
	kindErrors = 0.7

	minSlowdown = 2.2 // ratio of the mean latencies, for instances of earlier builds
	minTimed    = 10  // latencies of each version for that ratio
)

// isWorse reports whether the target is worse than the old version: by its
// failure rate or by its latency.
func (t sums) isWorse(level strictness) bool {
	if t.failsMore(level) {
		return true
	}
	compared := 0
	for m, all := range t.all {
		if all.exceeds(level, level.slowErrors) || t.worst[m].exceeds(level, level.slowErrors+kindErrors) {
			return true
		}
		compared += all.Compared
	}
	return compared == 0 && t.meanIsWorse(level)
}

// slowest returns the comparison that speaks most against the target.
func (t sums) slowest() Slowness {
	var result Slowness
	for m, all := range t.all {
		if result.Compared == 0 || all.score() > result.score() {
			result = all
		}
		if worst := t.worst[m]; worst.score() > result.score()+kindErrors {
			result = worst
		}
	}
	return result
}

// meanIsWorse compares the mean latencies of all kinds of request. It is used if
// no kind can be compared, as with the evidence of instances of earlier builds.
func (t sums) meanIsWorse(level strictness) bool {
	if t.target.Timed < minTimed || t.old.Timed < minTimed {
		return false
	}
	targetMean, targetVariance := t.target.logMean()
	oldMean, oldVariance := t.old.logMean()
	logRatio := targetMean - oldMean
	return logRatio > math.Log(minSlowdown) &&
		logRatio > level.failErrors*math.Sqrt(targetVariance+oldVariance)
}
