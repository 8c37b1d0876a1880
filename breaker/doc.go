// Package breaker is a table of circuit breakers, one for each endpoint. An
// endpoint whose error rate in a sliding window is too high, or that fails several
// times in a row (in a large fleet an instance sends few requests to one endpoint),
// gets no requests for a while, then a few probes, and after enough probes have
// succeeded full traffic. Repeated openings last longer, with jitter, so that the
// instances do not probe an endpoint at the same moment. No more than a share of the
// endpoints is taken out: when most of them fail, the cause is elsewhere, and the
// few that are left would get more load than they can handle.
//
// A Breaker does no I/O, reads no clock and is not safe for concurrent use.
package breaker
