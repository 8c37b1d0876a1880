package dispatcher

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/stager"
)

// Guards against requests beyond the rate that an endpoint states, and against
// clients that wait for an endpoint although none accepts requests in time (soak
// rule LIMIT).
func TestStatedLimit(t *testing.T) {
	limited := func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, 200, "fine", "X-Limit: 0.5")
	}
	tests := map[string]struct {
		handlers []handler
		sends    int // to the first endpoint
		refused  int
	}{
		// The first response states the limit, which then allows two requests in 4.2 s.
		"the only endpoint": {[]handler{limited}, 3, 7},
		"another endpoint":  {[]handler{limited, succeed}, 3, 0},
		"malformed limit": {[]handler{func(c net.Conn, r *http.Request, _ string) bool {
			return writeResponse(c, r, 200, "fine", "X-Limit: few")
		}}, 10, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, nil), tt.handlers...)
			refused := 0
			for i := range 10 {
				got := f.do("POST", "/a/x", "body", names.ID, "id-"+strconv.Itoa(i))
				if got.status == 200 {
					continue
				}
				refused++
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != 503 || err != nil || after < 1 {
					t.Errorf("refusal: got %d, Retry-After %v %v, want 503 and at least 1", got.status, after, err)
				}
			}
			if refused != tt.refused {
				t.Errorf("refused: got %d, want %d", refused, tt.refused)
			}
			if got := f.endpoints[0].count(); got > tt.sends {
				t.Errorf("sends: got %d, want at most %d", got, tt.sends)
			}
		})
	}
}

// Guards against requests to an endpoint that has turned one away and asked for a
// pause, and against clients that wait although no endpoint serves them in time (soak
// rule BUDGET).
func TestPause(t *testing.T) {
	pause := func(value string) handler {
		return func(c net.Conn, r *http.Request, _ string) bool {
			return writeResponse(c, r, 503, "", "X-Not-Run: 1", "Retry-After: "+value)
		}
	}
	tests := map[string]struct {
		handlers   []handler
		sends      int     // to the first endpoint, of ten requests
		status     int     // of the last request
		retryAfter float64 // s, least of all refusals; they vary by a quarter
	}{
		"the only endpoint": {[]handler{pause("3")}, 1, 503, 2},
		"another endpoint":  {[]handler{pause("3"), succeed}, 1, 200, 0},
		"fraction":          {[]handler{pause("1.5")}, 1, 503, 0.8},
		"no pause":          {[]handler{pause("soon")}, 10, 503, 0.3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, func(r *matcher.Route) { r.Attempts = 2 }), tt.handlers...)
			var got response
			for i := range 10 {
				got = f.do("POST", "/a/x", "body", names.ID, "id-"+strconv.Itoa(i))
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status == 503 && (err != nil || after < tt.retryAfter) {
					t.Errorf("request %d: got Retry-After %v %v, want at least %v", i, after, err, tt.retryAfter)
				}
			}
			if got.status != tt.status {
				t.Errorf("last request: got %d, want %d", got.status, tt.status)
			}
			if n := f.endpoints[0].count(); n > tt.sends {
				t.Errorf("sends: got %d, want at most %d", n, tt.sends)
			}
		})
	}
}

// Guards against requests to an endpoint that has stated in an answer that it leaves,
// before the store shows that, and against one that stays unused after its process
// has restarted (soak rule DRAIN).
func TestLeavingEndpoint(t *testing.T) {
	tests := map[string]struct {
		value string
		sends int // to the endpoint, of ten requests
	}{
		"leaves": {"1", 1}, "does not leave": {"0", 10}, "no value": {"", 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, nil), func(c net.Conn, r *http.Request, _ string) bool {
				return writeResponse(c, r, 200, "fine", "X-Leaving: "+tt.value)
			})
			send := func() {
				for i := range 10 {
					f.do("POST", "/a/x", "body", names.ID, "id-"+strconv.Itoa(i))
				}
			}
			send()
			if n := f.endpoints[0].count(); n != tt.sends {
				t.Errorf("sends: got %d, want %d", n, tt.sends)
			}
			entry := cataloger.Endpoint{
				ID: "e0", Service: "s", Address: f.endpoints[0].listener.Addr().String(), DataCentre: "dc", Version: "v1", Slots: 8,
			}
			entry.Sequence++
			f.catalog.Put(f.confirmed(), entry)
			send()
			if n := f.endpoints[0].count(); tt.sends == 1 && n != 1 {
				t.Errorf("sends after another report: got %d, want 1", n)
			}
			entry.StartedAt++
			f.catalog.Put(f.confirmed(), entry)
			send()
			if n := f.endpoints[0].count(); n <= tt.sends {
				t.Errorf("sends after the restart of the endpoint: got %d, want more than %d", n, tt.sends)
			}
		})
	}
}

// Guards against sessions of the old version that are sent to the target of a roll-out
// because the old endpoints accept requests only later (soak rule EXPOSURE).
func TestLimitIsNoReasonForTheTarget(t *testing.T) {
	limited := func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, 200, "fine", "X-Limit: 0.5")
	}
	f := newFleet(t, route(matcher.Unsafe, nil), limited, succeed)
	f.catalog.Put(f.confirmed(), cataloger.Endpoint{
		ID: "e1", Service: "s", Address: f.endpoints[1].listener.Addr().String(), DataCentre: "dc", Version: "v2", Slots: 8,
	})
	f.stager.Set(f.confirmed(), stager.Rollout{Service: "s", Target: "v2", Duration: clock.Minute, Phase: stager.Active})
	for i := range 40 {
		id := strconv.Itoa(i)
		f.do("POST", "/a/x", "body", names.ID, "id-"+id, names.Session, "session-"+id)
	}
	if got := f.endpoints[1].count(); got > 12 {
		t.Errorf("requests to the target: got %d of 40, want at most 12", got)
	}
	if got := f.endpoints[0].count(); got == 0 {
		t.Error("requests to the old version: got 0")
	}
}
