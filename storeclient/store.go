package storeclient

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Errors of the operations of a Store.
var (
	// ErrNotFound states that the object does not exist.
	ErrNotFound = errors.New("storeclient: object not found")
	// ErrConflict states that the object does not have the expected version.
	ErrConflict = errors.New("storeclient: version conflict")
	// ErrUnknown states that a write may or may not have taken effect.
	ErrUnknown = errors.New("storeclient: outcome of the write is unknown")
	// ErrUnavailable states that the store did not execute a write or did not
	// answer a read.
	ErrUnavailable = errors.New("storeclient: store unavailable")
	// ErrTooLarge states that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("storeclient: value too large")
)

// Object is a stored value. The versions of a key only increase. Deleted is set
// only in watch events.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store holds the operations of the object API as function fields, so that a test
// can replace one of them. Outcomes are distinguished by the sentinel errors.
type Store struct {
	// Get returns the object, or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Version returns the object's version without its value, or ErrNotFound. The
	// store counts it as a read.
	Version func(ctx context.Context, key string) (uint64, error)
	// Put writes value if the object has the version expect, or does not exist if
	// expect is 0. It returns the new version, or ErrConflict, ErrUnknown,
	// ErrUnavailable or ErrTooLarge.
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete removes the object if it has the version expect. The errors are
	// ErrNotFound, ErrConflict, ErrUnknown and ErrUnavailable.
	Delete func(ctx context.Context, key string, expect uint64) error
	// List returns the objects whose key starts with prefix, ordered by key.
	List func(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits for changes of keys with the prefix after the store's sequence
	// number from, and returns them with the sequence number for the next call. It
	// returns no objects if the store ends the wait without a change.
	Watch func(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error)
}
