package archiver

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Key is the store key of the copy.
const Key = "counts"

// maxCopyBytes bounds the size of the copy below the largest value of the object
// API. If the counts exceed it, the copy holds the cells that changed longest ago;
// the other cells are recovered when their owners report them again.
const maxCopyBytes = storeclient.MaxValueBytes * 3 / 4

// Archiver loads and saves the quality counts.
type Archiver struct {
	// Get and Put access the object API; see storeclient.Store.
	Get func(ctx context.Context, key string) (storeclient.Object, error)
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)

	estimator   *estimator.Estimator
	savedDigest uint64 // digest of the last saved counts
}

// New returns an archiver of the counts of e.
func New(s storeclient.Store, e *estimator.Estimator) *Archiver {
	return &Archiver{Get: s.Get, Put: s.Put, estimator: e}
}

// Load merges the stored copy into the counts. It returns nil if there is no copy.
func (a *Archiver) Load(ctx context.Context, now clock.Millis) error {
	_, err := a.load(ctx, now)
	return err
}

// load merges the stored copy into the counts and returns its version, or 0 if
// there is no copy.
func (a *Archiver) load(ctx context.Context, now clock.Millis) (uint64, error) {
	o, err := a.Get(ctx, Key)
	if errors.Is(err, storeclient.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if _, err := a.estimator.Merge(o.Value, now); err != nil {
		return 0, errors.Wrap(err, "archiver: merge the stored counts")
	}
	return o.Version, nil
}

// Save merges the stored copy and writes the counts, if the counts have changed
// since the last save. After a conflict or a lost answer it returns an error, and
// the next call reads the copy again.
func (a *Archiver) Save(ctx context.Context, now clock.Millis) error {
	if a.estimator.Cells() == 0 || a.estimator.Digest() == a.savedDigest {
		return nil
	}
	version, err := a.load(ctx, now)
	if err != nil {
		return err
	}
	digest := a.estimator.Digest()
	value, _, err := a.estimator.Snapshot(0, maxCopyBytes)
	if err != nil {
		return err
	}
	if _, err := a.Put(ctx, Key, value, version); err != nil {
		return err
	}
	a.savedDigest = digest
	return nil
}
