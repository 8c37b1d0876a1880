// Package assembler builds one instance of the router from its settings. It
// creates the components and connects them by function fields, runs their
// periodic tasks from one goroutine, and starts, drains and stops them in order.
//
// The files are grouped by subject: the life cycle (instance.go, drain.go), the
// active configuration (policy.go), the endpoints (endpoints.go), the connections
// to other instances (peers.go), the records in the object store (state.go,
// records.go), the placement of model versions (placement.go) and the operators'
// interface (admin.go).
package assembler
