// Package tracker keeps the state of all endpoints as one instance knows it:
// which versions or plain service each serves, whether it may receive requests,
// and its load in concurrent requests. The state comes from the configuration,
// the instance list, the load reports and cache events of the engines, and the
// outcomes of this instance's own requests. Each request acquires a slot at an
// endpoint and releases it with its outcome.
package tracker
