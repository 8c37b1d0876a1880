// Package scheduler decides in which order queued requests start when slots
// become free. Workspaces receive slots in proportion to their weights; slots
// that a workspace does not use go to the others. A request that cannot complete
// before its deadline is refused on arrival, before it runs.
//
// The order is that of start-time fair queueing (Goyal, Vin, Cheng 1996) over the
// expected service times, which are corrected by the measured ones when requests
// end. Within a workspace, requests start by priority and then by arrival.
//
// A Scheduler does no I/O, reads no clock and is not safe for concurrent use.
package scheduler
