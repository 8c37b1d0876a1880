package router

import (
	"context"
	"iter"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/streamer"
	"rosemaryarch.example/rosemaryarch/tracker"
)

// run is one version's answer to one request, over all attempts.
type run struct {
	r           *Router
	q           Request
	model       parser.Model
	version     string
	service     string
	deliver     func(text string) error
	stream      *streamer.Streamer
	attempt     streamer.Request
	exclude     []string
	last        tracker.Slot // endpoint of the last attempt
	attempts    int
	mayRun      bool         // an endpoint may have run an attempt
	versionWait clock.Millis // longest wait for the first endpoint; 0: until the deadline
}

// answer generates the whole answer, retrying as the streamer plans.
func (u *run) answer(ctx context.Context) error {
	u.attempt = streamer.Request{
		RequestID: u.q.ID, AttemptID: u.r.o.AttemptID(), Version: u.version, Prompt: u.q.Prompt,
		PriorText: u.q.Partial, MaxTokens: u.q.MaxTokens,
	}
	u.stream = streamer.New(u.attempt)
	resume := false
	for {
		cause := u.try(ctx, resume)
		if cause == nil {
			return nil
		}
		step, err := u.plan(ctx, cause)
		if err != nil {
			return err
		}
		resume = step == streamer.StepResume
		if !resume {
			u.attempt = u.stream.Next(u.r.o.AttemptID())
		}
	}
}

// plan returns what to do after a failed attempt, or the refusal that ends the
// request.
func (u *run) plan(ctx context.Context, cause error) (streamer.Step, error) {
	var refusal *refuser.Refusal
	if errors.As(cause, &refusal) {
		return "", u.refusal(refusal)
	}
	if errors.Is(cause, errStale) {
		return "", errStale
	}
	u.mayRun = u.mayRun || !errors.IsAny(cause, exchanger.ErrNotSent, exchanger.ErrRefused)
	now := u.r.o.Now()
	step, err := streamer.Plan(cause, u.stream.Tokens(), u.canResume(cause), now < u.q.Deadline)
	if err != nil {
		return "", err
	}
	if step != streamer.StepResume {
		u.exclude = append(u.exclude, u.last.Endpoint)
	}
	if !u.r.retryAllowed(u.service, u.q.Workspace, retryReason(cause)) {
		return "", u.refusal(refuser.ErrRetryBudget.WithMessage("after %v", cause))
	}
	u.attempts++
	return step, u.r.sleep(ctx, u.r.backoff(u.attempts))
}

// refusal gives a refusal the run state that is true for this request.
func (u *run) refusal(f *refuser.Refusal) error {
	switch {
	case u.stream.Tokens() > 0:
		return refuser.ErrStreamBroken.WithMessage("%s", f.Error())
	case !u.mayRun:
		return f.WithRun(refuser.RunNo)
	case f.Run == refuser.RunNo:
		return f.WithRun(refuser.RunUnknown)
	default:
		return f
	}
}

// canResume reports whether the endpoint may still hold the attempt.
func (u *run) canResume(cause error) bool {
	return errors.Is(cause, streamer.ErrCut) && !errors.Is(cause, streamer.ErrLate) && u.attempt.AttemptID != "" &&
		!errors.Is(cause, engineclient.ErrNoAttempt) && !errors.Is(cause, exchanger.ErrNotSent)
}

func retryReason(cause error) refuser.RetryReason {
	switch {
	case errors.Is(cause, exchanger.ErrNotSent):
		return refuser.RetryConnect
	case errors.Is(cause, streamer.ErrCrossed), errors.Is(cause, streamer.ErrGap):
		return refuser.RetryWrongAnswer
	case errors.Is(cause, streamer.ErrLate):
		return refuser.RetryFirstToken
	case errors.Is(cause, exchanger.ErrRefused):
		return refuser.RetryRefused
	default:
		return refuser.RetryStreamCut
	}
}

// try makes one attempt. It returns nil if the answer is whole.
func (u *run) try(ctx context.Context, resume bool) error {
	slot := u.last
	if !resume {
		var err error
		if slot, err = u.r.acquire(ctx, u.want(), u.waitUntil(), u.permitted); err != nil {
			return err
		}
		u.last = slot
	} else if again, err := u.r.o.Tracker.AcquireAt(slot.Endpoint, u.q.Deadline, u.r.o.Now()); err == nil {
		slot = again
	} else {
		return errors.Mark(err, engineclient.ErrNoAttempt)
	}
	result := tracker.Result{}
	cause := u.exchange(ctx, slot, resume, &result)
	result.Failed = cause != nil && !errors.Is(cause, context.Canceled) && !errors.Is(cause, exchanger.ErrRefused)
	result.Lost = connectionLost(cause)
	result.Cold = result.Cold || errors.Is(cause, engineclient.ErrCold)
	u.r.o.Tracker.Release(slot, result, u.r.o.Now())
	return cause
}

// connectionLost reports whether an exchange ended without an answer from the
// endpoint, which may have restarted.
func connectionLost(cause error) bool {
	var status *exchanger.StatusError
	return errors.IsAny(cause, exchanger.ErrNotSent, exchanger.ErrUnknown) && !errors.As(cause, &status)
}

func (u *run) want() tracker.Want {
	return tracker.Want{Class: u.version, Prompt: u.q.Prompt, Exclude: u.exclude, Deadline: u.q.Deadline}
}

