package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Sentinels of a failed exchange.
var (
	// ErrNotSent tells that no byte of the request left this process.
	ErrNotSent = errors.New("forwarder: request was not sent")
	// ErrUnknown tells that the endpoint may have run the request.
	ErrUnknown = errors.New("forwarder: outcome of the request is unknown")
)

const (
	// idleMargin is taken off the idle time that an endpoint states, which it
	// counts from an earlier moment than this side.
	idleMargin = 700 * clock.Millis(1)
	// maxIdle applies where an endpoint states no idle time.
	maxIdle = 2500 * clock.Millis(1)
	// maxIdlePerAddress bounds the kept connections to one endpoint.
	maxIdlePerAddress = 12
	// maxStrayAnswers bounds the answers to other requests that are skipped
	// before the answer to this one.
	maxStrayAnswers = 4
	// inlineBody is the size up to which a request is written before its answer
	// is read. Longer ones are written beside, since an endpoint may answer
	// before it has read them.
	inlineBody = 8 << 10
	// userTimeout ends a connection whose sent bytes are not acknowledged, as
	// behind a partition.
	userTimeout = 1500 * clock.Millis(1)
	// probeInterval and probeCount find a silent peer while nothing is sent.
	probeInterval = time.Second
	probeCount    = 2
)

// Request is what is sent. Header holds no connection headers.
type Request struct {
	Method string
	Target string // raw path and query
	Host   string
	Header http.Header
	Body   []byte
}

// Options are the settings of a forwarder.
type Options struct {
	Clock       clock.Clock
	DialTimeout clock.Millis
	IDHeader    string // names the request in a request and its answer
	// Dial replaces the dialler in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called for each new connection.
	Opened func(address string)
}

// Forwarder keeps idle connections by address. It is safe for concurrent use.
type Forwarder struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	answer *Answer      // that is being read; nil while the connection is idle
	until  clock.Millis // instant after which it is not used again
}

// New returns a forwarder without connections.
func New(o Options) *Forwarder {
	if o.Dial == nil {
		o.Dial = NewDialer().DialContext
	}
	return &Forwarder{options: o, idle: make(map[string][]*conn)}
}

// NewDialer returns a dialler whose connections end within seconds if their
// peer falls silent, whether or not bytes are on the way.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Control:         control,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
}

// control sets the time after which unacknowledged bytes end a connection.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout))
	})
	return errors.CombineErrors(err, failed)
}

// Call is one exchange.
type Call struct {
	Address string
	Fresh   bool         // do not use a kept connection
	Wait    clock.Millis // until the answer's header; 0: no bound besides the context's
	// Alive reports whether the endpoint has shown signs of life lately. Where
	// it has, a wait that ends begins anew.
	Alive   func() bool
	Request Request
}

// Send does the exchange. On success the caller ends the answer with Close or
// Release. The end of ctx closes the connection.
func (f *Forwarder) Send(ctx context.Context, call Call) (*Answer, error) {
	c, err := f.connect(ctx, call)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", call.Address), ErrNotSent)
	}
	a := &Answer{forwarder: f, conn: c, address: call.Address, alive: call.Alive}
	c.answer = a
	a.stop = context.AfterFunc(ctx, func() {
		a.ended.Store(true)
		_ = c.SetDeadline(past)
	})
	a.Within(call.Wait)
	head := encode(&call.Request)
	if len(call.Request.Body) <= inlineBody {
		if n, err := c.Write(append(head, call.Request.Body...)); err != nil {
			a.Close()
			if n == 0 {
				return nil, errors.Mark(errors.Wrap(err, "write request"), ErrNotSent)
			}
			return nil, errors.Mark(errors.Wrap(err, "write request"), ErrUnknown)
		}
	} else {
		a.writing = make(chan struct{})
		go func() {
			defer close(a.writing)
			buffers := net.Buffers{head, call.Request.Body}
			if _, err := buffers.WriteTo(c.Conn); err != nil {
				a.unwritten.Store(true)
			}
		}()
	}
	if err := a.readHeader(&call.Request, f.options.IDHeader); err != nil {
		a.Close()
		return nil, errors.Mark(err, ErrUnknown)
	}
	return a, nil
}

func (f *Forwarder) connect(ctx context.Context, call Call) (*conn, error) {
	if !call.Fresh {
		if c := f.take(call.Address); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.DialTimeout.Duration())
	defer cancel()
	n, err := f.options.Dial(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	if f.options.Opened != nil {
		f.options.Opened(call.Address)
	}
	opened := &conn{Conn: n}
	opened.reader = bufio.NewReader(opened)
	return opened, nil
}

// take returns the kept connection that was used last, nil if none is sound.
func (f *Forwarder) take(address string) *conn {
	for {
		f.mu.Lock()
		list := f.idle[address]
		if len(list) == 0 {
			f.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		f.idle[address] = list[:len(list)-1]
		f.mu.Unlock()
		if f.options.Clock.Now() < c.until && silent(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// silent reports whether a connection is open and has no unread bytes: bytes
// on an idle connection belong to no request.
func silent(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

func (f *Forwarder) keep(address string, c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var list []*conn
	for _, k := range f.idle[address] {
		if now < k.until {
			list = append(list, k)
			continue
		}
		_ = k.Close()
	}
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	f.idle[address] = append(list, c)
}

// Sweep closes kept connections that are too old or whose address has left.
func (f *Forwarder) Sweep(listed func(address string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	for address, list := range f.idle {
		var kept []*conn
		for _, c := range list {
			if now < c.until && listed(address) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(f.idle, address)
			continue
		}
		f.idle[address] = kept
	}
}

// encode returns the request line and the headers.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer takes every write
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// copyLimited reads r to its end, at most limit bytes.
func copyLimited(r io.Reader, limit int64) ([]byte, bool, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit))
	return b, int64(len(b)) == limit, err
}
