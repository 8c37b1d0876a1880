// Package admitter implements admission control with one queue for each pool of
// endpoints, that is for each model and each plain service. Requests start in the
// order of package scheduler, and as many run at once as the pool has slots. A
// full pool delays only the requests that need it.
package admitter
