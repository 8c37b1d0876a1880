// Package router implements the request path of one instance. A model request
// is queued for admission, assigned a chain of one or two model versions and
// sent to an endpoint of each version that the chain reaches; the answer is
// streamed to the caller, retried where a repetition is safe, and billed. Calls
// of plain services take the same path without the choice of a version.
//
// Times are in milliseconds (clock.Millis) and costs in micro-units of currency.
package router
