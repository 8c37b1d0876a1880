// Package stager moves the requests of a service from the old version to a
// target version and judges the target by the evidence of all instances (canary
// analysis). A small share of the sessions is served by the target first, so
// that a bad version affects few of them. In the first half of the roll-out a
// session keeps its version; in the second half the share grows to all sessions
// while no instance has doubts about the target, but never so early that a bad version
// could serve more requests than the operator's bound. The roll-out ends as completed
// or rolled back.
package stager
