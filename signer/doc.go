// Package signer signs and verifies session tokens. A token names the
// workspace, the session and the version that serves it, so that any instance
// can continue the session without reading the store. It is authenticated with
// HMAC-SHA256 (RFC 2104, FIPS 180-4) and not encrypted.
//
// The format is "r1.<key id>.<payload>.<mac>", where payload is CBOR, and payload
// and mac are in unpadded URL-safe base64. The MAC covers everything before the
// last dot.
package signer
