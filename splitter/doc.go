// Package splitter cuts an event stream into complete events without changing
// a byte, so that a stream that breaks inside an event can go on elsewhere
// after the last complete one.
package splitter
