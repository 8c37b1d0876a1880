// Package networkemulator emulates a network in memory, with faults. Its listeners
// and connections satisfy net.Listener and net.Conn, so that complete processes can
// communicate over it, and block only on channels and timers, so that it works
// under the fake time of testing/synctest.
//
// Addresses belong to nodes. Faults affect the link from one node to another, in
// one direction, or a single node: a cut link holds data back until the cut ends,
// as retransmission does; a frozen node neither reads nor writes, like a paused
// process; a reset node loses its listeners and connections, like a killed
// process. Without a fault, data arrives at once and in order.
package networkemulator
