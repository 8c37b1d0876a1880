package dispatcher

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/quarantiner"
)

// settle waits until the ends of endpoints are found out, and lets the quarantiner
// decide as if no more observations came.
func (f *fleet) settle() {
	time.Sleep((endCheckDelay + 50).Duration())
	f.quarantine.Decide(clock.Boot().Now() + clock.Second)
}

// ended returns the number of endpoints whose port refuses connections.
func (f *fleet) ended() int {
	n := 0
	for _, e := range f.endpoints {
		c, err := net.Dial("tcp", e.listener.Addr().String())
		if err != nil {
			n++
			continue
		}
		_ = c.Close()
	}
	return n
}

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
					e.end()
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
		"before the first byte, no length":   {true, head + "\r\n", 4, true},
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
			sound := func() response { return f.do("POST", "/a/x", "sound", names.Prefix, "system:3,subject:4,own:1") }
			if got := sound(); got.status != 200 {
				t.Fatalf("sound request before: got %d", got.status)
			}
			for i := range 4 {
				own := fmt.Sprint("own-", i)
				f.do("POST", "/a/x", own, names.Prefix, "system:3,subject:4,dead:5,"+own+":1")
				f.settle()
			}
			if ended := f.ended(); ended > tt.wantCrashes {
				t.Errorf("%d endpoints have ended, want at most %d", ended, tt.wantCrashes)
			}
			before := f.sent()
			got := f.do("POST", "/a/x", "own-9", names.Prefix, "system:3,dead:5,own-9:1")
			if held := got.status == 503 && f.sent() == before; held != tt.wantHeld {
				t.Errorf("next such request: got %d after %d sends, want held %v", got.status, f.sent()-before, tt.wantHeld)
			}
			if got := sound(); got.status != 200 || got.err != nil {
				t.Errorf("sound request after: got %d, %v", got.status, got.err)
			}
		})
	}
}

// Guards against one request that ends endpoint after endpoint, since the router
// sends it to the next one each time, and against a sound request that loses its
// third attempt because two endpoints have ended under it.
func TestSendsAfterEndsOfEndpoints(t *testing.T) {
	tests := map[string]struct {
		sound bool // a request with the part had its first event between the ends
		want  int  // sends
	}{
		"not sound": {false, 2},
		"sound":     {true, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f *fleet
			handlers := make([]handler, 6)
			for i := range handlers {
				end := deadly(&f, true, "")
				handlers[i] = func(c net.Conn, r *http.Request, body string) bool {
					time.Sleep(100 * time.Millisecond)
					if tt.sound {
						f.quarantine.RecordFirstEvent(clock.Boot().Now(), quarantiner.Request{Parts: []string{"system", "dead"}})
					}
					return end(c, r, body)
				}
			}
			f = newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Resumable = true }), handlers...)
			got := f.do("POST", "/a/x", "", names.Prefix, "system:3,dead:5,own:1")
			if got.status != 502 || f.sent() != tt.want {
				t.Errorf("got %d after %d sends, want 502 after %d", got.status, f.sent(), tt.want)
			}
		})
	}
}

// Guards against a part that goes unnoticed because its entry is unusual, against an
// id that makes the messages between instances unreadable, and against the last part,
// which belongs to one request, being taken for a shared one.
func TestReadParts(t *testing.T) {
	long := strings.Repeat("a", maxPartID+1)
	hash := func(id string) string { return fmt.Sprintf("%x", matcher.Hash("part", id)) }
	tests := map[string]struct {
		header string
		want   []string
	}{
		"none":              {"", nil},
		"one":               {"a1:5", nil},
		"three":             {"a1:5,b2:6,c3:7", []string{"a1", "b2"}},
		"spaces":            {" a1:5 , b2:6", []string{"a1"}},
		"unreadable tokens": {"a1:x,b2,c3:7", []string{"a1", "b2"}},
		"empty entries":     {"a1:5,,b2:6,", []string{"a1"}},
		"long id":           {long + ":5,b2:6", []string{hash(long)}},
		"no text":           {"a\xff1:5,b2:6", []string{hash("a\xff1")}},
		"many": {
			strings.Repeat("a1:5,", 3*maxPromptParts) + "b2:6", slices.Repeat([]string{"a1"}, maxPromptParts),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := readParts(tt.header); !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against one request that crashes endpoint after endpoint, again and again
// with the same path, caller and body, and against sound requests that are held with it.
// Seen on kseal-router, days deadly and deadly-plain.
func TestRepeatedRequestThatCrashesEndpoints(t *testing.T) {
	const body = `{"house":1}`
	tests := map[string]struct {
		kind        matcher.Kind
		prefix      string // of the prompt; empty for a plain request
		wantCrashes int    // at most
	}{
		"stream": {matcher.Stream, "system:3,subject:4,own:1", 4},
		"safe":   {matcher.Safe, "", 4},
		"unsafe": {matcher.Unsafe, "", 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f *fleet
			handlers := make([]handler, 14)
			for i := range handlers {
				handlers[i] = func(c net.Conn, r *http.Request, got string) bool {
					if r.URL.Path == "/a/x" && got == body && r.Header.Get(names.Workspace) == "w" {
						f.endpoints[i].end()
						return false
					}
					if tt.kind == matcher.Stream {
						return writeEvents(c, r, 1, 2, true)
					}
					return writeResponse(c, r, 200, "ok")
				}
			}
			f = newFleet(t, route(tt.kind, func(r *matcher.Route) { r.Resumable, r.Public = true, false }), handlers...)
			f.config.Workspaces["other"] = matcher.Workspace{Name: "v"}
			f.setConfig(f.config)
			do := func(path, body, key string) response {
				return f.do("POST", path, body, names.Key, key, names.Prefix, tt.prefix)
			}
			for range 5 {
				do("/a/x", body, "good")
				f.settle()
			}
			if ended := f.ended(); ended > tt.wantCrashes {
				t.Errorf("%d endpoints have ended, want at most %d", ended, tt.wantCrashes)
			}
			before := f.sent()
			if got := do("/a/x", body, "good"); got.status != 503 || f.sent() != before {
				t.Errorf("the same request: got %d after %d sends, want 503 after none", got.status, f.sent()-before)
			}
			for what, got := range map[string]response{
				"another path":   do("/a/y", body, "good"),
				"another caller": do("/a/x", body, "other"),
				"another body":   do("/a/x", `{"house":2}`, "good"),
			} {
				if got.status != 200 || got.err != nil {
					t.Errorf("%s: got %d, %v, want 200", what, got.status, got.err)
				}
			}
		})
	}
}
