// Package stager moves the requests of a service to a new version and judges
// it by what all instances have seen. A small share of sessions goes first, so
// that a bad version is seen by few; sessions stay on their version for the
// first half of the roll-out; then the share grows to all, and the roll-out
// ends as completed or rolled back.
package stager
