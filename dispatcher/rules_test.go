package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/stager"
)

func ok(c net.Conn, r *http.Request, _ string) bool { return say(c, r, 200, "fine") }

func closes(net.Conn, *http.Request, string) bool { return false }

func full(c net.Conn, r *http.Request, _ string) bool { return say(c, r, 503, "", "X-Not-Run: 1") }

func hangs(net.Conn, *http.Request, string) bool {
	time.Sleep(5 * time.Second)
	return false
}

// Guards against an order that runs twice, and against a refusal that promises
// "not run" for one that may have run (rules TWICE and REFUSED).
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		kind     matcher.Kind
		attempts int
		first    behaviour
		sends    int
		status   []int
	}{
		"unsafe, connection closed":        {matcher.Unsafe, 3, closes, 1, []int{502}},
		"unsafe, answer cut":               {matcher.Unsafe, 3, cutBody, 1, []int{502}},
		"unsafe, unsigned success":         {matcher.Unsafe, 3, unsigned, 1, []int{502}},
		"unsafe, bytes that are no answer": {matcher.Unsafe, 3, noAnswer, 1, []int{502}},
		"unsafe, 503 without not-run":      {matcher.Unsafe, 3, busy, 1, []int{502}},
		"unsafe, own failure":              {matcher.Unsafe, 3, fails, 1, []int{500}},
		"unsafe, not run":                  {matcher.Unsafe, 3, full, 2, []int{200}},
		"unsafe, not run, one attempt":     {matcher.Unsafe, 1, full, 1, []int{503}},
		"unsafe, other endpoint":           {matcher.Unsafe, 3, elsewhere, 2, []int{200}},
		"safe, connection closed":          {matcher.Safe, 3, closes, 2, []int{200}},
		"safe, answer cut":                 {matcher.Safe, 3, cutBody, 2, []int{200}},
		"safe, unsigned success":           {matcher.Safe, 3, unsigned, 2, []int{200}},
		"safe, own failure":                {matcher.Safe, 3, fails, 2, []int{200}},
		"safe, one attempt":                {matcher.Safe, 1, closes, 1, []int{502}},
		"safe, failure, one attempt":       {matcher.Safe, 1, fails, 1, []int{500}},
		"safe, encoded body":               {matcher.Safe, 3, encoded, 2, []int{200}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(tt.kind, func(r *matcher.Route) { r.Attempts = tt.attempts }), firstThen(tt.first, ok)...)
			got := f.do("POST", "/a/x", "body")
			if got.err != nil || got.status != tt.status[0] {
				t.Errorf("answer: got %d %v, want %d", got.status, got.err, tt.status[0])
			}
			if n := f.sent(); n != tt.sends {
				t.Errorf("sends: got %d, want %d", n, tt.sends)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal without Retry-After")
			}
		})
	}
}

func cutBody(c net.Conn, r *http.Request, _ string) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nfin",
		r.Header.Get("X-Id"))
	return false
}

func unsigned(c net.Conn, r *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	return true
}

func noAnswer(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "what is this\r\n\r\n")
	return true
}

func busy(c net.Conn, r *http.Request, _ string) bool { return say(c, r, 503, "busy") }

func fails(c net.Conn, r *http.Request, _ string) bool { return say(c, r, 500, "failed") }

func elsewhere(c net.Conn, r *http.Request, _ string) bool { return say(c, r, 421, "") }

func encoded(c net.Conn, r *http.Request, _ string) bool {
	return say(c, r, 200, "....", "Content-Encoding: gzip")
}

