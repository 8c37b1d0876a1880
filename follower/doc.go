// Package follower keeps an instance's copy of the fleet object: adoption of
// revisions, their relay between instances, and the freshness rule that decides
// whether the instance may give new work.
//
// # Adoption and relay
//
// An instance adopts an object only if its revision is higher than the one it
// holds, whatever the source. Two watchers per data centre, the live members
// with the highest rendezvous hash, read the object's version from the store
// once a second and hold a watch. While confirmations are late, other members
// also poll, with a probability that keeps the calls per data centre constant.
// An instance that learns of a newer revision sends a hint to four random
// members of its data centre, and to two when it learns of fresher evidence; the
// accepting instance and watchers also send one to a member of each other data
// centre. Who receives a hint of something newer asks the sender for it, so that
// a body travels once to each instance. The digest on every gossip probe carries
// the revision and the confirmation age, which repairs what hints missed, and an
// instance whose outage observations are late asks a member of the data centre
// that is behind.
//
// # Evidence
//
// All instants are local. A confirmation at T means: at some instant not before
// T, the newest revision in the store was not above the held one. A poll gives
// T as the instant before its call; an answer of a peer gives T as the instant
// before the question, minus the age that the peer states. Delays therefore
// only make evidence look older, and no clocks are compared. Hints, watches and
// pings answer nothing and are never evidence. A version below the held one is
// a stale read and is no evidence either.
//
// An outage observation of a data centre at T means: a call to the store that
// one of its instances started at or after T failed, or went unanswered for a
// second. Answers carry the outage observations that the peer holds,
// by data centre, with their ages. Evidence counts only at an instance whose
// revision is at least that of the peer that states it.
//
// # Freshness
//
// An instance may give new work at instant t if it holds an object and either
//
//   - confirmed: its confirmation is younger than 3 s; or
//   - outage: it was confirmed once (or found a majority that agrees, see
//     below), it knows of no higher revision, more than half of the known members
//     are alive in its view (itself included; tombstones count as known, members
//     that left do not), and for every data centre with an alive member it holds
//     an outage observation younger than 3 s.
//
// Per mix of partition and outage:
//
//   - store up, no partition: confirmed.
//   - store up, a data centre without access to the store but with peers:
//     confirmed through peers.
//   - store up, a data centre cut off from the store and from all peers: it stops
//     within 3 s of its last confirmation. It holds outage observations of its
//     own, but the other data centres are silent until their members are
//     tombstones, and then it is a minority.
//   - store down, no partition: outage rule, all serve.
//   - store down, partition: the side with more than half of the members serves;
//     the other side stops within 3 s of the last evidence that crossed the cut.
//     At an even split both sides stop.
//   - store up but reachable only by a minority: the minority serves by
//     confirmation, and the majority cannot tell this from an outage and serves
//     by the outage rule once gossip suspects the silent members, after a pause of
//     some seconds. The minority therefore accepts no operator's change that the
//     majority would not see: before each write, MayAccept asks members of the
//     other data centres, and the data centres that answer must hold at least
//     half of the known members.
//   - one-way cuts: evidence and MayAccept need questions and answers, so that a
//     data centre that only hears another one counts as cut off from it, or
//     reaches it through a third one.
//
// Availability is given up in these traces: an isolated minority without store
// access; both halves of an even split while the store is down; operators'
// changes on a minority that alone reaches the store; a fleet in which half of
// the members died within an hour, during a store outage; an instance that heard
// of a revision, in an outage, whose holders all died before it had the body.
//
// Two traces remain in which a revision is stored and a majority serves without
// it for more than 3 s. In the first, the accepting instance is cut off, or
// pauses, together with the store, between the answers to MayAccept and its first
// hints. In the second, every poll is unanswered for more than 3 s while a write
// takes effect and its answer is as late; the writer spreads the revision as soon
// as it knows of it. Stale reads at all watchers are indistinguishable from a
// confirmation; the accepting instance's hints and the digests still spread the
// revision.
//
// # Start during an outage
//
// An instance that was never confirmed adopts the highest revision that peers
// hold. It asks the known members one by one, at a bounded rate, and uses the
// outage rule once more than half of the others have answered, within 30 s, with
// a revision that is not above its own. Without peers it is not ready.
package follower
