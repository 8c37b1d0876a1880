// Package picker chooses one endpoint for a version. It weighs an estimate of
// the endpoint's load, the distance of its data centre and the prompt prefix that
// its cache probably holds, and compares a few random endpoints with those of the
// prefix, so that instances with the same reports do not all choose the same one.
package picker
