package dispatcher

import (
	"strings"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against keys that are accepted although the configuration was not
// confirmed recently, against permanent refusals by an instance that may have
// missed a change, and against sends after a key was revoked (soak rules CONFIG
// and DENIED).
func TestKeys(t *testing.T) {
	tests := map[string]struct {
		key    string
		path   string
		age    clock.Millis
		status int
		sends  int
	}{
		"known":                       {"good", "/a/x", 0, 200, 1},
		"known, confirmation expired": {"good", "/a/x", 3600, 503, 0},
		"unknown":                     {"bad", "/a/x", 0, 401, 0},
		"unknown, may be new":         {"bad", "/a/x", 3000, 503, 0},
		"none":                        {"", "/a/x", 0, 401, 0},
		"no route":                    {"good", "/b/x", 0, 404, 0},
		"no route, may be new":        {"good", "/b/x", 3000, 503, 0},
		"known, confirmed in time":    {"good", "/a/x", 3000, 200, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Public = false }), succeed)
			now := clock.Boot().Now()
			f.confirmed = func() clock.Millis { return now - tt.age }
			got := f.do("POST", tt.path, "b", names.Key, tt.key)
			if got.status != tt.status || f.sent() != tt.sends {
				t.Errorf("got %d and %d sends, want %d and %d", got.status, f.sent(), tt.status, tt.sends)
			}
		})
	}
}

// Guards against the use of a key that was revoked while the request waited for
// an endpoint or for its body.
func TestKeyRevokedWhileWaiting(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Public, r.Target = false, 2000 }), succeed)
	f.evacuated["dc"] = true
	time.AfterFunc(100*time.Millisecond, func() {
		c := f.config
		c.Version, c.Workspaces = 2, nil
		f.setConfig(c)
	})
	got := f.do("POST", "/a/x", "b", names.Key, "good")
	if got.status != 401 || f.sent() != 0 {
		t.Errorf("got %d and %d sends, want 401 and none", got.status, f.sent())
	}
}

// Guards against accepting a body or header that exceeds the operator's limits,
// and against refusing one within them.
func TestLimits(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), succeed)
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
