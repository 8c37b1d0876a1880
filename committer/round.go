package committer

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/storer"
)

// fixedBytes is the room kept in an object for what is not a record.
const fixedBytes = 16 << 10

// answer is the outcome of a request within a batch that is not yet committed.
type answer struct {
	request *request
	result  result
	writes  bool
}

// round commits the waiting requests that share a segment with the first one.
// It reports whether it made progress.
func (l *lane) round(ctx context.Context, waiting []*request) bool {
	err := l.tryRound(ctx, waiting)
	if err == nil {
		l.failures = 0
		return true
	}
	l.committer.retried(reason(err))
	if errors.Is(err, storer.ErrConflict) && l.failures == 0 {
		l.failures = 1 // the next conflict in a row pauses
		return true
	}
	return false
}

func (l *lane) tryRound(ctx context.Context, waiting []*request) error {
	l.rounds++
	if l.ring == nil {
		g, err := l.loadRing(ctx)
		if err != nil {
			return err
		}
		l.ring = g
	}
	if err := l.advance(ctx); err != nil {
		return err
	}
	number := l.target(waiting[0])
	var batch []*request
	for _, r := range waiting {
		if l.target(r) == number {
			batch = append(batch, r)
		}
	}
	c, err := l.fetch(ctx, number)
	if err != nil {
		return err
	}
	return l.commit(ctx, number, c, batch)
}

// target returns the number of the segment that holds the request's key, or of
// the newest one if no sealed segment holds it.
func (l *lane) target(r *request) uint64 {
	g, n := l.ring, l.segments()
	for r.lacked = max(r.lacked, g.oldest(n)); r.lacked < g.open; r.lacked++ {
		if g.slots[r.lacked%n].keys.has(r.hash) {
			return r.lacked
		}
	}
	return g.open
}

// commit applies the batch to the segment and writes it if that changes it. An
// outcome that changes nothing is given out only on a content read in this
// round or confirmed by the write.
func (l *lane) commit(ctx context.Context, number uint64, c cached, batch []*request) error {
	o := l.committer.options
	id := l.committer.commitID()
	next := c.doc.next(id, o.KeptCommits, c.doc.Elapsed+l.committer.clock.Now()-c.seenAt)
	d := draft{
		document: next, options: o, open: number == l.ring.open, full: number == l.ring.open && l.ring.full,
		load: next.load(),
	}
	batch = l.launch(batch)
	for _, r := range batch {
		d.apply(r)
	}
	next, answers := d.document, d.answers
	writers := d.writers()
	l.land(batch, writers)
	if !d.changed && c.readIn != l.rounds {
		fresh, err := l.refresh(ctx, number)
		if err != nil {
			return err
		}
		return l.commit(ctx, number, fresh, batch)
	}
	if !d.changed {
		l.settle(answers, nil)
		return nil
	}
	verdict, err := l.write(ctx, c, next, id, writers)
	if verdict == committed {
		l.settle(answers, nil)
		return nil
	}
	if verdict != unavailable {
		delete(l.ring.docs, number)
	}
	if verdict == undecided {
		l.settle(writing(answers), errors.Mark(err, ErrUnknown))
		return nil
	}
	l.land(writers, nil)
	return err
}

// draft is the content of a segment while a batch is applied to it.
type draft struct {
	document
	options Options
	open    bool // the newest segment, which takes new records unless sealed
	full    bool // no segment takes new records
	load    int
	answers []answer
	changed bool
}

// apply runs one change. A request without an answer stays pending.
func (d *draft) apply(r *request) {
	old, ok := d.Records[r.key]
	switch {
	case !ok && !d.open:
		r.lacked = d.Number + 1 // the hash is that of another key
		return
	case !ok && d.Sealed && !d.full:
		return
	}
	value, err := r.change.Apply(old.Value)
	switch {
	case err != nil:
		d.answer(r, nil, errors.Mark(err, ErrRefused))
	case value == nil || ok && bytes.Equal(value, old.Value):
		d.answer(r, old.Value, nil)
	case !ok && d.full:
		d.answer(r, nil, errors.Mark(ErrFull, ErrNotExecuted))
	default:
		d.put(r, old, ok, record{Value: value, Reserve: r.change.Reserve})
	}
}

