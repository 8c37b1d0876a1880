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

// startServer serves raw TCP on a loopback address. It calls handle for each
// connection with its number, from 1, and returns the count of connections.
func startServer(t *testing.T, handle func(n int, c net.Conn, br *bufio.Reader)) (string, *atomic.Int64) {
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
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String(), &count
}

func newForwarder() *Forwarder {
	return New(Options{Clock: clock.Boot(), DialTimeout: 300, IDHeader: "X-Id"})
}

func newCall(address, id string) Call {
	h := http.Header{}
	h.Set("X-Id", id)
	return Call{Address: address, Request: Request{Method: "GET", Target: "/x", Host: "h", Header: h}}
}

// respond writes a response with the id of r.
func respond(c net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(
		c,
		"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("X-Id"),
		len(body),
		body,
	)
}

// serveOK responds to every request on a connection.
func serveOK(_ int, c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		respond(c, r, "ok")
	}
}

// Guards against ErrNotSent for a request that was sent, and against
// ErrOutcomeUnknown for one that was not.
func TestErrorsTellWhatWasSent(t *testing.T) {
	closed, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
	malformed, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
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
		"closed":      {closed, ErrOutcomeUnknown},
		"malformed":   {malformed, ErrOutcomeUnknown},
	}
	for name, tt := range tests {
		if _, err := newForwarder().Send(context.Background(), newCall(tt.address, "1")); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", name, err, tt.want)
		}
	}
}

// Guards against the reuse of a connection whose response was not read, that has
// expired, or that its peer has closed or has sent more bytes on.
func TestReuse(t *testing.T) {
	tests := map[string]struct {
		handle      func(n int, c net.Conn, br *bufio.Reader)
		newOnly     bool // Call.NewConnection
		skipBody    bool
		connections int64
	}{
		"reused":         {serveOK, false, false, 1},
		"new connection": {serveOK, true, false, 3},
		"body unread":    {serveOK, false, true, 3},
		"closed by the peer": {func(_ int, c net.Conn, br *bufio.Reader) {
			r, _ := http.ReadRequest(br)
			respond(c, r, "ok")
		}, false, false, 3},
		"Connection: close": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
			}
		}, false, false, 3},
		"extra bytes": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				respond(c, r, "ok")
				_, _ = io.WriteString(c, "HTTP/1.1")
			}
		}, false, false, 3},
		"zero idle timeout ignored": {func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
					r.Header.Get("X-Id"))
			}
		}, false, false, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, count := startServer(t, tt.handle)
			f := newForwarder()
			for i := range 3 {
				c := newCall(address, fmt.Sprint(i))
				c.NewConnection = tt.newOnly
				response, err := f.Send(context.Background(), c)
				if err != nil {
					t.Fatal(err)
				}
				if tt.skipBody {
					response.Close()
					continue
				}
				if body, err := io.ReadAll(response); string(body) != "ok" || err != nil {
					t.Errorf("body: got %q %v", body, err)
				}
				response.Release()
				time.Sleep(20 * time.Millisecond)
			}
			if got := count.Load(); got != tt.connections {
				t.Errorf("connections: got %d, want %d", got, tt.connections)
			}
		})
	}
}

// Guards against a truncated body that reads as complete.
func TestBodyEnds(t *testing.T) {
	tests := map[string]struct {
		response string
		complete bool
	}{
		"length":            {"Content-Length: 4\r\n\r\nbody", true},
		"length, truncated": {"Content-Length: 9\r\n\r\nbody", false},
		"chunks":            {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"chunks, truncated": {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		"inside a chunk":    {"Transfer-Encoding: chunked\r\n\r\n9\r\nbody", false},
		"until close":       {"\r\nbody", true},
		"response as trailer": {
			"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", false,
		},
		"length, end within": {"Content-Length: 5\r\n\r\nbody", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tt.response)
			})
			response, err := newForwarder().Send(context.Background(), newCall(address, "1"))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			body, err := io.ReadAll(response)
			if string(body) != "body" || (err == nil) != tt.complete {
				t.Errorf("got %q %v, want the body, complete: %v", body, err, tt.complete)
			}
		})
	}
}

// Guards against a timeout for a slow endpoint that is alive, and against an
// endless wait for one that is not.
func TestTimeoutIsExtendedWhileAlive(t *testing.T) {
	tests := map[string]struct {
		alive bool
		err   bool
	}{"alive": {true, false}, "silent": {false, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				r, _ := http.ReadRequest(br)
				time.Sleep(250 * time.Millisecond)
				respond(c, r, "late")
			})
			c := newCall(address, "1")
			c.HeaderTimeout, c.Alive = 60, func() bool { return tt.alive }
			response, err := newForwarder().Send(context.Background(), c)
			if (err != nil) != tt.err {
				t.Fatalf("error: got %v, want one: %v", err, tt.err)
			}
			if err == nil {
				defer response.Close()
				if body, err := io.ReadAll(response); string(body) != "late" || err != nil {
					t.Errorf("body: got %q %v", body, err)
				}
			}
		})
	}
}

// Guards against an endpoint that continues to work on a request whose context is
// cancelled.
func TestContextEndsTheExchange(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
	defer cancel()
	c := newCall(address, "1")
	c.HeaderTimeout, c.Alive = 20, func() bool { return true }
	if _, err := newForwarder().Send(ctx, c); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error: got %v, want %v", err, ErrOutcomeUnknown)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against requests whose framing does not match their body, and against
// header injection.
func TestEncodeHead(t *testing.T) {
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
		"line break in value": {
			Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X": {"a\r\nEvil: 1"}}},
			"GET / HTTP/1.1\r\nHost: h\r\nX: a  Evil: 1\r\n\r\n",
		},
	}
	for name, tt := range tests {
		if got := string(encodeHead(&tt.request)); got != tt.want {
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
			go serveOK(0, c, bufio.NewReader(c))
		}
	}()
	f := newForwarder()
	c := newCall(listener.Addr().String(), strings.Repeat("1", 16))
	b.ReportAllocs()
	for b.Loop() {
		response, err := f.Send(context.Background(), c)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response)
		response.Release()
	}
}
