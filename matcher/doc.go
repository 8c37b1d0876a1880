// Package matcher holds one version of the routing configuration as an
// immutable value and answers what a request may do under it: the route of its
// host and path, the workspace of its key, the service that takes its share of
// a split route.
package matcher
