package forwarder

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/responsescanner"
	"rosemaryarch.example/rosemaryarch/statuschecker"
)

// pastDeadline is a deadline in the past, which ends reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Response is an endpoint's response. It is not safe for concurrent use, except for Interrupt.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if the header does not state it

	forwarder   *Forwarder
	conn        *conn
	address     string
	stop        func() bool   // detaches the connection from the context, see context.AfterFunc
	writing     chan struct{} // closed when the request is written; nil if it was written before the response was read
	writeErr    error         // of writing the request; valid once writing is closed
	readTimeout clock.Millis  // 0: none
	alive       func() bool   // see Call.Alive
	cancelled   atomic.Bool   // the context has ended
	inner       *http.Response
	ended       bool // the body was read to its end
	closed      bool
	headHeld    int // bytes reserved for the header
	held        int // bytes reserved for header and body
	trace       *Trace
}

const (
	// maxStaleBytes limits the body of a skipped response. It must be shorter than
	// this.
	maxStaleBytes = 1 << 20
	// maxHeadBytes limits the bytes that are read for the header of one response,
	// with those of the responses skipped before it. The HTTP parser has no limit of
	// its own. Up to one buffer of the reader may belong to the body.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLarge means that an endpoint sent more than maxHeadBytes without the
// end of a response header.
var ErrHeadTooLarge = errors.New("forwarder: response header is too large")

// ErrNoMemory means that the bound on the memory for all responses is reached.
var ErrNoMemory = errors.New("forwarder: too much memory is held for responses")

// headCopies is the number of times that the HTTP parser holds a header while it reads it.
const headCopies = 2

// ErrReset means that the connection that delimits a body was reset, or broke in another
// way, while the request was still being written.
var ErrReset = errors.New("forwarder: connection broke while the request was being written")

// ErrBadStatus means that a response has a status code that HTTP does not define.
var ErrBadStatus = errors.New("forwarder: response has an undefined status")

// ErrNoID means that a response carries no id on a connection that is reused or has
// brought a response with another id. It may be a late copy of the response to an
// earlier request.
var ErrNoID = errors.New("forwarder: response on a reused connection carries no id")

// readHeader reads response headers until one carries the id of the request.
// Responses with another id belong to earlier requests on the connection and
// are skipped, as are informational (1xx) ones. The first response on a new
// connection may be without an id.
func (r *Response) readHeader(request *Request, idHeader string) error {
	want := request.Header.Get(idHeader)
	r.conn.headLeft = maxHeadBytes
	for range maxStaleResponses {
		r.conn.limited = true
		//nolint:bodyclose // Close and Release end the body with its connection
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		r.conn.limited = false
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		switch statuschecker.Classify(resp.StatusCode) {
		case statuschecker.Undefined:
			return errors.Wrapf(ErrBadStatus, "status %03d", resp.StatusCode)
		case statuschecker.Informational:
			continue
		}
		got := resp.Header.Get(idHeader)
		if got == "" && (r.trace.Reused || r.trace.OtherID > 0) {
			return ErrNoID
		}
		if got != "" && want != "" && got != want {
			r.trace.OtherID++
			if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes)); err != nil || n == maxStaleBytes {
				return errors.New("stale response on the connection is incomplete or too long")
			}
			continue
		}
		r.Status, r.Header, r.Length, r.inner = resp.StatusCode, resp.Header, resp.ContentLength, resp
		return nil
	}
	return errors.New("too many stale or informational responses on the connection")
}

// Read reads the body. It returns io.EOF only if the body is complete; the body
// of a response that is not Delimited ends with its connection.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.inner.Body.Read(b)
	if err == io.EOF && !r.ended && !r.Delimited() && !r.endedInOrder() {
		return n, ErrReset
	}
	r.ended = r.ended || err == io.EOF
	return n, err
}

// endedInOrder reports whether the connection, of which a read has met the end, was not
// reset. The kernel reports a reset to one call only, so that a concurrent write of the
// request may take the error and leave a regular end to the read. The write is ended, since
// nothing follows the response.
func (r *Response) endedInOrder() bool {
	if r.writing == nil {
		return true
	}
	_ = r.conn.SetWriteDeadline(pastDeadline) // fails only if the connection has ended
	<-r.writing
	return r.writeErr == nil || errors.Is(r.writeErr, os.ErrDeadlineExceeded)
}

// Read reads from the connection and extends the read timeout while the endpoint
// is alive. This is done here, below the readers of header and body, because
// they cannot continue after an error.
func (c *conn) Read(b []byte) (int, error) {
	if c.limited {
		if c.headLeft <= 0 {
			return 0, ErrHeadTooLarge
		}
		b = b[:min(len(b), c.headLeft)]
	}
	for {
		n, err := c.Conn.Read(b)
		if c.limited {
			c.headLeft -= n
			if !c.response.holdHead(maxHeadBytes - c.headLeft) {
				return 0, ErrNoMemory
			}
		}
		if n > 0 || err == nil || c.response == nil || !c.response.extendTimeout(err) {
			return n, err
		}
	}
}

