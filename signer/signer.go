package signer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Errors of keys and tokens.
var (
	// ErrBadKey means that a key's id or secret is not acceptable, or that the
	// id is already used with another secret.
	ErrBadKey = errors.New("signer: invalid key")
	// ErrNoKey means that the signer has no key.
	ErrNoKey = errors.New("signer: no key")
	// ErrTooLong means that a token would exceed MaxTokenBytes.
	ErrTooLong = errors.New("signer: token too long")
	// ErrMalformed means that a string is not a token.
	ErrMalformed = errors.New("signer: malformed token")
	// ErrUnknownKey means that the signer does not hold the token's key, which may
	// have been removed.
	ErrUnknownKey = errors.New("signer: unknown key")
	// ErrBadSignature means that the token was not signed by its key.
	ErrBadSignature = errors.New("signer: bad signature")
	// ErrWrongWorkspace means that the token belongs to another workspace.
	ErrWrongWorkspace = errors.New("signer: token of another workspace")
)

// Limits of keys and tokens, in bytes.
const (
	MinSecretBytes = 32
	MaxKeyIDBytes  = 64
	MaxTokenBytes  = 1024
)

// formatVersion is the first part of every token.
const formatVersion = "r1"

// encoding is strict, so that no two strings decode to the same token.
var encoding = base64.RawURLEncoding.Strict()

// Token is the content of a session token.
type Token struct {
	Workspace string       `cbor:"workspace"`
	Session   string       `cbor:"session"`
	Model     string       `cbor:"model"`
	Version   string       `cbor:"version"`
	IssuedAt  clock.Millis `cbor:"issued_at"`
}

type key struct {
	id     string
	secret []byte
}

// Signer holds keys in the order in which they were added; the last one signs and
// all of them verify. It is immutable. The zero value holds no key.
type Signer struct {
	keys []key
}

// WithKey returns a signer that also holds the key and signs with it. Adding a
// key again moves it to the end. The error is ErrBadKey.
func (s Signer) WithKey(id string, secret []byte) (Signer, error) {
	if id == "" || len(id) > MaxKeyIDBytes || strings.ContainsFunc(id, notKeyID) {
		return s, errors.Wrapf(ErrBadKey, "id %q", id)
	}
	if len(secret) < MinSecretBytes {
		return s, errors.Wrapf(ErrBadKey, "secret of %q is shorter than %d bytes", id, MinSecretBytes)
	}
	if k, ok := s.find(id); ok && !hmac.Equal(k.secret, secret) {
		return s, errors.Wrapf(ErrBadKey, "id %q is already used with another secret", id)
	}
	n := s.WithoutKey(id)
	n.keys = append(n.keys, key{id: id, secret: bytes.Clone(secret)})
	return n, nil
}

// notKeyID reports whether r must not occur in a key id.
func notKeyID(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

// WithoutKey returns a signer that does not hold the key.
func (s Signer) WithoutKey(id string) Signer {
	var n Signer
	for _, k := range s.keys {
		if k.id != id {
			n.keys = append(n.keys, k)
		}
	}
	return n
}

func (s Signer) find(id string) (key, bool) {
	for _, k := range s.keys {
		if k.id == id {
			return k, true
		}
	}
	return key{}, false
}

// Sign returns the encoded token, signed with the newest key. The error is
// ErrNoKey or ErrTooLong.
func (s Signer) Sign(t Token) (string, error) {
	if len(s.keys) == 0 {
		return "", ErrNoKey
	}
	k := s.keys[len(s.keys)-1]
	payload, err := cbor.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "signer: encode token")
	}
	signed := formatVersion + "." + k.id + "." + encoding.EncodeToString(payload)
	text := signed + "." + encoding.EncodeToString(k.mac(signed))
	if len(text) > MaxTokenBytes {
		return "", ErrTooLong
	}
	return text, nil
}

func (k key) mac(signed string) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write([]byte(signed))
	return h.Sum(nil)
}

// Verify decodes a token and checks that one of the signer's keys signed it for
// the workspace. The errors are ErrMalformed, ErrUnknownKey, ErrBadSignature and
// ErrWrongWorkspace.
func (s Signer) Verify(text, workspace string) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] != formatVersion {
		return Token{}, ErrMalformed
	}
	payload, err1 := encoding.DecodeString(parts[2])
	mac, err2 := encoding.DecodeString(parts[3])
	if err1 != nil || err2 != nil || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	k, ok := s.find(parts[1])
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(mac, k.mac(text[:strings.LastIndexByte(text, '.')])) {
		return Token{}, ErrBadSignature
	}
	var t Token
	if err := cbor.Unmarshal(payload, &t); err != nil {
		return Token{}, errors.Mark(err, ErrMalformed)
	}
	if !hmac.Equal([]byte(t.Workspace), []byte(workspace)) {
		return Token{}, ErrWrongWorkspace
	}
	return t, nil
}
