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

// Errors of Add and HoldBackup.
var (
	// ErrOverflow states that a bill was refused because MaxHeld others are held.
	ErrOverflow = errors.New("biller: too many bills are held")
	// ErrInvalidBill states that a bill lacks an id, or that an id or the version is
	// too long.
	ErrInvalidBill = errors.New("biller: invalid workspace, request id or version")
)

// Largest lengths of the fields of a bill in bytes, which bound the size of a
// record.
const (
	MaxWorkspaceBytes = 64
	MaxRequestBytes   = 128
	MaxVersionBytes   = 128
)

// Bill is the charge for one request.
type Bill struct {
	Workspace  string `cbor:"workspace"`
	RequestID  string `cbor:"request_id"`
	Version    string `cbor:"version"` // "<model>@<version>"
	TokensIn   uint64 `cbor:"tokens_in"`
	TokensOut  uint64 `cbor:"tokens_out"`
	CostMicros uint64 `cbor:"cost_micros"` // in millionths of the currency unit
}

// storedBill is the stored form of a bill. The ids are in the record key.
type storedBill struct {
	Version    string `cbor:"version"`
	TokensIn   uint64 `cbor:"tokens_in"`
	TokensOut  uint64 `cbor:"tokens_out"`
	CostMicros uint64 `cbor:"cost_micros"`
}

// key returns the record key "<length>/<workspace>/<request id>". The length of
// the workspace makes it unambiguous.
func (b Bill) key() string {
	return fmt.Sprintf("%d/%s/%s", len(b.Workspace), b.Workspace, b.RequestID)
}

func (b Bill) valid() bool {
	return b.Workspace != "" && len(b.Workspace) <= MaxWorkspaceBytes &&
		b.RequestID != "" && len(b.RequestID) <= MaxRequestBytes && len(b.Version) <= MaxVersionBytes
}

// Counts are running totals of a biller.
type Counts struct {
	Committed     uint64 // held bills that were committed, by this instance or another
	Duplicates    uint64 // of these, bills of requests for which a different bill was committed
	WithoutBackup uint64 // bills added without a backup
	Overflowed    uint64 // bills refused because MaxHeld others were held
	Expired       uint64 // bills dropped after MaxAge
}

// Biller holds and commits bills. Fields are set by New and may be replaced
// before the first use. It is safe for concurrent use.
type Biller struct {
	// Commit commits bills of one shard. It returns nil only if all of them are
	// committed. It may forward them to the shard's preferred writer, which calls
	// CommitLocal.
	Commit func(ctx context.Context, shard string, bills []Bill) error
	// SendBackup sends a bill to an instance in another data centre, which calls
	// HoldBackup, and returns the name of that instance. If SendBackup is nil, there
	// is no backup.
	SendBackup func(ctx context.Context, bill Bill) (backup string, err error)
	// SendRelease tells a backup that bills are committed. The backup calls
	// ReleaseBackup.
	SendRelease func(ctx context.Context, backup string, bills []Bill) error

	Shards      int          // number of shards
	MaxHeld     int          // largest number of bills in memory, own and as a backup
	MaxBatch    int          // largest number of bills of a shard in one commit
	BackupGrace clock.Millis // age at which a backup commits a bill
	MaxAge      clock.Millis // age at which a bill is dropped; must be well below the committer's retention
	HoldTimeout clock.Millis // longest time for which the end of a response waits for the backup
	CallTimeout clock.Millis // timeout of the commit and the releases of one batch

	committer  *committer.Committer
	clock      clock.Clock
	duplicates atomic.Uint64

	mu     sync.Mutex
	counts Counts
	held   map[billKey]*heldBill
}

// billKey identifies a held bill. An instance may hold a bill of its own and
// also be the backup for a bill with the same record key.
type billKey struct {
	recordKey string
	holder    string // instance for which this one is the backup; empty for its own bills
}

// heldBill is a bill that is not known to be committed.
type heldBill struct {
	bill   Bill
	since  clock.Millis // when the bill was added
	backup string       // instance that holds the backup, if any
	due    bool         // commit it with the next flush, even if held as a backup
}

