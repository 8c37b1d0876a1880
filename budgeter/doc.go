// Package budgeter keeps the retry budget that all instances share without
// talking: each instance may repeat a fixed share of its own requests and a
// fixed part of the fleet's slack, so the sum over the fleet stays within the
// bound.
package budgeter
