// Package pinner assigns sessions to model versions and keeps the assignment
// stable (session affinity).
//
// Choose decides which version serves a request: the one named by the session's
// token or by its pin, unless that version is withdrawn; for new sessions it
// draws one in proportion to the versions' shares. It uses weighted rendezvous
// hashing (Thaler and Ravishankar 1998; weights after Schindelhauer and
// Schomaker 2005), so that a raised share moves sessions without a token or pin
// only to that version.
//
// Pinner stores pins in the object API, by workspace and session id, for callers
// that do not return the token.
package pinner
