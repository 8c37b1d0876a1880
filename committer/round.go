package committer

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/storeclient"
)

// segmentOverheadBytes is the space reserved in an object for everything except
// the records.
const segmentOverheadBytes = 16 << 10

// answer is the result of a request in a batch, valid once the batch is committed.
type answer struct {
	request *request
	result  result
	writes  bool // the request changes the segment
}

// round commits the waiting requests that share a segment with the first one. It
// reports whether the next round may start without a backoff.
func (w *shardWorker) round(ctx context.Context, waiting []*request) bool {
	err := w.tryRound(ctx, waiting)
	if err == nil {
		w.failures = 0
		return true
	}
	w.committer.notifyRetry(retryReason(err))
	if errors.Is(err, storeclient.ErrConflict) && w.failures == 0 {
		w.failures = 1 // only a second consecutive conflict backs off
		return true
	}
	return false
}

func (w *shardWorker) tryRound(ctx context.Context, waiting []*request) error {
	w.roundCount++
	if w.ring == nil {
		g, err := w.loadRing(ctx)
		if err != nil {
			return err
		}
		w.ring = g
	}
	if err := w.advance(ctx); err != nil {
		return err
	}
	number := w.targetSegment(waiting[0])
	var batch []*request
	for _, r := range waiting {
		if w.targetSegment(r) == number {
			batch = append(batch, r)
		}
	}
	c, err := w.fetch(ctx, number)
	if err != nil {
		return err
	}
	return w.commit(ctx, number, c, batch)
}

// targetSegment returns the number of the sealed segment that holds the request's
// key, or of the newest segment if none does.
func (w *shardWorker) targetSegment(r *request) uint64 {
	g, n := w.ring, w.ringSize()
	for r.absentBelow = max(r.absentBelow, g.oldest(n)); r.absentBelow < g.newest; r.absentBelow++ {
		if g.sealed[r.absentBelow%n].keys.has(r.keyHash) {
			return r.absentBelow
		}
	}
	return g.newest
}

// commit applies the batch to the segment and writes the segment if it has
// changed. A result that changes nothing is returned to the submitter only if the
// content was read in this round or is confirmed by the write.
func (w *shardWorker) commit(ctx context.Context, number uint64, c cachedSegment, batch []*request) error {
	o := w.committer.options
	id := w.committer.commitID()
	next := c.content.next(id, o.KeptCommits, c.content.Elapsed+w.committer.clock.Now()-c.receivedAt)
	d := draft{
		segment: next, options: o, isNewest: number == w.ring.newest, full: number == w.ring.newest && w.ring.full,
		reserved: next.reservedSize(),
	}
	batch = w.markInFlight(batch)
	for _, r := range batch {
		d.apply(r)
	}
	next, answers := d.segment, d.answers
	writers := d.writers()
	w.resetInFlight(batch, writers)
	if !d.changed && c.readRound != w.roundCount {
		fresh, err := w.refresh(ctx, number)
		if err != nil {
			return err
		}
		return w.commit(ctx, number, fresh, batch)
	}
	if !d.changed {
		w.respondAll(answers, nil)
		return nil
	}
	outcome, err := w.write(ctx, c, next, id, writers)
	if outcome == committed {
		w.respondAll(answers, nil)
		return nil
	}
	if outcome != notExecuted {
		delete(w.ring.segments, number)
	}
	if outcome == undetermined {
		w.respondAll(writingAnswers(answers), errors.Mark(err, ErrUnknown))
		return nil
	}
	w.resetInFlight(writers, nil)
	return err
}

// draft is the content of a segment while a batch is applied to it.
type draft struct {
	segment
	options  Options
	isNewest bool // this is the newest segment, which takes new records unless sealed
	full     bool // this is the newest segment, it is sealed and no slot may be reused
	reserved int  // reserved size of the records, in bytes
	answers  []answer
	changed  bool
}

// apply applies one change. A request without an answer stays pending.
func (d *draft) apply(r *request) {
	old, ok := d.Records[r.key]
	switch {
	case !ok && !d.isNewest:
		r.absentBelow = d.Number + 1 // hash collision with another key
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
		d.put(r, old, ok, record{Value: value, Reserve: r.change.ReserveBytes})
	}
}

