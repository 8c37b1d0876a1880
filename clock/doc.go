// Package clock gives the time in milliseconds, from the system's monotonic
// clock or from a clock that a test advances by hand.
package clock
