// Package beater keeps the list of living instances by datagrams. An instance
// sends its state and the work it has placed on each endpoint to all instances
// of its data centre several times a second, and to a few in other data
// centres, which also learn of its neighbours that way. Datagrams are used
// instead of the links of the own interface because a heartbeat needs neither
// order nor repetition, and a connection that goes silent would hide a live
// instance.
package beater
