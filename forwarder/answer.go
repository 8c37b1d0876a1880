package forwarder

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Answer is an endpoint's answer. Its methods are for one goroutine.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if it is not stated

	forwarder *Forwarder
	conn      *conn
	address   string
	stop      func() bool
	writing   chan struct{} // closed when the request's body is written; nil if it was written at once
	unwritten atomic.Bool
	wait      clock.Millis // for the next bytes; 0: no bound
	alive     func() bool
	ended     atomic.Bool // the context has ended
	response  *http.Response
	closed    bool
}

// strayBytes bounds the body of a skipped answer.
const strayBytes = 1 << 20

// readHeader reads the header of the answer that names the request. Other
// answers are left over from earlier requests on the connection.
func (a *Answer) readHeader(r *Request, idHeader string) error {
	want := r.Header.Get(idHeader)
	for range maxStrayAnswers {
		//nolint:bodyclose // Close and Release end the body with its connection
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if got := resp.Header.Get(idHeader); got != "" && want != "" && got != want {
			if _, cut, err := copyLimited(resp.Body, strayBytes); err != nil || cut {
				return errors.New("answer to another request has no end")
			}
			continue
		}
		a.Status, a.Header, a.Length, a.response = resp.StatusCode, resp.Header, resp.ContentLength, resp
		return nil
	}
	return errors.New("only answers to other requests arrived")
}

// Read reads the body. It ends with io.EOF only if the body is complete; the
// body of an answer without a length ends with its connection.
func (a *Answer) Read(b []byte) (int, error) { return a.response.Body.Read(b) }

// Read reads from the connection. A wait that ends begins anew while the
// endpoint is alive. It is done here, below the readers of header and body,
// since these cannot go on after an error.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || err == nil || c.answer == nil || !c.answer.waitOn(err) {
			return n, err
		}
	}
}

// waitOn begins the wait anew after a time-out if the endpoint is alive.
func (a *Answer) waitOn(err error) bool {
	var timeout net.Error
	if a.wait == 0 || a.ended.Load() || a.alive == nil || !errors.As(err, &timeout) || !timeout.Timeout() || !a.alive() {
		return false
	}
	a.Within(a.wait)
	return true
}

// Framed reports whether the end of the body is marked by more than the end of
// the connection.
func (a *Answer) Framed() bool {
	return a.Length >= 0 || len(a.response.TransferEncoding) > 0
}

// Within bounds the wait for the next bytes; 0 removes the bound.
func (a *Answer) Within(d clock.Millis) {
	a.wait = d
	t := time.Time{}
	if d > 0 {
		t = time.Now().Add(d.Duration())
	}
	_ = a.conn.SetReadDeadline(t)
	if a.ended.Load() {
		_ = a.conn.SetReadDeadline(past)
	}
}

// Close ends the exchange with its connection, which also stops an endpoint
// that still works on it. A second call does nothing.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.stop()
	_ = a.conn.Close()
	if a.writing != nil {
		<-a.writing
	}
}

// Release ends an exchange whose body was read to its end, and keeps the
// connection if it may be used again.
func (a *Answer) Release() {
	if a.closed {
		return
	}
	written := a.writing == nil
	if !written {
		select {
		case <-a.writing:
			written = !a.unwritten.Load()
		default:
		}
	}
	again := written && a.Framed() && !a.response.Close && a.conn.reader.Buffered() == 0 && a.stop()
	if !again {
		a.Close()
		return
	}
	a.closed = true
	idle := maxIdle
	if s := keepAliveSeconds(a.Header.Get("Keep-Alive")); s > 0 {
		idle = min(idle, s*clock.Second-idleMargin)
	}
	if idle <= 0 {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.conn.answer = nil
	a.conn.until = a.forwarder.options.Clock.Now() + idle
	a.forwarder.keep(a.address, a.conn)
}

// keepAliveSeconds returns the idle time of a Keep-Alive header, 0 if none.
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
