// Package scheduler decides which waiting request starts next. Workspaces get
// shares of the slots in proportion to their weights, and a share that its
// workspace leaves unused is borrowed by the others. A request that cannot
// start in time is refused when it arrives, before anything was sent.
//
// The order is start-time fair queueing (Goyal, Vin, Cheng 1996) over the
// expected service times, corrected by the measured ones when requests end.
// Within a workspace, requests are served by priority and then by arrival.
//
// A Scheduler does no I/O, reads no clock and is not safe for concurrent use.
package scheduler
