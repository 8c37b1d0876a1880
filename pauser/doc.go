// Package pauser keeps requests from endpoints that have asked this instance for a
// pause.
//
// A Pauser does no I/O and reads no clock.
package pauser
