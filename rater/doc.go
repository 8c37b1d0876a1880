// Package rater counts the rated quality, the errors and the check results of
// answers by workspace, kind of request, version and step of a chain, and gives
// confidence bounds for them.
//
// The counts form a state-based grow-only table (Shapiro, Preguiça, Baquero,
// Zawirski: Conflict-free Replicated Data Types, SSS 2011). Each instance writes
// only the cells of its own incarnation; a merge keeps the larger count of every
// cell, so gossip may be lost, repeated and reordered. Cells belong to a time
// bucket. Old buckets weigh less by half-lives and are removed in the end, which
// changes no cell and so keeps the merge monotone.
package rater
