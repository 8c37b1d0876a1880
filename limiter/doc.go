// Package limiter bounds retries. Each service and each workspace has a budget
// that successful work fills and every retry draws on, so that retries stay a
// fixed share of successful work and end when nothing succeeds. Backoff spreads
// the retries that are allowed.
//
// A Limiter does no I/O, reads no clock and is not safe for concurrent use.
package limiter
