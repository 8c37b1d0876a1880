package permitter

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/storeclient"
)

// AssignmentStore reads and writes the assignment in the object API. It is not safe
// for concurrent use.
type AssignmentStore struct {
	Get func(ctx context.Context, key string) (storeclient.Object, error)
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	Key string

	version uint64 // store version of the object read or written last
	value   []byte // its encoded assignment
	epoch   uint64 // of the assignment
}

// Load reads the assignment. If the object does not exist, it returns the
// assignment of epoch 0. The errors are those of the store and of a malformed
// object.
func (s *AssignmentStore) Load(ctx context.Context) (Assignment, error) {
	o, err := s.Get(ctx, s.Key)
	if errors.Is(err, storeclient.ErrNotFound) {
		s.version, s.value, s.epoch = 0, nil, 0
		return Assignment{}, nil
	}
	if err != nil {
		return Assignment{}, errors.Wrap(err, "permitter: read assignment")
	}
	var a Assignment
	if err := json.Unmarshal(o.Value, &a); err != nil {
		return Assignment{}, errors.Wrap(err, "permitter: decode assignment")
	}
	s.version, s.value, s.epoch = o.Version, o.Value, a.Epoch
	return a, nil
}

// Save replaces the assignment that was read or written last. If the store's
// answer is lost, the object is read again, and its epoch and writer tell whether
// the write took effect. Save returns storeclient.ErrConflict if another writer was
// first and storeclient.ErrUnknown if the outcome is not known. The assignment must
// not be sent to members before Save has returned nil or Load has returned it.
func (s *AssignmentStore) Save(ctx context.Context, a Assignment) error {
	value, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "permitter: encode assignment")
	}
	expect := s.version
	v, err := s.Put(ctx, s.Key, value, expect)
	if err == nil {
		s.version, s.value, s.epoch = v, value, a.Epoch
		return nil
	}
	if !errors.Is(err, storeclient.ErrUnknown) {
		return errors.Wrap(err, "permitter: write assignment")
	}
	stored, loadErr := s.Load(ctx)
	if loadErr != nil || s.version <= expect {
		// A read that shows no change may be stale.
		return errors.Wrap(storeclient.ErrUnknown, "permitter: write assignment")
	}
	if stored.Epoch == a.Epoch && stored.Writer == a.Writer && stored.Settled() == a.Settled() {
		return nil
	}
	return errors.Wrap(storeclient.ErrConflict, "permitter: write assignment")
}

// Confirm writes the present assignment again unchanged, and returns its epoch.
// Success shows that no other assignment was stored when Confirm was called. After
// an error, the assignment must be loaded again.
func (s *AssignmentStore) Confirm(ctx context.Context) (uint64, error) {
	v, err := s.Put(ctx, s.Key, s.value, s.version)
	if err != nil {
		return 0, errors.Wrap(err, "permitter: confirm assignment")
	}
	s.version = v
	return s.epoch, nil
}
