// Package throttler limits escalations to larger models by the capacity of the
// endpoints. Prefill for a larger model runs between the decode steps of all
// other requests on an endpoint, so too much of it slows down every stream long
// before requests queue. Most of the capacity goes to requests of higher
// priority ranks first.
//
// It also holds the rate of long prompts, from which package partitioner derives
// the number of endpoints that read them.
//
// Rates of work are in ms of endpoint time per ms.
package throttler
