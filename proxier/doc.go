// Package proxier is a TCP proxy on loopback that injects faults from outside
// the programs that it connects: delays, connections that are reset, cut in one
// direction or silenced, and refused new ones.
package proxier
