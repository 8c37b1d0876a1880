// Package balancer chooses the endpoint on which a request probably starts
// first. It weighs the work that waits at each endpoint, the part of the prompt
// that the endpoint's cache probably holds, and the distance of its data
// centre. Requests about the same subject prefer the same endpoints on every
// instance without talk, by rendezvous hashing (Thaler, Ravishankar: Using
// name-based mappings to increase hit rates, IEEE/ACM Transactions on
// Networking 6, 1998).
package balancer
