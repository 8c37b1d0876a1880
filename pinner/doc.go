// Package pinner keeps a session on its version.
//
// Choose decides which version serves a request: the one that the session has
// by token or by pin, unless that one is withdrawn, and for new sessions one by
// share. Shares are drawn by weighted rendezvous hashing (Thaler and
// Ravishankar 1998; weights after Schindelhauer and Schomaker 2005), so raising
// a share moves sessions that are not kept otherwise only to that version.
//
// Pinner stores pins by session id for callers that return no token.
package pinner
