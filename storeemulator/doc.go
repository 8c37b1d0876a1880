// Package storeemulator is a small stand-in for the platform's object API. It
// keeps objects in memory, speaks HTTP and injects outages, slow calls, lost
// answers and stale reads.
package storeemulator
