package streamer

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Step is what to do after an attempt.
type Step string

// The steps, in the order in which Plan prefers them.
const (
	StepDone     Step = "done"     // the answer is whole
	StepResume   Step = "resume"   // the same attempt, on the same endpoint
	StepContinue Step = "continue" // another endpoint of the same version, from the text so far
	StepRestart  Step = "restart"  // any permitted endpoint and version, from the beginning
	StepGiveUp   Step = "give_up"  // an explicit error to the caller
)

// Plan returns the step after an attempt that ended with cause (nil: whole).
// Delivered is the number of tokens that the caller has received. CanResume
// tells that the endpoint offers resume and is still in use, canContinue that
// another endpoint of the version is available. With StepGiveUp the error is
// the refusal for the caller. Plan has no side effects; it knows neither the
// deadline nor the retry budget.
func Plan(cause error, delivered int, canResume, canContinue bool) (Step, error) {
	switch {
	case cause == nil:
		return StepDone, nil
	case errors.Is(cause, context.Canceled) && !errors.Is(cause, ErrLate):
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

// neverRan reports whether the endpoint holds nothing that could be resumed.
func neverRan(cause error) bool {
	return errors.Is(cause, exchanger.ErrNotSent) || errors.Is(cause, exchanger.ErrRefused)
}

func giveUp(cause error, delivered int) error {
	return refuser.ErrStreamBroken.WithMessage("stopped after %d tokens: %v", delivered, cause)
}
