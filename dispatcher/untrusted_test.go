package dispatcher

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against decisions by health answers, which may be false either way: an
// endpoint that reports to be ill serves, one that reports to be well and fails is
// left, and no endpoint is asked.
func TestHealthAnswersAreNotAsked(t *testing.T) {
	var asked atomic.Int64
	health := func(status int, serve handler) handler {
		return func(c net.Conn, r *http.Request, body string) bool {
			if !strings.HasPrefix(r.URL.Path, "/a/") {
				asked.Add(1)
				return writeResponse(c, r, status, "")
			}
			return serve(c, r, body)
		}
	}
	f := newFleet(t, route(matcher.Safe, nil), health(503, succeed), health(200, fail))
	for i := range 30 {
		if got := f.do("GET", "/a/x", "", names.ID, fmt.Sprint("id-", i)); got.status != 200 {
			t.Errorf("request %d: got %d, want 200", i, got.status)
		}
	}
	if n := asked.Load(); n != 0 {
		t.Errorf("health checks: got %d, want none", n)
	}
	if well, ill := f.endpoints[1].count(), f.endpoints[0].count(); well >= ill {
		t.Errorf("requests: got %d at the endpoint that fails and %d at the one that serves", well, ill)
	}
}

// Guards against a late copy of an earlier answer that carries no id: without one it
// was taken for the answer to the request that was sent on its connection. The
// client must get its own answer or a failure.
func TestAnswerWithoutID(t *testing.T) {
	var used sync.Map // connections that have served a request
	handle := func(c net.Conn, r *http.Request, _ string) bool {
		if _, again := used.LoadOrStore(c, true); again {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nstray")
		}
		return writeResponse(c, r, 200, "mine "+r.Header.Get("X-Id"))
	}
	f := newFleet(t, route(matcher.Safe, nil), handle, handle)
	own := 0
	for i := range 8 {
		id := fmt.Sprint("id-", i)
		got := f.do("GET", "/a/x", "", names.ID, id)
		switch {
		case got.status == 200 && got.body == "mine "+id:
			own++
		case got.status != http.StatusBadGateway:
			t.Errorf("request %d: got %d %q, want %q or status 502", i, got.status, got.body, "mine "+id)
		}
	}
	if own < 4 {
		t.Errorf("own answers: got %d of 8, want at least every other one", own)
	}
}

// Guards against a failure or a refusal without an id on a reused connection, which
// may be the late copy of the response to an earlier request: the client got the
// failure of another request, or status 503, which means "not executed", for a
// request that the endpoint was executing.
func TestFailureWithoutIDOnReusedConnection(t *testing.T) {
	tests := map[string]string{
		"failure":      "HTTP/1.1 500 X\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nstray",
		"not found":    "HTTP/1.1 404 X\r\nContent-Length: 5\r\n\r\nstray",
		"redirect":     "HTTP/1.1 302 X\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n",
		"not executed": "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected":  "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
	}
	for name, stray := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Safe, func(r *matcher.Route) { r.Attempts = 1 }), onReuse(stray))
			if got := f.do("GET", "/a/x", "", names.ID, "id-1"); got.status != 200 {
				t.Fatalf("first request: got %d, want 200", got.status)
			}
			got := f.do("GET", "/a/x", "", names.ID, "id-2")
			if got.status != http.StatusBadGateway || strings.Contains(got.body, "stray") {
				t.Errorf("second request: got %d %q, want 502 of the router", got.status, got.body)
			}
			if !strings.Contains(got.body, `"run":"unknown"`) {
				t.Errorf("second request: got %q, want an unknown execution state", got.body)
			}
		})
	}
}

// Guards against the answer of another request for a client that sends no id: on a
// reused connection nothing tells a late copy of an earlier response from its own.
func TestRequestWithoutID(t *testing.T) {
	tests := map[string]string{
		"failure with an id":  "HTTP/1.1 500 X\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nstray",
		"success without one": "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nstray",
	}
	for name, stray := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Safe, func(r *matcher.Route) { r.Attempts = 1 }), onReuse(stray))
			if got := f.do("GET", "/a/x", "", names.ID, "id-1"); got.status != 200 {
				t.Fatalf("first request: got %d, want 200", got.status)
			}
			if got := f.do("GET", "/a/x", "", names.ID, ""); got.status != 200 || got.body != "mine " {
				t.Errorf("request without an id: got %d %q, want its own answer", got.status, got.body)
			}
		})
	}
}
