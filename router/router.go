package router

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/admitter"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/limiter"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/tracker"
)

// Bill is the charge for one request or call.
type Bill struct {
	Workspace string
	RequestID string
	Service   string
	Version   string // version that answered, "" for a plain service
	TokensIn  int    // prompt tokens
	TokensOut int    // answer tokens
	Cost      int64  // micro-units
}

// ConfigSnapshot is the configuration in force at one instant.
type ConfigSnapshot struct {
	Fleet   *parser.Fleet
	Stopped map[string]bool    // versions that have a stop record
	Shares  map[string]float64 // share of new sessions that each canary receives, 0 to 1
}

// Sink receives the pieces of an answer. Begin is called once, before the first
// call of Text. An error of either ends the request.
type Sink struct {
	Begin func(AnswerHead) error
	Text  func(string) error
}

// Options are the dependencies and the settings of a router. All fields must be
// set.
type Options struct {
	Now        func() clock.Millis
	Config     func() ConfigSnapshot
	CheckReady func() error // nil if the instance accepts new requests
	// ConfigConfirmed returns nil if attempts may start under the configuration in
	// force, or the reason why not. Unlike CheckReady, it ignores a shutdown.
	ConfigConfirmed func() error
	// Engine returns the client of the model engine at an address.
	Engine func(address string) engineclient.Client
	// RateAnswer returns the quality of an answer, 0 to 1, as judged by the rating
	// service.
	RateAnswer func(ctx context.Context, requestID, version, prompt, answer string) (float64, error)
	// PinnedVersion returns the version that a session is pinned to, or "".
	PinnedVersion func(ctx context.Context, workspace, session, token string) (version string)
	// PinVersion pins a session to a version and returns the session token. Displaced
	// is the version that the session was pinned to and can no longer use, or "".
	PinVersion func(ctx context.Context, workspace, session, version, displaced string) (token string)
	// AddBill records the bill of a request.
	AddBill func(ctx context.Context, b Bill)
	// RunAtMostOnce runs a call at most once for each idempotency key. It is used for
	// calls that are not safe to repeat.
	RunAtMostOnce func(
		ctx context.Context, c Call, run func(ctx context.Context, attempt string) (Reply, error),
	) (Reply, error)
	// SendCall sends a call to an endpoint of a plain service. Its errors are those
	// of package exchanger.
	SendCall func(ctx context.Context, address, attempt string, c Call) (Reply, error)
	// AttemptID returns a unique ID.
	AttemptID func() string

	Admitter  *admitter.Admitter
	Tracker   *tracker.Tracker
	Estimator *estimator.Estimator
	Planner   planner.Planner
	Limiter   *limiter.Limiter
	Meter     *meter.Meter
	Random    *rand.Rand
	Timing    Timing
}

// Timing are the router's time limits.
type Timing struct {
	FirstTokenTimeout clock.Millis // least timeout for the first token, after which another endpoint is tried
	StallTimeout      clock.Millis // timeout between tokens, after which the stream counts as broken
	CheckTimeout      clock.Millis // timeout for the check of the first answer of a cascade
	LateFactor        float64      // multiple of the model's usual time to the first token that indicates a cold endpoint
	PollInterval      clock.Millis // interval between attempts to acquire an endpoint
}

// DefaultTiming returns the time limits of the daemon.
func DefaultTiming() Timing {
	return Timing{
		FirstTokenTimeout: 3 * clock.Second, StallTimeout: 2 * clock.Second, CheckTimeout: 500, LateFactor: 8,
		PollInterval: 10,
	}
}

// Router serves the requests of one instance. It is safe for concurrent use.
type Router struct {
	opts           Options
	mu             sync.Mutex              // guards opts.Limiter, opts.Random, answerDuration and plannerTables
	answerDuration map[string]clock.Millis // moving average of the time that a complete answer takes, by version
	plannerTables  map[plannerTableKey]*cachedPlannerTable
	ratingJobs     chan ratingJob
	checkHealth    checkHealth
}

// New returns a router and starts the workers that rate sampled answers. They
// stop when done is closed.
func New(o Options, done <-chan struct{}) *Router {
	r := &Router{
		opts: o, answerDuration: map[string]clock.Millis{}, plannerTables: map[plannerTableKey]*cachedPlannerTable{},
		ratingJobs: make(chan ratingJob, ratingQueue),
	}
	for range ratingWorkers {
		go r.ratingWorker(done)
	}
	return r
}

// retryAllowed reports whether the retry budgets of the service and of the
// workspace allow a retry, and if so charges both.
func (r *Router) retryAllowed(service, workspace string, reason refuser.RetryReason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.opts.Limiter.AllowRetry(service, workspace) {
		return false
	}
	r.opts.Meter.CountRetry(reason)
	return true
}

// recordSuccess credits a successful request to the retry budgets.
func (r *Router) recordSuccess(service, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Limiter.Succeeded(service, workspace)
}

// backoff returns the delay before the retry that follows an attempt.
func (r *Router) backoff(attempt int) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Limiter.Backoff(attempt, r.opts.Random)
}

// bernoulli returns true with probability p.
func (r *Router) bernoulli(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Random.Float64() < p
}

// checkAccess returns the workspace and the service of a request, or a refusal
// if the service is unknown, of another kind or not permitted to the workspace.
func checkAccess(f *parser.Fleet, workspace, service, kind string) (*parser.Workspace, *parser.Service, error) {
	s, ok := f.Service(service)
	if !ok || s.Kind != kind {
		return nil, nil, refuser.ErrUnknownService.WithMessage("%s service %q does not exist", kind, service)
	}
	w, ok := f.Workspace(workspace)
	if !ok {
		return nil, nil, refuser.ErrUnknownKey
	}
	for _, allowed := range w.Services {
		if allowed == service {
			return w, s, nil
		}
	}
	return nil, nil, refuser.ErrForbidden.WithMessage("workspace %q may not use service %q", workspace, service)
}
