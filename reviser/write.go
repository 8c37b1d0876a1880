package reviser

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storer"
)

// read returns the object and its version; both are zero if it does not exist.
func (r *Reviser) read(ctx context.Context) (Object, uint64, error) {
	stored, err := r.Store.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return Object{}, 0, nil
	}
	if err != nil {
		return Object{}, 0, err
	}
	o, err := Decode(stored.Value)
	return o, stored.Version, err
}

// write makes the edit on the newest object until the store accepts it.
func (r *Reviser) write(ctx context.Context, e edit) (Object, error) {
	if e.id == "" {
		return Object{}, refuser.ErrInvalidBody.WithMessage("a change needs an id")
	}
	for range maxConflicts {
		o, version, err := r.read(ctx)
		if err != nil {
			return Object{}, refuser.ErrStoreUnavailable.WithMessage("the fleet object could not be read: %v", err)
		}
		if done, err := recorded(o, e); done || err != nil {
			return o, err
		}
		accepted, err := r.attempt(ctx, e, o, version)
		if !errors.Is(err, storer.ErrConflict) {
			return accepted, err
		}
		if err := r.Wait(ctx, conflictDelay); err != nil {
			return Object{}, refuser.ErrDeadline.WithMessage("the change lost against others: %v", err)
		}
	}
	return Object{}, refuser.ErrRevisionConflict.WithMessage("%d other changes were accepted meanwhile", maxConflicts)
}

// recorded reports whether o already contains the edit.
func recorded(o Object, e edit) (bool, error) {
	c, ok := o.Change(e.id)
	if ok && c.What != e.what {
		return false, refuser.ErrKeyReused.WithMessage("change %q was %q at revision %d", e.id, c.What, c.Revision)
	}
	return ok, nil
}

// attempt makes one conditional write on top of o. It returns
// storer.ErrConflict if another write came first.
func (r *Reviser) attempt(ctx context.Context, e edit, o Object, version uint64) (Object, error) {
	modify, err := e.prepare(o)
	if err != nil {
		return Object{}, err
	}
	if r.MayWrite != nil {
		if err := r.MayWrite(); err != nil {
			return Object{}, err
		}
	}
	next := o.with(e.id, e.what, modify)
	value, err := next.Encode()
	if err != nil {
		return Object{}, err
	}
	asked := r.Now()
	stored, err := r.Store.Put(ctx, Key, value, version)
	switch {
	case err == nil:
		r.accepted(value, stored, asked)
		return next, nil
	case errors.Is(err, storer.ErrConflict):
		return Object{}, err
	case errors.Is(err, storer.ErrTooLarge):
		return Object{}, refuser.ErrBodyTooLarge.WithMessage("the fleet object would have %d bytes", len(value))
	case errors.Is(err, storer.ErrUnavailable):
		return Object{}, refuser.ErrStoreUnavailable.WithMessage("the change was not stored: %v", err)
	default:
		return r.settle(ctx, e, value, version, err)
	}
}

func (r *Reviser) accepted(value []byte, version uint64, asked clock.Millis) {
	if r.Accepted != nil {
		r.Accepted(value, version, asked)
	}
}

// settle finds out what became of a write whose answer was lost.
func (r *Reviser) settle(ctx context.Context, e edit, value []byte, version uint64, cause error) (Object, error) {
	for range maxSettleTries {
		if err := r.Wait(ctx, settleDelay); err != nil {
			break
		}
		asked := r.Now()
		stored, err := r.Store.Get(ctx, Key)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			cause = err
			continue
		}
		if stored.Version != version {
			o, err := Decode(stored.Value)
			if err != nil {
				return Object{}, unknown(e.id, err)
			}
			done, err := recorded(o, e)
			if done {
				r.accepted(stored.Value, stored.Version, asked)
				return o, nil
			}
			if err != nil || stored.Version > version {
				return Object{}, errors.CombineErrors(err, storer.ErrConflict)
			}
			cause = errors.New("the store answers with an older version")
			continue
		}
		asked = r.Now()
		v, err := r.Store.Put(ctx, Key, value, version)
		if err == nil {
			r.accepted(value, v, asked)
			return Decode(value)
		}
		cause = err
	}
	return Object{}, unknown(e.id, cause)
}
