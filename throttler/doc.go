// Package throttler bounds the work of larger models by what the endpoints can
// do besides: the prompts of a larger model are read between the tokens of all
// other requests on an endpoint, so too many of them slow every stream down
// long before requests wait. Requests of higher ranks get most of the room
// first.
package throttler
