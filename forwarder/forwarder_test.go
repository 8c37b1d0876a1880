package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// peer serves raw answers; each connection gets the function with its number.
func peer(t *testing.T, does func(n int, c net.Conn, br *bufio.Reader)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var count atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			n := int(count.Add(1))
			go func() {
				defer c.Close()
				does(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String(), &count
}

func newForwarder() *Forwarder {
	return New(Options{Clock: clock.Boot(), DialTimeout: 300, IDHeader: "X-Id"})
}

func call(address, id string) Call {
	h := http.Header{}
	h.Set("X-Id", id)
	return Call{Address: address, Request: Request{Method: "GET", Target: "/x", Host: "h", Header: h}}
}

func answerTo(c net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(
		c,
		"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("X-Id"),
		len(body),
		body,
	)
}

func echo(_ int, c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answerTo(c, r, "ok")
	}
}

// Guards against an error that claims that nothing was sent although it was,
// and the reverse.
func TestErrorsTellWhatWasSent(t *testing.T) {
	closed, _ := peer(t, func(_ int, c net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
	garbage, _ := peer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, "garbage\r\n")
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := listener.Addr().String()
	_ = listener.Close()
	tests := map[string]struct {
		address string
		want    error
	}{
		"no listener": {refused, ErrNotSent},
		"closed":      {closed, ErrUnknown},
		"garbage":     {garbage, ErrUnknown},
	}
	for name, tt := range tests {
		if _, err := newForwarder().Send(context.Background(), call(tt.address, "1")); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", name, err, tt.want)
		}
	}
}

// Guards against a connection that is used again although its answer was not
// read, its time is over, its peer has closed it or has sent more.
func TestReuse(t *testing.T) {
	tests := map[string]struct {
		does        func(n int, c net.Conn, br *bufio.Reader)
		fresh       bool
		leave       bool // the body unread
		connections int64
	}{
		"kept":        {echo, false, false, 1},
		"asked fresh": {echo, true, false, 3},
		"body unread": {echo, false, true, 3},
		"closed by the peer": {func(_ int, c net.Conn, br *bufio.Reader) {
			r, _ := http.ReadRequest(br)
			answerTo(c, r, "ok")
		}, false, false, 3},
		"says that it closes": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
			}
		}, false, false, 3},
		"more bytes": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				answerTo(c, r, "ok")
				_, _ = io.WriteString(c, "HTTP/1.1")
			}
		}, false, false, 3},
		"no idle time": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok")
			}
		}, false, false, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, count := peer(t, tt.does)
			f := newForwarder()
			for i := range 3 {
				c := call(address, fmt.Sprint(i))
				c.Fresh = tt.fresh
				a, err := f.Send(context.Background(), c)
				if err != nil {
					t.Fatal(err)
				}
				if tt.leave {
					a.Close()
					continue
				}
				if body, err := io.ReadAll(a); string(body) != "ok" || err != nil {
					t.Errorf("body: got %q %v", body, err)
				}
				a.Release()
				time.Sleep(20 * time.Millisecond)
			}
			if got := count.Load(); got != tt.connections {
				t.Errorf("connections: got %d, want %d", got, tt.connections)
			}
		})
	}
}

// Guards against a cut body that reads as complete.
func TestBodyEnds(t *testing.T) {
	tests := map[string]struct {
		answer string
		whole  bool
	}{
		"length":         {"Content-Length: 4\r\n\r\nbody", true},
		"length, cut":    {"Content-Length: 9\r\n\r\nbody", false},
		"chunks":         {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"chunks, cut":    {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		"inside a chunk": {"Transfer-Encoding: chunked\r\n\r\n9\r\nbody", false},
		"neither":        {"\r\nbody", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := peer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tt.answer)
			})
			a, err := newForwarder().Send(context.Background(), call(address, "1"))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			body, err := io.ReadAll(a)
			if string(body) != "body" || (err == nil) != tt.whole {
				t.Errorf("got %q %v, want the body, whole: %v", body, err, tt.whole)
			}
		})
	}
}

// Guards against a busy endpoint that is given up, and against a dead one that
// is waited for without end.
func TestWaitIsRenewedWhileAlive(t *testing.T) {
	tests := map[string]struct {
		alive bool
		err   bool
	}{"alive": {true, false}, "silent": {false, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := peer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				r, _ := http.ReadRequest(br)
				time.Sleep(250 * time.Millisecond)
				answerTo(c, r, "late")
			})
			c := call(address, "1")
			c.Wait, c.Alive = 60, func() bool { return tt.alive }
			a, err := newForwarder().Send(context.Background(), c)
			if (err != nil) != tt.err {
				t.Fatalf("error: got %v, want one: %v", err, tt.err)
			}
			if err == nil {
				defer a.Close()
				if body, err := io.ReadAll(a); string(body) != "late" || err != nil {
					t.Errorf("body: got %q %v", body, err)
				}
			}
		})
	}
}

// Guards against an endpoint that goes on working after the caller's context
// has ended.
func TestContextEndsTheExchange(t *testing.T) {
	gone := make(chan struct{})
	address, _ := peer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
	defer cancel()
	c := call(address, "1")
	c.Wait, c.Alive = 20, func() bool { return true }
	if _, err := newForwarder().Send(ctx, c); !errors.Is(err, ErrUnknown) {
		t.Errorf("error: got %v, want %v", err, ErrUnknown)
	}
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against requests that are written with another framing than their
// body has.
func TestEncode(t *testing.T) {
	h := http.Header{"X-A": {"1", "2"}}
	tests := map[string]struct {
		request Request
		want    string
	}{
		"get": {
			Request{Method: "GET", Target: "/a?b", Host: "h", Header: h},
			"GET /a?b HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n\r\n",
		},
		"empty post": {
			Request{Method: "POST", Target: "/", Host: "h", Header: h},
			"POST / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: 0\r\n\r\n",
		},
		"body": {
			Request{Method: "POST", Target: "/", Host: "h", Body: []byte("abc")},
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n",
		},
		"line in name": {
			Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X": {"a\r\nEvil: 1"}}},
			"GET / HTTP/1.1\r\nHost: h\r\nX: a  Evil: 1\r\n\r\n",
		},
	}
	for name, tt := range tests {
		if got := string(encode(&tt.request)); got != tt.want {
			t.Errorf("%s: got %q, want %q", name, got, tt.want)
		}
	}
}

func BenchmarkSend(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(0, c, bufio.NewReader(c))
		}
	}()
	f := newForwarder()
	c := call(listener.Addr().String(), strings.Repeat("1", 16))
	b.ReportAllocs()
	for b.Loop() {
		a, err := f.Send(context.Background(), c)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a)
		a.Release()
	}
}
