// Package allocator runs the permit protocol of package permitter on one
// instance: it keeps the assignment of granting instances up to date, requests
// permits according to the demand, answers the permit requests of peers, and
// reports signs of cold endpoints to the peers. It depends on the membership that
// package gossiper provides, on calls between instances and on the object API.
//
// One live instance, chosen by rendezvous hashing, is the coordinator. It writes
// the assignment when the membership has been stable for a second, settles it
// with the votes of the former members, and confirms it once a second by a
// conditional write. The others ask the coordinator for the assignment and for
// the age of its confirmation, so that the number of store calls does not grow
// with the number of instances. While the store does not answer, the coordinator
// confirms the assignment with the votes of a majority instead. Two instances
// that both consider themselves the coordinator do no harm, because the
// conditional write decides.
package allocator
