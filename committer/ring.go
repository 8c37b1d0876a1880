package committer

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// errStale states that the store answered with an older state than one seen
// before, or with states of different age.
var errStale = errors.New("committer: store answered with an older state")

// cachedSegment is the content of a segment at a version of its object.
type cachedSegment struct {
	content    segment
	version    uint64       // 0 if the object does not exist
	receivedAt clock.Millis // when the version was received, or earlier
	readRound  uint64       // last round in which the store answered with the version
}

// sealedSegment is the cached state of a sealed segment.
type sealedSegment struct {
	known  bool // false if the slot holds no sealed segment
	number uint64
	keys   keySet
}

// ring is the cached state of a shard.
type ring struct {
	sealed   []sealedSegment          // sealed segments, by slot
	newest   uint64                   // number of the newest segment
	full     bool                     // the newest segment is sealed and no slot may be reused
	segments map[uint64]cachedSegment // contents of the newest segments, by number
}

// ringSize returns the number of slots of the ring.
func (w *shardWorker) ringSize() uint64 { return uint64(w.committer.options.Segments) }

// read reads the object in the slot of segment number. found is false if the
// object does not exist.
func (w *shardWorker) read(ctx context.Context, number uint64) (c cachedSegment, found bool, err error) {
	i := number % w.ringSize()
	ctx, cancel := context.WithTimeout(ctx, w.committer.options.CallTimeout.Duration())
	defer cancel()
	o, err := w.committer.store.Get(ctx, w.objectKey(number))
	if errors.Is(err, storeclient.ErrNotFound) && w.maxVersions[i] == 0 {
		return cachedSegment{}, false, nil
	}
	if errors.Is(err, storeclient.ErrNotFound) {
		return cachedSegment{}, false, errStale
	}
	if err != nil {
		return cachedSegment{}, false, err
	}
	if o.Version < w.maxVersions[i] {
		return cachedSegment{}, false, errStale
	}
	w.maxVersions[i] = o.Version
	s, err := decodeSegment(o.Value)
	if err != nil {
		return cachedSegment{}, false, err
	}
	return cachedSegment{
		content: s, version: o.Version, receivedAt: w.committer.clock.Now(), readRound: w.roundCount,
	}, true, nil
}

func (w *shardWorker) objectKey(number uint64) string {
	return fmt.Sprintf("%s/%d", w.shard, number%w.ringSize())
}

// loadRing reads every slot. It fails with errStale unless all segments between
// the oldest and the newest one are present and sealed.
func (w *shardWorker) loadRing(ctx context.Context) (*ring, error) {
	n := w.ringSize()
	g := &ring{sealed: make([]sealedSegment, n), segments: map[uint64]cachedSegment{}}
	contents := make([]cachedSegment, n)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(w.committer.options.LoadReads)
	for i := range n {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err() // another read has failed
			}
			c, _, err := w.read(ctx, i)
			if c.content.Sealed {
				g.sealed[i] = sealedSegment{known: true, number: c.content.Number, keys: c.content.keys()}
				c.content.Records = nil // the records of a long ring do not fit in memory
			}
			contents[i] = c
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	newest := cachedSegment{content: segment{Records: map[string]record{}}, receivedAt: w.committer.clock.Now()}
	for _, c := range contents {
		if c.version > 0 && c.content.Number >= newest.content.Number {
			newest = c
		}
	}
	g.newest = newest.content.Number
	if !newest.content.Sealed {
		g.segments[g.newest] = newest
	}
	for m := g.oldest(n); m < g.newest; m++ {
		if s := g.sealed[m%n]; !s.known || s.number != m {
			return nil, errStale
		}
	}
	return g, nil
}

// oldest returns the number of the oldest segment in a ring with the given number
// of slots.
func (g *ring) oldest(segments uint64) uint64 {
	if g.newest < segments {
		return 0
	}
	return g.newest - segments + 1
}

// advance updates the ring to the newest segment, and opens the next one if the
// newest is sealed.
func (w *shardWorker) advance(ctx context.Context) error {
	g := w.ring
	for {
		c, err := w.fetch(ctx, g.newest)
		if err != nil {
			return err
		}
		if !c.content.Sealed {
			return nil
		}
		g.sealed[g.newest%w.ringSize()] = sealedSegment{known: true, number: g.newest, keys: c.content.keys()}
		next, err := w.nextSegment(ctx, c)
		if err != nil {
			return err
		}
		if g.full {
			return nil
		}
		g.newest++
		g.segments[g.newest] = next
		g.sealed[g.newest%w.ringSize()] = sealedSegment{}
		delete(g.segments, g.newest-2)
	}
}

// nextSegment returns the segment after the sealed one: that of another writer if
// it has opened it, or else an empty one for the first commit. It sets full if the
// slot holds a segment within retention.
func (w *shardWorker) nextSegment(ctx context.Context, sealed cachedSegment) (cachedSegment, error) {
	number := sealed.content.Number + 1
	c, found, err := w.read(ctx, number)
	if err != nil {
		return cachedSegment{}, err
	}
	if found && c.content.Number == number {
		w.ring.full = false
		return c, nil
	}
	if found && c.content.Number+w.ringSize() != number {
		w.ring = nil
		return cachedSegment{}, errStale
	}
	elapsed := sealed.content.Elapsed + w.committer.clock.Now() - sealed.receivedAt
	if found && elapsed-c.content.SealedAt < w.committer.options.Retention {
		w.ring.full = true
		return cachedSegment{}, nil
	}
	w.ring.full = false
	empty := segment{Number: number, Elapsed: sealed.content.Elapsed, Records: map[string]record{}}
	return cachedSegment{content: empty, version: c.version, receivedAt: sealed.receivedAt}, nil
}

// fetch returns the content of a segment, from the cache if it is there.
func (w *shardWorker) fetch(ctx context.Context, number uint64) (cachedSegment, error) {
	if c, ok := w.ring.segments[number]; ok {
		return c, nil
	}
	return w.refresh(ctx, number)
}

// refresh reads a segment and caches it if it is among the newest.
func (w *shardWorker) refresh(ctx context.Context, number uint64) (cachedSegment, error) {
	g := w.ring
	c, found, err := w.read(ctx, number)
	if err != nil {
		return cachedSegment{}, err
	}
	if known, ok := g.segments[number]; ok && c.version == known.version {
		known.readRound = w.roundCount // also for an empty segment that is not yet written
		return known, nil
	}
	if !found || c.content.Number != number {
		w.ring = nil
		return cachedSegment{}, errStale
	}
	if number+1 >= g.newest {
		g.segments[number] = c
	}
	return c, nil
}

// retryReason maps an error of a store call to a retry reason.
func retryReason(err error) refuser.RetryReason {
	switch {
	case errors.Is(err, storeclient.ErrConflict), errors.Is(err, errStale):
		return refuser.RetryStoreConflict
	case errors.Is(err, storeclient.ErrUnknown):
		return refuser.RetryStoreAnswerLost
	default:
		return refuser.RetryStoreDown
	}
}
