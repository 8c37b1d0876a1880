// Package gossiper maintains the membership of the fleet: which instances exist,
// at which address and in which state. It is a state machine without I/O or
// clock that exchanges small packets with its peers.
//
// The protocol is SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// every probe interval an instance pings one member, asks three others to ping
// it if no ack arrives, and then suspects it. A suspect that does not refute
// with a higher incarnation within the suspicion time is declared dead. Updates
// are piggybacked on the probes, in packets of at most MaxPacketBytes, so that
// the bytes per instance and second do not depend on the number of members.
//
// Updates of one member are ordered by incarnation and then by state (alive,
// suspect, leaving, dead); the higher one wins, so that an old entry never
// revives a dead one. Dead members stay as tombstones for an hour and are
// probed rarely: after a partition heals, the two sides tell each other's
// members that they are considered dead, and these refute.
//
// An instance that was paused discards its open probes and extends its
// suspicions by the length of the pause, because it could not have received the
// answers. A process that learns of a newer process under its own id stops refuting,
// and IsReplaced returns true.
package gossiper
