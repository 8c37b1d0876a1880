package switcher

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes is the data that a direction takes before a write blocks.
const bufferBytes = 256 << 10

type chunk struct {
	data []byte
	at   time.Time // instant of arrival
}

// stream is one direction of a connection.
type stream struct {
	switcher *Switcher
	from, to string

	mu        sync.Mutex
	chunks    []chunk
	size      int
	sealed    bool  // the sender has closed
	broken    error // of every further use
	changed   chan struct{}
	readUntil time.Time
	writeTill time.Time
}

func newStream(s *Switcher, from, to string) *stream {
	return &stream{switcher: s, from: from, to: to, changed: make(chan struct{})}
}

// update changes the stream and wakes who waits.
func (r *stream) update(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(apply)
}

// wake is update with the mutex held.
func (r *stream) wake(apply func()) {
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *stream) stop(err error) {
	r.update(func() {
		if r.broken == nil {
			r.broken = err
		}
	})
}

// read takes data that has arrived.
func (r *stream) read(b []byte) (int, error) {
	for {
		stopped, thawed := r.switcher.stopped(r.to)
		held, _, healed := r.switcher.link(r.from, r.to)
		r.mu.Lock()
		var until time.Time
		switch now := time.Now(); {
		case r.broken != nil:
			defer r.mu.Unlock()
			return 0, r.broken
		case passed(r.readUntil, now):
			defer r.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case stopped || held:
		case len(r.chunks) > 0 && !r.chunks[0].at.After(now):
			defer r.mu.Unlock()
			return r.take(b), nil
		case len(r.chunks) > 0:
			until = r.chunks[0].at
		case r.sealed:
			defer r.mu.Unlock()
			return 0, io.EOF
		}
		changed := r.changed
		until = sooner(until, r.readUntil)
		r.mu.Unlock()
		wait(until, changed, thawed, healed)
	}
}

// take copies from the first chunk. The mutex is held.
func (r *stream) take(b []byte) int {
	n := copy(b, r.chunks[0].data)
	r.wake(func() {
		r.size -= n
		if r.chunks[0].data = r.chunks[0].data[n:]; len(r.chunks[0].data) == 0 {
			r.chunks = r.chunks[1:]
		}
	})
	return n
}

// write appends data once there is room.
func (r *stream) write(b []byte) (int, error) {
	for {
		stopped, thawed := r.switcher.stopped(r.from)
		_, delay, _ := r.switcher.link(r.from, r.to)
		r.mu.Lock()
		now := time.Now()
		switch {
		case r.broken != nil:
			defer r.mu.Unlock()
			return 0, r.broken
		case r.sealed:
			defer r.mu.Unlock()
			return 0, net.ErrClosed
		case passed(r.writeTill, now):
			defer r.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case !stopped && r.size < bufferBytes:
			defer r.mu.Unlock()
			at := now.Add(delay)
			if n := len(r.chunks); n > 0 && r.chunks[n-1].at.After(at) {
				at = r.chunks[n-1].at
			}
			r.wake(func() {
				r.chunks = append(r.chunks, chunk{append([]byte(nil), b...), at})
				r.size += len(b)
			})
			return len(b), nil
		}
		changed, until := r.changed, r.writeTill
		r.mu.Unlock()
		wait(until, changed, thawed, nil)
	}
}

func passed(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// sooner returns the earlier instant; zero stands for never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// wait returns at the instant, if it is not zero, or when a channel closes.
func wait(until time.Time, a, b, c <-chan struct{}) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-timeout:
	case <-a:
	case <-b:
	case <-c:
	}
}

// conn is one end of a connection.
type conn struct {
	switcher *Switcher
	local    string
	remote   string
	in, out  *stream
	once     sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

func (c *conn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.out.write(b)
	return n, c.wrap("write", err)
}

func (c *conn) wrap(operation string, err error) error {
	if err == nil || err == io.EOF { //nolint:errorlint // io.EOF is never wrapped here
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Close ends this side; the peer reads what was sent and then the end.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.switcher.forget(c)
		c.out.update(func() { c.out.sealed = true })
		c.in.stop(net.ErrClosed)
	})
	return nil
}

// reset ends both sides at once.
func (c *conn) reset() {
	c.in.stop(syscall.ECONNRESET)
	c.out.stop(syscall.ECONNRESET)
	_ = c.Close()
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readUntil = t })
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeTill = t })
	return nil
}
