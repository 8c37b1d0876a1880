// Package launcher runs one instance of the router on the users' platform. It
// listens on the addresses in the settings, follows the store, maintains the list
// of instances, and serves client requests, readiness, the directory, the feed to
// its neighbours and metrics until a signal stops it. It also connects the demand that
// heartbeats report to admission control, for loads beyond what the endpoints can do.
package launcher
