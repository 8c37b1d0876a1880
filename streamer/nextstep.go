package streamer

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Step is the action that follows an attempt.
type Step string

// The steps, in the order of preference.
const (
	StepDone     Step = "done"     // the answer is complete
	StepResume   Step = "resume"   // fetch the rest of the same attempt from the same endpoint
	StepContinue Step = "continue" // new attempt on another endpoint of the same version, after the text so far
	StepRestart  Step = "restart"  // new attempt on any permitted endpoint and version, from the beginning
	StepGiveUp   Step = "give_up"  // return an explicit error to the caller
)

// NextStep returns the step after an attempt that ended with cause, which is nil
// if the answer is complete. delivered is the number of tokens that the caller
// has received. canResume means that the endpoint supports resuming and is still
// in service, canContinue that another endpoint of the version is available. With
// StepGiveUp the error is the refusal for the caller; otherwise it is nil.
// NextStep is a pure function and considers neither the deadline nor the retry
// budget.
func NextStep(cause error, delivered int, canResume, canContinue bool) (Step, error) {
	switch {
	case cause == nil:
		return StepDone, nil
	case errors.Is(cause, context.Canceled) && !errors.Is(cause, ErrEventTimeout):
		return StepGiveUp, giveUp(cause, delivered)
	case canResume && !neverRan(cause):
		return StepResume, nil
	case delivered == 0:
		return StepRestart, nil
	case canContinue:
		return StepContinue, nil
	default:
		return StepGiveUp, giveUp(cause, delivered)
	}
}

// neverRan reports whether the attempt was not executed, so that there is
// nothing to resume.
func neverRan(cause error) bool {
	return errors.Is(cause, exchanger.ErrNotSent) || errors.Is(cause, exchanger.ErrRefused)
}

// giveUp returns the refusal for a caller that has received delivered tokens.
func giveUp(cause error, delivered int) error {
	return refuser.ErrStreamBroken.WithMessage("stopped after %d tokens: %v", delivered, cause)
}
