// Package supervisor watches the roll-outs of new versions on one instance. It
// turns the fleet's counts into shares of new sessions, records when a roll-out
// started and when the test stopped it, spreads these records to peers and
// writes them to the object API.
//
// A record belongs to one entry of the configuration text: the version with its
// state, share and attempt. A text that changes the entry therefore clears the
// stop; a text that leaves it unchanged does not. Records are merged by taking
// the earliest start and keeping every stop, so that the order in which
// instances learn of them does not matter.
package supervisor
