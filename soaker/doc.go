// Package soaker is a soak test of the complete program. It runs instances as
// separate processes on loopback, with emulated callers, endpoints and store, and
// injects faults from outside for a given time: proxies delay, hold back and reset
// connections; signals stop, pause, kill and reload processes; endpoints leave and
// crash, also because of a prompt; the store is unavailable, unresponsive, loses
// answers or compacts its history. The schedule of the faults is drawn from a seed; the traffic and the
// faults of endpoints are random.
//
// From what callers and endpoints observe, it checks the guarantees to them: no
// mixed-up or truncated answers, no duplicate execution of unsafe requests, keys
// and drains that take effect in time, and recovery after the faults. It signals
// only processes that it started. All times are in milliseconds unless they are a
// time.Duration.
package soaker
