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
	// OperatorSHA256 are the hashes of the operators' keys.
	OperatorSHA256 []string `yaml:"operator_sha256"`
	// PeerSecrets authenticate instances; the first is used, all are accepted.
	PeerSecrets []string `yaml:"peer_secrets"`
	// EndpointKey is given to endpoints that check who commands them.
	EndpointKey string `yaml:"endpoint_key"`
}

// minSecretBytes makes a peer secret hard to guess.
const minSecretBytes = 16

// ParseKeys checks the text of a keys file. No error contains a secret.
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

// Operator reports whether key is one of the operators' keys.
func (k Keys) Operator(key string) bool {
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

// KeyRing keeps the keys of a file up to date. It is safe for concurrent use.
type KeyRing struct {
	file string
	mu   sync.RWMutex
	keys Keys
}

// OpenKeys reads the keys file and returns the ring.
func OpenKeys(file string) (*KeyRing, error) {
	r := &KeyRing{file: file}
	return r, r.Reload()
}

// Reload reads the file again. On an error the ring keeps its keys.
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

// Keys returns the keys in force.
func (r *KeyRing) Keys() Keys {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.keys
}

// KeysReloadInterval is how often an instance reads its keys file again.
const KeysReloadInterval = 2 * clock.Second
