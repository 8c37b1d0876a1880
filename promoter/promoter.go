package promoter

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
)

// The reasons for a share, and for a stop.
const (
	ReasonStopped   = "stopped"   // a stop record names the version
	ReasonWithdrawn = "withdrawn" // the configuration withdraws the version
	ReasonQuality   = "quality"   // the rated quality is below that of the current version
	ReasonErrors    = "errors"    // the error rate is above that of the current version
	ReasonHeld      = "held"      // the evidence does not yet suffice to leave the step
	ReasonDwell     = "dwell"     // the shortest time on the step has not passed
	ReasonCeiling   = "ceiling"   // the configured greatest share is reached
	ReasonComplete  = "complete"  // all steps are passed
)

// StopRecord states that a version was stopped by the comparison with the current
// version. The system stores it separately from the configuration; a new
// configuration that sets the state of the version again clears it.
type StopRecord struct {
	Version   string       `json:"version" cbor:"version"`
	Current   string       `json:"current" cbor:"current"` // version with which it was compared
	Reason    string       `json:"reason" cbor:"reason"`   // ReasonQuality or ReasonErrors
	At        clock.Millis `json:"at" cbor:"at"`
	Instance  string       `json:"instance" cbor:"instance"`
	Candidate float64      `json:"candidate" cbor:"candidate"` // mean quality or error rate of the stopped version
	Baseline  float64      `json:"baseline" cbor:"baseline"`   // that of the current version in the same spans of time
	Samples   float64      `json:"samples" cbor:"samples"`     // number of ratings or answers of the stopped version
}

// Rollout is the state of the roll-out of one version. The counts are those of the
// whole fleet since the start, without ageing, over the workspaces that permit
// both versions, by span of time; see estimator.Estimator.Totals. The spans must
// be short compared with the time in which the traffic changes, since the versions
// are compared within each span.
type Rollout struct {
	Version   string               // new version
	Current   string               // version with which it is compared
	Since     clock.Millis         // start of the roll-out
	Ceiling   float64              // greatest share allowed; if the roll-out is halted, the share at which it was halted
	Withdrawn bool                 // the configuration withdraws the new version
	Candidate []estimator.Estimate // counts of the new version by span
	Baseline  []estimator.Estimate // counts of the current version by span
	Stops     []StopRecord         // all known stop records, including those of other instances
}

// Promoter holds the parameters of roll-outs. Use Default and change fields as
// needed.
type Promoter struct {
	Instance string    // ID of this instance, for stop records
	Steps    []float64 // increasing shares of new sessions; the last is 1
	// QualityMargins and ErrorMargins hold, for each step but the last, by how much
	// the new version may be worse than the current one for the step to be passed:
	// the difference in mean quality and in error rate that the evidence must
	// exclude.
	QualityMargins         []float64
	ErrorMargins           []float64
	Dwell                  clock.Millis // shortest time on each step
	QualityTolerance       float64      // difference in mean quality that does not stop a version
	ErrorTolerance         float64      // difference in error rate that does not stop a version
	Alpha                  float64      // error probability of each test
	BaselineStandardErrors float64      // number of standard errors by which the mean of the current version may deviate
}

// Default returns the parameters of the daemon for an instance. The error
// probabilities of the two tests that can stop a version add up to 0.6%. Four
// standard errors allow for the repeated evaluation of the mean of the current
// version. The step of 90% keeps traffic on the current version, with which the new
// one is compared.
func Default(instance string) Promoter {
	return Promoter{
		Instance:               instance,
		Steps:                  []float64{0.01, 0.05, 0.2, 0.5, 0.9, 1},
		QualityMargins:         []float64{0.05, 0.05, 0.04, 0.03, 0.03},
		ErrorMargins:           []float64{0.03, 0.02, 0.015, 0.015, 0.015},
		Dwell:                  20 * clock.Minute,
		QualityTolerance:       0.01,
		ErrorTolerance:         0.005,
		Alpha:                  0.003,
		BaselineStandardErrors: 4,
	}
}

// Decide returns the share of new sessions for the new version and the reason for
// it. If the comparison with the current version stops the version now, the share
// is 0 and stop is the record to store.
func (p Promoter) Decide(rollout *Rollout, now clock.Millis) (share float64, reason string, stop *StopRecord) {
	if rollout.Withdrawn {
		return 0, ReasonWithdrawn, nil
	}
	for i := range rollout.Stops {
		if rollout.Stops[i].Version == rollout.Version {
			return 0, ReasonStopped, nil
		}
	}
	if stop = p.detectRegression(rollout, now); stop != nil {
		return 0, stop.Reason, stop
	}
	step, reason := p.currentStep(rollout, now)
	share = p.Steps[step]
	if share > rollout.Ceiling {
		return max(0, rollout.Ceiling), ReasonCeiling, nil
	}
	return share, reason, nil
}

// detectRegression returns a stop record if there is evidence that the new version
// fails more often or is rated lower than the current one, or nil. It may be called
// after every merge of counts.
func (p Promoter) detectRegression(rollout *Rollout, now clock.Millis) *StopRecord {
	stop := StopRecord{Version: rollout.Version, Current: rollout.Current, At: now, Instance: p.Instance}
	threshold := -math.Log(p.Alpha)
	errorStrata := stratify(rollout.Candidate, rollout.Baseline, failureSample)
	if errorStrata.complement().logEValue(p.ErrorTolerance, p.BaselineStandardErrors) >= threshold {
		stop.Reason, stop.Candidate, stop.Baseline, stop.Samples = ReasonErrors, errorStrata.candidateMean,
			errorStrata.baselineMean, errorStrata.candidateCount
		return &stop
	}
	qualityStrata := stratify(rollout.Candidate, rollout.Baseline, ratingSample)
	if qualityStrata.logEValue(p.QualityTolerance, p.BaselineStandardErrors) >= threshold {
		stop.Reason, stop.Candidate, stop.Baseline, stop.Samples = ReasonQuality, qualityStrata.candidateMean,
			qualityStrata.baselineMean, qualityStrata.candidateCount
		return &stop
	}
	return nil
}

// currentStep returns the index of the first step that is not passed yet, and the
// reason. A step is passed if its shortest time is over and there is evidence that
// the new version is not worse by more than the margins of the step. Without
// ratings of both versions there is no such evidence.
func (p Promoter) currentStep(rollout *Rollout, now clock.Millis) (int, string) {
	threshold := -math.Log(p.Alpha)
	qualityStrata := stratify(rollout.Candidate, rollout.Baseline, ratingSample).complement()
	errorStrata := stratify(rollout.Candidate, rollout.Baseline, failureSample)
	for i := range len(p.Steps) - 1 {
		if qualityStrata.logEValue(-p.QualityMargins[i], 0) < threshold ||
			errorStrata.logEValue(-p.ErrorMargins[i], 0) < threshold {
			return i, ReasonHeld
		}
		if now < rollout.Since+clock.Millis(i+1)*p.Dwell {
			return i, ReasonDwell
		}
	}
	return len(p.Steps) - 1, ReasonComplete
}

// InShare reports whether a new session falls into the share of a version, by a
// hash of both. A session that falls into a share also falls into every larger one.
func InShare(version, session string, share float64) bool {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(version)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(session)
	return float64(d.Sum64()>>11)/(1<<53) < share
}
