// Package beater keeps the list of living instances by datagrams. An instance
// sends its state and the work it has placed on each endpoint to all instances
// of its data centre several times a second. To each other data centre it sends
// one message a second, to the next receiver in turn, with the states of its
// neighbours and the sums of what they have told. Datagrams are used instead of
// the links of the own interface because a heartbeat needs neither order nor
// repetition, and a connection that goes silent would hide a live instance.
package beater
