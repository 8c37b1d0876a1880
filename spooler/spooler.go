package spooler

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// freeBytes is what each caller may hold without a share of the account, so that those
	// who hold much do not affect the others. Most responses are shorter.
	freeBytes = 64 << 10
	// callerShare is the part of what the other callers leave free that one caller may
	// hold. A single caller can then not use up the account.
	callerShare = 0.25
	// fullShare is the part of the account below which the free rest counts as none. A
	// caller that becomes slow would get a quarter of it, that is, a thirty-second of the
	// account.
	fullShare = 0.125
	// patience is the time for which the account must be full for a waiting caller before
	// its response is ended. Endpoints cut off responses that stay unread for some seconds.
	patience = 2 * clock.Second
)

// Verdict is the result of a request to hold more bytes.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	// Wait means that the endpoint must not be read for now.
	Wait
	// TooSlow means that the response must be ended: the account has been full for too
	// long, and no waiting caller holds more.
	TooSlow
)

// Spooler is the account of all callers. It is safe for concurrent use.
type Spooler struct {
	limit int

	mu      sync.Mutex
	used    int                   // bytes beyond those that are free
	held    int                   // all bytes
	waiting map[*Backlog]struct{} // callers whose last request was not granted
}

// New returns an account of limit bytes in addition to those that each caller may hold
// freely.
func New(limit int64) *Spooler {
	return &Spooler{limit: int(limit), waiting: make(map[*Backlog]struct{})}
}

// Held returns the number of bytes that all callers hold.
func (s *Spooler) Held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.held)
}

// Open returns the empty backlog of one caller. It must be closed.
func (s *Spooler) Open() *Backlog { return &Backlog{spooler: s} }

// Backlog is what one caller holds. It is safe for concurrent use.
type Backlog struct {
	spooler   *Spooler
	held      int
	most      int
	fullKnown bool         // the account is full, and the caller waits for it
	fullSince clock.Millis // start of that time
	closed    bool
}

// Hold asks for n more bytes, which are counted if the verdict is Granted. With n = 0 it
// asks about those that the caller holds already.
func (b *Backlog) Hold(now clock.Millis, n int) Verdict {
	s := b.spooler
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.closed {
		return Wait
	}
	own, more := shared(b.held), shared(b.held+n)
	if more == 0 || float64(more) <= callerShare*float64(s.limit-(s.used-own)) {
		b.fullKnown = false
		delete(s.waiting, b)
		s.resize(b, b.held+n)
		return Granted
	}
	s.waiting[b] = struct{}{}
	if float64(s.limit-s.used) >= fullShare*float64(s.limit) {
		b.fullKnown = false
		return Wait
	}
	if !b.fullKnown {
		b.fullKnown, b.fullSince = true, now
	}
	if now-b.fullSince < patience {
		return Wait
	}
	for o := range s.waiting {
		if o.held > b.held {
			return Wait
		}
	}
	return TooSlow
}

// Add counts n bytes that are in memory already, whatever is free.
func (b *Backlog) Add(n int) {
	s := b.spooler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !b.closed {
		s.resize(b, b.held+n)
	}
}

// Release stops counting n bytes, which have been written.
func (b *Backlog) Release(n int) { b.Add(-n) }

// Close stops counting all bytes of the caller. A second call does nothing.
func (b *Backlog) Close() {
	s := b.spooler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resize(b, 0)
	delete(s.waiting, b)
	b.closed = true
}

// Most returns the largest number of bytes held at one time.
func (b *Backlog) Most() int {
	b.spooler.mu.Lock()
	defer b.spooler.mu.Unlock()
	return b.most
}

// resize changes what b holds. The mutex must be held.
func (s *Spooler) resize(b *Backlog, to int) {
	s.used += shared(to) - shared(b.held)
	s.held += to - b.held
	b.held, b.most = to, max(b.most, to)
}

// shared returns the part of the held bytes that belongs to the account.
func shared(held int) int { return max(0, held-freeBytes) }
