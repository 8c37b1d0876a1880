// Package streamer validates the event stream of a model's answer, so that a
// caller gets the complete answer to its own request or an explicit error, and
// decides how to proceed after a failed attempt: resume, continue on another
// endpoint, restart, or give up.
package streamer
