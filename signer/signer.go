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
	// ErrBadKey tells that a key's id or secret is not acceptable, or that the
	// id is taken by another secret.
	ErrBadKey = errors.New("signer: key is not acceptable")
	// ErrNoKey tells that the signer has no key.
	ErrNoKey = errors.New("signer: no key")
	// ErrTooLong tells that a token would exceed MaxTokenBytes.
	ErrTooLong = errors.New("signer: token too long")
	// ErrMalformed tells that a text is not a token.
	ErrMalformed = errors.New("signer: malformed token")
	// ErrUnknownKey tells that the token's key is not or no longer known.
	ErrUnknownKey = errors.New("signer: unknown key")
	// ErrBadSignature tells that the token was not signed by its key.
	ErrBadSignature = errors.New("signer: bad signature")
	// ErrWrongWorkspace tells that the token belongs to another workspace.
	ErrWrongWorkspace = errors.New("signer: token of another workspace")
)

// Bounds of keys and tokens in bytes.
const (
	MinSecretBytes = 32
	MaxKeyIDBytes  = 64
	MaxTokenBytes  = 1024
)

const prefix = "r1"

// encoding is strict, so that a token has exactly one form.
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

// Signer holds keys in the order in which they were added. It is immutable;
// the zero value holds no key.
type Signer struct {
	keys []key
}

// WithKey returns a signer that also holds the key and signs with it. Adding a
// key again makes it the newest. The error is ErrBadKey.
func (s Signer) WithKey(id string, secret []byte) (Signer, error) {
	if id == "" || len(id) > MaxKeyIDBytes || strings.ContainsFunc(id, notKeyID) {
		return s, errors.Wrapf(ErrBadKey, "id %q", id)
	}
	if len(secret) < MinSecretBytes {
		return s, errors.Wrapf(ErrBadKey, "secret of %q is shorter than %d bytes", id, MinSecretBytes)
	}
	if k, ok := s.find(id); ok && !hmac.Equal(k.secret, secret) {
		return s, errors.Wrapf(ErrBadKey, "id %q is taken by another secret", id)
	}
	n := s.WithoutKey(id)
	n.keys = append(n.keys, key{id: id, secret: bytes.Clone(secret)})
	return n, nil
}

func notKeyID(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

// WithoutKey returns a signer that no longer knows the key.
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

// Sign returns the token's text, signed by the newest key, or ErrNoKey or ErrTooLong.
func (s Signer) Sign(t Token) (string, error) {
	if len(s.keys) == 0 {
		return "", ErrNoKey
	}
	k := s.keys[len(s.keys)-1]
	payload, err := cbor.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "signer: encode token")
	}
	signed := prefix + "." + k.id + "." + encoding.EncodeToString(payload)
	text := signed + "." + encoding.EncodeToString(k.code(signed))
	if len(text) > MaxTokenBytes {
		return "", ErrTooLong
	}
	return text, nil
}

func (k key) code(signed string) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write([]byte(signed))
	return h.Sum(nil)
}

// Verify returns the content of a token that was signed for the workspace by a
// known key. The errors are ErrMalformed, ErrUnknownKey, ErrBadSignature and
// ErrWrongWorkspace.
func (s Signer) Verify(text, workspace string) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] != prefix {
		return Token{}, ErrMalformed
	}
	payload, err1 := encoding.DecodeString(parts[2])
	code, err2 := encoding.DecodeString(parts[3])
	if err1 != nil || err2 != nil || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	k, ok := s.find(parts[1])
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(code, k.code(text[:strings.LastIndexByte(text, '.')])) {
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
