// Package engineclient is the client of a model engine: generation as a stream
// of pieces, resume, cancel, load reports, cache events, commands, and export
// and import of the prefix cache. The wire format is that of engineemulator.
package engineclient
