// Package switcher is a network in memory. Listeners and connections satisfy
// net.Listener and net.Conn, so that whole processes run over it, and only
// channels and timers block, so that it works under the fake time of
// testing/synctest.
//
// Addresses belong to nodes. Faults act between pairs of nodes or on one node:
// a cut direction holds data back until it is healed, as retransmission does; a
// frozen node neither reads nor writes, as a paused process; a reset node loses
// its listeners and connections, as a killed process.
package switcher