// put stores the record if it fits. It seals the segment if a new record does not
// fit.
func (d *draft) put(r *request, old record, ok bool, updated record) {
	growth := updated.reservedSize(r.key)
	if ok {
		growth -= old.reservedSize(r.key)
	}
	switch {
	case !ok && len(d.Records) > 0 && d.reserved+growth > d.options.SegmentBytes:
		d.Sealed, d.SealedAt = true, d.Elapsed
		d.changed = true
	case d.reserved+growth > d.options.MaxBytes-segmentOverheadBytes:
		d.answer(r, nil, errors.Mark(ErrTooLarge, ErrNotExecuted))
	default:
		d.reserved += growth
		d.Records[r.key] = updated
		d.changed = true
		d.answers = append(d.answers, answer{request: r, result: result{value: updated.Value}, writes: true})
	}
}

func (d *draft) answer(r *request, value []byte, err error) {
	d.answers = append(d.answers, answer{request: r, result: result{value: value, err: err}})
}

// writers returns the requests that change the segment.
func (d *draft) writers() []*request {
	var w []*request
	for _, a := range d.answers {
		if a.writes {
			w = append(w, a.request)
		}
	}
	return w
}

// respondAll sends the answers to the submitters, or err to each if err is not nil.
func (w *shardWorker) respondAll(answers []answer, err error) {
	for _, a := range answers {
		if err != nil {
			a.result = result{err: err}
		}
		w.respond(a.request, a.result.value, a.result.err)
	}
}

// writingAnswers returns the answers of the requests that change the segment.
func writingAnswers(answers []answer) []answer {
	var w []answer
	for _, a := range answers {
		if a.writes {
			w = append(w, a)
		}
	}
	return w
}

// write replaces c by next in the store. While the outcome is in doubt, it
// repeats the same write and reads the segment until one of them resolves the
// outcome, or until no submitter of the batch waits.
func (w *shardWorker) write(
	ctx context.Context, c cachedSegment, next segment, id string, batch []*request,
) (writeOutcome, error) {
	value, err := next.encode()
	if err != nil {
		return notExecuted, err
	}
	inDoubt := false
	for {
		version, err := w.put(ctx, next.Number, value, c.version)
		switch {
		case err == nil:
			w.cacheSegment(cachedSegment{content: next, version: version, receivedAt: w.committer.clock.Now()})
			return committed, nil
		case !inDoubt && errors.Is(err, storeclient.ErrConflict):
			return notCommitted, err
		case !inDoubt && (errors.Is(err, storeclient.ErrUnavailable) || errors.Is(err, storeclient.ErrTooLarge)):
			return notExecuted, err
		}
		inDoubt = true
		w.committer.notifyRetry(retryReason(err))
		v, resolved := w.resolve(ctx, c, next, id, batch)
		if resolved {
			return v, err
		}
	}
}

// resolve reads the segment until the store answers. If the object still has the
// expected version, the write must be repeated and resolved is false. A later
// version resolves the outcome. resolve gives up with undetermined if no submitter
// of the batch waits.
func (w *shardWorker) resolve(
	ctx context.Context, c cachedSegment, next segment, id string, batch []*request,
) (v writeOutcome, resolved bool) {
	for {
		w.backOff(ctx)
		if w.allClosed(batch) {
			return undetermined, true
		}
		current, found, err := w.read(ctx, next.Number)
		if err != nil {
			w.committer.notifyRetry(retryReason(err))
			continue
		}
		if !found && c.version == 0 || found && current.version == c.version {
			return undetermined, false
		}
		v := current.content.outcomeOf(next.Number, next.Serial, id)
		if v == committed {
			w.cacheSegment(current)
		}
		return v, true
	}
}

func (w *shardWorker) put(ctx context.Context, number uint64, value []byte, expect uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.committer.options.CallTimeout.Duration())
	defer cancel()
	return w.committer.store.Put(ctx, w.objectKey(number), value, expect)
}

// cacheSegment records the version of a segment, and caches its content if it is
// one of the two newest.
func (w *shardWorker) cacheSegment(c cachedSegment) {
	i := c.content.Number % w.ringSize()
	w.maxVersions[i] = max(w.maxVersions[i], c.version)
	if c.content.Number+1 >= w.ring.newest {
		w.ring.segments[c.content.Number] = c
	}
}
