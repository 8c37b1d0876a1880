// Package relayer passes what one instance reads from the platform's store on
// to its neighbours, so that the number of store calls does not grow with the
// number of instances. The reader keeps the present objects of each kind and
// sends them, then each change, with the age of its last confirmation, over
// WebSocket and CBOR.
package relayer
