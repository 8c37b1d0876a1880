// Package messenger carries messages between the instances of the fleet, as CBOR
// envelopes over WebSocket links: one-way messages and calls with an answer.
//
// A link is dialled when the first message for an address is sent, and both
// sides use it. If both sides dial at once, the link that the instance with
// the lower id dialled is kept, and the other one is closed after a drain time
// without losing what was queued on it.
//
// Both sides prove knowledge of a shared secret when a link opens: the dialler
// sends a nonce, the acceptor sends a nonce, the dialler proves first and the
// acceptor second, each with an HMAC-SHA256 over its role, both nonces and both
// identities. The secret itself is never sent. The proof authenticates the
// link and does not encrypt it; mutual TLS does that.
//
// Queues are bounded in messages and bytes. When a queue is full, a one-way
// message is dropped and counted, and a call fails. An answer is accepted only
// if its call still waits and if it comes from the process, by id and
// incarnation, to which the call was sent.
//
// Handlers of one-way messages run on the link's reader and must return soon.
// Handlers of calls run on goroutines of their own, at most maxConcurrentCalls
// per link.
//
// The instance should disable TCP keep-alive probes on its listener
// (net.ListenConfig.KeepAlive = -1), as the dialler does here: with 370 links
// they would use a part of the control traffic's budget, and the gossip probes
// detect dead peers.
package messenger
