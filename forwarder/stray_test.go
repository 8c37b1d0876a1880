package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// strayFirst serves connections on which the first request is answered with first
// and then once more, before, with or after the arrival of the next request: the
// copy carries the id of the first request. All later requests are answered as they
// should be.
func strayFirst(first string, delay time.Duration, withNext bool) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		stray := ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if r.Header.Get("X-First") != "" {
				head := fmt.Sprintf(first, r.Header.Get("X-Id"))
				_, _ = io.WriteString(c, head)
				stray = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nstray", r.Header.Get("X-Id"))
				if !withNext {
					time.Sleep(delay)
					_, _ = io.WriteString(c, stray)
					stray = ""
				}
				continue
			}
			_, _ = io.WriteString(c, stray)
			stray = ""
			respond(c, r, "mine "+r.Header.Get("X-Id"))
		}
	}
}

// Guards against a second copy of an answer, late, on a connection that is in use
// again: the next caller must get its own answer or an error, never the copy. It may
// arrive at any time, also after answers that have no body whatever they declare.
func TestLateCopyOfAnAnswer(t *testing.T) {
	firsts := map[string]struct{ method, response string }{
		"GET":          {"GET", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"},
		"GET, chunked": {"GET", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"HEAD":         {"HEAD", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\n"},
		"204":          {"POST", "HTTP/1.1 204 No Content\r\nX-Id: %s\r\n\r\n"},
		"304":          {"GET", "HTTP/1.1 304 Not Modified\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\n"},
		"1xx before": {
			"GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		},
		"empty":            {"GET", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"},
		"refusal":          {"GET", "HTTP/1.1 503 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"},
		"failure, chunked": {"GET", "HTTP/1.1 500 X\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	}
	delays := map[string]time.Duration{
		"at once": 0, "1 ms": time.Millisecond, "20 ms": 20 * time.Millisecond, "with the next": -1,
	}
	for name, first := range firsts {
		for when, delay := range delays {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				address, _ := startServer(t, strayFirst(first.response, delay, delay < 0))
				f := newForwarder()
				for i := range 20 {
					exchange(t, f, address, first.method, fmt.Sprint("first-", i), true)
					if i%2 == 1 {
						time.Sleep(time.Duration(i) * time.Millisecond)
					}
					id := fmt.Sprint("second-", i)
					if body, ok := exchange(t, f, address, "GET", id, false); ok && body != "mine "+id {
						t.Fatalf("request %s: got %q", id, body)
					}
				}
			})
		}
	}
}

// exchange sends one request and returns the body of its response. It reports false
// if there is none, or not all of it.
func exchange(t *testing.T, f *Forwarder, address, method, id string, first bool) (string, bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call := newCall(address, id)
	call.Request.Method = method
	if first {
		call.Request.Header.Set("X-First", "1")
	}
	response, err := f.Send(ctx, call)
	if err != nil {
		return "", false
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	if err != nil {
		return "", false
	}
	response.Release()
	return string(body), true
}

// Guards against the reuse of a connection for a request with the id of an earlier
// one on it: a late copy of the first response was taken for the answer to the second
// request.
func TestSameIDUsesAnotherConnection(t *testing.T) {
	tests := map[string]struct{ response, want string }{
		"success": {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nfirst", "mine same"},
		"refusal": {"HTTP/1.1 503 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", "mine same"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, strayFirst(tt.response, -1, true))
			f := newForwarder()
			exchange(t, f, address, "GET", "same", true)
			exchange(t, f, address, "GET", "other", false) // the copy arrives here
			exchange(t, f, address, "GET", "same", true)
			if body, ok := exchange(t, f, address, "GET", "same", false); !ok || body != tt.want {
				t.Errorf("second request with the id: got %q, want %q", body, tt.want)
			}
		})
	}
}

// Guards against the reuse of a connection whose response was not read to its end:
// the rest of the body was taken for the start of the next response.
func TestUnreadBodyIsNotReused(t *testing.T) {
	rest := "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 5\r\n\r\nstray"
	address, _ := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for i := range 2 {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n == 1 && i == 0 {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\nbegin", 5+len(rest))
				continue
			}
			if n == 1 {
				_, _ = io.WriteString(c, rest)
			}
			respond(c, r, "mine")
		}
	})
	f := newForwarder()
	response, err := f.Send(context.Background(), newCall(address, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	response.Release()
	if body, ok := exchange(t, f, address, "GET", "2", false); !ok || body != "mine" {
		t.Errorf("next request: got %q, want its own response", body)
	}
}

// Guards against a body that only the end of its connection delimits and that a reset
// cuts: it must not read as complete.
func TestResetIsNoEnd(t *testing.T) {
	address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")
		time.Sleep(50 * time.Millisecond) // the body must arrive before the reset discards it
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	response, err := newForwarder().Send(context.Background(), newCall(address, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if body, err := io.ReadAll(response); err == nil {
		t.Errorf("got %q as a complete body, want an error", body)
	}
}
