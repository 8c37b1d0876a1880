package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/splitter"
	"rosemaryarch.example/rosemaryarch/spooler"
)

const (
	// slowWrite is the duration of a write from which the client counts as one that reads
	// slowly. Writes to clients that read were measured to take less than 1 ms.
	slowWrite = 50 * clock.Millis(1)
	// spoolChunk is the capacity in bytes of one part of a backlog, which is written at
	// once. It bounds the memory beyond the size of the events.
	spoolChunk = 8 << 10
	// serverBuffer is the size in bytes up to which the server of net/http holds a plain
	// response itself, so that writing it does not block.
	serverBuffer = 4 << 10
	// bodyPollInterval is the time between two checks of a plain response that waits for
	// its client. It is well below the half second in which both sides must end.
	bodyPollInterval = 100 * clock.Millis(1)
	// unreadLimit is the time from which a break of a response counts as caused by its
	// client, which has held back the reading for as long. Endpoints cut off a response that
	// stays unread for some seconds, so a shorter time cannot be the cause.
	unreadLimit = clock.Second
	// reasonTooSlow is the reason in the log of a response that was ended because its
	// client does not read it and the memory for such clients is used up.
	reasonTooSlow = string(refuser.DropClientTooSlow)
)

// Errors of writing to the client.
var (
	errNotWritten = errors.New("dispatcher: the response could not be written to the client")
	errTooSlow    = errors.New("dispatcher: the client reads too slowly")
)

// Roles of the goroutine that serves the request.
const (
	roleReading  = iota // it reads from the endpoint, and no other goroutine does
	roleWriting         // it writes an event; another goroutine may begin to read
	roleDraining        // it writes while another goroutine reads
)

// relay forwards the events of one response to the client.
//
// As long as the client reads, the goroutine that serves the request reads an event and
// writes it. If a write takes longer than slowWrite, the goroutine of a timer reads from the
// endpoint, and the serving goroutine writes what has been read. Once it has written
// everything, it takes over the next event and reads again.
//
// The goroutine that reads owns all fields, the response and the exchange, except for the
// backlog, which has a mutex, and the writer, which belongs to the serving goroutine.
type relay struct {
	send     *send
	ctx      context.Context
	splitter *splitter.Splitter
	first    bool         // no event has arrived
	waited   clock.Millis // for the endpoint, since its last event
	unread   clock.Millis // total time for which the client has held back the reading
	timer    *time.Timer  // runs readAhead; nil before the first write
	role     atomic.Int32
	size     int // of the event that is written directly
	backlog  backlog
}

func (s *send) newRelay(ctx context.Context) *relay {
	r := &relay{
		send: s, ctx: ctx, first: true, splitter: splitter.NewAfter(s.response, s.exchange.resumePosition()),
	}
	r.splitter.SetHold(s.response.Hold)
	r.backlog.changed.L = &r.backlog.mu
	return r
}

// write sends an event to the client. If another goroutine has read on in the meantime, it
// returns the next event, or the error with which the stream ended. Other errors are
// errNotWritten and errTooSlow.
func (r *relay) write(event []byte) (next []byte, err error) {
	r.size = len(event)
	// A late run of the timer for an earlier event may find this write in progress. Then
	// the other goroutine begins to read early, which does no harm.
	r.role.Store(roleWriting)
	if r.timer == nil {
		r.timer = time.AfterFunc(slowWrite.Duration(), r.readAhead)
	} else {
		r.timer.Reset(slowWrite.Duration())
	}
	returned := false
	defer func() {
		if !returned {
			r.abandon()
		}
	}()
	next, err = r.writeOrDrain(event)
	returned = true
	return next, err
}

// writeOrDrain writes an event, and the backlog if the timer has run.
func (r *relay) writeOrDrain(event []byte) (next []byte, err error) {
	written := r.send.exchange.writeEvent(event)
	if !r.role.CompareAndSwap(roleWriting, roleReading) {
		return r.drain(written)
	}
	r.timer.Stop()
	if !written {
		return nil, errNotWritten
	}
	return nil, nil
}

