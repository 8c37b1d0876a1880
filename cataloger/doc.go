// Package cataloger keeps the endpoints that the platform's store lists, and
// decides which of them may receive new requests. Draining endpoints are
// excluded at once. Entries that disappear while the store is unavailable are
// kept for a short time after its return, since live endpoints may have been
// unable to renew them. An endpoint that has just started or restarted is cold:
// it should receive few requests.
package cataloger
