//go:build !race

package faultmatrix

// raceEnabled reports whether the race detector is enabled, which makes the tests slower.
const raceEnabled = false
