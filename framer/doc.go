// Package framer reads and writes the event streams of the request path:
// engine pieces from an endpoint, and chat-completion chunks towards a caller.
package framer
