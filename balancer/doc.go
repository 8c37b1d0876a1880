// Package balancer chooses the endpoint for a request. The cost of an endpoint
// is the work queued there plus the weighted work of the request itself, which
// delays all later requests, minus the part of the prompt that the endpoint's
// cache probably holds, plus a cost for endpoints in other data centres. All
// work is in ms.
//
// Long prompts, whose prefill makes the streams on their engine late, prefer the
// endpoints that are reserved for them, and all other requests avoid these.
//
// Requests with the same prompt prefix prefer the same endpoints on every
// instance without communication, by rendezvous hashing (Thaler, Ravishankar:
// Using name-based mappings to increase hit rates, IEEE/ACM Transactions on
// Networking 6, 1998).
package balancer
