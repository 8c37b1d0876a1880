package claimer

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// flow is the state of one call of Do.
type flow struct {
	claimer           *Claimer
	call              Call
	run               Run
	recordKey         string
	takeOver          string // attempt that was not and will not be executed, whose claim may be taken over
	inconclusivePolls int    // polls and look-ups of the attempt holding the claim without a conclusive answer
	openRefusal       error  // refusal to return while the outcome of an earlier attempt is open
}

// stepResult is the result of one step of a flow. If it is not final, the flow
// makes another step.
type stepResult struct {
	answer Answer
	err    error
	final  bool
}

func answered(a Answer) stepResult { return stepResult{answer: a, final: true} }
func refused(err error) stepResult { return stepResult{err: err, final: true} }
func nextStep() (none stepResult)  { return none }

// Do executes the call unless it has been executed before, and returns its
// answer. Errors are refusals of package refuser: ErrKeyReused, ErrDeadline,
// ErrStoreUnavailable and ErrInternal state that nothing was sent under this call
// of Do and nothing will be; after ErrStillRunning and ErrOutcomeUnknown, the call
// may have been sent. An error of run that is marked with ErrNotSent is returned
// unchanged. A run continues after ctx has ended, so that a retry finds its answer.
func (c *Claimer) Do(ctx context.Context, call Call, run Run) (Answer, error) {
	remaining := call.Deadline - c.clock.Now()
	if remaining <= 0 {
		return Answer{}, refuser.ErrDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	_, recordKey := c.recordLocation(call)
	f := &flow{claimer: c, call: call, run: run, recordKey: recordKey}
	for {
		if a, ok := c.dispatchedFor(recordKey); ok {
			if o := f.join(ctx, a); o.final {
				return o.answer, o.err
			}
		}
		if o := f.try(ctx); o.final {
			return o.answer, o.err
		}
	}
}

// try makes one attempt.
func (f *flow) try(ctx context.Context) stepResult {
	c := f.claimer
	a := c.begin(f.recordKey, f.call.BodyHash)
	r, err := f.claim(ctx, a)
	if err != nil {
		c.abandon(a)
		if errors.Is(err, committer.ErrUnknown) {
			c.commitOutcomeAsync(f.call, a, change{Operation: opRelease, Attempt: a.id})
		}
		return refused(f.claimRefusal(err))
	}
	if r.Phase == phaseClaimed && r.Attempt == a.id {
		return f.execute(ctx, a)
	}
	c.abandon(a)
	switch {
	case !bytes.Equal(r.BodyHash, f.call.BodyHash):
		return refused(refuser.ErrKeyReused)
	case r.Phase == phaseDone && r.Answer != nil:
		return answered(*r.Answer)
	case r.Phase == phaseClaimed:
		return f.resolveHolder(ctx, r.Attempt)
	default:
		return f.pause(ctx)
	}
}

// claim commits the claim of a. A commit with an unknown outcome is repeated,
// since the change has no effect if the claim is already stored.
func (f *flow) claim(ctx context.Context, a *attempt) (callRecord, error) {
	for {
		r, err := f.claimer.commit(ctx, f.call, change{Operation: opClaim, Attempt: a.id, From: f.takeOver})
		if err == nil || ctx.Err() != nil || !errors.Is(err, committer.ErrUnknown) {
			return r, err
		}
		f.claimer.Sleep(ctx, f.claimer.PollInterval)
	}
}

// claimRefusal returns the refusal of a call whose claim could not be committed.
func (f *flow) claimRefusal(err error) error {
	switch {
	case f.openRefusal != nil:
		return f.openRefusal
	case errors.Is(err, committer.ErrUnknown), errors.Is(err, committer.ErrNotExecuted):
		return refuser.ErrStoreUnavailable.WithMessage("the claim could not be stored: %v", err)
	default:
		return refuser.ErrInternal.WithExecution(refuser.NotExecuted).WithMessage("claim: %v", err)
	}
}

// execute dispatches a claimed attempt and waits for its answer.
func (f *flow) execute(ctx context.Context, a *attempt) stepResult {
	c := f.claimer
	if ctx.Err() != nil || c.clock.Now() >= f.call.Deadline || !c.dispatch(a) {
		c.abandon(a)
		c.commitOutcomeAsync(f.call, a, change{Operation: opRelease, Attempt: a.id})
		if ctx.Err() == nil && c.clock.Now() < f.call.Deadline {
			f.takeOver = a.id
			return nextStep()
		}
		return refused(refuser.ErrDeadline)
	}
	go c.send(context.WithoutCancel(ctx), f.call, a, f.run)
	o := f.join(ctx, a)
	if !o.final && errors.Is(a.runErr, ErrNotSent) {
		return refused(a.runErr)
	}
	return o
}

// send runs a dispatched attempt and commits its outcome.
func (c *Claimer) send(ctx context.Context, call Call, a *attempt, run Run) {
	ctx, cancel := context.WithTimeout(ctx, c.RunTimeout.Duration())
	defer cancel()
	answer, err := run(ctx, a.id)
	state := Done
	if errors.Is(err, ErrNotSent) {
		state = NotExecuted
	} else if err != nil {
		answer, state = c.lookUp(context.WithoutCancel(ctx), call, a.id)
	}
	switch state {
	case Done:
		c.setAnswer(a, answer)
		c.commitOutcomeAsync(call, a, change{Operation: opFinish, Attempt: a.id, Answer: c.storedAnswer(answer)})
	case NotExecuted:
		c.markNotSent(a, errors.Mark(err, ErrNotSent))
		c.commitOutcomeAsync(call, a, change{Operation: opRelease, Attempt: a.id})
	default:
		c.markUnknown(a, err)
	}
}

// lookUp asks the service for the outcome of an attempt, up to MaxStatePolls
// times while the service does not know it.
func (c *Claimer) lookUp(ctx context.Context, call Call, id string) (answer Answer, state State) {
	if c.LookUp == nil {
		return Answer{}, Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, c.RunTimeout.Duration())
	defer cancel()
	for range c.MaxStatePolls {
		if answer, state = c.LookUp(ctx, call, id); state == Done || state == NotExecuted {
			return answer, state
		}
		c.Sleep(ctx, c.PollInterval)
	}
	return Answer{}, Unknown
}

// commitOutcomeAsync commits the outcome of an attempt in the background and
// retries during store outages of any length. The outcome is dropped if
// MaxPendingOutcomes others are waiting.
func (c *Claimer) commitOutcomeAsync(call Call, a *attempt, ch change) {
	if c.pendingCount.Add(1) > int64(c.MaxPendingOutcomes) {
		c.pendingCount.Add(-1)
		c.DroppedOutcomes.Add(1)
		if ch.Operation == opFinish {
			c.markUnknown(a, nil)
		}
		return
	}
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		defer c.pendingCount.Add(-1)
		ok := c.commitOutcome(call, ch)
		switch {
		case ch.Operation != opFinish:
		case ok:
			c.removeCommitted(a)
		case c.stop.Err() == nil:
			c.markUnknown(a, nil)
		}
	}()
}

