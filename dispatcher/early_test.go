package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a part of a response without a length that a client gets as a whole one:
// the endpoint sends it while a long upload is in progress, and resets the connection (other
// operators' report, MIXED).
func TestResetDuringUpload(t *testing.T) {
	const (
		plain  = "Content-Type: text/plain\r\n\r\n"
		stream = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"
	)
	long := strings.Repeat("p", 2*maxBufferedBody)
	tests := map[string]struct {
		route  matcher.Route
		answer string // of the first endpoint, which breaks off
		status int    // 0: the response begins and breaks off
		body   string
	}{
		"unsafe":           {route(matcher.Unsafe, nil), plain + "part", 502, ""},
		"safe":             {route(matcher.Safe, nil), plain + "part", 200, "fine"},
		"unsafe, long":     {route(matcher.Unsafe, nil), plain + long, 0, ""},
		"safe, long":       {route(matcher.Safe, nil), plain + long, 0, ""},
		"stream":           {route(matcher.Stream, nil), stream, 0, ""},
		"resumable stream": {route(matcher.Stream, resumable), stream, 200, completeStream},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 5 {
				later := succeed
				if tt.route.Kind == matcher.Stream {
					later = func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 3, 4, true) }
				}
				f := newFleet(t, tt.route, later, later)
				f.resetFirst(tt.answer, later)
				config := f.config
				config.Limits.BodyBytes = 16 << 20
				f.setConfig(config)
				got := f.do("POST", "/a/x", strings.Repeat("b", 8<<20))
				switch {
				case tt.status == 0 && got.err == nil:
					t.Errorf("got %d and a complete body of %d bytes, want one that breaks off", got.status, len(got.body))
				case tt.status != 0 && (got.status != tt.status || got.err != nil):
					t.Errorf("got %d, %v, want %d", got.status, got.err, tt.status)
				case tt.body != "" && got.body != tt.body:
					t.Errorf("got body %q, want %q", got.body, tt.body)
				}
			}
		})
	}
}

// awaitArrival waits until the other side has acknowledged all that was sent.
func awaitArrival(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		unsent := 0
		err := raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil || unsent == 0 {
			return
		}
	}
}

// resetFirst makes the endpoint that gets the first request respond before it reads the body,
// and reset the connection. Later requests are served by the given handler.
func (f *fleet) resetFirst(answer string, later handler) {
	f.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	serve := func(c net.Conn, first bool) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if !first {
			_, _ = io.Copy(io.Discard, r.Body)
			later(c, r, "")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get(names.ID)+"\r\nX-Signature: s\r\n"+answer)
		awaitArrival(c.(*net.TCPConn)) // the reset discards what has not arrived
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	go func() {
		for first := true; ; first = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, first)
		}
	}()
	for _, e := range f.endpoints {
		entry := f.catalog.Snapshot(0).Endpoint(e.id).Endpoint
		entry.Address = listener.Addr().String()
		f.catalog.Put(f.confirmed(), entry)
	}
}
