// Package follower replicates the fleet object, which holds the configuration
// of all instances, from the store to one instance. It adopts new revisions,
// relays them to other instances, and decides by a freshness rule whether the
// instance may dispatch new requests.
//
// # Adoption and relay
//
// An instance adopts an object only if its revision is higher than the current
// one, whatever the source. Two watchers per data centre, the alive members
// with the highest rendezvous hash, read the object's version from the store
// once a second and hold a watch. While confirmations are late, other members
// also poll, with a probability that keeps the calls per data centre constant.
// An instance that learns of a newer revision sends a hint to four random
// members of its data centre, and to two when it learns of fresher evidence; the
// instance that wrote the revision and the watchers also send one to a member of
// each other data centre. An instance that receives a hint of a newer revision or
// of fresher evidence queries the sender for it, so that the object is sent to
// each instance only once. The digest in every gossip packet carries the revision
// and the confirmation age, which compensates for lost hints. An instance whose
// confirmation and outage observations are late queries members of its own data
// centre and of the one with the oldest observation in turn.
//
// # Evidence
//
// All instants are local, in milliseconds. A confirmation at T means: at some
// instant not before T, the newest revision in the store was not above the
// current one. For a poll, T is the instant before its call; for a peer's
// answer, T is the instant before the query, minus the age that the peer states.
// Delays therefore only make evidence look older, and no clocks are compared.
// Hints, watches and pings do not answer a query of this instance and are never
// evidence. A version below the current one is a stale read and is no evidence
// either.
//
// An outage observation of a data centre at T means: a call to the store that
// one of its instances started at or after T failed, or was unanswered for a
// second. Answers carry the outage observations that the peer knows,
// by data centre, with their ages. Evidence counts only at an instance whose
// revision is at least that of the peer that states it.
//
// # Freshness
//
// An instance may dispatch new requests at instant t if it has an object and
// either
//
//   - confirmed: its confirmation is younger than 3 s; or
//   - outage: it was confirmed once (or found a majority that agrees, see
//     below), it knows of no higher revision, more than half of the known members
//     are alive in its view (itself included; tombstones count as known, members
//     that left do not), and for every data centre with an alive member it has
//     an outage observation younger than 3 s.
//
// For each combination of partition and outage:
//
//   - store up, no partition: confirmed.
//   - store up, a data centre without access to the store but with peers:
//     confirmed through peers.
//   - store up, a data centre cut off from the store and from all peers: it stops
//     within 3 s of its last confirmation. It has outage observations of its
//     own, but none of the other data centres until their members are
//     tombstones, and then it is a minority.
//   - store down, no partition: outage rule, all serve.
//   - store down, partition: the side with more than half of the members serves;
//     the other side stops within 3 s of the last evidence that crossed the cut.
//     At an even split both sides stop.
//   - store up but reachable only by a minority: the minority serves by
//     confirmation, and the majority cannot tell this from an outage and serves
//     by the outage rule once gossip suspects the unreachable members, after a
//     pause of some seconds. The minority therefore accepts no operator's change
//     that the majority would not see: before each write, CheckWritable queries
//     members of the other data centres, and the data centres that answer must
//     contain at least half of the known members.
//   - one-way cuts: evidence and CheckWritable need queries and answers, so that a
//     data centre that only receives from another one counts as cut off from it,
//     or reaches it through a third one.
//
// Availability is given up in these cases: an isolated minority without store
// access; both halves of an even split while the store is down; operators'
// changes on a minority that alone reaches the store; a fleet in which half of
// the members died within an hour, during a store outage; an instance that learnt
// of a revision, in an outage, and could not get its body because all members
// that had it died.
//
// In two cases a revision is stored and a majority serves without it for more
// than 3 s. In the first, the instance that wrote it is cut off, or pauses,
// together with the store, between the answers to CheckWritable and its first
// hints. In the second, every poll is unanswered for more than 3 s while a write
// takes effect and its answer is as late; the writer relays the revision as soon
// as it knows of it. Stale reads at all watchers are indistinguishable from a
// confirmation; the writer's hints and the digests still relay the revision.
//
// # Start during an outage
//
// An instance that was never confirmed adopts the highest revision that its
// peers have. It queries the known members one by one, at a bounded rate, and
// uses the outage rule once more than half of the others have answered, within
// 30 s, with a revision that is not above its own. Without peers it is not ready.
package follower
