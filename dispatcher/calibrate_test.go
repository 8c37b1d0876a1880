package dispatcher

import (
	"net"
	"net/http"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against endpoints that look slow because they read another prompt between
// two events, and against those that look fast because events arrive together.
func TestPaceIgnoresPrefillOfOthers(t *testing.T) {
	tests := map[string]struct {
		gaps []clock.Millis
		want float64
	}{
		"even":                      {[]clock.Millis{60, 60, 60, 60, 60, 60, 60, 60}, 60},
		"half of the gaps are long": {[]clock.Millis{60, 300, 60, 250, 60, 400, 60, 200}, 60},
		"two events together":       {[]clock.Millis{60, 120, 0, 60, 60, 60, 60, 60}, 60},
		"slow":                      {[]clock.Millis{150, 150, 150, 300, 150, 150, 150, 150}, 150},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p pace
			now := clock.Millis(1000)
			p.begin(now)
			for i, gap := range tt.gaps {
				now += gap
				if got, want := p.add(now, 1), i == len(tt.gaps)-1; got != want {
					t.Fatalf("known after %d events: got %v, want %v", i+1, got, want)
				}
			}
			if got := p.ms(); got != tt.want {
				t.Errorf("ms per event: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against learnt speeds that do not affect the choice, and against a roll-out
// that takes a slow version's latencies for expected ones.
func TestSlowEndpointCostsMore(t *testing.T) {
	idle := func(net.Conn, *http.Request, string) bool { return false }
	f := newFleet(t, route(matcher.Stream, nil), idle, idle, idle)
	d, list := f.dispatcher, f.catalog.Snapshot(0).Service("s")
	now := clock.Millis(1000)
	for ; now < 30000; now += 250 {
		for i, e := range list {
			d.options.Calibrator.RecordPace(now, d.calibrated(e), "m", 1, []float64{150, 50, 50}[i])
		}
	}
	q := &criteria{service: "s", config: &matcher.Service{CacheTokens: 1}, prompt: prompt{tokens: 2000}}
	chosen := make(map[string]int)
	for i := range 256 {
		q.salt = string(rune('a' + i))
		at, c := d.pick(now, q, list)
		chosen[list[at].ID]++
		if got, want := c.expected(q), 2*c.predicted(q); list[at].ID == "e0" && got < want {
			t.Errorf("expected time: got %d ms, want at least %d", got, want)
		}
	}
	if got := chosen["e0"]; got == 0 || got > 25 {
		t.Errorf("requests at the slow endpoint: got %d of 256, want a few", got)
	}
	d.loadOf("e0").work = 100
	if got := d.candidate(now, q, list[0]).Work; got < 250 {
		t.Errorf("queued work: got %.0f ms, want about 300", got)
	}
	for i := range 800 {
		running := 1 + i%8
		d.options.Calibrator.RecordPlain(now, d.calibrated(list[1]), running, []float64{50, 150}[running/5])
	}
	now += 2 * clock.Second
	if got := d.candidate(now, q, list[1]).Slots; got != 4 {
		t.Errorf("requests at an endpoint that serves four well: got %d slots of 8, want 4", got)
	}
}

// Guards against responses that do not reach the calibrator, and against failures that
// count as samples: an endpoint that responds fast because it fails must not look fast.
func TestSamples(t *testing.T) {
	plain := func(status int) handler {
		return func(c net.Conn, r *http.Request, _ string) bool {
			time.Sleep(2 * time.Millisecond)
			return writeResponse(c, r, status, "body")
		}
	}
	stream := func(events int, complete bool) handler {
		return func(c net.Conn, r *http.Request, _ string) bool {
			time.Sleep(40 * time.Millisecond)
			return writeEvents(c, r, 1, events, complete)
		}
	}
	tests := map[string]struct {
		kind   matcher.Kind
		handle handler
		tokens string
		want   bool
	}{
		"plain response":                {matcher.Safe, plain(200), "", true},
		"plain response with a failure": {matcher.Safe, plain(500), "", false},
		"stream of a long prompt":       {matcher.Stream, stream(2, true), "2000,10", true},
		"stream of a short prompt":      {matcher.Stream, stream(2, true), "100,10", false},
		"stream without an event":       {matcher.Stream, stream(0, false), "2000,10", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(tt.kind, func(r *matcher.Route) { r.Attempts = 1 }), tt.handle)
			if tt.kind == matcher.Stream {
				f.config.Services[0].CacheTokens = 1
				f.setConfig(f.config)
			}
			start := f.dispatcher.options.Clock.Now
			f.dispatcher.options.Clock = clock.Clock{Now: func() clock.Millis { return start() + 2*settleTime }}
			for range 12 {
				f.do("POST", "/a/x", "prompt", names.Tokens, tt.tokens)
			}
			samples := 0
			f.dispatcher.options.Calibrator.Reports(start(), func(r calibrator.Report) { samples += r.Count })
			if got := samples > 0; got != tt.want {
				t.Errorf("got %d samples, want any: %v", samples, tt.want)
			}
		})
	}
}
