// Package durationestimator estimates how long a task of some kind takes, from the
// durations of earlier ones. The smoothed mean and the smoothed mean deviation are those of
// the round-trip time in TCP (Jacobson, Karels: Congestion Avoidance and Control, SIGCOMM
// 1988; RFC 6298).
package durationestimator
