package router

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/rater"
)

const (
	ratingWorkers = 4
	ratingQueue   = 1024

	// checkFailures in a row end the checks of cascades for checkPause.
	checkFailures = 5
	checkPause    = 5 * clock.Second
)

// rating is an answer that waits to be rated.
type rating struct {
	key                              rater.Key
	at                               clock.Millis
	request, version, prompt, answer string
}

// enqueueRating hands an answer to the workers, or drops it if they are behind:
// ratings are a sample.
func (r *Router) enqueueRating(x rating) {
	select {
	case r.ratings <- x:
	default:
		r.o.Meter.Event("rating_dropped")
	}
}

func (r *Router) rateAnswers(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case x := <-r.ratings:
			r.rateAnswer(x)
		}
	}
}

func (r *Router) rateAnswer(x rating) {
	ctx, cancel := context.WithTimeout(context.Background(), ratingTimeout)
	defer cancel()
	score, err := r.o.Rate(ctx, x.request, x.version, x.prompt, x.answer)
	if err != nil {
		r.o.Meter.Event("rating_failed")
		return
	}
	counted(x.key, func(k rater.Key) { r.o.Rater.Rate(k, x.at, r.o.Now(), score) })
}

// counted calls count for the key and for the key over all workspaces, which
// guides exploration.
func counted(k rater.Key, count func(rater.Key)) {
	count(k)
	k.Workspace = planner.AllWorkspaces
	count(k)
}

// check asks the rating service whether the first step of a cascade is good
// enough. Known is false if no rating came in time.
func (r *Router) check(ctx context.Context, version string, q Request, answer string) (score float64, known bool) {
	wait := min(r.o.Timing.Check, q.Deadline-r.o.Now())
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	score, err := r.o.Rate(ctx, q.ID, version, q.Prompt, answer)
	r.checks.note(err == nil, r.o.Now())
	if err != nil {
		r.o.Meter.Event("check_failed")
	}
	return score, err == nil
}

// checkHealth tells whether the rating service answers checks. While it does
// not, cascades run without a checked step.
type checkHealth struct {
	mu       sync.Mutex
	failures int
	until    clock.Millis
}

func (c *checkHealth) note(ok bool, now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.failures = 0
		return
	}
	if c.failures++; c.failures >= checkFailures {
		c.until = now + checkPause
	}
}

func (c *checkHealth) healthy(now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now >= c.until
}
