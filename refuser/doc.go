// Package refuser holds the typed refusals and retry reasons. Every reason is
// listed here once; the metrics, the callers' error bodies and the docs use the
// same text.
package refuser