// abandon ends the reading goroutine during a panic of the serving one, which then goes on:
// the response, the exchange and the writer must not be used after the handler.
func (r *relay) abandon() {
	if r.role.CompareAndSwap(roleWriting, roleReading) {
		r.timer.Stop()
		return
	}
	b := &r.backlog
	b.open(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if !b.ended {
		r.send.response.Interrupt()
	}
	for !b.ended {
		b.changed.Wait()
	}
	b.account.Close()
	b.stop()
}

// drain writes the backlog until the reading goroutine has ended and everything is written,
// or until the client does not take it.
func (r *relay) drain(written bool) (next []byte, err error) {
	x, b := r.send.exchange, &r.backlog
	b.open(r)
	for size := r.size; written; {
		b.release(size)
		chunk := b.take()
		if chunk == nil {
			break
		}
		size = len(chunk)
		written = x.writeEvent(chunk)
	}
	if !written {
		r.send.response.Interrupt()
	}
	next, aborted, err := b.close(x)
	r.role.Store(roleReading)
	if !errors.Is(err, errTooSlow) && (aborted || !written) {
		return nil, errNotWritten
	}
	return next, err
}

// readAhead reads events into the backlog until the serving goroutine has written all of
// them, or until the stream ends. It runs in the goroutine of the timer.
func (r *relay) readAhead() {
	if !r.role.CompareAndSwap(roleWriting, roleDraining) {
		return
	}
	b := &r.backlog
	b.open(r)
	defer func() {
		if cause := recover(); cause != nil {
			b.panicked = cause // close passes it on to the serving goroutine
			b.end(errNotWritten)
		}
	}()
	r.splitter.Detach() // the serving goroutine still writes the last event
	for {
		event, err := r.next()
		if err != nil {
			b.end(err)
			return
		}
		if !r.spool(event) {
			return
		}
	}
}

// spool adds an event to the backlog as soon as the account allows it. It returns false if
// the goroutine must read no further.
func (r *relay) spool(event []byte) bool {
	x, b := r.send.exchange, &r.backlog
	before, begin := r.unread, x.now()
	for {
		if b.handOver(event) {
			return false
		}
		now := x.now()
		r.unread = before + now - begin
		switch b.account.Hold(now, len(event)) {
		case spooler.Granted:
			b.add(event)
			return true
		case spooler.TooSlow:
			x.abortWrite() // before the end, after which the handler may return
			b.end(errTooSlow)
			return false
		}
		select {
		case <-b.released:
		case <-time.After(pollInterval.Duration()): // other clients may have released bytes
		case <-r.ctx.Done():
			b.end(r.ctx.Err())
			return false
		}
	}
}

// backlog holds what one goroutine has read and another has not yet written.
type backlog struct {
	mu       sync.Mutex
	changed  sync.Cond
	account  *spooler.Backlog // nil: the backlog is not in use
	released chan struct{}    // receives after a part has been written
	stop     func() bool      // detaches the writer from the context, see context.AfterFunc
	chunks   [][]byte
	idle     bool   // the writer waits
	stopped  bool   // the writer writes no more
	ended    bool   // the reader has ended
	next     []byte // event that the reader leaves to the writer, valid until the next read
	err      error  // with which the reader ended
	panicked any    // cause of a panic of the reader; net/http recovers only in the serving goroutine
}

// open begins the use of the backlog, while an event is being written. The first of both
// goroutines does so. From then on, the end of the context ends the write: a client that has
// left, or whose deadline has passed, may never read what would let the write return.
func (b *backlog) open(r *relay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.account != nil {
		return
	}
	x := r.send.exchange
	b.account, b.released = x.dispatcher.options.Spooler.Open(), make(chan struct{}, 1)
	b.account.Add(r.size)
	b.stop = context.AfterFunc(r.ctx, x.abortWrite)
}

// add appends a copy of an event.
func (b *backlog) add(event []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.chunks); n > 0 && cap(b.chunks[n-1])-len(b.chunks[n-1]) >= len(event) {
		b.chunks[n-1] = append(b.chunks[n-1], event...)
	} else {
		b.chunks = append(b.chunks, append(make([]byte, 0, max(spoolChunk, len(event))), event...))
	}
	b.changed.Broadcast()
}

