// Package capper keeps requests to an endpoint within the rate that the endpoint
// states.
//
// An endpoint in need states in its responses how many requests per second it
// accepts from all instances together. The instances that may send to it divide
// this rate by fixed shares, which need no talk and whose sum stays below the
// rate. What one instance hears, it reports to the others: most of them have no
// share of a small rate and would not learn that it changes or ends.
//
// A Capper does no I/O and reads no clock.
package capper
