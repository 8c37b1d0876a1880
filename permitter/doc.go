// Package permitter limits the number of concurrent requests at endpoints that
// are not known to be warm, across all instances. Each endpoint has one granting
// instance, its granter, which issues permits to the other instances, the
// holders. A permit names a process of the endpoint (by its restart id), an
// epoch, a number of concurrent requests (units) and a lifetime in milliseconds.
// A permit for a warm endpoint is unlimited; it is issued nevertheless, so that
// the granter always knows which holder may send requests. All code except
// AssignmentStore is free of I/O and takes the time as an argument.
//
// # Requests in flight
//
// A permit limits the requests in flight, not only their starts: a holder starts
// a request only while its running requests at the process are below the units
// of its newest permit. Each permit request reports the running requests and the
// units held, and renounces every permit that was granted for an earlier one and has
// not arrived. The granter therefore counts for each holder the largest of its
// running requests, the units it holds and the units just granted. A holder that
// dies or is paused is counted in full until its last permit has expired
// (lifetime and margin after the grant) and the longest request that it could
// have started under this permit has reached its deadline
// (Options.MaxRequestTime). This relies on endpoints that end a request at the
// deadline sent with it. A permit is valid on the holder's monotonic clock from
// before the holder requested it, so a grant that arrives late extends nothing. A
// pause of the holder's process between Start and the write to the connection is
// not covered.
//
// An endpoint process that restarts loses its running requests, and its new
// restart id has no permits. Start takes the restart id that was read on the
// connection which will carry the request; a connection to the old process never
// reaches the new one. An endpoint that becomes cold without a restart may exceed
// its limit by the requests that were sent while it was still considered warm.
// After the first sign of cold, the granter issues no new permit until every
// unlimited permit was returned or has expired.
//
// # Granters
//
// The assignment is one object of the object API: an epoch and the members, each
// an instance with its incarnation. The granter of an endpoint is chosen among
// them by rendezvous hashing. A granter acts only while its assignment is
// confirmed, for Options.ConfirmationLifetime from before it requested the
// confirmation:
//   - by a conditional write that left the object unchanged (a read may be stale), or
//   - by votes of a majority of the members, each of which states that it has
//     adopted no later epoch.
//
// The votes keep an assignment in use while the store is down. A new assignment
// is written by conditional update. It is used only after a second conditional
// update has marked it as settled, which requires the votes of half of the members
// of every assignment that it replaces. A member never votes for an epoch lower
// than one it has adopted, and a majority and a half of the same members
// intersect, so no granter of an older epoch is confirmed afterwards. A new granter
// then waits until confirmations, permits and requests of the older epochs must
// have ended. The wait ends early once every member, and every departed one that
// has not drained, has reported its running requests under the new epoch.
//
// # Limitations
//
// While the store is down, members that have lost contact with half of the others
// get no new permits; they finish their requests and use the permits that they
// hold until these expire. While more than half of the members have disappeared at
// once, no assignment can be settled: their endpoints get no new permits until
// enough of them return. After a granter has crashed, its cold endpoints get no
// permits for Options.TakeoverWait. Endpoints that any holder knows to be warm do not
// wait; a sign of cold that has reached neither the new granter nor this holder is
// then lost until the next sign.
package permitter
