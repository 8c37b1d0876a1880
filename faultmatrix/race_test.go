//go:build race

package faultmatrix

// underRace tells that the race detector slows the tests down.
const underRace = true
