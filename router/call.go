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

// maxCallAttempts bounds the attempts of a call that may be repeated.
const maxCallAttempts = 4

// Call passes a call to a plain service. A call that may not be repeated runs at
// most once for each idempotency key of the workspace.
func (r *Router) Call(ctx context.Context, c Call) (Reply, error) {
	if err := r.o.Ready(); err != nil {
		return Reply{}, err
	}
	w, s, err := permission(r.o.View().Fleet, c.Workspace, c.Service, parser.KindPlain)
	if err != nil {
		return Reply{}, err
	}
	safe := c.Method == http.MethodGet || c.Method == http.MethodHead
	if !safe && !s.Repeatable && c.IdempotencyKey == "" {
		return Reply{}, refuser.ErrMissingIdemKey.WithMessage("calls of %q need an Idempotency-Key", s.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - r.o.Now()).Duration())
	defer cancel()
	leave, err := r.o.Admit.Enter(ctx, s.Name, scheduler.Item{
		ID: r.o.AttemptID(), Workspace: w.Name, Priority: w.Priority, Deadline: c.Deadline,
	})
	if err != nil {
		return Reply{}, err
	}
	reply, err := r.dispatch(ctx, c, safe || s.Repeatable)
	leave(err == nil)
	if err != nil {
		return Reply{}, callFailure(err)
	}
	r.succeeded(s.Name, w.Name)
	r.o.Meter.Answered(s.Name, w.Name)
	if !safe && !reply.Repeated {
		id := c.IdempotencyKey
		if id == "" {
			id = r.o.AttemptID()
		}
		r.o.Bill(context.WithoutCancel(ctx), Bill{
			Workspace: w.Name, RequestID: s.Name + "/" + id, Service: s.Name, Cost: s.CallCost,
		})
	}
	return reply, nil
}

func (r *Router) dispatch(ctx context.Context, c Call, repeatable bool) (Reply, error) {
	if repeatable {
		return r.repeat(ctx, c)
	}
	return r.o.Once(ctx, c, func(ctx context.Context, attempt string) (Reply, error) {
		reply, _, err := r.send(ctx, c, attempt, nil)
		return reply, err
	})
}

// callFailure turns an error into a refusal with the run state that it proves.
func callFailure(err error) error {
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.IsAny(err, exchanger.ErrNotSent, exchanger.ErrRefused):
		return refuser.ErrBackEndFailed.WithRun(refuser.RunNo).WithMessage("%v", err)
	default:
		return refuser.ErrBackEndFailed.WithMessage("%v", err)
	}
}

// repeat sends a call until it succeeds, within the retry budget.
func (r *Router) repeat(ctx context.Context, c Call) (Reply, error) {
	var exclude []string
	for attempt := 1; ; attempt++ {
		reply, endpoint, err := r.send(ctx, c, r.o.AttemptID(), exclude)
		var refusal *refuser.Refusal
		if err == nil || errors.As(err, &refusal) || attempt == maxCallAttempts {
			return reply, err
		}
		exclude = append(exclude, endpoint)
		if !r.retryAllowed(c.Service, c.Workspace, retryReason(err)) {
			return Reply{}, refuser.ErrRetryBudget.WithMessage("after %v", err)
		}
		if err := r.sleep(ctx, r.backoff(attempt)); err != nil {
			return Reply{}, err
		}
	}
}

// send makes one attempt at an endpoint and returns the endpoint's id. An error
// before the call left is marked with exchanger.ErrNotSent.
func (r *Router) send(ctx context.Context, c Call, attempt string, exclude []string) (Reply, string, error) {
	want := tracker.Want{Class: c.Service, Exclude: exclude, Deadline: c.Deadline}
	slot, err := r.acquire(ctx, want, c.Deadline, r.o.Confirmed)
	if err != nil {
		return Reply{}, "", errors.Mark(err, exchanger.ErrNotSent)
	}
	reply, err := r.o.Send(ctx, slot.Address, attempt, c)
	r.o.Tracker.Release(slot, tracker.Result{Failed: err != nil && ctx.Err() == nil}, r.o.Now())
	return reply, slot.Endpoint, err
}
