// Package budgeter keeps the retry budget that all instances share: each
// instance may repeat a fixed share of its own requests and a fixed part of the
// fleet's slack, and neighbours that hear of each other's counts share a pool
// besides. The sum over the fleet stays within the bound, whoever hears whom.
package budgeter
