package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storer"
)

// ErrNotHeld tells that this instance does not hold the lease.
var ErrNotHeld = errors.New("placer: lease not held")

// Record is the object of one data centre.
type Record struct {
	Number  uint64              `json:"number"`            // increases with each takeover and each change
	Holder  string              `json:"holder"`            // member that commands; "" after a release
	Write   string              `json:"write"`             // names the write, for a lost answer
	Stage   int                 `json:"stage"`             // stage of the data centre's return
	Desired map[string][]string `json:"desired,omitempty"` // versions by endpoint
}

// Lease keeps the record in the object API and the lease of the commanding
// instance in it. It is not safe for concurrent use.
type Lease struct {
	Get      func(ctx context.Context, key string) (storer.Object, error)
	Put      func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	Now      func() clock.Millis
	Key      string
	Member   string       // instance with its incarnation
	Lifetime clock.Millis // of the lease; the same at all instances
	Margin   clock.Millis // covers the difference between the rates of two clocks

	record  Record
	version uint64
	seen    clock.Millis // when the present version was first read
	known   bool         // the record has been read
	writes  uint64
	until   clock.Millis // end of the own lease
	taken   clock.Millis // start of the own term
	pending *pending
}

// pending is a write whose answer was lost.
type pending struct {
	name  string
	asked clock.Millis
}

// Held reports whether this instance commands now.
func (l *Lease) Held() bool { return l.Now() < l.until }

// Record returns the newest record that was read or written.
func (l *Lease) Record() Record { return l.record }

// Taken returns when the present term began. It has no meaning unless Held.
func (l *Lease) Taken() clock.Millis { return l.taken }

// Tick reads the record if it is not held, and renews or takes the lease when
// it may. It is called several times in a lifetime.
// The errors are those of the store and of a malformed record.
func (l *Lease) Tick(ctx context.Context) error {
	if !l.Held() || l.pending != nil {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	if l.record.Holder == l.Member {
		return l.write(ctx, l.record)
	}
	expired := l.Now() >= l.seen+l.Lifetime+l.Margin
	if l.record.Holder != "" && !expired {
		return nil
	}
	next := l.record
	next.Number++
	next.Holder = l.Member
	if err := l.write(ctx, next); err != nil {
		return err
	}
	l.taken = l.Now()
	return nil
}

// Change replaces the record by change's result, under the next number, or the
// one after that of the result if it is higher. It returns ErrNotHeld without the
// lease. After storer.ErrUnknown the next Tick finds out whether the change took
// effect.
func (l *Lease) Change(ctx context.Context, change func(Record) Record) error {
	if !l.Held() || l.pending != nil {
		return ErrNotHeld
	}
	next := l.record
	next.Desired = maps.Clone(next.Desired)
	next = change(next)
	next.Number = max(l.record.Number, next.Number) + 1
	next.Holder = l.Member
	return l.write(ctx, next)
}

// Release gives the lease up, so that another instance need not wait for its
// end. No command may be sent afterwards.
// The error is ErrNotHeld or one of the store.
func (l *Lease) Release(ctx context.Context) error {
	if !l.Held() {
		return ErrNotHeld
	}
	l.until = 0 // before the write: a successor may act while the answer is under way
	next := l.record
	next.Holder = ""
	err := l.write(ctx, next)
	l.until = 0
	return err
}

func (l *Lease) read(ctx context.Context) error {
	o, err := l.Get(ctx, l.Key)
	if errors.Is(err, storer.ErrNotFound) {
		o, err = storer.Object{}, nil
	}
	if err != nil {
		return errors.Wrap(err, "placer: read record")
	}
	if l.known && o.Version <= l.version {
		// Nothing new, or an older value: a lost write stays undecided.
		return nil
	}
	var r Record
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return errors.Wrap(err, "placer: decode record")
		}
	}
	p, mine := l.pending, l.record.Holder == l.Member
	l.record, l.version, l.seen, l.known, l.pending = r, o.Version, l.Now(), true, nil
	if r.Holder != l.Member {
		l.until = 0
		return nil
	}
	if p != nil && r.Write == p.name {
		l.until = max(l.until, p.asked+l.Lifetime)
	}
	if !mine {
		l.taken = l.Now()
	}
	return nil
}

// write stores the record. The lease then lasts from before the write began.
func (l *Lease) write(ctx context.Context, next Record) error {
	l.writes++
	next.Write = fmt.Sprintf("%s/%d", l.Member, l.writes)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "placer: encode record")
	}
	asked := l.Now()
	v, err := l.Put(ctx, l.Key, value, l.version)
	switch {
	case err == nil:
		l.record, l.version, l.seen, l.pending = next, v, l.Now(), nil
		l.until = asked + l.Lifetime
		return nil
	case errors.Is(err, storer.ErrUnknown):
		l.pending = &pending{name: next.Write, asked: asked}
	case errors.Is(err, storer.ErrConflict) && l.pending == nil:
		l.until = 0
	}
	return errors.Wrap(err, "placer: write record")
}