// handOver ends the reader if the writer has given up, or if it waits for an event, which
// it then gets without a copy.
func (b *backlog) handOver(event []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped && (!b.idle || len(b.chunks) > 0) {
		return false
	}
	b.next, b.ended = event, true
	b.changed.Broadcast()
	return true
}

// end ends the reader with an error.
func (b *backlog) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err, b.ended = err, true
	b.changed.Broadcast()
}

// take waits for a part to write. It returns nil if the reader has ended and everything is
// written, or if nothing more is to be written.
func (b *backlog) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.chunks) == 0 && !b.ended {
		b.idle = true
		b.changed.Wait()
		b.idle = false
	}
	if len(b.chunks) == 0 || errors.Is(b.err, errTooSlow) {
		return nil
	}
	chunk := b.chunks[0]
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	return chunk
}

// release stops counting bytes that have been written.
func (b *backlog) release(size int) {
	b.account.Release(size)
	select {
	case b.released <- struct{}{}:
	default:
	}
}

// close waits until the reader has ended and returns what it has left, and its error.
// aborted means that the context has ended, so that the client lacks a part.
func (b *backlog) close(x *exchange) (next []byte, aborted bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for !b.ended {
		b.changed.Wait()
	}
	b.account.Close()
	if b.panicked != nil {
		panic(b.panicked)
	}
	x.heldMax = max(x.heldMax, b.account.Most())
	next, aborted, err = b.next, !b.stop(), b.err
	b.account, b.chunks, b.next, b.err = nil, nil, nil, nil
	b.stopped, b.ended = false, false
	return next, aborted, err
}

// abortWrite ends a write to the client that is in progress, and all later ones. The
// response is then incomplete.
func (x *exchange) abortWrite() {
	// Not every writer has a deadline; that of the server of net/http has.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Unix(1, 0))
}

// bodyWatch counts a complete response while its client takes long to read it.
type bodyWatch struct {
	exchange *exchange
	size     int
	timer    *time.Timer
	written  chan struct{} // closed after the write
	ended    chan struct{} // closed when the goroutine of the timer has ended
	aborted  bool          // the write was ended
}

// writeWatched writes a body, watched for a client that takes long to read it, and reports
// whether that succeeded. The watch uses the exchange, so it also ends if the write panics.
func (x *exchange) writeWatched(body []byte) (written bool) {
	watch := x.watchBody(len(body))
	defer func() { written = watch.stop() && written }()
	_, err := x.writer.Write(body)
	return err == nil
}

// watchBody begins to watch the write of a body of the given size.
func (x *exchange) watchBody(size int) *bodyWatch {
	if size <= serverBuffer {
		return nil
	}
	w := &bodyWatch{exchange: x, size: size, written: make(chan struct{}), ended: make(chan struct{})}
	w.timer = time.AfterFunc(slowWrite.Duration(), w.run)
	return w
}

// stop ends the watch after the write, and reports whether the write was not aborted.
func (w *bodyWatch) stop() bool {
	if w == nil || w.timer.Stop() {
		return true
	}
	close(w.written)
	<-w.ended
	return !w.aborted
}

func (w *bodyWatch) run() {
	x := w.exchange
	defer close(w.ended)
	account := x.dispatcher.options.Spooler.Open()
	defer account.Close()
	account.Add(w.size)
	x.heldMax = max(x.heldMax, w.size)
	for {
		now := x.now()
		tooSlow := account.Hold(now, 0) == spooler.TooSlow
		if tooSlow || now >= x.clientDeadline || clientLeft(x.request.Context()) {
			if tooSlow {
				x.reason = reasonTooSlow
				x.dispatcher.options.Meter.CountDrop(refuser.DropClientTooSlow)
			}
			x.status, w.aborted = 0, true
			x.abortWrite()
			return
		}
		select {
		case <-w.written:
			return
		case <-time.After(bodyPollInterval.Duration()):
		}
	}
}
