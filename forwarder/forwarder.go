package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/reserver"
)

// Errors of a failed exchange.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("forwarder: request was not sent")
	// ErrRefused means that no process listens on the port of an endpoint.
	ErrRefused = errors.New("forwarder: connection refused")
	// ErrOutcomeUnknown means that the endpoint may have executed the request.
	ErrOutcomeUnknown = errors.New("forwarder: outcome of the request is unknown")
)

const (
	// idleMargin is subtracted from the idle timeout that an endpoint states,
	// because the endpoint starts its timer before the response arrives here.
	idleMargin = 700 * clock.Millis(1)
	// maxIdle is the longest time for which a connection is kept idle. It applies
	// also if the endpoint states no idle timeout.
	maxIdle = 2500 * clock.Millis(1)
	// maxIdlePerAddress limits the idle connections to one endpoint.
	maxIdlePerAddress = 12
	// maxStaleResponses limits the responses that are read for one request:
	// informational ones and those to earlier requests are skipped.
	maxStaleResponses = 4
	// maxRememberedIDs limits the ids that are kept for each connection. A copy comes
	// where the next response is expected, so that a few would do.
	maxRememberedIDs = 16
	// maxInlineBody is the body size up to which a request is written before its
	// response is read. Larger ones are written concurrently, because an endpoint
	// may respond before it has read them.
	maxInlineBody = 8 << 10
	// headBytes is the first size of the buffer for a head.
	headBytes = 1024
	// userTimeout is the TCP_USER_TIMEOUT in ms: a connection ends when sent bytes
	// stay unacknowledged for so long, as in a network partition.
	userTimeout = 1500 * clock.Millis(1)
	// probeInterval and probeCount are the TCP keep-alive settings, which detect
	// an unreachable peer while nothing is sent.
	probeInterval = time.Second
	probeCount    = 2
)

// Request is the request to send. Header must not hold hop-by-hop headers.
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
	IDHeader    string // header that carries the request's id in the request and its response
	// Dial replaces the default dialler; for tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Memory bounds what is held for all responses; nil: no bound.
	Memory *reserver.Reserver
	// OnOpen is called for each new connection, if set.
	OnOpen func(address string)
	// OnStray is called, if set, for each connection that is not reused because
	// bytes have arrived that belong to no request.
	OnStray func(address string)
}

// Forwarder sends requests and pools idle connections by the endpoint's address.
// It is safe for concurrent use.
type Forwarder struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	response  *Response    // being read; nil while the connection is idle
	limited   bool         // a response header is being read
	headLeft  int          // bytes that may still be read while limited
	expiresAt clock.Millis // instant after which an idle connection is not reused
	reused    bool         // the connection has served an earlier request
	ids       []string     // of the latest requests, at most maxRememberedIDs
}

// New returns a forwarder with an empty connection pool.
func New(o Options) *Forwarder {
	if o.Dial == nil {
		o.Dial = NewDialer().DialContext
	}
	return &Forwarder{options: o, idle: make(map[string][]*conn)}
}

// NewDialer returns a dialler whose connections fail within seconds after the
// peer becomes unreachable, whether or not sent bytes are unacknowledged.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
}

// setUserTimeout sets the TCP_USER_TIMEOUT of a connection.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout))
	})
	return errors.CombineErrors(err, optErr)
}

// Call describes one exchange: a request and how to send it.
type Call struct {
	Address       string
	NewConnection bool         // do not reuse an idle connection
	HeaderTimeout clock.Millis // timeout for the response header; 0: none besides the context's
	// Alive reports whether the endpoint has recently shown activity. If it has,
	// a read that times out is continued with the same timeout.
	Alive   func() bool
	Request Request
	Trace   *Trace // filled by Send; may be nil
}

// Trace tells how an exchange went, also if it failed.
type Trace struct {
	Reused  bool // the connection has served an earlier request
	OtherID int  // responses that were skipped because they carry another id
}

