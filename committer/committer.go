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
	"rosemaryarch.example/rosemaryarch/storer"
)

// Outcomes of a change that was not committed.
var (
	// ErrRefused marks the error of the change's own function.
	ErrRefused = errors.New("committer: change refused")
	// ErrNotExecuted tells that the change did not take effect and never will.
	ErrNotExecuted = errors.New("committer: change not executed")
	// ErrUnknown tells that the change may have taken or may yet take effect.
	ErrUnknown = errors.New("committer: outcome of the change is unknown")
	// ErrFull tells that every segment is within retention. It comes with ErrNotExecuted.
	ErrFull = errors.New("committer: shard is full")
	// ErrTooLarge tells that a record exceeds the room of its segment. It comes
	// with ErrNotExecuted.
	ErrTooLarge = errors.New("committer: record too large")
)

// Change is a change of one record.
type Change struct {
	// Apply returns the new value for the old one (nil: no record), or nil to
	// leave the record as it is, or an error to refuse. It may run several
	// times and after Submit has returned, so it must only depend on old.
	Apply func(old []byte) ([]byte, error)
	// Reserve is the size up to which the record may grow later, for which its
	// segment keeps room. It replaces the reserve of an earlier change.
	Reserve int
}

// Options are the settings of a committer. Zero fields take the default.
type Options struct {
	Instance     string       // unique in the fleet
	Incarnation  uint64       // unique among the runs of the instance
	Segments     int          // slots of a shard's ring, at least 2; default 8
	SegmentBytes int          // load at which a segment is sealed; default 384 KiB
	MaxBytes     int          // bound of a segment object; default 512 KiB
	Retention    clock.Millis // least age of a record that is dropped; default 24 h
	CallTimeout  clock.Millis // of one store call; default 2 s
	Interval     clock.Millis // least time between two rounds of a shard; default 0
	MinBackoff   clock.Millis // first pause after a failed call; default 20 ms
	MaxBackoff   clock.Millis // longest pause; default 1 s
	KeptCommits  int          // commit ids kept in a segment; default 64
	LoadReads    int          // concurrent reads while a shard is loaded; default 16
	MaxShards    int          // shards whose content is cached; default 48
	Seed         uint64       // of the jitter
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
	store   storer.Store
	clock   clock.Clock
	options Options
	commits atomic.Uint64

	// Sleep waits for a span or until the context ends. New sets it to a
	// timer; a test may replace it before the first Submit.
	Sleep func(ctx context.Context, d clock.Millis)
	// Retried, if set, is told why a store call is repeated.
	Retried func(refuser.RetryReason)

	mu    sync.Mutex
	lanes map[string]*lane
	uses  uint64
}

// New returns a committer that writes to store.
func New(store storer.Store, c clock.Clock, o Options) *Committer {
	return &Committer{
		store: store, clock: c, options: o.withDefaults(), Sleep: sleep, lanes: map[string]*lane{},
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
// record after the change. A record that the change has altered is committed; one
// that it leaves alone is as the store has just read it, which is older than the
// newest state if the store answers so. Until ctx ends, Submit repeats what
// fails. The error is marked with ErrRefused, ErrNotExecuted or ErrUnknown.
func (c *Committer) Submit(ctx context.Context, shard, key string, change Change) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(err, ErrNotExecuted)
	}
	r := &request{
		key: key, hash: xxhash.Sum64String(key), change: change,
		result: make(chan result, 1),
	}
	l := c.enqueue(shard, r)
	select {
	case got := <-r.result:
		return got.value, got.err
	case <-ctx.Done():
		return l.withdraw(ctx, r)
	}
}

// enqueue adds r to its lane and starts the lane if it is idle.
func (c *Committer) enqueue(shard string, r *request) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.lanes[shard]
	if !ok {
		c.evict()
		seed := rand.NewPCG(c.options.Seed, xxhash.Sum64String(shard))
		l = &lane{
			committer: c, shard: shard, random: rand.New(seed), seen: make([]uint64, c.options.Segments),
		}
		c.lanes[shard] = l
	}
	c.uses++
	l.used = c.uses
	l.add(r)
	return l
}

// evict forgets the idle shard that was used least recently if MaxShards are cached.
func (c *Committer) evict() {
	if len(c.lanes) < c.options.MaxShards {
		return
	}
	var oldest *lane
	for _, l := range c.lanes {
		if (oldest == nil || l.used < oldest.used) && l.idle() {
			oldest = l
		}
	}
	if oldest != nil {
		delete(c.lanes, oldest.shard)
	}
}

func (c *Committer) commitID() string {
	return fmt.Sprintf("%s/%d/%d", c.options.Instance, c.options.Incarnation, c.commits.Add(1))
}

func (c *Committer) retried(r refuser.RetryReason) {
	if c.Retried != nil {
		c.Retried(r)
	}
}
