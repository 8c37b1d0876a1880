// Package limiter limits retries by budgets, as token buckets that are filled by
// successful requests. Each service and each workspace has a budget, and a retry
// takes one token from both. Retries therefore stay a fixed share of the
// successful requests and stop when no request succeeds. Backoff returns the
// randomised exponential delay before a retry.
//
// A Limiter does no I/O, reads no clock and is not safe for concurrent use.
package limiter
