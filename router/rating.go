package router

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/planner"
)

const (
	ratingWorkers = 4    // goroutines that send sampled answers to the rating service
	ratingQueue   = 1024 // sampled answers that may wait for a worker

	// After checkFailures consecutive checks without a rating, no cascades are
	// planned for checkPause.
	checkFailures = 5
	checkPause    = 5 * clock.Second
)

// ratingJob is a sampled answer that waits to be rated.
type ratingJob struct {
	key                                estimator.Key
	servedAt                           clock.Millis
	requestID, version, prompt, answer string
}

// enqueueRating passes an answer to the workers, or drops it if the queue is
// full. A dropped rating only makes the sample smaller.
func (r *Router) enqueueRating(job ratingJob) {
	select {
	case r.ratingJobs <- job:
	default:
		r.opts.Meter.CountEvent("rating_dropped")
	}
}

// ratingWorker rates sampled answers until done is closed.
func (r *Router) ratingWorker(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case job := <-r.ratingJobs:
			r.rateAnswer(job)
		}
	}
}

// rateAnswer requests the rating of one answer and counts it.
func (r *Router) rateAnswer(job ratingJob) {
	ctx, cancel := context.WithTimeout(context.Background(), ratingTimeout)
	defer cancel()
	score, err := r.opts.RateAnswer(ctx, job.requestID, job.version, job.prompt, job.answer)
	if err != nil {
		r.opts.Meter.CountEvent("rating_failed")
		return
	}
	recordPooled(job.key, func(k estimator.Key) { r.opts.Estimator.CountRating(k, job.servedAt, r.opts.Now(), score) })
}

// recordPooled calls record for the key and for the same key pooled over all
// workspaces, whose counts guide exploration.
func recordPooled(k estimator.Key, record func(estimator.Key)) {
	record(k)
	k.Workspace = planner.AllWorkspaces
	record(k)
}

// check asks the rating service for the quality, 0 to 1, of the first answer of a
// cascade. Known is false if no rating arrived in time.
func (r *Router) check(ctx context.Context, version string, q Request, answer string) (score float64, known bool) {
	wait := min(r.opts.Timing.CheckTimeout, q.Deadline-r.opts.Now())
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	score, err := r.opts.RateAnswer(ctx, q.ID, version, q.Prompt, answer)
	r.checkHealth.record(err == nil, r.opts.Now())
	if err != nil {
		r.opts.Meter.CountEvent("check_failed")
	}
	return score, err == nil
}

// checkHealth records whether the rating service answers checks. While it does
// not, no cascades are planned.
type checkHealth struct {
	mu          sync.Mutex
	failures    int          // consecutive checks without a rating
	pausedUntil clock.Millis // instant from which checks are made again
}

// record records whether a check received a rating.
func (c *checkHealth) record(ok bool, now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.failures = 0
		return
	}
	if c.failures++; c.failures >= checkFailures {
		c.pausedUntil = now + checkPause
	}
}

// healthy reports whether cascades may be planned at the instant now.
func (c *checkHealth) healthy(now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now >= c.pausedUntil
}
