package claimer

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// flow is one call of Do.
type flow struct {
	claimer *Claimer
	call    Call
	run     Run
	place   string
	from    string // attempt that is known to be abandoned, to take over from
	tries   int    // looks at an unreachable instance
	open    error  // refusal for an earlier attempt whose outcome is open
}

// outcome is the result of one step of a flow. It is not final if the flow must
// look again.
type outcome struct {
	answer Answer
	err    error
	final  bool
}

func answered(a Answer) outcome { return outcome{answer: a, final: true} }
func refused(err error) outcome { return outcome{err: err, final: true} }
func lookAgain() (none outcome) { return none }

// Do executes the call unless it has been executed before, and returns its
// answer. Errors are refusals: ErrKeyReused, ErrDeadline and ErrStoreUnavailable
// tell that nothing was and will be sent under this call of Do; ErrStillRunning
// and ErrOutcomeUnknown leave that open. An error of run that is marked with
// ErrNotSent is returned as it is. A run goes on after ctx has ended, so that
// a retry finds its answer.
func (c *Claimer) Do(ctx context.Context, call Call, run Run) (Answer, error) {
	rest := call.Deadline - c.clock.Now()
	if rest <= 0 {
		return Answer{}, refuser.ErrDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	_, place := c.place(call)
	f := &flow{claimer: c, call: call, run: run, place: place}
	for {
		if a, ok := c.sentAt(place); ok {
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
func (f *flow) try(ctx context.Context) outcome {
	c := f.claimer
	a := c.begin(f.place, f.call.BodyHash)
	r, err := f.claim(ctx, a)
	if err != nil {
		c.abandon(a)
		if errors.Is(err, committer.ErrUnknown) {
			c.settle(f.call, a, change{Verb: verbRelease, Attempt: a.id})
		}
		return refused(f.notClaimed(err))
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
		return f.consult(ctx, r.Attempt)
	default:
		return f.pause(ctx)
	}
}

// claim commits the claim of a. An unknown outcome is asked for again, since
// the change has no effect if the claim is already in place.
func (f *flow) claim(ctx context.Context, a *attempt) (claim, error) {
	for {
		r, err := f.claimer.commit(ctx, f.call, change{Verb: verbClaim, Attempt: a.id, From: f.from})
		if err == nil || ctx.Err() != nil || !errors.Is(err, committer.ErrUnknown) {
			return r, err
		}
		f.claimer.Sleep(ctx, f.claimer.Poll)
	}
}

// notClaimed returns the refusal of a call whose claim could not be committed.
func (f *flow) notClaimed(err error) error {
	switch {
	case f.open != nil:
		return f.open
	case errors.Is(err, committer.ErrUnknown), errors.Is(err, committer.ErrNotExecuted):
		return refuser.ErrStoreUnavailable.WithMessage("the claim could not be stored: %v", err)
	default:
		return refuser.ErrInternal.WithRun(refuser.RunNo).WithMessage("claim: %v", err)
	}
}

// execute dispatches a claimed attempt and waits for its answer.
func (f *flow) execute(ctx context.Context, a *attempt) outcome {
	c := f.claimer
	if ctx.Err() != nil || c.clock.Now() >= f.call.Deadline || !c.dispatch(a) {
		c.abandon(a)
		c.settle(f.call, a, change{Verb: verbRelease, Attempt: a.id})
		if ctx.Err() == nil && c.clock.Now() < f.call.Deadline {
			f.from = a.id
			return lookAgain()
		}
		return refused(refuser.ErrDeadline)
	}
	go c.send(context.WithoutCancel(ctx), f.call, a, f.run)
	o := f.join(ctx, a)
	if !o.final && errors.Is(a.err, ErrNotSent) {
		return refused(a.err)
	}
	return o
}

// send runs a dispatched attempt and commits what comes of it.
func (c *Claimer) send(ctx context.Context, call Call, a *attempt, run Run) {
	ctx, cancel := context.WithTimeout(ctx, c.RunTimeout.Duration())
	defer cancel()
	answer, err := run(ctx, a.id)
	state := Done
	if errors.Is(err, ErrNotSent) {
		state = NotRun
	} else if err != nil {
		answer, state = c.lookUp(context.WithoutCancel(ctx), call, a.id)
	}
	switch state {
	case Done:
		c.learn(a, answer)
		c.settle(call, a, change{Verb: verbFinish, Attempt: a.id, Answer: c.kept(answer)})
	case NotRun:
		c.unsend(a, errors.Mark(err, ErrNotSent))
		c.settle(call, a, change{Verb: verbRelease, Attempt: a.id})
	default:
		c.lose(a, err)
	}
}

// lookUp asks the service for the outcome of an attempt, several times if it
// cannot tell.
func (c *Claimer) lookUp(ctx context.Context, call Call, id string) (answer Answer, state State) {
	if c.LookUp == nil {
		return Answer{}, CannotTell
	}
	ctx, cancel := context.WithTimeout(ctx, c.RunTimeout.Duration())
	defer cancel()
	for range c.AskTries {
		if answer, state = c.LookUp(ctx, call, id); state == Done || state == NotRun {
			return answer, state
		}
		c.Sleep(ctx, c.Poll)
	}
	return Answer{}, CannotTell
}

// settle commits the outcome of an attempt in the background, however long the
// store is down, unless too many others wait.
func (c *Claimer) settle(call Call, a *attempt, h change) {
	if c.waiting.Add(1) > int64(c.MaxUnsettled) {
		c.waiting.Add(-1)
		c.Overflowed.Add(1)
		if h.Verb == verbFinish {
			c.lose(a, nil)
		}
		return
	}
	c.unsettled.Add(1)
	go func() {
		defer c.unsettled.Done()
		defer c.waiting.Add(-1)
		ok := c.settleNow(call, h)
		switch {
		case h.Verb != verbFinish:
		case ok:
			c.settled(a)
		case c.stop.Err() == nil:
			c.lose(a, nil)
		}
	}()
}

// maxDenials bounds the repetitions of an outcome for which the store does not
// show the claim, as after retention.
const maxDenials = 100

// settleNow repeats the change until it is in place, and reports whether it is.
// An answer without error does not prove that: the store may have answered with
// a state from before the claim.
func (c *Claimer) settleNow(call Call, h change) bool {
	for denials := 0; c.stop.Err() == nil && denials < maxDenials; {
		r, err := c.commit(c.stop, call, h)
		switch {
		case err == nil && (h.Verb != verbFinish || r.Phase == phaseDone && r.Attempt == h.Attempt):
			return true
		case err == nil:
			denials++
		case errors.Is(err, committer.ErrTooLarge) && h.Answer != nil:
			h.Answer = &Answer{Status: h.Answer.Status, Digest: h.Answer.Digest}
		}
		c.Sleep(c.stop, c.Poll)
	}
	return false
}

// join waits for the result of an attempt that this instance has sent, and for
// a while also until it is committed. The outcome is not final if the store or
// the service must be asked.
func (f *flow) join(ctx context.Context, a *attempt) outcome {
	c := f.claimer
	if !bytes.Equal(a.bodyHash, f.call.BodyHash) {
		return refused(refuser.ErrKeyReused)
	}
	select {
	case <-a.done:
	case <-a.heard:
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
	case a.known:
		return answered(a.answer)
	case !a.finished:
		return refused(refuser.ErrStillRunning)
	case a.lost:
		f.open = refuser.ErrOutcomeUnknown
		return lookAgain()
	default:
		return lookAgain()
	}
}

// consult finds out about an attempt that holds the claim.
func (f *flow) consult(ctx context.Context, id string) outcome {
	c := f.claimer
	instance, incarnation, _, _ := split(id)
	state := Dispatched
	switch {
	case instance == c.instance && incarnation == c.incarnation:
		state = c.State(id)
	case instance != c.instance:
		state = c.AskAttempt(ctx, instance, id)
	}
	switch state {
	case Abandoned:
		f.open, f.from = nil, id
		return lookAgain()
	case Running:
		f.open = refuser.ErrStillRunning
		return f.pause(ctx)
	}
	f.open = refuser.ErrOutcomeUnknown
	if c.LookUp != nil {
		answer, outcome := c.LookUp(ctx, f.call, id)
		switch outcome {
		case NotRun:
			f.open, f.from = nil, id
			return lookAgain()
		case Done:
			return f.record(ctx, id, answer)
		}
	}
	if f.tries++; state == Unreachable && f.tries < c.AskTries {
		return f.pause(ctx)
	}
	return refused(refuser.ErrOutcomeUnknown)
}

// record commits an answer that the service has given for another's attempt,
// and returns what the store holds.
func (f *flow) record(ctx context.Context, id string, answer Answer) outcome {
	c := f.claimer
	h := change{Verb: verbFinish, Attempt: id, Answer: c.kept(answer)}
	r, err := c.commit(ctx, f.call, h)
	if err == nil && r.Phase == phaseDone && r.Answer != nil {
		return answered(*r.Answer)
	}
	if err == nil {
		return lookAgain()
	}
	return answered(answer) // the service has run it, whatever the store holds
}

// pause waits before the next look.
func (f *flow) pause(ctx context.Context) outcome {
	f.claimer.Sleep(ctx, f.claimer.Poll)
	if ctx.Err() != nil && f.open != nil {
		return refused(f.open)
	}
	return lookAgain()
}
