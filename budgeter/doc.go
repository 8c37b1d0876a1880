// Package budgeter keeps a retry budget that all instances share, for each
// service. In any window the retries of the whole fleet must not exceed a ratio
// of its requests plus a fixed slack.
//
// Each instance may retry a fixed share of its own requests and of its part of
// the slack. Instances that receive each other's counts also share a pool. The
// sum over the fleet stays within the bound whichever counts are received.
package budgeter
