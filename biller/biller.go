package biller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
)

// Errors of Add and Keep.
var (
	// ErrOverflow tells that MaxHeld bills are held and this one is not.
	ErrOverflow = errors.New("biller: too many bills are held")
	// ErrBadBill tells that a bill lacks an id or has one that is too long.
	ErrBadBill = errors.New("biller: bad workspace or request id")
)

// Bounds of the ids in bytes, which keep a record small.
const (
	MaxWorkspaceBytes = 64
	MaxRequestBytes   = 128
	MaxVersionBytes   = 128
)

// Bill is the charge for one request.
type Bill struct {
	Workspace string `cbor:"workspace"`
	RequestID string `cbor:"request_id"`
	Version   string `cbor:"version"` // <model>@<version>
	TokensIn  uint64 `cbor:"tokens_in"`
	TokensOut uint64 `cbor:"tokens_out"`
	Cost      uint64 `cbor:"cost_micros"` // in millionths of the currency unit
}

// entry is the stored form of a bill, whose ids are in the record key.
type entry struct {
	Version   string `cbor:"version"`
	TokensIn  uint64 `cbor:"tokens_in"`
	TokensOut uint64 `cbor:"tokens_out"`
	Cost      uint64 `cbor:"cost_micros"`
}

// key returns the record key. The length of the workspace makes it unambiguous.
func (b Bill) key() string {
	return fmt.Sprintf("%d/%s/%s", len(b.Workspace), b.Workspace, b.RequestID)
}

func (b Bill) valid() bool {
	return b.Workspace != "" && len(b.Workspace) <= MaxWorkspaceBytes &&
		b.RequestID != "" && len(b.RequestID) <= MaxRequestBytes && len(b.Version) <= MaxVersionBytes
}

// Counts are running totals of a biller.
type Counts struct {
	Committed  uint64 // bills that are committed, by this instance or another
	Duplicates uint64 // of these, bills of requests that had a bill with another content
	Unheld     uint64 // bills that no backup holds
	Overflowed uint64 // bills refused because MaxHeld others are held
	Expired    uint64 // bills given up after MaxAge
}

// Biller holds and commits bills. Fields are set by New and may be replaced
// before the first use. It is safe for concurrent use.
type Biller struct {
	// Commit commits bills of one shard. Nil tells that every one is committed.
	// It may forward to the shard's preferred writer, which calls CommitLocal.
	Commit func(ctx context.Context, shard string, bills []Bill) error
	// Hold asks a peer in another data centre to Keep the bill and returns its
	// name. Nil: there is no backup.
	Hold func(ctx context.Context, bill Bill) (backup string, err error)
	// Release tells a backup to Drop bills.
	Release func(ctx context.Context, backup string, bills []Bill) error

	Shards      int          // number of shards
	MaxHeld     int          // bills in memory, own and others'
	MaxBatch    int          // bills of a shard in one commit
	Grace       clock.Millis // after which a backup commits
	MaxAge      clock.Millis // after which a bill is given up; must be well below the retention
	HoldTimeout clock.Millis // for which the end of a response waits for the backup
	CallTimeout clock.Millis // of a commit and of a release

	committer  *committer.Committer
	clock      clock.Clock
	duplicates atomic.Uint64

	mu     sync.Mutex
	counts Counts
	held   map[place]*holding
}

// place identifies a holding. An instance may hold a bill of its own and be
// the backup for the same one.
type place struct {
	key  string
	from string // the holder that this instance backs up; empty for its own bills
}

type holding struct {
	bill   Bill
	since  clock.Millis
	backup string
	due    bool // a backup's holding that must be committed
}

// New returns a biller that commits through m.
func New(m *committer.Committer, c clock.Clock) *Biller {
	b := &Biller{
		Shards: 64, MaxHeld: 100_000, MaxBatch: 500, Grace: 30 * clock.Second, MaxAge: 30 * clock.Minute,
		HoldTimeout: 100, CallTimeout: 5 * clock.Second,
		committer: m, clock: c, held: map[place]*holding{},
	}
	b.Commit = b.CommitLocal
	return b
}

// Counts returns the totals so far and the number of bills that are held.
func (b *Biller) Counts() (c Counts, held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c = b.counts
	c.Duplicates = b.duplicates.Load()
	return c, len(b.held)
}

// Add takes the bill of a request that this instance has served, and hands it to
// a backup. It never waits for the store. The errors are ErrBadBill and
// ErrOverflow; a bill without a backup is held here and counted.
func (b *Biller) Add(ctx context.Context, bill Bill) error {
	p, added, err := b.hold(bill, "")
	if err != nil || !added {
		return err
	}
	var backup string
	err = errors.New("biller: no backup")
	if b.Hold != nil {
		ctx, cancel := context.WithTimeout(ctx, b.HoldTimeout.Duration())
		defer cancel()
		backup, err = b.Hold(ctx, bill)
	}
	b.mu.Lock()
	h, pending := b.held[p]
	switch {
	case err != nil:
		b.counts.Unheld++
	case pending:
		h.backup = backup
	}
	b.mu.Unlock()
	if err == nil && !pending {
		b.release(ctx, backup, []Bill{bill})
	}
	return nil
}

