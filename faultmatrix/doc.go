// Package faultmatrix holds the fault matrix: tests that run every step of the
// callers and operators under every fault of the outside systems, the network
// and the instances, with whole instances under fake time. docs/FAULTS.md lists
// the cells.
package faultmatrix
