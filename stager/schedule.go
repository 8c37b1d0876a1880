package stager

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The schedule of a roll-out. A bad version may show nothing until it has all of the
// load, so the target serves small shares of the sessions until the remaining time is
// as long as the bound on the requests of a bad version allows for all of them. The
// larger shares follow in the second half, in which a session may change to the target,
// and only while no instance doubts the target.
const (
	maxInitialShare = 0.08
	minInitialShare = 0.02 // a smaller share yields hardly any evidence
	maxMiddleShare  = 0.2
	// plainShare is the share before the full one for a plain service, without a middle
	// share. Its full share is served by few endpoints and shows more than any other.
	plainShare    = 0.02
	exchangeTime  = 700 * clock.Millis(1) // at the start, without the target, until all instances have the session uses
	halfwayMargin = 700 * clock.Millis(1) // after the first half, for instances that saw the roll-out at other times

	// clearTime is how long no instance may have doubts before a larger share. The
	// reports of other data centres are a second old.
	clearTime = 1200 * clock.Millis(1)
	// minJudged is the number of responses of the target before a larger share.
	// For a service with little traffic, the wait for them ends after a part of
	// the roll-out given by scarceFraction.
	minJudged      = 20
	scarceFraction = 12

	completeTime   = 1500 * clock.Millis(1) // duration of the full share before the roll-out may complete
	completeLoaded = 40                     // responses of the full share before that, for a plain service
	deadlineMargin = 800 * clock.Millis(1)  // time left at which it completes even with requests on the old version
	// settleTime is the time from the final judgement to completion, in which the
	// verdicts of all instances arrive.
	settleTime = 1200 * clock.Millis(1)
	// lateMargin is the time left at which the roll-out no longer waits for late reports.
	// It is also the time left at which a plain service completes, so that its full share
	// answers more requests than until deadlineMargin. The deadline counts from the order,
	// which is seen 0.1 s later, and decisions are 0.2 s apart.
	lateMargin = 500 * clock.Millis(1)
	// undecidedTime is the time after the deadline for which failures that nearly suffice
	// for a verdict delay the completion of a plain service. By then, the full share has
	// answered several times as many requests as at the deadline. A good version that
	// completes late costs less than a bad one that stays.
	undecidedTime = 5 * clock.Second
	// freshTime is the age from which a report is late, and silentTime the age from
	// which its instance counts as gone.
	freshTime  = 2 * clock.Second
	silentTime = 5 * clock.Second
)

// stage is the part of the schedule that sets the target's share.
type stage uint8

const (
	initialStage stage = iota
	middleStage
	fullStage
)

// targetShare returns the share of the sessions that the target serves.
func (r *rolloutState) targetShare(now clock.Millis) float64 {
	if r.elapsed(now) < exchangeTime {
		return 0
	}
	switch stage := r.currentStage(now); {
	case stage == fullStage:
		return 1
	case stage == middleStage:
		return r.exposure.middleShare(r.rollout.Duration, r.plannedMiddle())
	case r.plain && r.exposure.Fraction > 0:
		return min(plainShare, r.exposure.initialShare())
	default:
		return r.exposure.initialShare()
	}
}

// currentStage returns the stage, which never goes back: sessions that have moved
// to the target stay there. Doubt does not delay the full share of a plain service, which
// decides soonest whether the doubt is justified.
func (r *rolloutState) currentStage(now clock.Millis) stage {
	middleFrom, fullFrom := r.stageTimes()
	switch e := r.elapsed(now); {
	case !r.plain && (r.doubtful || r.peersDoubt(now)):
	case e >= fullFrom && r.stage != fullStage:
		r.stage, r.fullSince = fullStage, fullFrom
	case e >= middleFrom && (!r.plain || r.exposure.Fraction <= 0):
		r.stage = max(r.stage, middleStage)
	}
	return r.stage
}

// plannedMiddle returns the elapsed time at which the middle share begins at the
// earliest.
func (r *rolloutState) plannedMiddle() clock.Millis { return r.rollout.Duration/2 + halfwayMargin }

