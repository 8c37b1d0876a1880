package archiver

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/storer"
)

// Key is the store key of the copy.
const Key = "counts"

// maxBytes bounds the copy below the largest value of the object API. If the
// counts exceed it, the cells that changed longest ago are kept and the others
// follow when their owners report them again.
const maxBytes = storer.MaxValueBytes * 3 / 4

// Archiver loads and saves the counts.
type Archiver struct {
	// Get and Put access the object API; see storer.Store.
	Get func(ctx context.Context, key string) (storer.Object, error)
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)

	rater *rater.Rater
	saved uint64 // digest of the counts that were saved last
}

// New returns an archiver of the counts of r.
func New(s storer.Store, r *rater.Rater) *Archiver {
	return &Archiver{Get: s.Get, Put: s.Put, rater: r}
}

// Load merges the copy into the counts. A missing copy is no error.
func (a *Archiver) Load(ctx context.Context, now clock.Millis) error {
	_, err := a.load(ctx, now)
	return err
}

// load returns the version of the copy, 0 if there is none.
func (a *Archiver) load(ctx context.Context, now clock.Millis) (uint64, error) {
	o, err := a.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if _, err := a.rater.Merge(o.Value, now); err != nil {
		return 0, errors.Wrap(err, "archiver: stored counts")
	}
	return o.Version, nil
}

// Save merges the copy and writes the counts if they have changed. A conflict or
// a lost answer needs no care: the next call reads the copy again.
func (a *Archiver) Save(ctx context.Context, now clock.Millis) error {
	if a.rater.Cells() == 0 || a.rater.Digest() == a.saved {
		return nil
	}
	version, err := a.load(ctx, now)
	if err != nil {
		return err
	}
	digest := a.rater.Digest()
	value, _, err := a.rater.Snapshot(0, maxBytes)
	if err != nil {
		return err
	}
	if _, err := a.Put(ctx, Key, value, version); err != nil {
		return err
	}
	a.saved = digest
	return nil
}
