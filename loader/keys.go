package loader

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/decoder"
)

// Keys are the secrets of one instance, read from its keys file.
type Keys struct {
	// OperatorSHA256 lists the SHA-256 of the operators' keys in hexadecimal.
	OperatorSHA256 []string `yaml:"operator_sha256"`
	// PeerSecrets authenticate messages between instances. The first one is used
	// for sending, and all are accepted.
	PeerSecrets []string `yaml:"peer_secrets"`
	// EndpointKey is sent to endpoints that authenticate commands.
	EndpointKey string `yaml:"endpoint_key"`
}

// minSecretBytes is the smallest length of a peer secret, so that it cannot be
// guessed.
const minSecretBytes = 16

// ParseKeys parses and validates the text of a keys file. Errors never contain a
// secret.
func ParseKeys(file string, text []byte) (Keys, error) {
	var k Keys
	d, err := decoder.DecodeSecret(file, text, &k)
	if err != nil {
		return k, err
	}
	if len(k.PeerSecrets) == 0 {
		return k, d.Errorf([]any{"peer_secrets"}, "at least one secret is needed")
	}
	for i, s := range k.PeerSecrets {
		if len(s) < minSecretBytes {
			return k, d.Errorf([]any{"peer_secrets", i}, "must have at least %d bytes", minSecretBytes)
		}
	}
	for i, h := range k.OperatorSHA256 {
		if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size {
			return k, d.Errorf([]any{"operator_sha256", i}, "not a SHA-256 in hexadecimal")
		}
	}
	return k, nil
}

// IsOperatorKey reports whether key is one of the operators' keys.
func (k Keys) IsOperatorKey(key string) bool {
	sum := sha256.Sum256([]byte(key))
	found := 0
	for _, h := range k.OperatorSHA256 {
		want, err := hex.DecodeString(h)
		if err == nil {
			found |= subtle.ConstantTimeCompare(sum[:], want)
		}
	}
	return found == 1
}

// KeyRing holds the keys of a keys file, which can be reloaded. It is safe for
// concurrent use.
type KeyRing struct {
	file string
	mu   sync.RWMutex
	keys Keys
}

// OpenKeys reads the keys file and returns its key ring. The errors are those of
// Reload.
func OpenKeys(file string) (*KeyRing, error) {
	r := &KeyRing{file: file}
	return r, r.Reload()
}

// Reload reads the file again. If it cannot be read or is invalid, Reload returns
// an error and the ring keeps its previous keys.
func (r *KeyRing) Reload() error {
	text, err := os.ReadFile(r.file)
	if err != nil {
		return errors.Wrap(err, "read keys")
	}
	keys, err := ParseKeys(r.file, text)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = keys
	return nil
}

// Keys returns the keys last read without error.
func (r *KeyRing) Keys() Keys {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.keys
}

// KeysReloadInterval is the interval at which an instance reloads its keys file.
const KeysReloadInterval = 2 * clock.Second
