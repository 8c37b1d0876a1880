// Package gossiper keeps the membership of the fleet as a pure state machine
// that exchanges small packets.
//
// The protocol is SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// every probe interval an instance pings one member, asks three others to ping
// it if no ack arrives, and then suspects it. A suspect that does not refute
// with a higher incarnation within the suspicion time is dead. Updates travel
// on the probes, in packets of at most MaxPacketBytes, so that the bytes per
// instance and second do not depend on the number of members.
//
// Updates of one member are ordered by incarnation and then by state (alive,
// suspect, leaving, dead); the higher one wins, so that an old entry never
// revives a dead one. Dead members stay as tombstones for an hour and are
// probed rarely: after a partition heals, the two sides tell each other's
// members that they are held for dead, and these refute.
//
// An instance that was paused forgets its open probes and extends its
// suspicions by the length of the pause, because it could not have heard the
// answers. A process that finds a newer process under its own id reports
// Replaced and stops refuting.
package gossiper
