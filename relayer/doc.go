// Package relayer relays what one instance reads from the platform's store to
// its neighbours, so that the number of store calls does not grow with the
// number of instances.
//
// The reader holds the current objects of each kind. Over a WebSocket connection
// with CBOR messages, its feed, it sends all objects first and then each change.
// Each message also carries the reader's confirmation: the instant up to which
// it is known to have read the store.
package relayer
