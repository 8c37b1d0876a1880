package committer

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storer"
)

// errStale tells that the store answered with an older state than one seen before.
var errStale = errors.New("committer: store answered with an older state")

// cached is a segment's content at a version.
type cached struct {
	doc     document
	version uint64
	seenAt  clock.Millis // instant at which the version had been received
	readIn  uint64       // round in which the store answered with the version
}

// slot is what a lane knows of a sealed segment.
type slot struct {
	known  bool
	number uint64
	keys   keySet
}

// ring is what a lane knows of its shard.
type ring struct {
	slots []slot            // sealed segments, by slot
	open  uint64            // number of the newest segment
	full  bool              // the newest segment is sealed and no slot may be reused
	docs  map[uint64]cached // content of the newest segments, by number
}

// segments returns the length of the ring.
func (l *lane) segments() uint64 { return uint64(l.committer.options.Segments) }

// read gets a slot's object. A missing object is found == false.
func (l *lane) read(ctx context.Context, number uint64) (c cached, found bool, err error) {
	i := number % l.segments()
	ctx, cancel := context.WithTimeout(ctx, l.committer.options.CallTimeout.Duration())
	defer cancel()
	o, err := l.committer.store.Get(ctx, l.objectKey(number))
	if errors.Is(err, storer.ErrNotFound) && l.seen[i] == 0 {
		return cached{}, false, nil
	}
	if errors.Is(err, storer.ErrNotFound) {
		return cached{}, false, errStale
	}
	if err != nil {
		return cached{}, false, err
	}
	if o.Version < l.seen[i] {
		return cached{}, false, errStale
	}
	l.seen[i] = o.Version
	d, err := decodeDocument(o.Value)
	if err != nil {
		return cached{}, false, err
	}
	return cached{doc: d, version: o.Version, seenAt: l.committer.clock.Now(), readIn: l.rounds}, true, nil
}

func (l *lane) objectKey(number uint64) string {
	return fmt.Sprintf("%s/%d", l.shard, number%l.segments())
}

// loadRing reads every slot. It fails if the reads do not show one open
// segment after a complete row of sealed ones.
func (l *lane) loadRing(ctx context.Context) (*ring, error) {
	n := l.segments()
	g := &ring{slots: make([]slot, n), docs: map[uint64]cached{}}
	contents := make([]cached, n)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(l.committer.options.LoadReads)
	for i := range n {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err() // another read has failed
			}
			c, _, err := l.read(ctx, i)
			if c.doc.Sealed {
				g.slots[i] = slot{known: true, number: c.doc.Number, keys: c.doc.keys()}
				c.doc.Records = nil // a long ring does not fit in memory
			}
			contents[i] = c
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	newest := cached{doc: document{Records: map[string]record{}}, seenAt: l.committer.clock.Now()}
	for _, c := range contents {
		if c.version > 0 && c.doc.Number >= newest.doc.Number {
			newest = c
		}
	}
	g.open = newest.doc.Number
	if !newest.doc.Sealed {
		g.docs[g.open] = newest
	}
	for m := g.oldest(n); m < g.open; m++ {
		if s := g.slots[m%n]; !s.known || s.number != m {
			return nil, errStale
		}
	}
	return g, nil
}

// oldest returns the number of the oldest segment that the ring holds.
func (g *ring) oldest(segments uint64) uint64 {
	if g.open < segments {
		return 0
	}
	return g.open - segments + 1
}

// advance moves to the newest segment, and opens the next one if that is sealed.
func (l *lane) advance(ctx context.Context) error {
	g := l.ring
	for {
		c, err := l.fetch(ctx, g.open)
		if err != nil {
			return err
		}
		if !c.doc.Sealed {
			return nil
		}
		g.slots[g.open%l.segments()] = slot{known: true, number: g.open, keys: c.doc.keys()}
		next, err := l.nextSegment(ctx, c)
		if err != nil {
			return err
		}
		if g.full {
			return nil
		}
		g.open++
		g.docs[g.open] = next
		g.slots[g.open%l.segments()] = slot{}
		delete(g.docs, g.open-2)
	}
}

// nextSegment returns the segment after the sealed one, as another writer has
// opened it or as the first commit will create it. It sets full if the slot is
// still within retention.
func (l *lane) nextSegment(ctx context.Context, sealed cached) (cached, error) {
	number := sealed.doc.Number + 1
	c, found, err := l.read(ctx, number)
	if err != nil {
		return cached{}, err
	}
	if found && c.doc.Number == number {
		l.ring.full = false
		return c, nil
	}
	if found && c.doc.Number+l.segments() != number {
		l.ring = nil
		return cached{}, errStale
	}
	elapsed := sealed.doc.Elapsed + l.committer.clock.Now() - sealed.seenAt
	if found && elapsed-c.doc.SealedAt < l.committer.options.Retention {
		l.ring.full = true
		return cached{}, nil
	}
	l.ring.full = false
	empty := document{Number: number, Elapsed: sealed.doc.Elapsed, Records: map[string]record{}}
	return cached{doc: empty, version: c.version, seenAt: sealed.seenAt}, nil
}

// fetch returns the content of a segment, from the cache if it is there.
func (l *lane) fetch(ctx context.Context, number uint64) (cached, error) {
	if c, ok := l.ring.docs[number]; ok {
		return c, nil
	}
	return l.refresh(ctx, number)
}

// refresh reads a segment and caches it if it is among the newest.
func (l *lane) refresh(ctx context.Context, number uint64) (cached, error) {
	g := l.ring
	c, found, err := l.read(ctx, number)
	if err != nil {
		return cached{}, err
	}
	if known, ok := g.docs[number]; ok && c.version == known.version {
		known.readIn = l.rounds // also if the segment is prepared and not yet written
		return known, nil
	}
	if !found || c.doc.Number != number {
		l.ring = nil
		return cached{}, errStale
	}
	if number+1 >= g.open {
		g.docs[number] = c
	}
	return c, nil
}

// reason returns the retry reason for an error of the store.
func reason(err error) refuser.RetryReason {
	switch {
	case errors.Is(err, storer.ErrConflict), errors.Is(err, errStale):
		return refuser.RetryStoreRaced
	case errors.Is(err, storer.ErrUnknown):
		return refuser.RetryStoreLost
	default:
		return refuser.RetryStoreDown
	}
}
