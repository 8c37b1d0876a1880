// Package signer signs and verifies session tokens. A token names the
// workspace, the session and the version that serves it, so that any instance
// honours the session without a read of the store. It is signed with
// HMAC-SHA256 (RFC 2104, FIPS 180-4) and is readable by its bearer.
//
// The form is "r1.<key id>.<payload>.<code>", where payload is CBOR and both
// payload and code are in unpadded URL-safe base64. The code covers everything
// before it.
package signer