// stageTimes returns the elapsed times at which the larger shares begin if no
// further doubt arises.
func (r *rolloutState) stageTimes() (middleFrom, fullFrom clock.Millis) {
	d := r.rollout.Duration
	middleFrom = r.plannedMiddle() + d/scarceFraction
	if r.enough {
		middleFrom = min(middleFrom, max(r.plannedMiddle(), r.enoughFrom))
	}
	if r.clearFrom > 0 && !r.plain {
		middleFrom = max(middleFrom, r.clearFrom+clearTime)
	}
	return middleFrom, max(middleFrom, d-r.fullTime)
}

// assess updates what the stage depends on.
func (r *rolloutState) assess(now clock.Millis, t sums) {
	r.doubtful = t.isWorse(doubt)
	r.undecided = r.plain && r.elapsed(now) >= r.completeFrom() && t.failsMore(undecided)
	r.loaded, _ = t.routes.loaded()
	elapsed := r.elapsed(now)
	if r.doubtful || r.peersDoubt(now) {
		r.clearFrom = elapsed
	}
	if !r.enough && t.target.Served >= minJudged {
		r.enough, r.enoughFrom = true, elapsed
	}
	r.demand.observe(elapsed, t.targetSent+t.oldSent)
	if r.plain && t.old.Timed > 0 {
		latency, _ := t.old.logMean()
		r.load = r.demand.rate() * math.Exp(latency)
	}
	r.fullTime = r.exposure.fullTime(r.rollout.Duration-elapsed, t.targetSent, t.oldSent, r.demand.rate())
	if r.plain && r.exposure.Fraction > 0 {
		// A target that is judged bad gets no requests between the verdict and the deadline.
		r.fullTime += lateMargin
	}
}

// peersDoubt reports whether another instance has doubts about the target.
func (r *rolloutState) peersDoubt(now clock.Millis) bool {
	for p := range r.others {
		if p.doubts(now) {
			return true
		}
	}
	return false
}

// reportsAreLate reports whether the last report of a live instance is too old to
// complete the roll-out.
func (r *rolloutState) reportsAreLate(now clock.Millis) bool {
	for p := range r.others {
		if age := now - p.receivedAt; age >= freshTime && age < silentTime {
			return true
		}
	}
	return false
}

// completeFrom returns the elapsed time from which the roll-out completes even
// with requests on the old version.
func (r *rolloutState) completeFrom() clock.Millis {
	if r.plain {
		return r.rollout.Duration - lateMargin
	}
	return r.rollout.Duration - deadlineMargin
}

// finalJudgement returns the elapsed time from which less evidence against the
// target is enough.
func (r *rolloutState) finalJudgement() clock.Millis { return r.completeFrom() - settleTime }

// requiredEvidence returns the evidence that is required against the target now. From
// completeFrom on, that of a plain service is the least.
func (r *rolloutState) requiredEvidence(elapsed clock.Millis) strictness {
	switch {
	case r.plain && elapsed >= r.completeFrom():
		return last
	case elapsed >= r.finalJudgement():
		return final
	}
	return immediate
}

// mayComplete reports whether the roll-out may complete: all reports are recent, and
// either the full share has been served long enough, with enough responses of a plain
// service, without doubt and without requests on the old version, or the end of the
// roll-out is near and, for a plain service, failures do not nearly suffice for a verdict.
func (r *rolloutState) mayComplete(now clock.Millis, oldInFlight int) bool {
	elapsed := r.elapsed(now)
	if r.reportsAreLate(now) && elapsed < r.rollout.Duration-lateMargin {
		return false
	}
	if elapsed >= r.completeFrom() {
		return !r.undecided || elapsed >= r.rollout.Duration+undecidedTime
	}
	if oldInFlight > 0 || r.plain && r.loaded < completeLoaded || r.doubtful || r.peersDoubt(now) {
		return false
	}
	return r.currentStage(now) == fullStage && elapsed >= r.fullSince+completeTime
}
