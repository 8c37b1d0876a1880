// Package matcher is the routing table: one immutable version of the routing
// configuration. It finds the route for a host and path, the workspace that owns
// a key, and the service for a request on a route whose traffic is split by
// weight.
package matcher
