package configwriter

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// read returns the stored object and its version. Both are zero if the object
// does not exist.
func (w *Writer) read(ctx context.Context) (Object, uint64, error) {
	stored, err := w.Store.Get(ctx, Key)
	if errors.Is(err, storeclient.ErrNotFound) {
		return Object{}, 0, nil
	}
	if err != nil {
		return Object{}, 0, err
	}
	o, err := Decode(stored.Value)
	return o, stored.Version, err
}

// write applies the edit to the newest object, and again after each conflict, with
// at most maxConflicts tries.
func (w *Writer) write(ctx context.Context, e edit) (Object, error) {
	if e.id == "" {
		return Object{}, refuser.ErrInvalidBody.WithMessage("the change id is empty")
	}
	for range maxConflicts {
		o, version, err := w.read(ctx)
		if err != nil {
			return Object{}, refuser.ErrStoreUnavailable.WithMessage("the fleet object could not be read: %v", err)
		}
		if done, err := recorded(o, e); done || err != nil {
			return o, err
		}
		accepted, err := w.tryWrite(ctx, e, o, version)
		if !errors.Is(err, storeclient.ErrConflict) {
			return accepted, err
		}
		if err := w.Wait(ctx, conflictDelay); err != nil {
			return Object{}, refuser.ErrDeadline.WithMessage("the change conflicted with other changes: %v", err)
		}
	}
	return Object{}, refuser.ErrRevisionConflict.WithMessage("the change conflicted with %d other changes", maxConflicts)
}

// recorded reports whether o already contains the edit. It returns
// refuser.ErrKeyReused if another change has the same id.
func recorded(o Object, e edit) (bool, error) {
	c, ok := o.Change(e.id)
	if ok && c.Description != e.description {
		return false, refuser.ErrKeyReused.WithMessage("change %q was %q at revision %d", e.id, c.Description, c.Revision)
	}
	return ok, nil
}

// tryWrite makes one conditional write based on o. It returns
// storeclient.ErrConflict if another write was accepted first.
func (w *Writer) tryWrite(ctx context.Context, e edit, o Object, version uint64) (Object, error) {
	modify, err := e.prepare(o)
	if err != nil {
		return Object{}, err
	}
	if w.CheckWritable != nil {
		if err := w.CheckWritable(); err != nil {
			return Object{}, err
		}
	}
	next := o.with(e.id, e.description, modify)
	value, err := next.Encode()
	if err != nil {
		return Object{}, err
	}
	startedAt := w.Now()
	stored, err := w.Store.Put(ctx, Key, value, version)
	switch {
	case err == nil:
		w.notifyAccepted(value, stored, startedAt)
		return next, nil
	case errors.Is(err, storeclient.ErrConflict):
		return Object{}, err
	case errors.Is(err, storeclient.ErrTooLarge):
		return Object{}, refuser.ErrBodyTooLarge.WithMessage("the fleet object would have %d bytes", len(value))
	case errors.Is(err, storeclient.ErrUnavailable):
		return Object{}, refuser.ErrStoreUnavailable.WithMessage("the change was not stored: %v", err)
	default:
		return w.resolve(ctx, e, value, version, err)
	}
}

func (w *Writer) notifyAccepted(value []byte, version uint64, startedAt clock.Millis) {
	if w.OnAccept != nil {
		w.OnAccept(value, version, startedAt)
	}
}

// resolve determines the outcome of a write whose answer was lost, by reading the
// object and repeating the write while the version is unchanged.
func (w *Writer) resolve(ctx context.Context, e edit, value []byte, version uint64, cause error) (Object, error) {
	for range maxResolveTries {
		if err := w.Wait(ctx, resolveDelay); err != nil {
			break
		}
		startedAt := w.Now()
		stored, err := w.Store.Get(ctx, Key)
		if err != nil && !errors.Is(err, storeclient.ErrNotFound) {
			cause = err
			continue
		}
		if stored.Version != version {
			o, err := Decode(stored.Value)
			if err != nil {
				return Object{}, unknownOutcome(e.id, err)
			}
			done, err := recorded(o, e)
			if done {
				w.notifyAccepted(stored.Value, stored.Version, startedAt)
				return o, nil
			}
			if err != nil || stored.Version > version {
				return Object{}, errors.CombineErrors(err, storeclient.ErrConflict)
			}
			cause = errors.New("the store returned an older version")
			continue
		}
		startedAt = w.Now()
		v, err := w.Store.Put(ctx, Key, value, version)
		if err == nil {
			w.notifyAccepted(value, v, startedAt)
			return Decode(value)
		}
		cause = err
	}
	return Object{}, unknownOutcome(e.id, cause)
}
