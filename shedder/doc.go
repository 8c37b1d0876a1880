// Package shedder decides, before a request is sent for the first time, whether it
// is admitted or refused at once. The load it addresses: more work than the endpoints
// of a service can do in time, from many callers at once or from one workspace at many
// times its usual rate.
//
// While the expected time to the first event is below the target, everything is
// admitted. A request that cannot be served before its caller leaves is refused. In
// between, a controller determines the share of the work to refuse, which is taken from
// the workspaces above a common level (max-min fairness), and within a workspace from
// its less urgent ranks first.
package shedder
