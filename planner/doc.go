// Package planner chooses the cheapest permitted chain of versions whose lower
// confidence bound meets a workspace's target quality. A chain is one version,
// or a cheap version whose answer is checked and, if the check fails, repeated
// on a second version.
package planner
