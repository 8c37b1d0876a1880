// Package recorder writes structured log lines without ever blocking the
// request path: lines go to a bounded queue and from there in batches to the
// output; what does not fit, or exceeds the rate, is counted and the count is
// written as a line of its own.
package recorder
