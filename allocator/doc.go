// Package allocator runs the permits of package permitter on one instance: it
// keeps the assignment of granting instances, asks for permits where requests
// need them, answers the asks of peers, and passes on signs of cold endpoints.
//
// One live instance, found by rendezvous hashing, is the coordinator. It writes
// the assignment when the membership has been stable for a second, settles it
// with the votes of the former members, and confirms it once a second by a
// conditional write. The others ask the coordinator for the assignment and for
// the age of its confirmation, so that the store calls do not grow with the
// number of instances. While the store does not answer, the coordinator confirms
// with the votes of a majority instead. Two instances that both believe to be
// the coordinator are harmless, because the conditional write decides.
package allocator