// put stores the record if there is room. It seals the segment if a new record
// finds none.
func (d *draft) put(r *request, old record, ok bool, grown record) {
	growth := grown.cost(r.key)
	if ok {
		growth -= old.cost(r.key)
	}
	switch {
	case !ok && len(d.Records) > 0 && d.load+growth > d.options.SegmentBytes:
		d.Sealed, d.SealedAt = true, d.Elapsed
		d.changed = true
	case d.load+growth > d.options.MaxBytes-fixedBytes:
		d.answer(r, nil, errors.Mark(ErrTooLarge, ErrNotExecuted))
	default:
		d.load += growth
		d.Records[r.key] = grown
		d.changed = true
		d.answers = append(d.answers, answer{request: r, result: result{value: grown.Value}, writes: true})
	}
}

func (d *draft) answer(r *request, value []byte, err error) {
	d.answers = append(d.answers, answer{request: r, result: result{value: value, err: err}})
}

// writers returns the requests that the write would carry out.
func (d *draft) writers() []*request {
	var w []*request
	for _, a := range d.answers {
		if a.writes {
			w = append(w, a.request)
		}
	}
	return w
}

// settle hands out the answers, or err to each if it is not nil.
func (l *lane) settle(answers []answer, err error) {
	for _, a := range answers {
		if err != nil {
			a.result = result{err: err}
		}
		l.finish(a.request, a.result.value, a.result.err)
	}
}

func writing(answers []answer) []answer {
	var w []answer
	for _, a := range answers {
		if a.writes {
			w = append(w, a)
		}
	}
	return w
}

// write puts next in place of c. While the outcome is in doubt, it repeats the
// same write and reads until one of them settles it, or until no submitter of
// the batch waits.
func (l *lane) write(ctx context.Context, c cached, next document, id string, batch []*request) (verdict, error) {
	value, err := next.encode()
	if err != nil {
		return unavailable, err
	}
	inDoubt := false
	for {
		version, err := l.put(ctx, next.Number, value, c.version)
		switch {
		case err == nil:
			l.adopt(cached{doc: next, version: version, seenAt: l.committer.clock.Now()})
			return committed, nil
		case !inDoubt && errors.Is(err, storer.ErrConflict):
			return lost, err
		case !inDoubt && (errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrTooLarge)):
			return unavailable, err
		}
		inDoubt = true
		l.committer.retried(reason(err))
		v, settled := l.resolve(ctx, c, next, id, batch)
		if settled {
			return v, err
		}
	}
}

// resolve reads until it finds the expected version still in place, so that
// the write must be repeated (settled == false), or a later one, which settles
// the outcome.
func (l *lane) resolve(
	ctx context.Context, c cached, next document, id string, batch []*request,
) (v verdict, settled bool) {
	for {
		l.backOff(ctx)
		if l.deserted(batch) {
			return undecided, true
		}
		now, found, err := l.read(ctx, next.Number)
		if err != nil {
			l.committer.retried(reason(err))
			continue
		}
		if !found && c.version == 0 || found && now.version == c.version {
			return undecided, false
		}
		v := now.doc.verdict(next.Number, next.Serial, id)
		if v == committed {
			l.adopt(now)
		}
		return v, true
	}
}

func (l *lane) put(ctx context.Context, number uint64, value []byte, expect uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.committer.options.CallTimeout.Duration())
	defer cancel()
	return l.committer.store.Put(ctx, l.objectKey(number), value, expect)
}

// adopt caches a segment if it is among the newest.
func (l *lane) adopt(c cached) {
	i := c.doc.Number % l.segments()
	l.seen[i] = max(l.seen[i], c.version)
	if c.doc.Number+1 >= l.ring.open {
		l.ring.docs[c.doc.Number] = c
	}
}
