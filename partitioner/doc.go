// Package partitioner decides which endpoints of a service read long prompts. It
// addresses prompts so long that the prefill of one of them makes every stream on
// its engine late: engines read prompts between the decode steps of their running
// requests. With a few endpoints per data centre for such prompts, the streams on
// all others stay on time.
//
// The endpoints are the first by rendezvous hashing (Thaler, Ravishankar: Using
// name-based mappings to increase hit rates, IEEE/ACM Transactions on Networking
// 6, 1998), so instances that compute different numbers differ in as many
// endpoints only.
package partitioner