// Guards against an answer that belongs to another request: a second answer
// that arrives late on a kept connection (rule MIXED).
func TestStrayAnswers(t *testing.T) {
	tests := map[string]behaviour{
		"second answer at once": func(c net.Conn, r *http.Request, _ string) bool {
			return say(c, r, 200, "mine "+r.Header.Get("X-Id")) && say(c, r, 200, "stray")
		},
		"second answer with the next one": func() behaviour {
			before := ""
			return func(c net.Conn, r *http.Request, _ string) bool {
				if before != "" {
					late := r.Clone(context.Background())
					late.Header.Set("X-Id", before)
					say(c, late, 200, "stray")
				}
				before = r.Header.Get("X-Id")
				return say(c, r, 200, "mine "+before)
			}
		}(),
		"bytes after the answer": func(c net.Conn, r *http.Request, _ string) bool {
			defer func() { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") }()
			return say(c, r, 200, "mine "+r.Header.Get("X-Id"))
		},
	}
	for name, does := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Safe, nil), does)
			for i := range 6 {
				id := fmt.Sprint("id-", i)
				got := f.do("GET", "/a/x", "", names.ID, id)
				if want := "mine " + id; got.status != 200 || got.body != want {
					t.Errorf("request %d: got %d %q, want %q", i, got.status, got.body, want)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// Guards against a request that an endpoint gets with another method, path,
// query or body, with the client's key, or with headers that are the router's
// to set (rule UNASKED).
func TestOutgoing(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Public = false }), ok)
	body := strings.Repeat("b", 3000)
	got := f.do(
		"POST",
		"/a/%2e%2e/x//y?q=1&q=%20;",
		body,
		names.Key,
		"good",
		"X-Reserved",
		"1",
		names.Workspace,
		"forged",
		names.Target,
		"forged",
		"X-Other",
		"kept",
		"X-Hop",
		"1",
		"Connection",
		"X-Hop",
		names.Deadline,
		"2000",
	)
	if got.status != 200 {
		t.Fatalf("answer: got %d %q", got.status, got.body)
	}
	r, sent := f.endpoints[0].last()
	tests := map[string]struct{ got, want string }{
		"method":    {r.Method, "POST"},
		"target":    {r.RequestURI, "/a/%2e%2e/x//y?q=1&q=%20;"},
		"host":      {r.Host, "h.example"},
		"body":      {sent, body},
		"id":        {r.Header.Get(names.ID), "id-1"},
		"key":       {r.Header.Get(names.Key), ""},
		"workspace": {r.Header.Get(names.Workspace), "w"},
		"target id": {r.Header.Get(names.Target), "e0"},
		"reserved":  {r.Header.Get("X-Reserved"), ""},
		"hop":       {r.Header.Get("X-Hop"), ""},
		"other":     {r.Header.Get("X-Other"), "kept"},
	}
	for name, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %q, want %q", name, tt.got, tt.want)
		}
	}
	left, err := strconv.Atoi(r.Header.Get(names.Deadline))
	if err != nil || left > 2000 || left < 1500 {
		t.Errorf("deadline: got %q, want a little under 2000", r.Header.Get(names.Deadline))
	}
}

// Guards against a request smuggled inside a body: what follows the stated
// length is not part of the request that the endpoint gets.
func TestSmuggledRequest(t *testing.T) {
	tests := map[string]string{
		"both lengths": "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\nX-Deadline: 900\r\n" +
			"Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			"GET /a/evil HTTP/1.1\r\nHost: h.example\r\nX-Id: e\r\n\r\n",
		"two lengths": "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\nContent-Length: 3\r\nContent-Length: 50\r\n\r\n" +
			"abcGET /a/evil HTTP/1.1\r\nHost: h.example\r\n\r\n",
		"odd encoding": "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\nTransfer-Encoding: xchunked\r\n\r\n" +
			"GET /a/evil HTTP/1.1\r\nHost: h.example\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, nil), ok)
			c, err := net.Dial("tcp", f.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, text)
			_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = io.ReadAll(c)
			e := f.endpoints[0]
			e.mu.Lock()
			defer e.mu.Unlock()
			for i, r := range e.requests {
				if strings.Contains(e.bodies[i], "evil") {
					t.Errorf("body %q holds the smuggled request", e.bodies[i])
				}
				if n := r.Header.Get("X-Id"); n == "e" && len(e.requests) > 1 && r.ContentLength > 0 {
					t.Errorf("smuggled request ran with a body")
				}
			}
		})
	}
}

// Guards against an answer long after the route's time-out, and against an
// endpoint that gets more time than is left (rules CONFIG and BUDGET).
func TestTimeout(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Timeout = 300 }), hangs)
	begin := time.Now()
	got := f.do("POST", "/a/x", "b")
	if took := time.Since(begin); took > 550*time.Millisecond || got.status != 504 {
		t.Errorf("got %d after %v, want 504 within 250 ms of the time-out", got.status, took)
	}
	r, _ := f.endpoints[0].last()
	if left, _ := strconv.Atoi(r.Header.Get(names.Deadline)); left > 300 {
		t.Errorf("deadline: got %d, want at most the time-out of 300", left)
	}
}

// Guards against work that goes on for a client that has left (rule GONE).
func TestClientLeaves(t *testing.T) {
	gone := make(chan time.Time, 1)
	f := newFleet(t, route(matcher.Safe, nil), func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		gone <- time.Now()
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "GET", f.front.URL+"/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	var left time.Time
	time.AfterFunc(150*time.Millisecond, func() { left = time.Now(); cancel() })
	if _, err := http.DefaultTransport.RoundTrip(r); err == nil {
		t.Fatal("got an answer")
	}
	select {
	case at := <-gone:
		if d := at.Sub(left); d > 500*time.Millisecond {
			t.Errorf("the endpoint was left after %v, want within 500 ms", d)
		}
	case <-time.After(2 * time.Second):
		t.Error("the endpoint still works for a client that has left")
	}
}

// Guards against requests to an evacuated data centre, held ones included
// (rule EVAC), and against a wait until the deadline where nothing can serve.
func TestEvacuated(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), ok)
	f.evacuated["dc"] = true
	begin := time.Now()
	got := f.do("POST", "/a/x", "b")
	if got.status != 503 || f.sent() != 0 || time.Since(begin) > time.Second {
		t.Errorf("got %d after %v and %d sends, want 503 at once and none", got.status, time.Since(begin), f.sent())
	}
	if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 1 {
		t.Errorf("Retry-After: got %q, want a fraction of a second", got.header.Get("Retry-After"))
	}
}

