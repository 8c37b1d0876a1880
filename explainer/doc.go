// Package explainer collects what log files say of one request: its own lines
// and, between its start and its end, what its instance and its endpoints went
// through.
package explainer
