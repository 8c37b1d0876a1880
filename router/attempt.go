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

// generation is the generation of one version's answer to one request, over all
// attempts.
type generation struct {
	router     *Router
	request    Request
	model      parser.Model
	version    string
	service    string
	deliver    func(text string) error
	stream     *streamer.Streamer
	attempt    streamer.Request // current attempt
	excluded   []string         // IDs of endpoints that failed the request
	lastSlot   tracker.Slot     // slot of the last attempt
	retries    int              // retries so far, including resumed attempts
	mayHaveRun bool             // an endpoint may have run an attempt
	waitLimit  clock.Millis     // longest wait for the first endpoint; 0 waits until the deadline
}

// run generates the complete answer. streamer.NextStep decides whether a failed
// attempt is resumed or repeated.
func (g *generation) run(ctx context.Context) error {
	g.attempt = streamer.Request{
		RequestID: g.request.ID, AttemptID: g.router.opts.AttemptID(), Version: g.version, Prompt: g.request.Prompt,
		PriorText: g.request.Partial, MaxTokens: g.request.MaxTokens,
	}
	g.stream = streamer.New(g.attempt)
	resume := false
	for {
		cause := g.runAttempt(ctx, resume)
		if cause == nil {
			return nil
		}
		step, err := g.nextStep(ctx, cause)
		if err != nil {
			return err
		}
		resume = step == streamer.StepResume
		if !resume {
			g.attempt = g.stream.NextAttempt(g.router.opts.AttemptID())
		}
	}
}

// nextStep returns how to continue after a failed attempt, once the delay before
// the retry has passed, or the error that ends the request.
func (g *generation) nextStep(ctx context.Context, cause error) (streamer.Step, error) {
	var refusal *refuser.Refusal
	if errors.As(cause, &refusal) {
		return "", g.withRequestExecution(refusal)
	}
	if errors.Is(cause, errVersionUnusable) {
		return "", errVersionUnusable
	}
	g.mayHaveRun = g.mayHaveRun || !errors.IsAny(cause, exchanger.ErrNotSent, exchanger.ErrRefused)
	now := g.router.opts.Now()
	step, err := streamer.NextStep(cause, g.stream.Tokens(), g.canResume(cause), now < g.request.Deadline)
	if err != nil {
		return "", err
	}
	if step != streamer.StepResume {
		g.excluded = append(g.excluded, g.lastSlot.Endpoint)
	}
	if !g.router.retryAllowed(g.service, g.request.Workspace, retryReason(cause)) {
		return "", g.withRequestExecution(refuser.ErrRetryBudget.WithMessage("last attempt failed: %v", cause))
	}
	g.retries++
	return step, g.router.sleep(ctx, g.router.backoff(g.retries))
}

// withRequestExecution returns the refusal with the execution state of the whole
// request, which may differ from that of the last attempt. If a part of the answer
// was generated, the refusal becomes ErrStreamBroken.
func (g *generation) withRequestExecution(refusal *refuser.Refusal) error {
	switch {
	case g.stream.Tokens() > 0:
		return refuser.ErrStreamBroken.WithMessage("%s", refusal.Error())
	case !g.mayHaveRun:
		return refusal.WithExecution(refuser.NotExecuted)
	case refusal.Execution == refuser.NotExecuted:
		return refusal.WithExecution(refuser.ExecutionUnknown)
	default:
		return refusal
	}
}

// canResume reports whether the endpoint may still have the attempt in memory, so
// that its stream can be resumed after the given failure.
func (g *generation) canResume(cause error) bool {
	return errors.Is(cause, streamer.ErrTruncated) && !errors.Is(cause, streamer.ErrEventTimeout) &&
		g.attempt.AttemptID != "" && !errors.Is(cause, engineclient.ErrNotResumable) &&
		!errors.Is(cause, exchanger.ErrNotSent)
}

// retryReason classifies the failure of an attempt for the retry metric.
func retryReason(cause error) refuser.RetryReason {
	switch {
	case errors.Is(cause, exchanger.ErrNotSent):
		return refuser.RetryConnect
	case errors.Is(cause, streamer.ErrMismatch), errors.Is(cause, streamer.ErrGap):
		return refuser.RetryMismatchedResponse
	case errors.Is(cause, streamer.ErrEventTimeout):
		return refuser.RetryFirstTokenLate
	case errors.Is(cause, exchanger.ErrRefused):
		return refuser.RetryRefused
	default:
		return refuser.RetryStreamCut
	}
}

