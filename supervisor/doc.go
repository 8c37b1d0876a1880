// Package supervisor controls the roll-outs of new versions on one instance. From
// the fleet's counts it computes the share of new sessions that each canary
// receives. It records when a roll-out started and when the statistical test
// stopped it, exchanges these records with other instances, and stores them in
// the object API.
//
// A record belongs to one version entry of the configuration: its key, state,
// share and attempt. A change of the entry therefore clears the stop; a change
// elsewhere in the configuration does not. Merging records keeps the earliest
// start and the earliest stop, so that the order in which instances learn of
// them does not matter.
package supervisor
