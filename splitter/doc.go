// Package splitter splits a server-sent event stream at event boundaries without
// changing a byte, so that a stream that breaks inside an event can be resumed
// on another endpoint after the last complete event.
package splitter
