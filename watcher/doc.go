// Package watcher follows kinds of objects in the platform's store, by list and
// watch calls or through the feed of a neighbour, and reports the instant up to
// which the store is known to have been read.
//
// The first kind, the primary one, is watched with short long-poll waits and
// shows whether the store answers. The other kinds are watched with long waits,
// and only while the store answers, since every call is billed.
package watcher
