// Package relayer relays what one instance reads from the platform's store to
// its neighbours, so that the number of store calls does not grow with the
// number of instances.
//
// That instance, the reader, holds the current objects of each kind. It serves
// them as a feed: over a WebSocket connection with CBOR messages, it sends all
// objects first and then each change. Each message also carries the reader's
// confirmation: the instant up to which it is known to have read the store.
package relayer
