package router

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/scheduler"
	"rosemaryarch.example/rosemaryarch/tracker"
)

// maxCallAttempts bounds the attempts of a call that is safe to repeat.
const maxCallAttempts = 4

// Call forwards a call to a plain service and bills it unless its method is GET
// or HEAD or the reply is a stored one. A call that is not safe to repeat needs
// an idempotency key and runs at most once for each key of the workspace.
func (r *Router) Call(ctx context.Context, c Call) (Reply, error) {
	if err := r.opts.CheckReady(); err != nil {
		return Reply{}, err
	}
	w, s, err := checkAccess(r.opts.Config().Fleet, c.Workspace, c.Service, parser.KindPlain)
	if err != nil {
		return Reply{}, err
	}
	safe := c.Method == http.MethodGet || c.Method == http.MethodHead
	if !safe && !s.Retryable && c.IdempotencyKey == "" {
		return Reply{}, refuser.ErrMissingIdempotencyKey.WithMessage("calls of service %q require an Idempotency-Key", s.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - r.opts.Now()).Duration())
	defer cancel()
	release, err := r.opts.Admitter.Admit(ctx, s.Name, scheduler.Request{
		ID: r.opts.AttemptID(), Workspace: w.Name, Priority: w.Priority, Deadline: c.Deadline,
	})
	if err != nil {
		return Reply{}, err
	}
	reply, err := r.dispatch(ctx, c, safe || s.Retryable)
	release(err == nil)
	if err != nil {
		return Reply{}, callRefusal(err)
	}
	r.recordSuccess(s.Name, w.Name)
	r.opts.Meter.CountRequest(s.Name, w.Name)
	if !safe && !reply.Repeated {
		id := c.IdempotencyKey
		if id == "" {
			id = r.opts.AttemptID()
		}
		r.opts.AddBill(context.WithoutCancel(ctx), Bill{
			Workspace: w.Name, RequestID: s.Name + "/" + id, Service: s.Name, Cost: s.CallCost,
		})
	}
	return reply, nil
}

// dispatch sends a call with retries if it is repeatable, otherwise at most once.
func (r *Router) dispatch(ctx context.Context, c Call, repeatable bool) (Reply, error) {
	if repeatable {
		return r.sendWithRetries(ctx, c)
	}
	return r.opts.RunAtMostOnce(ctx, c, func(ctx context.Context, attempt string) (Reply, error) {
		reply, _, err := r.sendOnce(ctx, c, attempt, nil)
		return reply, err
	})
}

// callRefusal converts an error into a refusal. The execution state is
// refuser.NotExecuted only if the error proves that no endpoint executed the call.
func callRefusal(err error) error {
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.IsAny(err, exchanger.ErrNotSent, exchanger.ErrRefused):
		return refuser.ErrBackEndFailed.WithExecution(refuser.NotExecuted).WithMessage("%v", err)
	default:
		return refuser.ErrBackEndFailed.WithMessage("%v", err)
	}
}

// sendWithRetries sends a call until it succeeds, is refused, has used up
// maxCallAttempts or exceeds the retry budgets. Each attempt goes to an endpoint
// that has not failed the call before.
func (r *Router) sendWithRetries(ctx context.Context, c Call) (Reply, error) {
	var exclude []string
	for attempt := 1; ; attempt++ {
		reply, endpoint, err := r.sendOnce(ctx, c, r.opts.AttemptID(), exclude)
		var refusal *refuser.Refusal
		if err == nil || errors.As(err, &refusal) || attempt == maxCallAttempts {
			return reply, err
		}
		exclude = append(exclude, endpoint)
		if !r.retryAllowed(c.Service, c.Workspace, retryReason(err)) {
			return Reply{}, refuser.ErrRetryBudget.WithMessage("last attempt failed: %v", err)
		}
		if err := r.sleep(ctx, r.backoff(attempt)); err != nil {
			return Reply{}, err
		}
	}
}

// sendOnce makes one attempt at an endpoint and returns the ID of the endpoint.
// If no endpoint could be acquired, the error is marked with exchanger.ErrNotSent.
func (r *Router) sendOnce(ctx context.Context, c Call, attempt string, exclude []string) (Reply, string, error) {
	requirement := tracker.Requirement{Class: c.Service, Exclude: exclude, Deadline: c.Deadline}
	slot, err := r.acquire(ctx, requirement, c.Deadline, r.opts.ConfigConfirmed)
	if err != nil {
		return Reply{}, "", errors.Mark(err, exchanger.ErrNotSent)
	}
	reply, err := r.opts.SendCall(ctx, slot.Address, attempt, c)
	r.opts.Tracker.Release(slot, tracker.Result{Failed: err != nil && ctx.Err() == nil}, r.opts.Now())
	return reply, slot.Endpoint, err
}