// runAttempt makes one attempt, or resumes the last one at the same endpoint. It
// returns nil if the answer is complete.
func (g *generation) runAttempt(ctx context.Context, resume bool) error {
	slot := g.lastSlot
	if !resume {
		var err error
		if slot, err = g.router.acquire(ctx, g.requirement(), g.waitDeadline(), g.checkPermitted); err != nil {
			return err
		}
		g.lastSlot = slot
	} else if renewed, err := g.router.opts.Tracker.AcquireAt(
		slot.Endpoint, g.request.Deadline, g.router.opts.Now(),
	); err == nil {
		slot = renewed
	} else {
		return errors.Mark(err, engineclient.ErrNotResumable)
	}
	result := tracker.Result{}
	cause := g.exchange(ctx, slot, resume, &result)
	result.Failed = cause != nil && !errors.Is(cause, context.Canceled) && !errors.Is(cause, exchanger.ErrRefused)
	result.ConnectionLost = connectionLost(cause)
	result.Cold = result.Cold || errors.Is(cause, engineclient.ErrCold)
	g.router.opts.Tracker.Release(slot, result, g.router.opts.Now())
	return cause
}

// connectionLost reports whether an exchange ended without a response from the
// endpoint, whose process may have restarted.
func connectionLost(cause error) bool {
	var status *exchanger.StatusError
	return errors.IsAny(cause, exchanger.ErrNotSent, exchanger.ErrOutcomeUnknown) && !errors.As(cause, &status)
}

// requirement returns what the request requires of an endpoint.
func (g *generation) requirement() tracker.Requirement {
	return tracker.Requirement{
		Class: g.version, Prompt: g.request.Prompt, Exclude: g.excluded, Deadline: g.request.Deadline,
	}
}

// waitDeadline returns the instant at which the wait for an endpoint ends.
func (g *generation) waitDeadline() clock.Millis {
	if g.waitLimit > 0 && g.retries == 0 {
		return min(g.request.Deadline, g.router.opts.Now()+g.waitLimit)
	}
	return g.request.Deadline
}

// exchange streams one attempt and delivers its text. It records in result
// whether the first token was late.
func (g *generation) exchange(ctx context.Context, slot tracker.Slot, resume bool, result *tracker.Result) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	engine := g.router.opts.Engine(slot.Address)
	sentAt := g.router.opts.Now()
	watchdog := g.newWatchdog(slot.Endpoint, func() { cancel(streamer.ErrEventTimeout) })
	defer watchdog.stop()
	events, err := g.open(ctx, engine, resume)
	if err != nil {
		return g.cause(ctx, err)
	}
	first := true
	for event, err := range events {
		if err != nil {
			g.cancelAttempt(engine)
			return g.stream.Close(g.cause(ctx, err))
		}
		text, err := g.stream.Accept(event)
		if err != nil {
			g.cancelAttempt(engine)
			return err
		}
		if first && text != "" {
			first = false
			g.recordFirstToken(g.router.opts.Now()-sentAt, result)
		}
		watchdog.tokenReceived(g.router.opts.Timing.StallTimeout)
		if err := g.deliverText(text); err != nil {
			g.cancelAttempt(engine)
			return errors.Mark(err, context.Canceled)
		}
	}
	return g.stream.Close(g.cause(ctx, nil))
}

// newWatchdog returns a running watchdog that calls onTimeout if a token is
// overdue. The timeout for the first token is extended while the endpoint is
// busy: its queue then explains the delay, and a retry elsewhere would only add
// load.
func (g *generation) newWatchdog(endpoint string, onTimeout func()) *tokenWatchdog {
	w := &tokenWatchdog{firstTokenTimeout: g.firstTokenTimeout(), onTimeout: onTimeout}
	w.endpointBusy = func() bool { return g.router.opts.Tracker.Busy(endpoint) }
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.firstTokenTimeout.Duration(), w.expire)
	return w
}

// tokenWatchdog detects an endpoint that stops sending tokens.
type tokenWatchdog struct {
	mu                sync.Mutex
	timer             *time.Timer
	firstTokenSeen    bool // the first token has arrived
	firstTokenTimeout clock.Millis
	endpointBusy      func() bool
	onTimeout         func()
}

