// Package storeemulator emulates the platform's object API for tests and
// demonstrations. It keeps versioned objects in memory, serves them in process
// or over HTTP, and injects outages, delays, lost answers to writes, stale reads
// and watches without changes. FaultInjector injects such faults at random.
package storeemulator
