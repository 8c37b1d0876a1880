// Package breaker is a table of circuit breakers, one for each endpoint. A
// circuit opens when the error rate of its endpoint in a sliding window is too
// high, or after several errors in a row, since in a large fleet an instance
// sends few requests to one endpoint. An open circuit admits no requests. After
// a while it becomes half open and admits a few probes; once enough of them have
// succeeded it closes. Repeated openings last longer, with jitter, so that the
// instances do not probe an endpoint at the same moment.
//
// The share of the circuits that are open or half open is limited: when most
// endpoints fail, the cause is elsewhere, and the remaining ones would receive
// more load than they can handle.
//
// A Breaker does no I/O, reads no clock and is not safe for concurrent use.
package breaker