// New returns a biller that commits through m.
func New(m *committer.Committer, c clock.Clock) *Biller {
	b := &Biller{
		Shards: 64, MaxHeld: 100_000, MaxBatch: 500, BackupGrace: 30 * clock.Second, MaxAge: 30 * clock.Minute,
		HoldTimeout: 100, CallTimeout: 5 * clock.Second,
		committer: m, clock: c, held: map[billKey]*heldBill{},
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

// Add holds the bill of a request that this instance has served, and sends it to
// a backup. It never waits for the store. The errors are ErrInvalidBill and
// ErrOverflow. If there is no backup, the bill is held here only and counted.
func (b *Biller) Add(ctx context.Context, bill Bill) error {
	k, added, err := b.addHeld(bill, "")
	if err != nil || !added {
		return err
	}
	var backup string
	err = errors.New("biller: no backup")
	if b.SendBackup != nil {
		ctx, cancel := context.WithTimeout(ctx, b.HoldTimeout.Duration())
		defer cancel()
		backup, err = b.SendBackup(ctx, bill)
	}
	b.mu.Lock()
	h, pending := b.held[k]
	switch {
	case err != nil:
		b.counts.WithoutBackup++
	case pending:
		h.backup = backup
	}
	b.mu.Unlock()
	if err == nil && !pending {
		b.release(ctx, backup, []Bill{bill})
	}
	return nil
}

// HoldBackup holds a bill as the backup of the instance holder. The errors are
// ErrInvalidBill and ErrOverflow.
func (b *Biller) HoldBackup(bill Bill, holder string) error {
	_, _, err := b.addHeld(bill, holder)
	return err
}

func (b *Biller) addHeld(bill Bill, holder string) (k billKey, added bool, err error) {
	if !bill.valid() {
		return billKey{}, false, ErrInvalidBill
	}
	k = billKey{recordKey: bill.key(), holder: holder}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.held[k]; ok {
		return k, false, nil
	}
	if len(b.held) >= b.MaxHeld {
		b.counts.Overflowed++
		return k, false, ErrOverflow
	}
	b.held[k] = &heldBill{bill: bill, since: b.clock.Now()}
	return k, true, nil
}

// ReleaseBackup releases bills held as the backup of the instance holder, which
// has committed them.
func (b *Biller) ReleaseBackup(bills []Bill, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range bills {
		delete(b.held, billKey{recordKey: bill.key(), holder: holder})
	}
}

// MarkDeadDue makes the bills held as the backup of a dead instance due at once.
func (b *Biller) MarkDeadDue(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, h := range b.held {
		if k.holder == instance {
			h.due = true
		}
	}
}

// Run flushes every interval until ctx ends.
func (b *Biller) Run(ctx context.Context, interval clock.Millis) {
	for ctx.Err() == nil {
		_ = b.Flush(ctx) // bills that fail are held until the next flush
		b.committer.Sleep(ctx, interval)
	}
}

// Flush commits the bills that are due, one batch per shard, and releases their
// backups. It returns the first error. Bills of a failed batch stay held.
func (b *Biller) Flush(ctx context.Context) error {
	var group errgroup.Group
	for shard, batch := range b.dueBills() {
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
			b.removeCommitted(ctx, batch)
			return nil
		})
	}
	return group.Wait()
}

// dueBills returns the held bills to commit now, by shard, and drops expired ones.
func (b *Biller) dueBills() map[string]map[billKey]*heldBill {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	batches := map[string]map[billKey]*heldBill{}
	for k, h := range b.held {
		age := now - h.since
		if age >= b.MaxAge {
			delete(b.held, k)
			b.counts.Expired++
			continue
		}
		if k.holder != "" && !h.due && age < b.BackupGrace {
			continue
		}
		shard := fmt.Sprintf("bills/%d", xxhash.Sum64String(k.recordKey)%uint64(b.Shards))
		if batches[shard] == nil {
			batches[shard] = map[billKey]*heldBill{}
		}
		if len(batches[shard]) < b.MaxBatch {
			batches[shard][k] = h
		}
	}
	return batches
}

// removeCommitted removes a committed batch and releases its backups.
func (b *Biller) removeCommitted(ctx context.Context, batch map[billKey]*heldBill) {
	backups := map[string][]Bill{}
	b.mu.Lock()
	for k, h := range batch {
		delete(b.held, k)
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

// release tells the backup that the bills are committed. If the message is lost,
// the backup commits the bills again, which has no effect.
func (b *Biller) release(ctx context.Context, backup string, bills []Bill) {
	if b.SendRelease != nil {
		_ = b.SendRelease(ctx, backup, bills)
	}
}

// CommitLocal commits bills of one shard through this instance's committer. All
// bills are submitted; the error is the first one of the committer.
func (b *Biller) CommitLocal(ctx context.Context, shard string, bills []Bill) error {
	var group errgroup.Group
	for _, bill := range bills {
		group.Go(func() error { return b.commitOne(ctx, shard, bill) })
	}
	return group.Wait()
}

func (b *Biller) commitOne(ctx context.Context, shard string, bill Bill) error {
	encoded, err := cbor.Marshal(storedBill{bill.Version, bill.TokensIn, bill.TokensOut, bill.CostMicros})
	if err != nil {
		return errors.Wrap(err, "biller: encode bill")
	}
	setIfAbsent := func(old []byte) ([]byte, error) {
		if old != nil {
			return nil, nil
		}
		return encoded, nil
	}
	stored, err := b.committer.Submit(ctx, shard, bill.key(), committer.Change{Apply: setIfAbsent})
	if err == nil && string(stored) != string(encoded) {
		b.duplicates.Add(1)
	}
	return err
}
