package dispatcher

import (
	"strings"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against keys that are honoured although the configuration was not
// confirmed lately, against refusals for good by an instance that may have
// missed a change, and against sends after the key was taken away (rules
// CONFIG and DENIED).
func TestKeys(t *testing.T) {
	tests := map[string]struct {
		key    string
		path   string
		age    clock.Millis
		status int
		sends  int
	}{
		"known":                    {"good", "/a/x", 0, 200, 1},
		"known, old confirmation":  {"good", "/a/x", 3600, 503, 0},
		"unknown":                  {"bad", "/a/x", 0, 401, 0},
		"unknown, may be new":      {"bad", "/a/x", 3000, 503, 0},
		"none":                     {"", "/a/x", 0, 401, 0},
		"no route":                 {"good", "/b/x", 0, 404, 0},
		"no route, may be new":     {"good", "/b/x", 3000, 503, 0},
		"known, bounded confirmed": {"good", "/a/x", 3000, 200, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Public = false }), ok)
			now := clock.Boot().Now()
			f.confirmed = func() clock.Millis { return now - tt.age }
			got := f.do("POST", tt.path, "b", names.Key, tt.key)
			if got.status != tt.status || f.sent() != tt.sends {
				t.Errorf("got %d and %d sends, want %d and %d", got.status, f.sent(), tt.status, tt.sends)
			}
		})
	}
}

// Guards against the use of a key that was taken away while the request waited
// for an endpoint or for its body.
func TestKeyRevokedWhileWaiting(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Public, r.Target = false, 2000 }), ok)
	f.evacuated["dc"] = true
	time.AfterFunc(100*time.Millisecond, func() {
		c := f.config
		c.Version, c.Workspaces = 2, nil
		f.set(c)
	})
	got := f.do("POST", "/a/x", "b", names.Key, "good")
	if got.status != 401 || f.sent() != 0 {
		t.Errorf("got %d and %d sends, want 401 and none", got.status, f.sent())
	}
}

// Guards against a body or header that exceeds the operator's limits, and
// against a refusal of one that does not.
func TestLimits(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), ok)
	tests := map[string]struct {
		body   int
		header int
		status int
	}{
		"within":       {1 << 20, 10 << 10, 200},
		"large body":   {1<<20 + 1, 0, 413},
		"large header": {1, 17 << 10, 431},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := f.do("POST", "/a/x", strings.Repeat("b", tt.body), "X-Long", strings.Repeat("h", tt.header))
			if got.status != tt.status {
				t.Errorf("got %d, want %d", got.status, tt.status)
			}
		})
	}
}
