package networkemulator

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes is the buffer size of a direction. A write blocks while the buffer
// holds as much or more; a single write may exceed it.
const bufferBytes = 256 << 10

// chunk is the data of one write.
type chunk struct {
	data []byte
	at   time.Time // instant from which it can be read
}

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string

	mu            sync.Mutex
	chunks        []chunk
	size          int           // bytes in chunks
	closed        bool          // the sending side is closed
	err           error         // returned by all further reads and writes
	changed       chan struct{} // closed and replaced at each change
	readDeadline  time.Time
	writeDeadline time.Time
}

func newStream(n *Network, from, to string) *stream {
	return &stream{network: n, from: from, to: to, changed: make(chan struct{})}
}

// update changes the stream and wakes the blocked readers and writers.
func (s *stream) update(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLocked(apply)
}

// updateLocked is update for callers that hold the mutex.
func (s *stream) updateLocked(apply func()) {
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail makes all further reads and writes return err, unless an earlier call has set
// another error.
func (s *stream) fail(err error) {
	s.update(func() {
		if s.err == nil {
			s.err = err
		}
	})
}

// read waits for data to arrive and copies it to b. It returns io.EOF after the
// data of a closed stream.
func (s *stream) read(b []byte) (int, error) {
	for {
		frozen, nodeChanged := s.network.nodeState(s.to)
		cut, _, linkChanged := s.network.linkState(s.from, s.to)
		s.mu.Lock()
		var until time.Time
		switch now := time.Now(); {
		case s.err != nil:
			defer s.mu.Unlock()
			return 0, s.err
		case expired(s.readDeadline, now):
			defer s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case frozen || cut:
		case len(s.chunks) > 0 && !s.chunks[0].at.After(now):
			defer s.mu.Unlock()
			return s.take(b), nil
		case len(s.chunks) > 0:
			until = s.chunks[0].at
		case s.closed:
			defer s.mu.Unlock()
			return 0, io.EOF
		}
		changed := s.changed
		until = earlier(until, s.readDeadline)
		s.mu.Unlock()
		wait(until, changed, nodeChanged, linkChanged)
	}
}

// take copies data of the first chunk to b. The mutex must be held.
func (s *stream) take(b []byte) int {
	n := copy(b, s.chunks[0].data)
	s.updateLocked(func() {
		s.size -= n
		if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
			s.chunks = s.chunks[1:]
		}
	})
	return n
}

// write waits for room in the buffer and appends b, to arrive after the delay of
// the link but not before earlier data.
func (s *stream) write(b []byte) (int, error) {
	for {
		frozen, nodeChanged := s.network.nodeState(s.from)
		_, delay, _ := s.network.linkState(s.from, s.to)
		s.mu.Lock()
		now := time.Now()
		switch {
		case s.err != nil:
			defer s.mu.Unlock()
			return 0, s.err
		case s.closed:
			defer s.mu.Unlock()
			return 0, net.ErrClosed
		case expired(s.writeDeadline, now):
			defer s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case !frozen && s.size < bufferBytes:
			defer s.mu.Unlock()
			at := now.Add(delay)
			if n := len(s.chunks); n > 0 && s.chunks[n-1].at.After(at) {
				at = s.chunks[n-1].at
			}
			s.updateLocked(func() {
				s.chunks = append(s.chunks, chunk{append([]byte(nil), b...), at})
				s.size += len(b)
			})
			return len(b), nil
		}
		changed, until := s.changed, s.writeDeadline
		s.mu.Unlock()
		wait(until, changed, nodeChanged, nil)
	}
}

// expired reports whether deadline is set and reached.
func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// earlier returns the earlier instant; the zero time stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// wait returns at the instant until, unless it is zero, or when one of the
// channels is closed.
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
	network *Network
	local   string // node of this end
	remote  string // dialled address, or node of the dialling end
	in, out *stream
	once    sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.in.read(b)
	return n, c.opError("read", err)
}

func (c *conn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.out.write(b)
	return n, c.opError("write", err)
}

// opError wraps err like the connections of package net.
func (c *conn) opError(operation string, err error) error {
	if err == nil || err == io.EOF { //nolint:errorlint // io.EOF is never wrapped here
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Close closes this end. The peer can still read the data that was sent, followed
// by io.EOF.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.removeConn(c)
		c.out.update(func() { c.out.closed = true })
		c.in.fail(net.ErrClosed)
	})
	return nil
}

// reset makes both ends fail with ECONNRESET at once; unread data is lost.
func (c *conn) reset() {
	c.in.fail(syscall.ECONNRESET)
	c.out.fail(syscall.ECONNRESET)
	_ = c.Close()
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}
