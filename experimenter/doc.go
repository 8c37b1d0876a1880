// Package experimenter runs named experiments on the code that routes requests,
// limits load and rolls out versions. Each experiment is a discrete-event
// simulation in one process: it drives that code with a simulated clock and a
// seeded random source, and compares it with a simpler baseline in the same run.
// The same seed gives the same result.
package experimenter
