package dispatcher

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// settle lets the quarantiner decide as if no more observations came.
func (f *fleet) settle() { f.quarantine.Decide(clock.Boot().Now() + clock.Second) }

// deadly answers requests with events, and those with the part "dead" by end. If
// ends is set, the endpoint then ends: its port refuses connections.
func deadly(f **fleet, ends bool, begin string) handler {
	return func(c net.Conn, r *http.Request, _ string) bool {
		if !slices.Contains(strings.Split(r.Header.Get(names.Prefix), ","), "dead:5") {
			return writeEvents(c, r, 1, 2, true)
		}
		if begin != "" {
			_, _ = fmt.Fprintf(c, begin, r.Header.Get(names.ID))
		}
		if ends {
			for _, e := range (*f).endpoints {
				if e.id == r.Header.Get(names.Target) {
					_ = e.listener.Close()
				}
			}
		}
		return false
	}
}

// Guards against requests with one part in their prompts that crash endpoint after
// endpoint, each of which takes all its other requests with it. Sound requests that
// share the other parts must go on, and an endpoint that only closes connections is
// no reason to hold anything.
func TestPromptsThatCrashEndpoints(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n"
	tests := map[string]struct {
		ends        bool
		begin       string // what the endpoint sends before its end
		wantCrashes int    // at most
		wantHeld    bool
	}{
		"before the header":                  {true, "", 4, true},
		"after the header, chunked":          {true, head + "Transfer-Encoding: chunked\r\n\r\n", 4, true},
		"after the header, no length":        {true, head + "\r\nid: 1\nda", 4, true},
		"only the connection, before header": {false, "", 0, false},
		"only the connection, after header":  {false, head + "Transfer-Encoding: chunked\r\n\r\n", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f *fleet
			handlers := make([]handler, 12)
			for i := range handlers {
				handlers[i] = deadly(&f, tt.ends, tt.begin)
			}
			f = newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Resumable = true }), handlers...)
			sound := func() response { return f.do("POST", "/a/x", "", names.Prefix, "system:3,subject:4,own:1") }
			if got := sound(); got.status != 200 {
				t.Fatalf("sound request before: got %d", got.status)
			}
			for i := range 4 {
				f.do("POST", "/a/x", "", names.Prefix, fmt.Sprintf("system:3,subject:4,dead:5,own-%d:1", i))
				f.settle()
			}
			ended := 0
			for _, e := range f.endpoints {
				c, err := net.Dial("tcp", e.listener.Addr().String())
				if err != nil {
					ended++
					continue
				}
				_ = c.Close()
			}
			if ended > tt.wantCrashes {
				t.Errorf("%d endpoints have ended, want at most %d", ended, tt.wantCrashes)
			}
			before := f.sent()
			got := f.do("POST", "/a/x", "", names.Prefix, "system:3,dead:5,own-9:1")
			if held := got.status == 503 && f.sent() == before; held != tt.wantHeld {
				t.Errorf("next such request: got %d after %d sends, want held %v", got.status, f.sent()-before, tt.wantHeld)
			}
			if got := sound(); got.status != 200 || got.err != nil {
				t.Errorf("sound request after: got %d, %v", got.status, got.err)
			}
		})
	}
}

// Guards against one request that ends more than two endpoints, since the router
// sends it to the next one each time.
func TestOneRequestEndsAtMostTwoEndpoints(t *testing.T) {
	var f *fleet
	handlers := make([]handler, 6)
	for i := range handlers {
		handlers[i] = deadly(&f, true, "")
	}
	f = newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Resumable, r.Attempts = true, 6 }), handlers...)
	got := f.do("POST", "/a/x", "", names.Prefix, "system:3,dead:5,own:1")
	if got.status != 502 || f.sent() != 2 {
		t.Errorf("got %d after %d sends, want 502 after 2", got.status, f.sent())
	}
}

// Guards against a part that goes unnoticed because its entry is unusual, and
// against the last part, which belongs to one request, being taken for a shared one.
func TestReadParts(t *testing.T) {
	long := strings.Repeat("a", maxPartID+1)
	tests := map[string]struct {
		header string
		shared int
		first  string
		last   string
	}{
		"none":              {"", 0, "", ""},
		"one":               {"a1:5", 0, "", "a1"},
		"three":             {"a1:5,b2:6,c3:7", 2, "a1", "c3"},
		"spaces":            {" a1:5 , b2:6", 1, "a1", "b2"},
		"unreadable tokens": {"a1:x,b2,c3:7", 2, "a1", "c3"},
		"long id":           {long + ":5,b2:6", 1, fmt.Sprintf("%x", matcher.Hash("part", long)), "b2"},
		"many":              {strings.Repeat("a1:5,", 3*maxPromptParts) + "b2:6", maxPromptParts, "a1", "b2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			shared, last := readParts(tt.header)
			if len(shared) != tt.shared || last != tt.last || tt.shared > 0 && shared[0] != tt.first {
				t.Errorf("got %d parts from %.20v, last %q; want %d from %q, last %q",
					len(shared), shared, last, tt.shared, tt.first, tt.last)
			}
		})
	}
}
