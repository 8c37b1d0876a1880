// Package permitter bounds the concurrent work at endpoints that are not known
// to be warm. Each endpoint has one granting instance. The granter gives out
// permits; a permit names a process of the endpoint (by its restart id), an
// epoch, a number of concurrent requests and a lifetime. A permit for a warm
// endpoint has no bound, so that the granter always knows who may send what.
// All code but Registry is pure.
//
// # Work in flight
//
// A permit bounds the work in flight, not only the starts: a holder starts a
// request only while its running requests at the process are below the units of
// its newest permit. Each ask reports the running requests and the units held,
// and gives up every permit that was granted for an earlier ask and has not
// arrived. The granter therefore counts for each holder the largest of its
// running requests, the units it holds and the units just granted. A holder that
// dies or is paused is counted in full until its last permit has run out
// (lifetime and margin after the grant) and the longest request that it could
// have started under it has reached its deadline (Options.Work). This relies on
// endpoints that end a request at the deadline sent with it. A permit is valid on
// the holder's monotonic clock from before it asked, so a late grant is worthless.
// A process pause between Start and the write to the connection is not covered.
//
// A process that restarts loses its work, and its new restart id has no permits.
// Start takes the restart id that was read on the connection which will carry the
// request; a connection to the old process never reaches the new one. An endpoint
// that becomes cold without a restart may exceed its limit by the work that was
// sent while it was still considered warm. After the first sign, the granter
// permits nothing new until every warm permit was given up or has run out.
//
// # Granters
//
// The assignment is one object of the object API: an epoch and the members, each
// an instance with its incarnation. The granter of an endpoint follows by
// rendezvous hash. A granter acts only while its assignment is confirmed, for
// Options.Confirm from before it asked for the confirmation:
//   - by a conditional write that left the object as it was (a read may be stale), or
//   - by votes of a majority of the members, each of which says that it has
//     adopted no later epoch.
//
// The votes keep assignments alive while the store is down. A new assignment is
// written by conditional update and is used only after it has been settled, by a
// second one: half of the members of every assignment that it replaces have then
// voted for it. A member never votes for an epoch lower than one it has adopted,
// and a majority and a half of the same members share one, so no granter of an
// older epoch is confirmed afterwards. A new granter then waits until confirmations,
// permits and work of the older epochs must have ended. It waits less if every
// member, and every departed one that has not drained, has reported its running
// work under the new epoch.
//
// Given up: while the store is down, members that have lost contact with half
// of the others get no new permits; they finish their work and use the permits
// that they hold until these run out. While more than half of the members have
// disappeared at once, no assignment can be settled: their endpoints get no new
// permits until enough of them return. After a granter has crashed, its cold endpoints
// wait for Quiet(). Endpoints that any holder knows to be warm do not wait; a cold
// mark that has reached neither the new granter nor this holder is then lost until
// the next sign.
package permitter