// Guards against an unsafe request on a kept connection that its endpoint
// closes at the same moment, which leaves an unknown outcome (rule LOST).
func TestUnsafeUsesFreshConnections(t *testing.T) {
	closeNext := func() behaviour {
		n := 0
		return func(c net.Conn, r *http.Request, _ string) bool {
			if n++; n > 1 {
				return false // the second request on this connection meets its end
			}
			return say(c, r, 200, "fine")
		}
	}
	f := newFleet(t, route(matcher.Unsafe, nil), func(c net.Conn, r *http.Request, b string) bool {
		return closeNext()(c, r, b)
	})
	for range 3 {
		if got := f.do("POST", "/a/x", "b"); got.status != 200 {
			t.Errorf("got %d, want 200", got.status)
		}
	}
}

// Guards against an endpoint that answers before it has read a long body, and
// gets other bytes than the rest of that body afterwards (rule UNASKED).
func TestEarlyAnswer(t *testing.T) {
	body := strings.Repeat("x", 900<<10)
	rests := make(chan string, 8)
	f := newFleet(t, route(matcher.Unsafe, nil), ok)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				say(c, r, 413, "")
				time.Sleep(50 * time.Millisecond)
				_ = c.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
				rest, _ := io.ReadAll(br)
				rests <- string(rest)
			}()
		}
	}()
	e := f.catalog.Snapshot().Endpoint("e0").Endpoint
	e.Address = listener.Addr().String()
	f.catalog.Put(clock.Boot().Now(), e)
	if got := f.do("POST", "/a/x", body); got.status != 413 {
		t.Errorf("got %d, want the endpoint's 413", got.status)
	}
	// The next request must not share the connection with an unread body.
	f.do("POST", "/a/x", "other")
	for range 2 {
		rest := <-rests
		if n := strings.Count(rest, "x"); rest != "other" && (n != len(rest) || n > len(body)) {
			t.Errorf("got %d bytes of which %d belong to the body, want at most %d and no others", len(rest), n, len(body))
		}
	}
}

// Guards against more endpoints for one request than its route allows (rule
// BUDGET).
func TestAttempts(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		f := newFleet(t, route(matcher.Safe, func(r *matcher.Route) { r.Attempts = attempts }),
			closes, closes, closes, closes, closes)
		got := f.do("GET", "/a/x", "")
		if f.sent() != attempts || got.status != 502 {
			t.Errorf("attempts %d: got %d sends and %d, want as many and 502", attempts, f.sent(), got.status)
		}
	}
}

// Guards against requests to a version that was judged bad, although no
// endpoint of the former one is left (rule EXPOSURE).
func TestStoppedVersionGetsNothing(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), ok)
	f.stager.Set(0, stager.Order{Service: "s", Target: "v1", Duration: 20000, Phase: stager.RolledBack})
	if got := f.do("POST", "/a/x", "b"); got.status != 503 || f.sent() != 0 {
		t.Errorf("got %d and %d sends, want 503 and none", got.status, f.sent())
	}
}

// Guards against a process that is about to stop and takes streams that would
// be cut, or leaves kept connections open.
func TestLeaving(t *testing.T) {
	f := newFleet(t, route(matcher.Stream, resumable), func(c net.Conn, r *http.Request, _ string) bool {
		return events(c, r, 1, 4, true)
	})
	f.dispatcher.Drain()
	got := f.do("POST", "/a/x", "b")
	if got.status != 200 || got.body != wholeStream {
		t.Errorf("draining: got %d %q", got.status, got.body)
	}
	f.dispatcher.Leave()
	if got := f.do("POST", "/a/x", "b"); got.status != 503 {
		t.Errorf("leaving: got %d, want 503", got.status)
	}
}

// Guards against connections that fail and count as requests: the retry budget
// would grow with every failure (rule BUDGET).
func TestFailedConnectionsAreNoRequests(t *testing.T) {
	f := newFleet(t, route(matcher.Safe, nil), ok, ok, ok)
	for _, e := range f.endpoints[:2] {
		_ = e.listener.Close()
	}
	f.dispatcher.options.Budget = budgeter.New(budgeter.Options{Window: 10 * clock.Second, Ratio: 1})
	const requests = 6
	for i := range requests {
		if got := f.do("GET", "/a/x", "", names.ID, fmt.Sprint("id-", i)); got.status != 200 {
			t.Errorf("request %d: got %d, want 200", i, got.status)
		}
	}
	repeats := 0
	for f.dispatcher.options.Budget.Repeat(clock.Boot().Now(), "s", 1, 0, budgeter.Others{}) {
		repeats++
	}
	if repeats >= requests {
		t.Errorf("repeats allowed after %d requests: got %d, want fewer", requests, repeats)
	}
}
