// Package faultmatrix contains the fault matrix: tests that run every step of
// callers and operators (a column) under every fault of the outside systems, the
// network and the instances (a row). They run complete instances with an in-memory
// network and a fake clock, and check the fleet's invariants, which are numbered I1
// to I12 in failure messages. docs/FAULTS.md lists the cells.
package faultmatrix
