package roller

import (
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
	Candidate float64      `json:"candidate" cbor:"candidate"` // bound of the stopped version
	Baseline  float64      `json:"baseline" cbor:"baseline"`   // bound of the current version
	Samples   float64      `json:"samples" cbor:"samples"`     // ratings or answers of the stopped version
}

// Rollout is the state of one roll-out. The counts are those of the whole fleet
// since the start, without ageing, over the workspaces that allow both versions.
type Rollout struct {
	Version   string
	Current   string
	Since     clock.Millis
	Ceiling   float64 // largest share allowed; a halted roll-out has the share at which it was halted
	Withdrawn bool
	Candidate rater.Estimate
	Baseline  rater.Estimate
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
	Alpha            float64 // error probability of each bound of the new version
	BaselineAlpha    float64 // error probability of each bound of the current version
}

// Default returns the usual parameters. The error probabilities of the two tests
// add up to 0.8%.
func Default(instance string) Roller {
	return Roller{
		Instance:         instance,
		Steps:            []float64{0.01, 0.05, 0.2, 0.5, 1},
		QualityMargins:   []float64{0.05, 0.05, 0.04, 0.03},
		ErrorMargins:     []float64{0.03, 0.02, 0.015, 0.015},
		Dwell:            10 * clock.Minute,
		QualityTolerance: 0.01,
		ErrorTolerance:   0.005,
		Alpha:            0.003,
		BaselineAlpha:    0.001,
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

// test compares always-valid bounds of both versions. Both are valid at any
// time together, so the test may be repeated with every merge.
func (r Roller) test(t *Rollout, now clock.Millis) *StopRecord {
	stop := StopRecord{Version: t.Version, Current: t.Current, At: now, Instance: r.Instance}
	fresh, old := failures(t.Candidate), failures(t.Baseline)
	stop.Candidate, stop.Baseline = lower(fresh, r.Alpha), upper(old, r.BaselineAlpha)
	if stop.Candidate > stop.Baseline+r.ErrorTolerance {
		stop.Reason, stop.Samples = ReasonErrors, fresh.n
		return &stop
	}
	fresh, old = ratings(t.Candidate), ratings(t.Baseline)
	stop.Candidate, stop.Baseline = upper(fresh, r.Alpha), lower(old, r.BaselineAlpha)
	if stop.Candidate < stop.Baseline-r.QualityTolerance {
		stop.Reason, stop.Samples = ReasonQuality, fresh.n
		return &stop
	}
	return nil
}

// step returns the first step that is not cleared yet. Without ratings of the
// current version its quality counts as 1, so that no step is cleared by a lack
// of ratings.
func (r Roller) step(t *Rollout, now clock.Millis) (int, string) {
	quality := lower(ratings(t.Candidate), r.Alpha) - ratings(t.Baseline).mean(1)
	failing := upper(failures(t.Candidate), r.Alpha) - failures(t.Baseline).mean(0)
	for i := range len(r.Steps) - 1 {
		if quality < -r.QualityMargins[i] || failing > r.ErrorMargins[i] {
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

func ratings(e rater.Estimate) sample { return sample{n: e.Rated, sum: e.Sum, squares: e.Squares} }

func failures(e rater.Estimate) sample {
	return sample{n: e.Served, sum: e.Errors, squares: e.Errors}
}
