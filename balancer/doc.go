// Package balancer chooses the endpoint for a request. It weighs the work that
// waits at each endpoint against the request's own work there, which delays all
// that come after it, less the part of the prompt that the endpoint's cache
// probably holds, and the distance of its data centre. Requests about the same
// subject prefer the same endpoints on every instance without talk, by
// rendezvous hashing (Thaler, Ravishankar: Using name-based mappings to increase
// hit rates, IEEE/ACM Transactions on Networking 6, 1998).
package balancer
