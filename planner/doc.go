// Package planner chooses the versions that answer a request at the lowest
// expected cost for a target of mean quality in [0, 1]. The candidates are chains:
// a single version, or a cascade of a cheap version whose answer is checked and a
// second version that answers if the check fails. The planner takes the cheapest
// permitted chain whose lower confidence bound of the quality meets the target. It
// depends on the prices of the versions and on the counts of ratings, checks and
// answers in package estimator.
package planner