// expire is called by the timer.
func (w *tokenWatchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.firstTokenSeen && w.endpointBusy() {
		w.timer.Reset(w.firstTokenTimeout.Duration())
		return
	}
	w.onTimeout()
}

// tokenReceived restarts the timer with the timeout between tokens.
func (w *tokenWatchdog) tokenReceived(stall clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstTokenSeen = true
	w.timer.Reset(stall.Duration())
}

func (w *tokenWatchdog) stop() { w.timer.Stop() }

// open starts or resumes the attempt at the endpoint.
func (g *generation) open(
	ctx context.Context, engine engineclient.Client, resume bool,
) (iter.Seq2[framer.EngineEvent, error], error) {
	if resume {
		return engine.Resume(ctx, g.attempt.RequestID, g.attempt.AttemptID, g.stream.NextIndex())
	}
	return engine.Generate(ctx, g.attempt)
}

// deliverText delivers a text that is not empty.
func (g *generation) deliverText(text string) error {
	if text == "" {
		return nil
	}
	return g.deliver(text)
}

// firstTokenTimeout returns the timeout for the first token: LateFactor times the
// model's usual time, but at least Timing.FirstTokenTimeout.
func (g *generation) firstTokenTimeout() clock.Millis {
	return max(g.router.opts.Timing.FirstTokenTimeout, clock.Millis(g.router.opts.Timing.LateFactor)*g.model.FirstTokenMS)
}

// recordFirstToken records whether the time to the first token indicates a cold
// endpoint.
func (g *generation) recordFirstToken(elapsed clock.Millis, result *tracker.Result) {
	result.Late = permitter.FirstTokenLate(elapsed, g.model.FirstTokenMS, g.router.opts.Timing.LateFactor)
}

// cause returns why an exchange ended: the timeout of the watchdog, the end of
// the caller's context, or else err.
func (g *generation) cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// cancelTimeout bounds the call that cancels an attempt.
const cancelTimeout = time.Second

// cancelAttempt asks the endpoint in the background to stop an attempt whose
// answer is no longer needed, so that it frees its slot.
func (g *generation) cancelAttempt(engine engineclient.Client) {
	request, attempt := g.attempt.RequestID, g.attempt.AttemptID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, request, attempt) // fails if the endpoint has ended
	}()
}

// checkPermitted returns errVersionUnusable if the configuration in force no
// longer permits the version; it may have changed while the request waited or was
// retried. An answer of which a part was generated may be completed.
func (g *generation) checkPermitted() error {
	if err := g.router.opts.ConfigConfirmed(); err != nil || g.stream.Tokens() > 0 {
		return err
	}
	config := g.router.opts.Config()
	w, s, err := checkAccess(config.Fleet, g.request.Workspace, g.request.Service, parser.KindModel)
	if err == nil && !config.usable(w, s, g.version) {
		return errVersionUnusable
	}
	return err
}

// longWaitThreshold is the time after which a request that still waits for an
// endpoint is logged and counted.
const longWaitThreshold = 2 * clock.Second

// acquire waits, at most until waitDeadline, until an endpoint that meets the
// requirement has free capacity. Before each try it calls checkPermitted, whose
// error ends the wait.
func (r *Router) acquire(
	ctx context.Context, requirement tracker.Requirement, waitDeadline clock.Millis, checkPermitted func() error,
) (tracker.Slot, error) {
	startedAt := r.opts.Now()
	for longWaitReported := false; ; {
		if err := checkPermitted(); err != nil {
			return tracker.Slot{}, err
		}
		slot, err := r.opts.Tracker.Acquire(requirement, r.opts.Now())
		if err == nil {
			return slot, nil
		}
		if !longWaitReported && r.opts.Now() > startedAt+longWaitThreshold {
			longWaitReported = true
			r.opts.Meter.CountEvent("endpoint_wait_long")
			klog.V(1).Infof("router: a request has waited more than %d ms for an endpoint: %v", longWaitThreshold, err)
		}
		if r.opts.Now()+r.opts.Timing.PollInterval >= waitDeadline {
			return slot, err
		}
		if err := r.sleep(ctx, r.opts.Timing.PollInterval); err != nil {
			return slot, err
		}
	}
}

// sleep waits for the duration d, or returns refuser.ErrDeadline when the context
// ends before.
func (r *Router) sleep(ctx context.Context, d clock.Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return refuser.ErrDeadline.WithMessage("the caller left or the deadline passed")
	}
}
