// Package clock provides clocks in milliseconds that a step of the wall clock does
// not move, and a manual clock for tests.
package clock
