// Package archiver keeps a copy of the fleet's quality counts in the object API,
// so that a fleet whose instances are all replaced at once does not have to learn
// again which versions are good enough. The copy is merged like a message of a
// peer, so that an old or repeated copy does no harm.
package archiver
