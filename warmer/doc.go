// Package warmer limits the requests to cold endpoints. The bound holds on the
// sum over all instances in any second, so each instance that may send to a
// cold endpoint has a fixed part of it.
package warmer
