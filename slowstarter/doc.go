// Package slowstarter limits the rate of requests to cold endpoints during their
// warm-up (slow start). The bound applies to the sum over all instances in any
// second, so each instance that may send to a cold endpoint has a fixed share of
// it.
package slowstarter