// waitUntil returns the instant at which the wait for an endpoint ends.
func (u *run) waitUntil() clock.Millis {
	if u.versionWait > 0 && u.attempts == 0 {
		return min(u.q.Deadline, u.r.o.Now()+u.versionWait)
	}
	return u.q.Deadline
}

// exchange streams one attempt and delivers its pieces.
func (u *run) exchange(ctx context.Context, slot tracker.Slot, resume bool, result *tracker.Result) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	engine := u.r.o.Engine(slot.Address)
	sent := u.r.o.Now()
	watch := u.newWatch(slot.Endpoint, func() { cancel(streamer.ErrLate) })
	defer watch.stop()
	seq, err := u.open(ctx, engine, resume)
	if err != nil {
		return u.cause(ctx, err)
	}
	first := true
	for p, err := range seq {
		if err != nil {
			u.abandon(engine)
			return u.stream.Close(u.cause(ctx, err))
		}
		text, err := u.stream.Accept(p)
		if err != nil {
			u.abandon(engine)
			return err
		}
		if first && text != "" {
			first = false
			u.noteFirst(u.r.o.Now()-sent, result)
		}
		watch.token(u.r.o.Timing.Stall)
		if err := u.pass(text); err != nil {
			u.abandon(engine)
			return errors.Mark(err, context.Canceled)
		}
	}
	return u.stream.Close(u.cause(ctx, nil))
}

// newWatch returns a watch that calls late if no token comes in time. While the
// first token is awaited, a queue at the endpoint explains the wait, and to try
// elsewhere would only add work.
func (u *run) newWatch(endpoint string, late func()) *watch {
	w := &watch{first: u.firstTokenLimit(), late: late}
	w.busy = func() bool { return u.r.o.Tracker.Busy(endpoint) }
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.first.Duration(), w.fire)
	return w
}

// watch notices an endpoint that sends no tokens.
type watch struct {
	mu      sync.Mutex
	timer   *time.Timer
	started bool // the first token has come
	first   clock.Millis
	busy    func() bool
	late    func()
}

func (w *watch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started && w.busy() {
		w.timer.Reset(w.first.Duration())
		return
	}
	w.late()
}

// token restarts the watch after a token.
func (w *watch) token(stall clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = true
	w.timer.Reset(stall.Duration())
}

func (w *watch) stop() { w.timer.Stop() }

// open starts or resumes the attempt at the endpoint.
func (u *run) open(
	ctx context.Context, engine engineclient.Client, resume bool,
) (iter.Seq2[framer.Piece, error], error) {
	if resume {
		return engine.Resume(ctx, u.attempt.RequestID, u.attempt.AttemptID, u.stream.NextIndex())
	}
	return engine.Generate(ctx, u.attempt)
}

func (u *run) pass(text string) error {
	if text == "" {
		return nil
	}
	return u.deliver(text)
}

func (u *run) firstTokenLimit() clock.Millis {
	return max(u.r.o.Timing.FirstToken, clock.Millis(u.r.o.Timing.LateFactor)*u.model.FirstTokenMS)
}

// noteFirst looks at the first token for signs of a cold endpoint.
func (u *run) noteFirst(took clock.Millis, result *tracker.Result) {
	result.Late = permitter.Late(took, u.model.FirstTokenMS, u.r.o.Timing.LateFactor)
}

// cause returns why an exchange ended: the watch, the caller, or err.
func (u *run) cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// abandonTimeout bounds the call that cancels an attempt.
const abandonTimeout = time.Second

// abandon asks the endpoint to stop an attempt whose answer is of no use, so
// that it does not take up room.
func (u *run) abandon(engine engineclient.Client) {
	request, attempt := u.attempt.RequestID, u.attempt.AttemptID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, request, attempt) // the endpoint may be gone
	}()
}

// permitted returns errStale if the configuration in force now withholds the
// version, which may have changed while the request waited or failed elsewhere.
// An answer that has begun may be finished.
func (u *run) permitted() error {
	if err := u.r.o.Confirmed(); err != nil || u.stream.Tokens() > 0 {
		return err
	}
	v := u.r.o.View()
	w, s, err := permission(v.Fleet, u.q.Workspace, u.q.Service, parser.KindModel)
	if err == nil && !v.usable(w, s, u.version) {
		return errStale
	}
	return err
}

// longWait is how long a request waits for an endpoint before that is noted.
const longWait = 2 * clock.Second

// acquire waits until an endpoint has room, at most until the given instant. It
// returns the error of permitted, which is asked before each look.
func (r *Router) acquire(
	ctx context.Context, w tracker.Want, until clock.Millis, permitted func() error,
) (tracker.Slot, error) {
	began := r.o.Now()
	for noted := false; ; {
		if err := permitted(); err != nil {
			return tracker.Slot{}, err
		}
		slot, err := r.o.Tracker.Acquire(w, r.o.Now())
		if err == nil {
			return slot, nil
		}
		if !noted && r.o.Now() > began+longWait {
			noted = true
			r.o.Meter.Event("endpoint_wait_long")
			klog.V(1).Infof("router: a request has waited %d ms for an endpoint: %v", longWait, err)
		}
		if r.o.Now()+r.o.Timing.Poll >= until {
			return slot, err
		}
		if err := r.sleep(ctx, r.o.Timing.Poll); err != nil {
			return slot, err
		}
	}
}

// sleep waits, or returns refuser.ErrDeadline when the caller has gone.
func (r *Router) sleep(ctx context.Context, d clock.Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return refuser.ErrDeadline.WithMessage("the caller gave up")
	}
}
