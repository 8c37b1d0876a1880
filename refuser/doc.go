// Package refuser defines the typed refusals that callers receive and the reasons
// for which the router retries. Each reason is defined here once; the metrics,
// the error bodies and the docs use the same string.
package refuser
