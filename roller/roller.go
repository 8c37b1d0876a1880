package roller

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/rater"
)

// The reasons of a share, and of a stop.
const (
	ReasonStopped   = "stopped"   // a stop record names the version
	ReasonWithdrawn = "withdrawn" // the configuration withdraws the version
	ReasonQuality   = "quality"   // rated quality is below that of the current version
	ReasonErrors    = "errors"    // error rate is above that of the current version
	ReasonHeld      = "held"      // waits for its bounds to clear
	ReasonDwell     = "dwell"     // waits for the time of the step to pass
	ReasonCeiling   = "ceiling"   // halted at the configured ceiling
	ReasonComplete  = "complete"  // all steps are cleared
)

// StopRecord states that the test stopped a version. It is a record of the
// system beside the configuration text; a text that states the version's state
// anew clears it.
type StopRecord struct {
	Version   string       `json:"version" cbor:"version"`
	Current   string       `json:"current" cbor:"current"` // version it was compared with
	Reason    string       `json:"reason" cbor:"reason"`   // ReasonQuality or ReasonErrors
	At        clock.Millis `json:"at" cbor:"at"`
	Instance  string       `json:"instance" cbor:"instance"`
	Candidate float64      `json:"candidate" cbor:"candidate"` // mean of the stopped version
	Baseline  float64      `json:"baseline" cbor:"baseline"`   // mean of the current version at the same times
	Samples   float64      `json:"samples" cbor:"samples"`     // ratings or answers of the stopped version
}

// Rollout is the state of one roll-out. The counts are those of the whole fleet
// since the start, without ageing, over the workspaces that allow both versions,
// by span of time; see rater.Totals. Spans must be short against the time in
// which the traffic changes, since both versions are compared within each.
type Rollout struct {
	Version   string
	Current   string
	Since     clock.Millis
	Ceiling   float64 // largest share allowed; a halted roll-out has the share at which it was halted
	Withdrawn bool
	Candidate []rater.Estimate
	Baseline  []rater.Estimate
	Stops     []StopRecord // all known stop records, including those of other instances
}

// Roller holds the parameters. Use Default and change fields as needed.
type Roller struct {
	Instance string
	Steps    []float64 // increasing shares of new sessions; the last is 1
	// QualityMargins and ErrorMargins state, for leaving each step but the last,
	// by how much the bound of the new version may be worse than the current mean.
	QualityMargins   []float64
	ErrorMargins     []float64
	Dwell            clock.Millis // shortest time on each step
	QualityTolerance float64      // difference that does not count as worse
	ErrorTolerance   float64
	Alpha            float64 // error probability of each test
	BaselineErrors   float64 // standard errors by which the current mean may be wrong
}

// Default returns the usual parameters. The error probabilities of the two tests
// add up to 0.6%. Four standard errors leave room for repeated looks at the mean of
// the current version. The step of 90% keeps a current version to compare with for a
// while.
func Default(instance string) Roller {
	return Roller{
		Instance:         instance,
		Steps:            []float64{0.01, 0.05, 0.2, 0.5, 0.9, 1},
		QualityMargins:   []float64{0.05, 0.05, 0.04, 0.03, 0.03},
		ErrorMargins:     []float64{0.03, 0.02, 0.015, 0.015, 0.015},
		Dwell:            20 * clock.Minute,
		QualityTolerance: 0.01,
		ErrorTolerance:   0.005,
		Alpha:            0.003,
		BaselineErrors:   4,
	}
}

// Decide returns the share of new sessions for the new version and the reason.
// If the test finds the version bad now, the share is 0 and stop is the record
// to store.
func (r Roller) Decide(t *Rollout, now clock.Millis) (share float64, reason string, stop *StopRecord) {
	if t.Withdrawn {
		return 0, ReasonWithdrawn, nil
	}
	for i := range t.Stops {
		if t.Stops[i].Version == t.Version {
			return 0, ReasonStopped, nil
		}
	}
	if stop = r.test(t, now); stop != nil {
		return 0, stop.Reason, stop
	}
	step, reason := r.step(t, now)
	share = r.Steps[step]
	if share > t.Ceiling {
		return max(0, t.Ceiling), ReasonCeiling, nil
	}
	return share, reason, nil
}

// test looks for evidence that the new version fails more often, or is rated
// worse, than the current one. It may be repeated with every merge.
func (r Roller) test(t *Rollout, now clock.Millis) *StopRecord {
	stop := StopRecord{Version: t.Version, Current: t.Current, At: now, Instance: r.Instance}
	goal := -math.Log(r.Alpha)
	failing := compare(t.Candidate, t.Baseline, failures)
	if failing.flip().below(r.ErrorTolerance, r.BaselineErrors) >= goal {
		stop.Reason, stop.Candidate, stop.Baseline, stop.Samples = ReasonErrors, failing.mean, failing.base, failing.n
		return &stop
	}
	rated := compare(t.Candidate, t.Baseline, ratings)
	if rated.below(r.QualityTolerance, r.BaselineErrors) >= goal {
		stop.Reason, stop.Candidate, stop.Baseline, stop.Samples = ReasonQuality, rated.mean, rated.base, rated.n
		return &stop
	}
	return nil
}

// step returns the first step that is not cleared yet. A step is cleared by
// evidence that the new version is not worse by more than the margins; without
// ratings of both versions there is none.
func (r Roller) step(t *Rollout, now clock.Millis) (int, string) {
	goal := -math.Log(r.Alpha)
	rated := compare(t.Candidate, t.Baseline, ratings).flip()
	failing := compare(t.Candidate, t.Baseline, failures)
	for i := range len(r.Steps) - 1 {
		if rated.below(-r.QualityMargins[i], 0) < goal || failing.below(-r.ErrorMargins[i], 0) < goal {
			return i, ReasonHeld
		}
		if now < t.Since+clock.Millis(i+1)*r.Dwell {
			return i, ReasonDwell
		}
	}
	return len(r.Steps) - 1, ReasonComplete
}

// Takes reports whether a new session belongs to the share of a version. A
// larger share keeps the sessions of a smaller one.
func Takes(version, session string, share float64) bool {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(version)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(session)
	return float64(d.Sum64()>>11)/(1<<53) < share
}
