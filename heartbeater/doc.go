// Package heartbeater maintains the list of live instances by heartbeats over UDP.
//
// An instance sends its state and the work that it has placed on each endpoint
// to all instances of its data centre several times a second. Once a second, it
// sends the states of its neighbours and the sum of their loads to one or a few
// instances of each other data centre, chosen round-robin. Heartbeats use
// datagrams rather than the connections between instances, because they need
// neither ordering nor retransmission, and because a stalled connection would
// make a live instance look dead.
//
// The demand of workspaces travels with the loads, so that requests of the workspaces
// above their share are refused first when callers ask for more than the endpoints can
// do.
package heartbeater
