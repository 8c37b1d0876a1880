// Package engineclient is an HTTP client of a model engine: generation as a stream
// of events, resuming and cancelling an attempt, load reports, cache events,
// commands, and export and import of the prefix cache. Package engineemulator
// documents the wire format.
package engineclient
