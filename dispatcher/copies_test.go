package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a faulty endpoint that writes an earlier refusal once more on a kept
// connection: the client would be told "not executed" of a request that the endpoint
// executes, or another endpoint would execute it too (soak rules REFUSED, TWICE).
func TestLateCopyOfARefusal(t *testing.T) {
	tests := map[string]struct {
		kind matcher.Kind
		id   string // of the copy; empty: it has none
	}{
		"unsafe, with the earlier id": {matcher.Unsafe, "id-1"},
		"unsafe, without an id":       {matcher.Unsafe, ""},
		"safe, with the earlier id":   {matcher.Safe, "id-1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			served := map[net.Conn]int{} // requests by connection
			executed := 0                // requests other than the first one
			faulty := func(c net.Conn, r *http.Request, _ string) bool {
				mu.Lock()
				served[c]++
				copies := served[c] > 1
				mu.Unlock()
				if r.Header.Get(names.ID) == "id-1" {
					return refuse(c, r, "")
				}
				if copies {
					late := r.Clone(context.Background())
					late.Header.Set(names.ID, tt.id)
					refuse(c, late, "")
				}
				mu.Lock()
				executed++
				mu.Unlock()
				return writeResponse(c, r, 200, "fine")
			}
			f := newFleet(t, route(tt.kind, func(r *matcher.Route) { r.Attempts = 1 }), faulty)
			if got := f.do("POST", "/a/x", "body", names.ID, "id-1"); got.status != 503 {
				t.Fatalf("refused request: got %d %v, want 503", got.status, got.err)
			}
			if got := f.do("POST", "/a/x", "body", names.ID, "id-2"); got.status != 200 || got.body != "fine" {
				t.Errorf("next request: got %d %q %v, want the endpoint's response", got.status, got.body, got.err)
			}
			mu.Lock()
			defer mu.Unlock()
			if executed != 1 {
				t.Errorf("executions: got %d, want 1", executed)
			}
		})
	}
}

// Guards against the text of an error, or of another answer, in the middle of a
// stream that has begun at an endpoint and broke off there, and against such a stream
// that ends as complete (soak rules ORDER, MIXED).
func TestErrorAfterBrokenStream(t *testing.T) {
	plain := func(head, body string) handler {
		return func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 "+head+"\r\nX-Id: "+r.Header.Get(names.ID)+"\r\nX-Signature: s\r\n"+body)
			return false
		}
	}
	tests := map[string]handler{
		"status 500":            plain("500 X", "Content-Length: 6\r\n\r\nfailed"),
		"status 500, no length": plain("500 X", "\r\nfailed"),
		"status 503":            plain("503 X", "Content-Length: 4\r\n\r\nbusy"),
		"status 404":            plain("404 X", "Content-Length: 4\r\n\r\nnone"),
		"refusal":               plain("503 X", "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"redirect":              plain("302 X", "Location: /\r\nContent-Length: 0\r\n\r\n"),
		"success, no stream": plain("200 OK",
			"Content-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"error\":\"no\"}\n\n"),
		"success, text": plain("200 OK",
			"Content-Type: text/plain\r\nContent-Length: 8\r\n\r\nfailed\n\n"),
		"success, comment": plain("200 OK",
			"Content-Type: text/plain\r\nContent-Length: 9\r\n\r\n:failed\n\n"),
		"success, empty":            plain("200 OK", "Content-Length: 0\r\n\r\n"),
		"success, empty chunked":    plain("200 OK", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		"success, empty, no length": plain("200 OK", "\r\n"),
		"success, half an event":    plain("200 OK", "Content-Type: text/event-stream\r\n\r\nid: 3\nda"),
		"head is cut":               plain("200 OK", "Content-Le"),
		"no content":                plain("204 X", "\r\n"),
		"error without a head": func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "failed\n\n")
			return false
		},
		"connection closes at once":    closeConnection,
		"head of a response as a body": plain("200 OK", "Content-Length: 32\r\n\r\nHTTP/1.1 500 X\r\nX-Id: id-1\r\n\r\n\n\n"),
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			first := func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 1, 2, false) }
			f := newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Resumable, r.Attempts = true, 2 }),
				firstThen(first, second)...)
			got := f.do("POST", "/a/x", "body")
			if want := "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"; got.body != want {
				t.Errorf("body: got %q, want %q", got.body, want)
			}
			if got.err == nil {
				t.Error("the stream ends as complete")
			}
		})
	}
}

// Guards against a response whose endpoint stops in the middle of its head and
// closes: the client must not get an empty or short body as a whole one (soak rules
// MIXED, ORDER).
func TestTruncatedHead(t *testing.T) {
	const body = "fine"
	for name, framing := range map[string]string{
		"length": "Content-Length: 4\r\n\r\n" + body, "chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	} {
		for kindName, kind := range map[string]matcher.Kind{"unsafe": matcher.Unsafe, "stream": matcher.Stream} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				full := "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n" + framing
				var mu sync.Mutex
				end := 0
				f := newFleet(t, route(kind, func(r *matcher.Route) { r.Attempts = 1 }),
					func(c net.Conn, _ *http.Request, _ string) bool {
						mu.Lock()
						defer mu.Unlock()
						_, _ = io.WriteString(c, full[:end])
						return false
					})
				for i := range len(full) {
					mu.Lock()
					end = i
					mu.Unlock()
					if got := f.do("POST", "/a/x", "body"); got.err == nil && got.status < 300 {
						t.Errorf("response cut after %q: got %d %q, want no success", full[:i], got.status, got.body)
					}
				}
			})
		}
	}
}
