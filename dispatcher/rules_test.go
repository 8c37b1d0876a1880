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
	"sync"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/stager"
)

func succeed(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, "fine") }

func closeConnection(net.Conn, *http.Request, string) bool { return false }

func refuse(c net.Conn, r *http.Request, _ string) bool {
	return writeResponse(c, r, 503, "", "X-Not-Run: 1")
}

func hang(net.Conn, *http.Request, string) bool {
	time.Sleep(5 * time.Second)
	return false
}

// Guards against an unsafe request that is executed twice, and against a refusal
// that claims "not executed" for one that may have been (soak rules TWICE and
// REFUSED).
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		kind     matcher.Kind
		attempts int
		first    handler
		sends    int
		status   []int
	}{
		"unsafe, connection closed":         {matcher.Unsafe, 3, closeConnection, 1, []int{502}},
		"unsafe, truncated response":        {matcher.Unsafe, 3, truncateBody, 1, []int{502}},
		"unsafe, unsigned success":          {matcher.Unsafe, 3, unsigned, 1, []int{502}},
		"unsafe, invalid response":          {matcher.Unsafe, 3, writeGarbage, 1, []int{502}},
		"unsafe, 503 without not-executed":  {matcher.Unsafe, 3, busy, 1, []int{502}},
		"unsafe, status 500":                {matcher.Unsafe, 3, fail, 1, []int{500}},
		"unsafe, not executed":              {matcher.Unsafe, 3, refuse, 2, []int{200}},
		"unsafe, not executed, one attempt": {matcher.Unsafe, 1, refuse, 1, []int{503}},
		"unsafe, misdirected":               {matcher.Unsafe, 3, misdirect, 2, []int{200}},
		"safe, connection closed":           {matcher.Safe, 3, closeConnection, 2, []int{200}},
		"safe, truncated response":          {matcher.Safe, 3, truncateBody, 2, []int{200}},
		"safe, unsigned success":            {matcher.Safe, 3, unsigned, 2, []int{200}},
		"safe, status 500":                  {matcher.Safe, 3, fail, 2, []int{200}},
		"safe, one attempt":                 {matcher.Safe, 1, closeConnection, 1, []int{502}},
		"safe, status 500, one attempt":     {matcher.Safe, 1, fail, 1, []int{500}},
		"safe, encoded body":                {matcher.Safe, 3, encoded, 2, []int{200}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(tt.kind, func(r *matcher.Route) { r.Attempts = tt.attempts }),
				firstThen(tt.first, succeed)...)
			got := f.do("POST", "/a/x", "body")
			if got.err != nil || got.status != tt.status[0] {
				t.Errorf("status: got %d %v, want %d", got.status, got.err, tt.status[0])
			}
			if n := f.sent(); n != tt.sends {
				t.Errorf("sends: got %d, want %d", n, tt.sends)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("refusal has no Retry-After header")
			}
		})
	}
}

func truncateBody(c net.Conn, r *http.Request, _ string) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nfin",
		r.Header.Get("X-Id"))
	return false
}

func unsigned(c net.Conn, r *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	return true
}

func writeGarbage(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.WriteString(c, "what is this\r\n\r\n")
	return true
}

func busy(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 503, "busy") }

func fail(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 500, "failed") }

func misdirect(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 421, "") }

func encoded(c net.Conn, r *http.Request, _ string) bool {
	return writeResponse(c, r, 200, "....", "Content-Encoding: gzip")
}

// Guards against a response that belongs to another request, such as a second
// one that arrives late on a kept connection (soak rule MIXED).
func TestStrayResponses(t *testing.T) {
	tests := map[string]handler{
		"second response at once": func(c net.Conn, r *http.Request, _ string) bool {
			return writeResponse(c, r, 200, "mine "+r.Header.Get("X-Id")) && writeResponse(c, r, 200, "stray")
		},
		"second response with the next one": func() handler {
			before := ""
			return func(c net.Conn, r *http.Request, _ string) bool {
				if before != "" {
					late := r.Clone(context.Background())
					late.Header.Set("X-Id", before)
					writeResponse(c, late, 200, "stray")
				}
				before = r.Header.Get("X-Id")
				return writeResponse(c, r, 200, "mine "+before)
			}
		}(),
		"bytes after the response": func(c net.Conn, r *http.Request, _ string) bool {
			defer func() { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") }()
			return writeResponse(c, r, 200, "mine "+r.Header.Get("X-Id"))
		},
	}
	for name, handle := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Safe, nil), handle)
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

// Guards against a request that reaches an endpoint with another method, path,
// query or body, with the client's key, or with client values of headers that
// only the router sets (soak rule UNASKED).
func TestOutgoingRequest(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Public = false }), succeed)
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
		t.Fatalf("response: got %d %q", got.status, got.body)
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

// Guards against a request smuggled inside a body: bytes after the stated length
// must not be part of the request that the endpoint receives.
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
			f := newFleet(t, route(matcher.Unsafe, nil), succeed)
			c, err := net.Dial("tcp", f.frontend.Listener.Addr().String())
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
					t.Errorf("smuggled request was executed with a body")
				}
			}
		})
	}
}

// Guards against a response long after the route's time-out, and against an
// endpoint that is given more time than is left (soak rules CONFIG and BUDGET).
func TestTimeout(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Timeout = 300 }), hang)
	begin := time.Now()
	got := f.do("POST", "/a/x", "b")
	if elapsed := time.Since(begin); elapsed > 550*time.Millisecond || got.status != 504 {
		t.Errorf("got %d after %v, want 504 within 250 ms of the time-out", got.status, elapsed)
	}
	r, _ := f.endpoints[0].last()
	if left, _ := strconv.Atoi(r.Header.Get(names.Deadline)); left > 300 {
		t.Errorf("deadline: got %d, want at most the time-out of 300", left)
	}
}

