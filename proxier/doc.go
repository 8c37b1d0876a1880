// Package proxier is a TCP proxy on loopback that injects network faults between
// two processes without changing them: it delays data, holds it back in one or
// both directions, and resets connections. It also resets new connections while
// the target refuses them.
package proxier