// Send sends the request and reads the response header. On success the caller
// must end the response with Close or Release. Cancelling ctx ends the exchange.
// The error is ErrNotSent or ErrOutcomeUnknown; ErrNoID is marked with the latter.
func (f *Forwarder) Send(ctx context.Context, call Call) (*Response, error) {
	trace := call.Trace
	if trace == nil {
		trace = &Trace{}
	}
	c, err := f.connect(ctx, call)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", call.Address), ErrNotSent)
	}
	trace.Reused = c.reused
	c.rememberID(call.Request.Header.Get(f.options.IDHeader))
	response := &Response{forwarder: f, conn: c, address: call.Address, alive: call.Alive, trace: trace}
	c.response = response
	response.stop = context.AfterFunc(ctx, response.Interrupt)
	response.SetReadTimeout(call.HeaderTimeout)
	head := encodeHead(&call.Request)
	if len(call.Request.Body) <= maxInlineBody {
		if n, err := c.Write(append(head, call.Request.Body...)); err != nil {
			response.Close()
			if n == 0 {
				return nil, errors.Mark(errors.Wrap(err, "write request"), ErrNotSent)
			}
			return nil, errors.Mark(errors.Wrap(err, "write request"), ErrOutcomeUnknown)
		}
	} else {
		response.writing = make(chan struct{})
		go func() {
			defer close(response.writing)
			buffers := net.Buffers{head, call.Request.Body}
			_, response.writeErr = buffers.WriteTo(c.Conn)
		}()
	}
	if err := response.readHeader(&call.Request, f.options.IDHeader); err != nil {
		response.Close()
		return nil, errors.Mark(err, ErrOutcomeUnknown)
	}
	return response, nil
}

// rememberID adds the id of a request to those that the connection has served.
func (c *conn) rememberID(id string) {
	if len(c.ids) == maxRememberedIDs {
		c.ids = slices.Delete(c.ids, 0, 1)
	}
	c.ids = append(c.ids, id)
}

// connect returns an idle connection, or opens one if there is none,
// call.NewConnection is set, or the request has no id: its response could not be
// told from a late copy of the response to an earlier request.
func (f *Forwarder) connect(ctx context.Context, call Call) (*conn, error) {
	id := call.Request.Header.Get(f.options.IDHeader)
	if !call.NewConnection && id != "" {
		if c := f.takeIdle(call.Address, id); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.DialTimeout.Duration())
	defer cancel()
	n, err := f.options.Dial(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	if f.options.OnOpen != nil {
		f.options.OnOpen(call.Address)
	}
	opened := &conn{Conn: n}
	opened.reader = bufio.NewReader(opened)
	return opened, nil
}

// Probe opens a connection to an endpoint within the timeout and closes it. The
// error is ErrRefused if the endpoint's host refuses the connection.
func (f *Forwarder) Probe(ctx context.Context, address string, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	c, err := f.options.Dial(ctx, "tcp", address)
	if errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET) {
		return errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrRefused)
	}
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	if f.options.OnOpen != nil {
		f.options.OnOpen(address)
	}
	return errors.Wrap(c.Close(), "close connection")
}

// takeIdle removes and returns the most recently used idle connection that has not
// served a request with the given id, or nil if none is usable.
func (f *Forwarder) takeIdle(address, id string) *conn {
	for {
		c := f.removeIdle(address, id)
		if c == nil {
			return nil
		}
		if f.options.Clock.Now() < c.expiresAt {
			usable, stray := probe(c.Conn)
			if usable {
				return c
			}
			if stray {
				f.reportStray(address)
			}
		}
		_ = c.Close()
	}
}

// removeIdle removes and returns the most recently used idle connection that has
// not served a request with the given id, or nil if there is none.
func (f *Forwarder) removeIdle(address, id string) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !slices.Contains(c.ids, id) {
			f.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// reportStray calls Options.OnStray.
func (f *Forwarder) reportStray(address string) {
	if f.options.OnStray != nil {
		f.options.OnStray(address)
	}
}

// probe reports whether an idle connection is open and has no unread bytes, and
// whether it has unread bytes, which would belong to no request.
func probe(n net.Conn) (usable, stray bool) {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		unread, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		stray = err == nil && unread > 0
		return true
	})
	return usable && err == nil, stray
}

// putIdle adds a connection to the pool and drops expired ones, and the oldest
// one if the pool of the address is full.
func (f *Forwarder) putIdle(address string, c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var list []*conn
	for _, k := range f.idle[address] {
		if now < k.expiresAt {
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

// Sweep closes idle connections that have expired or whose address is no longer
// listed.
func (f *Forwarder) Sweep(listed func(address string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	for address, list := range f.idle {
		var remaining []*conn
		for _, c := range list {
			if now < c.expiresAt && listed(address) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
		}
		if len(remaining) == 0 {
			delete(f.idle, address)
			continue
		}
		f.idle[address] = remaining
	}
}

// encodeHead returns the request line and the headers in wire format.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(headBytes + min(len(r.Body), maxInlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a write to a buffer cannot fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
