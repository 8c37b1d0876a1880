package router

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/admitter"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/limiter"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/tracker"
)

// Bill is the charge for one request.
type Bill struct {
	Workspace string
	RequestID string
	Service   string
	Version   string // "" for a plain service
	TokensIn  int
	TokensOut int
	Cost      int64 // micro-units
}

// View is the configuration in force at one instant.
type View struct {
	Fleet   *parser.Fleet
	Stopped map[string]bool    // versions with a stop record
	Shares  map[string]float64 // share of new sessions of each canary, 0 to 1
}

// Sink receives the pieces of an answer. Begin is called once, before the first
// piece.
type Sink struct {
	Begin func(Head) error
	Text  func(string) error
}

// Options are the parts that a router calls. All fields must be set.
type Options struct {
	Now   func() clock.Millis
	View  func() View
	Ready func() error // nil if the instance may take new work
	// Confirmed tells why no work may start under the configuration in force, or
	// returns nil. Unlike Ready, it does not look at a shutdown.
	Confirmed func() error
	Engine    func(address string) engineclient.Client
	// Rate asks the rating service for the quality of an answer, 0 to 1.
	Rate func(ctx context.Context, requestID, version, prompt, answer string) (float64, error)
	// Pinned returns the version that a session keeps, "" if none is known.
	Pinned func(ctx context.Context, workspace, session, token string) (version string)
	// Pin records the version of a session and returns its token. Displaced is
	// the version that the session had to leave, or "".
	Pin func(ctx context.Context, workspace, session, version, displaced string) (token string)
	// Bill takes over the bill of a request.
	Bill func(ctx context.Context, b Bill)
	// Once runs a call that may not be repeated at most once.
	Once func(ctx context.Context, c Call, run func(ctx context.Context, attempt string) (Reply, error)) (Reply, error)
	// Send sends a call to an endpoint of a plain service. Errors are those of
	// the exchanger package.
	Send func(ctx context.Context, address, attempt string, c Call) (Reply, error)
	// AttemptID returns an id that is never used again.
	AttemptID func() string

	Admit   *admitter.Admitter
	Tracker *tracker.Tracker
	Rater   *rater.Rater
	Planner planner.Planner
	Limiter *limiter.Limiter
	Meter   *meter.Meter
	Random  *rand.Rand
	Timing  Timing
}

// Timing are the router's time limits.
type Timing struct {
	FirstToken clock.Millis // no first token by then: try elsewhere
	Stall      clock.Millis // no further token by then: the stream is broken
	Check      clock.Millis // longest wait for the rating of a cascade's first step
	LateFactor float64      // a first token later than this multiple of the usual is a sign of a cold endpoint
	Poll       clock.Millis // pause between two tries to get an endpoint
}

// DefaultTiming returns the daemon's time limits.
func DefaultTiming() Timing {
	return Timing{
		FirstToken: 3 * clock.Second, Stall: 2 * clock.Second, Check: 500, LateFactor: 8, Poll: 10,
	}
}

// Router serves the requests of one instance. It is safe for concurrent use.
type Router struct {
	o        Options
	mu       sync.Mutex // guards limiter, random, duration and plans
	duration map[string]clock.Millis
	plans    map[planKey]*planTable
	ratings  chan rating
	checks   checkHealth
}

// New returns a router whose rating calls run until done is closed.
func New(o Options, done <-chan struct{}) *Router {
	r := &Router{
		o: o, duration: map[string]clock.Millis{}, plans: map[planKey]*planTable{},
		ratings: make(chan rating, ratingQueue),
	}
	for range ratingWorkers {
		go r.rateAnswers(done)
	}
	return r
}

// retryAllowed draws on the retry budgets.
func (r *Router) retryAllowed(service, workspace string, reason refuser.RetryReason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.o.Limiter.Retry(service, workspace) {
		return false
	}
	r.o.Meter.Retried(reason)
	return true
}

// succeeded fills the retry budgets.
func (r *Router) succeeded(service, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.o.Limiter.Succeeded(service, workspace)
}

func (r *Router) backoff(attempt int) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.o.Limiter.Backoff(attempt, r.o.Random)
}

// chance reports true with probability p.
func (r *Router) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.o.Random.Float64() < p
}

// permission returns the service and the workspace of a request, or a refusal.
func permission(f *parser.Fleet, workspace, service, kind string) (*parser.Workspace, *parser.Service, error) {
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
