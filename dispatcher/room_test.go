package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a request that waits at an endpoint until its caller has left, and
// against a refusal while an endpoint is free or while the load of others is unknown.
func TestNoRoom(t *testing.T) {
	tests := map[string]struct {
		engine     bool
		work       float64 // that others have placed on the endpoint, in ms
		running    int     // their requests
		unreported bool
		want       int
	}{
		"engine, free":                   {true, 0, 0, false, 200},
		"engine, queue before the end":   {true, 1000, 3, false, 200},
		"engine, queue beyond the end":   {true, 4000, 3, false, 503},
		"plain, free":                    {false, 240, 7, false, 200},
		"plain, queue before the end":    {false, 0, 80, false, 200},
		"plain, queue beyond the end":    {false, 0, 2000, false, 503},
		"nothing known after a restart":  {true, 0, 0, true, 200},
		"nothing known, plain, no queue": {false, 0, 0, true, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Unsafe, nil), succeed)
			if tt.engine {
				c := f.config
				c.Services = []matcher.Service{{Name: "s", CacheTokens: 1000}}
				f.setConfig(c)
			}
			f.dispatcher.options.PeerLoad = func(uint64) (float64, int, float64) { return tt.work, tt.running, 0 }
			f.dispatcher.options.Neighbours = func() (int, bool) { return 4, !tt.unreported }
			got := f.do("POST", "/a/x", "body", names.Tokens, "100,10")
			if got.status != tt.want {
				t.Fatalf("status: got %d %s, want %d", got.status, got.body, tt.want)
			}
			if tt.want == 200 {
				return
			}
			if n := f.sent(); n != 0 {
				t.Errorf("sends of a refused request: got %d, want 0", n)
			}
			w := httptest.NewRecorder()
			f.dispatcher.options.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			if want := `rosemaryarch_no_room_refusals_total{rank="0"} 1`; !strings.Contains(w.Body.String(), want) {
				t.Errorf("metrics lack %s", want)
			}
			// The caller waits for 3 s and honours a third of it.
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if err != nil || after < 0.1 || after > 1 {
				t.Errorf("Retry-After: got %q, want 0.1 to 1", got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against an instance that queues requests without end after a restart of all,
// when no neighbour has reported its load: beyond its share of the slots it must assume
// that the others have sent as much.
func TestAssumedWait(t *testing.T) {
	f := newFleet(t, route(matcher.Safe, nil), succeed)
	d := f.dispatcher
	reported := false
	d.options.Neighbours = func() (int, bool) { return 4, reported }
	q := &criteria{service: "s"}
	tests := map[string]struct {
		running  int
		reported bool
		want     float64
		more     bool
	}{
		"within the share": {1, false, 0, false},
		"at the share":     {2, false, 30.0 / 8, true},
		"beyond the share": {10, false, 33 * 30.0 / 8, true},
		"reported":         {10, true, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.loadOf("e0").running, reported = tt.running, tt.reported
			if got, more := d.assumedWait(q, 30); got != tt.want || more != tt.more {
				t.Errorf("got %v %v, want %v %v", got, more, tt.want, tt.more)
			}
		})
	}
}

// Guards against refusals after a restart that rest on the assumed load of this data centre
// only, while an endpoint elsewhere is free or the request could still be in time.
func TestAssumedLoad(t *testing.T) {
	f := newFleet(t, route(matcher.Unsafe, nil), succeed, succeed)
	d := f.dispatcher
	var list []cataloger.Endpoint
	for _, e := range f.catalog.Snapshot(0).Service("s") {
		list = append(list, e.Endpoint)
	}
	list[1].DataCentre = "other"
	f.catalog.Replace(d.options.Clock.Now(), list)
	d.options.Neighbours = func() (int, bool) { return 4, false }
	tests := map[string]struct {
		here, there int // requests in progress
		idle        bool
	}{
		"free here, within the share": {1, 8, true},
		"free here by own load only":  {7, 8, false},
		"free elsewhere":              {2000, 7, true},
		"nothing free":                {2000, 9, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d.mu.Lock()
			d.loadOf("e0").running, d.loadOf("e1").running = tt.here, tt.there
			q := &criteria{service: "s"}
			got := d.expectRoom(d.options.Clock.Now(), q, f.catalog.Snapshot(0).Service("s"))
			d.mu.Unlock()
			if got.idle != tt.idle {
				t.Errorf("idle: got %v, want %v", got.idle, tt.idle)
			}
			if got := f.do("POST", "/a/x", "body"); got.status != 200 {
				t.Errorf("status: got %d %s, want 200", got.status, got.body)
			}
		})
	}
}

// Guards against a shortage that is seen because the preferred number of requests at an
// endpoint has been reached, though it has free slots.
func TestEndpointWait(t *testing.T) {
	e := &cataloger.State{Endpoint: cataloger.Endpoint{Slots: 8}}
	tests := map[string]struct {
		candidate balancer.Candidate
		engine    bool
		wait      float64
		free      bool
	}{
		"plain, over the soft limit":  {balancer.Candidate{Slots: 4, Running: 6}, false, 0, true},
		"plain, full":                 {balancer.Candidate{Slots: 4, Running: 9}, false, 2 * 40.0 / 8, false},
		"engine, over the soft limit": {balancer.Candidate{Slots: 4, Running: 6}, true, 0, true},
		"engine, full":                {balancer.Candidate{Slots: 4, Running: 8}, true, 0, false},
		"engine, queue":               {balancer.Candidate{Slots: 8, Running: 1, Work: 50}, true, 50, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wait, free := endpointWait(tt.candidate, e, tt.engine, 40)
			if wait != tt.wait || free != tt.free {
				t.Errorf("got %v %v, want %v %v", wait, free, tt.wait, tt.free)
			}
		})
	}
}
