// Package streamer checks the pieces of a model answer, so that a caller gets
// the complete answer to its own request or an explicit error, and decides how
// to go on after a failure.
package streamer
