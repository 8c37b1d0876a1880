// Package cataloger keeps the endpoints that the platform's store lists. It
// decides which may take new work: leaving endpoints stop at once, entries that
// vanish while the store is away stay for a short time after its return, and an
// endpoint that has started or that comes back is cold.
package cataloger
