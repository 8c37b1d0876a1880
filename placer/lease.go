package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// ErrNotHeld is returned if this instance does not hold the lease.
var ErrNotHeld = errors.New("placer: lease not held")

// Record is the stored placement of one data centre, and its lease.
type Record struct {
	FencingNumber uint64              `json:"number"`            // fencing number; increases with each takeover and change
	Holder        string              `json:"holder"`            // member that holds the lease; "" after a release
	Write         string              `json:"write"`             // identifies the write, in case its answer is lost
	Stage         int                 `json:"stage"`             // index in Options.Stages; their number after the last
	Desired       map[string][]string `json:"desired,omitempty"` // versions by endpoint
}

// Lease reads and writes the record of one data centre in the object API, and
// takes, renews and releases the lease in it. It is not safe for concurrent use.
type Lease struct {
	Get      func(ctx context.Context, key string) (storeclient.Object, error)
	Put      func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	Now      func() clock.Millis
	Key      string
	Member   string       // instance with its incarnation
	Lifetime clock.Millis // of the lease; must be the same at all instances
	Margin   clock.Millis // covers the difference between the rates of two clocks

	record     Record
	version    uint64        // store version of record
	readAt     clock.Millis  // when this version was first read or written
	everRead   bool          // the record was read at least once
	writes     uint64        // number of writes, which makes their names unique
	expiresAt  clock.Millis  // end of this instance's lease
	acquiredAt clock.Millis  // start of this instance's term
	pending    *pendingWrite // nil if the outcome of the last write is known
}

// pendingWrite is a write whose answer was lost.
type pendingWrite struct {
	name      string       // Record.Write
	startedAt clock.Millis // time before the write
}

// Held reports whether this instance holds the lease now.
func (l *Lease) Held() bool { return l.Now() < l.expiresAt }

// Record returns the record that was read or written last.
func (l *Lease) Record() Record { return l.record }

// AcquiredAt returns the time at which the present term began. It has no meaning
// while the lease is not held.
func (l *Lease) AcquiredAt() clock.Millis { return l.acquiredAt }

// Tick renews the lease if this instance holds it. Otherwise it reads the record,
// and takes the lease if it is free or has expired. It must be called several times
// per lifetime. The errors are those of the store and of a malformed record.
func (l *Lease) Tick(ctx context.Context) error {
	if !l.Held() || l.pending != nil {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	if l.record.Holder == l.Member {
		return l.write(ctx, l.record)
	}
	expired := l.Now() >= l.readAt+l.Lifetime+l.Margin
	if l.record.Holder != "" && !expired {
		return nil
	}
	next := l.record
	next.FencingNumber++
	next.Holder = l.Member
	if err := l.write(ctx, next); err != nil {
		return err
	}
	l.acquiredAt = l.Now()
	return nil
}

// Change replaces the record by the result of change. Its new number is one more
// than the higher of the record's present number and that of the result. Change
// returns ErrNotHeld without the lease. After storeclient.ErrUnknown, the next Tick
// finds out whether the change took effect.
func (l *Lease) Change(ctx context.Context, change func(Record) Record) error {
	if !l.Held() || l.pending != nil {
		return ErrNotHeld
	}
	next := l.record
	next.Desired = maps.Clone(next.Desired)
	next = change(next)
	next.FencingNumber = max(l.record.FencingNumber, next.FencingNumber) + 1
	next.Holder = l.Member
	return l.write(ctx, next)
}

// Release releases the lease, so that another instance does not have to wait for
// its end. No command may be sent afterwards. The error is ErrNotHeld or one of
// the store.
func (l *Lease) Release(ctx context.Context) error {
	if !l.Held() {
		return ErrNotHeld
	}
	l.expiresAt = 0 // before the write: a successor may act before its answer arrives
	next := l.record
	next.Holder = ""
	err := l.write(ctx, next)
	l.expiresAt = 0 // a successful write has extended the lease
	return err
}

// read reads the record and resolves a write whose answer was lost.
func (l *Lease) read(ctx context.Context) error {
	o, err := l.Get(ctx, l.Key)
	if errors.Is(err, storeclient.ErrNotFound) {
		o, err = storeclient.Object{}, nil
	}
	if err != nil {
		return errors.Wrap(err, "placer: read record")
	}
	if l.everRead && o.Version <= l.version {
		// No newer version, or a stale read: the outcome of a pending write stays
		// unknown.
		return nil
	}
	var r Record
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return errors.Wrap(err, "placer: decode record")
		}
	}
	p, wasHolder := l.pending, l.record.Holder == l.Member
	l.record, l.version, l.readAt, l.everRead, l.pending = r, o.Version, l.Now(), true, nil
	if r.Holder != l.Member {
		l.expiresAt = 0
		return nil
	}
	if p != nil && r.Write == p.name {
		l.expiresAt = max(l.expiresAt, p.startedAt+l.Lifetime)
	}
	if !wasHolder {
		l.acquiredAt = l.Now()
	}
	return nil
}

// write stores the record. The lease is then valid for its lifetime from before the
// write.
func (l *Lease) write(ctx context.Context, next Record) error {
	l.writes++
	next.Write = fmt.Sprintf("%s/%d", l.Member, l.writes)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "placer: encode record")
	}
	startedAt := l.Now()
	v, err := l.Put(ctx, l.Key, value, l.version)
	switch {
	case err == nil:
		l.record, l.version, l.readAt, l.pending = next, v, l.Now(), nil
		l.expiresAt = startedAt + l.Lifetime
		return nil
	case errors.Is(err, storeclient.ErrUnknown):
		l.pending = &pendingWrite{name: next.Write, startedAt: startedAt}
	case errors.Is(err, storeclient.ErrConflict) && l.pending == nil:
		l.expiresAt = 0
	}
	return errors.Wrap(err, "placer: write record")
}
