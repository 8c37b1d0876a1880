// Package admitter lets requests start in the scheduler's order, with one queue
// for each pool of endpoints: a model or a plain service. A pool that is full
// therefore delays only the requests that need it.
package admitter
