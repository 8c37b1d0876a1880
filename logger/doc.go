// Package logger writes structured log lines as JSON without blocking the
// request path. Lines are added to a bounded buffer, from which a goroutine writes
// them to the output in batches. Lines that do not fit into the buffer or exceed
// the rate limit are dropped, and their number is written as a line of its own.
package logger