// extendTimeout restarts the read timeout if err is a timeout and the endpoint
// is alive, and reports whether it did.
func (r *Response) extendTimeout(err error) bool {
	var netErr net.Error
	if r.readTimeout == 0 || r.cancelled.Load() || r.alive == nil ||
		!errors.As(err, &netErr) || !netErr.Timeout() || !r.alive() {
		return false
	}
	r.SetReadTimeout(r.readTimeout)
	return true
}

// Delimited reports whether the body is delimited by a length or by chunks, and
// not only by the end of the connection.
func (r *Response) Delimited() bool {
	return r.Length >= 0 || len(r.inner.TransferEncoding) > 0
}

// Hold reserves memory for that many bytes of the body, instead of those reserved before.
// It returns false if the bound on all responses does not allow more. Close and Release
// end the reservation.
func (r *Response) Hold(bytes int) bool { return r.resize(r.headHeld + bytes) }

func (r *Response) holdHead(bytes int) bool {
	r.headHeld = headCopies * bytes
	return r.resize(r.headHeld)
}

func (r *Response) resize(held int) bool {
	if !r.forwarder.options.Memory.Resize(r.held, held) {
		return false
	}
	r.held = held
	return true
}

// HoldsResponse reports whether a part of the body holds a second response: a status
// line and, below it, the header with the id. A Delimited body ends before a second
// response; without a length, the second one is read as a part of the body.
func (r *Response) HoldsResponse(body []byte) bool {
	return !r.Delimited() && responsescanner.Holds(body, r.forwarder.options.IDHeader)
}

// ReaderAfter returns a reader of the whole body, of which begin has been read. If a second
// response follows in it, the reader returns responsescanner.ErrSecondResponse; see
// HoldsResponse.
func (r *Response) ReaderAfter(begin []byte) io.Reader {
	body := io.MultiReader(bytes.NewReader(begin), r)
	if r.Delimited() {
		return body
	}
	return responsescanner.New(body, r.forwarder.options.IDHeader)
}

// SetReadTimeout sets the timeout for the next read, from now; 0 removes it.
func (r *Response) SetReadTimeout(d clock.Millis) { r.SetReadTimeoutSince(d, 0) }

// SetReadTimeoutSince sets the timeout for the next read, which began to run the
// given time ago; a timeout of 0 removes it.
func (r *Response) SetReadTimeoutSince(d, ago clock.Millis) {
	r.readTimeout = d
	t := time.Time{}
	if d > 0 {
		t = time.Now().Add((d - ago).Duration())
	}
	_ = r.conn.SetReadDeadline(t)
	if r.cancelled.Load() {
		_ = r.conn.SetReadDeadline(pastDeadline)
	}
}

// Interrupt ends a read of the body that is in progress, and all later ones, with an error.
// Unlike all other methods it may be called at any time.
func (r *Response) Interrupt() {
	r.cancelled.Store(true)
	_ = r.conn.SetDeadline(pastDeadline)
}

// Close ends the exchange by closing its connection, which also tells an
// endpoint that is still working on the request to stop. An exchange that is given up
// resets it, so that no byte of the request is sent any more, as after a partition of the
// network. A second call does nothing.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.resize(0)
	r.stop()
	if c, ok := r.conn.Conn.(interface{ SetLinger(sec int) error }); ok && !r.ended {
		_ = c.SetLinger(0) // fails only if the connection has ended
	}
	_ = r.conn.Close()
	if r.writing != nil {
		<-r.writing
	}
}

// Release ends an exchange, and keeps the connection for reuse if the request is
// written completely, the body was read to its end, and the endpoint neither closes
// the connection nor has sent further bytes.
func (r *Response) Release() {
	if r.closed {
		return
	}
	written := r.writing == nil
	if !written {
		select {
		case <-r.writing:
			written = r.writeErr == nil
		default:
		}
	}
	if r.ended && r.conn.reader.Buffered() > 0 {
		r.forwarder.reportStray(r.address)
	}
	reusable := written && r.ended && r.Delimited() && !r.inner.Close && r.conn.reader.Buffered() == 0 && r.stop()
	if !reusable {
		r.Close()
		return
	}
	r.closed = true
	r.resize(0)
	idle := maxIdle
	if s := keepAliveSeconds(r.Header.Get("Keep-Alive")); s > 0 {
		idle = min(idle, s*clock.Second-idleMargin)
	}
	if idle <= 0 {
		_ = r.conn.Close()
		return
	}
	_ = r.conn.SetDeadline(time.Time{})
	r.conn.response = nil
	r.conn.reused = true
	r.conn.expiresAt = r.forwarder.options.Clock.Now() + idle
	r.forwarder.putIdle(r.address, r.conn)
}

// keepAliveSeconds returns the idle timeout in seconds that a Keep-Alive header
// states, or 0 if it states none or not a positive one.
func keepAliveSeconds(header string) clock.Millis {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		if err == nil && n > 0 {
			return clock.Millis(n)
		}
	}
	return 0
}
