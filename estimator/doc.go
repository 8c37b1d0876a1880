// Package estimator counts the rated quality, the errors and the check results of
// answers by workspace, kind of request, version and step of a chain, and
// computes confidence bounds of the mean quality, the error rate and the pass
// rate. Qualities and rates are in [0, 1].
//
// The counts form a state-based grow-only table of counters (Shapiro, Preguiça,
// Baquero, Zawirski: Conflict-free Replicated Data Types, SSS 2011). Each
// instance writes only the cells of its own incarnation; a merge keeps the
// larger value of every counter, so gossip may be lost, repeated and reordered.
// Each cell belongs to a time bucket of a quarter of a half-life. The weight of
// a bucket halves with each half-life, and buckets older than five half-lives
// are removed. Neither changes the counters of a cell, so the merge stays
// monotone.
package estimator
