// Package listclient is an HTTP client of the platform's list of instances and
// endpoints. The list lags behind, so use it to discover members and not to
// decide whether a member is alive.
package listclient