// Guards against work that continues for a client that has disconnected (soak
// rule GONE).
func TestClientLeaves(t *testing.T) {
	closed := make(chan time.Time, 1)
	f := newFleet(t, route(matcher.Safe, nil), func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "GET", f.frontend.URL+"/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	var leftAt time.Time
	time.AfterFunc(150*time.Millisecond, func() { leftAt = time.Now(); cancel() })
	if _, err := http.DefaultTransport.RoundTrip(r); err == nil {
		t.Fatal("got a response, want an error")
	}
	select {
	case at := <-closed:
		if d := at.Sub(leftAt); d > 500*time.Millisecond {
			t.Errorf("connection to the endpoint closed after %v, want within 500 ms", d)
		}
	case <-time.After(2 * time.Second):
		t.Error("connection to the endpoint still open after the client disconnected")
	}
}

// Guards against requests to an evacuated data centre, including waiting ones
// (soak rule EVAC), and against a wait until the deadline if no endpoint can
// serve the request.
func TestEvacuated(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), succeed)
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

// Guards against an unsafe request on an idle connection that its endpoint
// closes at the same moment, which leaves the outcome unknown (soak rule LOST).
func TestUnsafeUsesNewConnections(t *testing.T) {
	var served sync.Map // connections that have served a request
	f := newFleet(t, route(matcher.Unsafe, nil), func(c net.Conn, r *http.Request, _ string) bool {
		if _, again := served.LoadOrStore(c, true); again {
			return false // the second request on a connection fails
		}
		return writeResponse(c, r, 200, "fine")
	})
	for range 3 {
		if got := f.do("POST", "/a/x", "b"); got.status != 200 {
			t.Errorf("got %d, want 200", got.status)
		}
	}
}

// Guards against an endpoint that responds before it has read a long body and
// then receives bytes other than the rest of that body (soak rule UNASKED).
func TestEarlyResponse(t *testing.T) {
	body := strings.Repeat("x", 900<<10)
	rests := make(chan string, 8)
	f := newFleet(t, route(matcher.Unsafe, nil), succeed)
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
				writeResponse(c, r, 413, "")
				time.Sleep(50 * time.Millisecond)
				_ = c.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
				rest, _ := io.ReadAll(br)
				rests <- string(rest)
			}()
		}
	}()
	e := f.catalog.Snapshot(0).Endpoint("e0").Endpoint
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

// Guards against sending one request to more endpoints than its route allows
// (soak rule BUDGET).
func TestAttempts(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		f := newFleet(t, route(matcher.Safe, func(r *matcher.Route) { r.Attempts = attempts }),
			closeConnection, closeConnection, closeConnection, closeConnection, closeConnection)
		got := f.do("GET", "/a/x", "")
		if f.sent() != attempts || got.status != 502 {
			t.Errorf("attempts %d: got %d sends and %d, want as many and 502", attempts, f.sent(), got.status)
		}
	}
}

// Guards against requests to a rolled-back version if no endpoint of another
// version is left (soak rule EXPOSURE).
func TestRolledBackVersionGetsNoRequests(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), succeed)
	f.stager.Set(0, stager.Rollout{Service: "s", Target: "v1", Duration: 20000, Phase: stager.RolledBack})
	if got := f.do("POST", "/a/x", "b"); got.status != 503 || f.sent() != 0 {
		t.Errorf("got %d and %d sends, want 503 and none", got.status, f.sent())
	}
}

// Guards against a process that accepts streams shortly before it stops, which
// would be cut off, or that refuses requests while it only drains.
func TestShutdown(t *testing.T) {
	f := newFleet(t, route(matcher.Stream, resumable), func(c net.Conn, r *http.Request, _ string) bool {
		return writeEvents(c, r, 1, 4, true)
	})
	now := f.confirmed()
	f.dispatcher.Drain(now+clock.Minute, now+clock.Minute)
	got := f.do("POST", "/a/x", "b")
	if got.status != 200 || got.body != completeStream {
		t.Errorf("draining: got %d %q, want 200 and the complete stream", got.status, got.body)
	}
	sent := f.sent()
	f.dispatcher.Drain(f.confirmed(), now+clock.Minute)
	if got := f.do("POST", "/a/x", "b"); got.status != 503 || f.sent() != sent {
		t.Errorf("after the last time for streams: got %d and %d sends, want 503 and none", got.status, f.sent()-sent)
	}
}

// Guards against failed connections that count as requests: the retry budget
// would grow with every failure (soak rule BUDGET).
func TestFailedConnectionsAddNoBudget(t *testing.T) {
	f := newFleet(t, route(matcher.Safe, nil), succeed, succeed, succeed)
	for _, e := range f.endpoints[:2] {
		e.end()
	}
	f.dispatcher.options.Budget = budgeter.New(budgeter.Options{Window: 10 * clock.Second, Ratio: 1})
	const requests = 6
	for i := range requests {
		if got := f.do("GET", "/a/x", "", names.ID, fmt.Sprint("id-", i)); got.status != 200 {
			t.Errorf("request %d: got %d, want 200", i, got.status)
		}
	}
	retries := 0
	for f.dispatcher.options.Budget.TryWithdraw(clock.Boot().Now(), "s", 1, 0, budgeter.PeerCounts{}) {
		retries++
	}
	if retries >= requests {
		t.Errorf("retries allowed after %d requests: got %d, want fewer", requests, retries)
	}
}
