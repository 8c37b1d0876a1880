package storer

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Sentinels of every operation.
var (
	// ErrNotFound tells that the object does not exist.
	ErrNotFound = errors.New("storer: object not found")
	// ErrConflict tells that the object has another version than expected.
	ErrConflict = errors.New("storer: version conflict")
	// ErrUnknown tells that a write may or may not have taken effect.
	ErrUnknown = errors.New("storer: outcome of the write is unknown")
	// ErrUnavailable tells that the store did not execute the call.
	ErrUnavailable = errors.New("storer: store unavailable")
	// ErrTooLarge tells that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("storer: value too large")
)

// Object is one stored value. Versions of one key only increase. Deleted is
// set on watch events only.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the object API as function fields, so that a test can replace one
// operation. Sentinels of this package tell the outcomes apart.
type Store struct {
	// Get returns the object, or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Version returns the object's version without its value, or ErrNotFound. It
	// counts as a read.
	Version func(ctx context.Context, key string) (uint64, error)
	// Put writes value if the object's version equals expect (0: it does not
	// exist) and returns the new version, or ErrConflict, ErrUnknown,
	// ErrUnavailable or ErrTooLarge.
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete removes the object if its version equals expect.
	Delete func(ctx context.Context, key string, expect uint64) error
	// List returns the objects whose key starts with prefix, ordered by key.
	List func(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits for changes under prefix after the store's sequence number
	// from and returns them with the next sequence number. It returns no
	// objects when the store ends the wait.
	Watch func(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error)
}
