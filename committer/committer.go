package committer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Errors of Submit. A change with one of them is not known to be committed.
var (
	// ErrRefused marks an error returned by Change.Apply.
	ErrRefused = errors.New("committer: change refused")
	// ErrNotExecuted states that the change did not take effect and never will.
	ErrNotExecuted = errors.New("committer: change not executed")
	// ErrUnknown states that the change may have taken effect or may still do so.
	ErrUnknown = errors.New("committer: outcome of the change is unknown")
	// ErrFull states that every segment of the shard is within retention, so that
	// no slot can be reused. It is also marked with ErrNotExecuted.
	ErrFull = errors.New("committer: shard is full")
	// ErrTooLarge states that a record does not fit into its segment. It is also
	// marked with ErrNotExecuted.
	ErrTooLarge = errors.New("committer: record too large")
)

// Change is a change of one record.
type Change struct {
	// Apply returns the new value of the record, nil to leave the record
	// unchanged, or an error to refuse the change. The old value is nil if there
	// is no record. Apply may run several times, also after Submit has returned,
	// so its result must depend on old only.
	Apply func(old []byte) ([]byte, error)
	// ReserveBytes is the size in bytes up to which the value may grow later and for
	// which its segment reserves space. It replaces that of an earlier change.
	ReserveBytes int
}

// Options are the settings of a committer. Zero fields take the default.
type Options struct {
	Instance     string       // unique in the fleet
	Incarnation  uint64       // unique among the processes of the instance
	Segments     int          // slots of a shard's ring, at least 2; default 8
	SegmentBytes int          // reserved size of the records above which a segment is sealed; default 384 KiB
	MaxBytes     int          // largest size of a segment object; default 512 KiB
	Retention    clock.Millis // shortest time for which a record is kept; default 24 h
	CallTimeout  clock.Millis // timeout of one store call; default 2 s
	Interval     clock.Millis // shortest time between the starts of two rounds of a shard; default 0
	MinBackoff   clock.Millis // shortest backoff after a failed call; default 20 ms
	MaxBackoff   clock.Millis // longest backoff; default 1 s
	KeptCommits  int          // number of commit ids kept in a segment; default 64
	LoadReads    int          // concurrent reads while a shard is loaded; default 16
	MaxShards    int          // shards whose content is cached; default 48
	Seed         uint64       // seed of the backoff jitter
}

func (o Options) withDefaults() Options {
	o.Segments = max(orDefault(o.Segments, 8), 2)
	o.SegmentBytes = orDefault(o.SegmentBytes, 384<<10)
	o.MaxBytes = orDefault(o.MaxBytes, 512<<10)
	o.Retention = orDefault(o.Retention, 24*clock.Hour)
	o.CallTimeout = orDefault(o.CallTimeout, 2*clock.Second)
	o.MinBackoff = orDefault(o.MinBackoff, 20)
	o.MaxBackoff = orDefault(o.MaxBackoff, clock.Second)
	o.KeptCommits = orDefault(o.KeptCommits, 64)
	o.LoadReads = orDefault(o.LoadReads, 16)
	o.MaxShards = orDefault(o.MaxShards, 48)
	return o
}

func orDefault[T int | clock.Millis](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Committer batches changes by shard. It is safe for concurrent use.
type Committer struct {
	store       storeclient.Store
	clock       clock.Clock
	options     Options
	commitCount atomic.Uint64

	// Sleep waits for the duration d or until the context ends. New sets it to a
	// timer; a test may replace it before the first Submit.
	Sleep func(ctx context.Context, d clock.Millis)
	// OnRetry, if set, is called with the reason of each retry of a store call.
	OnRetry func(refuser.RetryReason)

	mu         sync.Mutex
	workers    map[string]*shardWorker
	useCounter uint64 // number of submitted changes, as the clock of shardWorker.lastUse
}

// New returns a committer that writes to store.
func New(store storeclient.Store, c clock.Clock, o Options) *Committer {
	return &Committer{
		store: store, clock: c, options: o.withDefaults(), Sleep: sleep, workers: map[string]*shardWorker{},
	}
}

func sleep(ctx context.Context, d clock.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Submit applies the change to the record key of the shard and returns the
// value of the record after the change. If the change has altered the record, the
// value is committed. Otherwise it is the value just read from the store, which
// may be outdated if the store answers with an older state. Submit retries until
// ctx ends. The error is marked with ErrRefused, ErrNotExecuted or ErrUnknown.
func (c *Committer) Submit(ctx context.Context, shard, key string, change Change) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(err, ErrNotExecuted)
	}
	r := &request{
		key: key, keyHash: xxhash.Sum64String(key), change: change,
		result: make(chan result, 1),
	}
	w := c.enqueue(shard, r)
	select {
	case got := <-r.result:
		return got.value, got.err
	case <-ctx.Done():
		return w.withdraw(ctx, r)
	}
}

// enqueue adds r to the worker of the shard and starts the worker if it is idle.
func (c *Committer) enqueue(shard string, r *request) *shardWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[shard]
	if !ok {
		c.evict()
		seed := rand.NewPCG(c.options.Seed, xxhash.Sum64String(shard))
		w = &shardWorker{
			committer: c, shard: shard, rng: rand.New(seed), maxVersions: make([]uint64, c.options.Segments),
		}
		c.workers[shard] = w
	}
	c.useCounter++
	w.lastUse = c.useCounter
	w.add(r)
	return w
}

// evict removes the idle worker that was used least recently if MaxShards are
// cached.
func (c *Committer) evict() {
	if len(c.workers) < c.options.MaxShards {
		return
	}
	var oldest *shardWorker
	for _, w := range c.workers {
		if (oldest == nil || w.lastUse < oldest.lastUse) && w.idle() {
			oldest = w
		}
	}
	if oldest != nil {
		delete(c.workers, oldest.shard)
	}
}

func (c *Committer) commitID() string {
	return fmt.Sprintf("%s/%d/%d", c.options.Instance, c.options.Incarnation, c.commitCount.Add(1))
}

func (c *Committer) notifyRetry(r refuser.RetryReason) {
	if c.OnRetry != nil {
		c.OnRetry(r)
	}
}