// Keep holds a bill as the backup of the instance from. The errors are
// ErrBadBill and ErrOverflow.
func (b *Biller) Keep(bill Bill, from string) error {
	_, _, err := b.hold(bill, from)
	return err
}

func (b *Biller) hold(bill Bill, from string) (p place, added bool, err error) {
	if !bill.valid() {
		return place{}, false, ErrBadBill
	}
	p = place{key: bill.key(), from: from}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.held[p]; ok {
		return p, false, nil
	}
	if len(b.held) >= b.MaxHeld {
		b.counts.Overflowed++
		return p, false, ErrOverflow
	}
	b.held[p] = &holding{bill: bill, since: b.clock.Now()}
	return p, true, nil
}

// Drop forgets bills that the instance from has committed.
func (b *Biller) Drop(bills []Bill, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range bills {
		delete(b.held, place{key: bill.key(), from: from})
	}
}

// Died makes the bills that are held for a dead instance due at once.
func (b *Biller) Died(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, h := range b.held {
		if p.from == instance {
			h.due = true
		}
	}
}

// Run flushes every interval until ctx ends.
func (b *Biller) Run(ctx context.Context, interval clock.Millis) {
	for ctx.Err() == nil {
		_ = b.Flush(ctx) // what fails stays held for the next flush
		b.committer.Sleep(ctx, interval)
	}
}

// Flush commits the bills that are due, one batch for each shard, and releases
// their backups. It returns the first error; what fails stays held.
func (b *Biller) Flush(ctx context.Context) error {
	var group errgroup.Group
	for shard, batch := range b.due() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, b.CallTimeout.Duration())
			defer cancel()
			bills := make([]Bill, 0, len(batch))
			for _, h := range batch {
				bills = append(bills, h.bill)
			}
			if err := b.Commit(ctx, shard, bills); err != nil {
				return err
			}
			b.committed(ctx, batch)
			return nil
		})
	}
	return group.Wait()
}

// due returns the holdings to commit now, by shard, and gives up expired ones.
func (b *Biller) due() map[string]map[place]*holding {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	batches := map[string]map[place]*holding{}
	for p, h := range b.held {
		age := now - h.since
		if age >= b.MaxAge {
			delete(b.held, p)
			b.counts.Expired++
			continue
		}
		if p.from != "" && !h.due && age < b.Grace {
			continue
		}
		shard := fmt.Sprintf("bills/%d", xxhash.Sum64String(p.key)%uint64(b.Shards))
		if batches[shard] == nil {
			batches[shard] = map[place]*holding{}
		}
		if len(batches[shard]) < b.MaxBatch {
			batches[shard][p] = h
		}
	}
	return batches
}

// committed forgets a batch and releases its backups.
func (b *Biller) committed(ctx context.Context, batch map[place]*holding) {
	backups := map[string][]Bill{}
	b.mu.Lock()
	for p, h := range batch {
		delete(b.held, p)
		b.counts.Committed++
		if h.backup != "" {
			backups[h.backup] = append(backups[h.backup], h.bill)
		}
	}
	b.mu.Unlock()
	for backup, bills := range backups {
		b.release(ctx, backup, bills)
	}
}

// release tells the backup. If the message is lost, the backup commits the
// bills once more, without effect.
func (b *Biller) release(ctx context.Context, backup string, bills []Bill) {
	if b.Release != nil {
		_ = b.Release(ctx, backup, bills)
	}
}

// CommitLocal commits bills of one shard through this instance's committer.
// The error is the first of those of committer; the other bills are submitted all the same.
func (b *Biller) CommitLocal(ctx context.Context, shard string, bills []Bill) error {
	var group errgroup.Group
	for _, bill := range bills {
		group.Go(func() error { return b.commitOne(ctx, shard, bill) })
	}
	return group.Wait()
}

func (b *Biller) commitOne(ctx context.Context, shard string, bill Bill) error {
	own, err := cbor.Marshal(entry{bill.Version, bill.TokensIn, bill.TokensOut, bill.Cost})
	if err != nil {
		return errors.Wrap(err, "biller: encode bill")
	}
	first := func(old []byte) ([]byte, error) {
		if old != nil {
			return nil, nil
		}
		return own, nil
	}
	stored, err := b.committer.Submit(ctx, shard, bill.key(), committer.Change{Apply: first})
	if err == nil && string(stored) != string(own) {
		b.duplicates.Add(1)
	}
	return err
}
