// Package soaker runs the real program as separate processes on loopback, with
// stand-ins of callers, endpoints and the platform's store, and injects faults
// from outside: connections that are delayed, reset, cut in one direction or
// silenced by a proxy, processes that are stopped, paused, killed and restarted
// by signals, and a store that refuses, falls silent, loses answers or forgets
// its history. All of it follows from a seed. It checks the promises to callers
// and endpoints from what these see, and ends only processes that it started.
package soaker
