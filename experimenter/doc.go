// Package experimenter runs named, seeded experiments on the decision code.
// Each experiment drives the code under a simulated clock and compares it with
// its baseline in the same run.
package experimenter