// maxMissingClaims bounds the retries of an outcome whose claim the store does
// not return, for example because its retention has expired.
const maxMissingClaims = 100

// commitOutcome repeats the change until it is stored, and reports whether it
// is. An answer without error does not prove that: the store may have answered
// with a state older than the claim.
func (c *Claimer) commitOutcome(call Call, ch change) bool {
	for missing := 0; c.stop.Err() == nil && missing < maxMissingClaims; {
		r, err := c.commit(c.stop, call, ch)
		switch {
		case err == nil && (ch.Operation != opFinish || r.Phase == phaseDone && r.Attempt == ch.Attempt):
			return true
		case err == nil:
			missing++
		case errors.Is(err, committer.ErrTooLarge) && ch.Answer != nil:
			ch.Answer = &Answer{Status: ch.Answer.Status, Digest: ch.Answer.Digest}
		}
		c.Sleep(c.stop, c.PollInterval)
	}
	return false
}

// join waits for the result of an attempt that this instance has dispatched, and then
// for up to CommitWait until it is committed. The result of the step is not
// final if the store or the service must be asked.
func (f *flow) join(ctx context.Context, a *attempt) stepResult {
	c := f.claimer
	if !bytes.Equal(a.bodyHash, f.call.BodyHash) {
		return refused(refuser.ErrKeyReused)
	}
	select {
	case <-a.done:
	case <-a.answered:
		wait, cancel := context.WithTimeout(ctx, c.CommitWait.Duration())
		defer cancel()
		select {
		case <-a.done:
		case <-wait.Done():
		}
	case <-ctx.Done():
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch {
	case a.answerKnown:
		return answered(a.answer)
	case !a.finished:
		return refused(refuser.ErrStillRunning)
	case a.outcomeUnknown:
		f.openRefusal = refuser.ErrOutcomeUnknown
		return nextStep()
	default:
		return nextStep()
	}
}

// resolveHolder determines the outcome of the attempt that holds the claim.
func (f *flow) resolveHolder(ctx context.Context, id string) stepResult {
	c := f.claimer
	instance, incarnation, _, _ := parseAttemptID(id)
	state := Dispatched
	switch {
	case instance == c.instance && incarnation == c.incarnation:
		state = c.State(id)
	case instance != c.instance:
		state = c.QueryAttempt(ctx, instance, id)
	}
	switch state {
	case Abandoned:
		f.openRefusal, f.takeOver = nil, id
		return nextStep()
	case Running:
		f.openRefusal = refuser.ErrStillRunning
		return f.pause(ctx)
	}
	f.openRefusal = refuser.ErrOutcomeUnknown
	if c.LookUp != nil {
		answer, outcome := c.LookUp(ctx, f.call, id)
		switch outcome {
		case NotExecuted:
			f.openRefusal, f.takeOver = nil, id
			return nextStep()
		case Done:
			return f.recordAnswer(ctx, id, answer)
		}
	}
	if f.inconclusivePolls++; state == Unreachable && f.inconclusivePolls < c.MaxStatePolls {
		return f.pause(ctx)
	}
	return refused(refuser.ErrOutcomeUnknown)
}

// recordAnswer commits the answer that the service returned for an attempt of
// another instance, and returns the stored answer.
func (f *flow) recordAnswer(ctx context.Context, id string, answer Answer) stepResult {
	c := f.claimer
	ch := change{Operation: opFinish, Attempt: id, Answer: c.storedAnswer(answer)}
	r, err := c.commit(ctx, f.call, ch)
	if err == nil && r.Phase == phaseDone && r.Answer != nil {
		return answered(*r.Answer)
	}
	if err == nil {
		return nextStep()
	}
	return answered(answer) // the service has run the attempt, whether or not the answer is stored
}

// pause waits for the poll interval before the next step.
func (f *flow) pause(ctx context.Context) stepResult {
	f.claimer.Sleep(ctx, f.claimer.PollInterval)
	if ctx.Err() != nil && f.openRefusal != nil {
		return refused(f.openRefusal)
	}
	return nextStep()
}
