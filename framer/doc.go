// Package framer reads and writes the server-sent event streams of the request
// path: engine events from an endpoint, and chat-completion chunks to a caller.
package framer
