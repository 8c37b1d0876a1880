// Package launcher runs one instance of the router on the users' platform. It
// listens on the addresses in the settings, follows the store, maintains the list
// of instances, and serves client requests, readiness, the directory, the feed to
// its neighbours and metrics until a signal stops it.
package launcher
