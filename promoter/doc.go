// Package promoter controls the gradual roll-out of a new version. It returns the
// share of new sessions, 0 to 1, that the version receives, which rises in steps
// while the version is not worse than the current one, and stops a version that
// is worse. Both decisions are sequential tests over the ratings and errors of the
// whole fleet, whose error probabilities hold however often they are evaluated.
package promoter
