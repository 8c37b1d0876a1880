package calibrator

import (
	"fmt"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// testEndpoints returns endpoints of one service.
func testEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Key: uint64(i + 1), ID: fmt.Sprint("e", i), Service: "s", Slots: 8, Local: true}
	}
	return list
}

// Guards against factors that follow a common change, outliers or failures, and
// against those that forget too fast or too slowly. Each endpoint has four samples
// per second from 1 s on; the first is the one in question.
func TestFactor(t *testing.T) {
	always := func(ms float64) func(clock.Millis) float64 { return func(clock.Millis) float64 { return ms } }
	slowBetween := func(from, to clock.Millis) func(clock.Millis) float64 {
		return func(now clock.Millis) float64 {
			if now >= from && now < to {
				return 150
			}
			return 50
		}
	}
	tests := map[string]struct {
		endpoints int
		first     func(now clock.Millis) float64 // ms per event
		others    func(now clock.Millis) float64
		until     clock.Millis // end of the first endpoint's samples
		at        clock.Millis
		min, max  float64
	}{
		"as fast as others":          {6, always(50), always(50), 60000, 60000, 0.99, 1.01},
		"three times as slow":        {6, always(150), always(50), 60000, 60000, 2.7, 3.1},
		"slow for 0.6 s":             {6, slowBetween(40000, 40600), always(50), 60000, 40600, 1.1, 1.6},
		"after 0.6 s":                {6, slowBetween(40000, 40600), always(50), 60000, 50000, 0.95, 1.1},
		"slow for 3 s":               {6, slowBetween(40000, 43000), always(50), 60000, 43000, 1.6, 2.2},
		"slow for 10 s":              {6, slowBetween(40000, 50000), always(50), 60000, 50000, 2.3, 3},
		"10 s after 10 s":            {6, slowBetween(40000, 50000), always(50), 60000, 60000, 1, 1.3},
		"all slow at once":           {6, slowBetween(40000, 60000), slowBetween(40000, 60000), 60000, 43000, 0.95, 1.05},
		"no samples after 0.6 s":     {6, slowBetween(40000, 40600), always(50), 40600, 50000, 0.95, 1.1},
		"no samples for a minute":    {6, always(150), always(50), 40000, 99000, 1.6, 2.2},
		"no samples for two minutes": {6, always(150), always(50), 40000, 160001, 1, 1.6},
		"two endpoints":              {2, always(150), always(50), 60000, 60000, 1, 1},
		"few samples":                {6, always(150), always(50), 1250, 60000, 1, 1.2},
		"never above four":           {9, always(400), always(50), 60000, 60000, 3, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, list := New(Options{Plain: 30}), testEndpoints(tt.endpoints)
			for now := clock.Millis(1000); now < tt.at; now += 250 {
				for i, e := range list {
					switch {
					case i > 0:
						c.RecordPace(now, e, "m", 4, tt.others(now))
					case now < tt.until:
						c.RecordPace(now, e, "m", 4, tt.first(now))
					}
				}
			}
			if got := c.Speed(tt.at, list[0]).Factor; got < tt.min || got > tt.max {
				t.Errorf("factor at %d: got %.3f, want %v to %v", tt.at, got, tt.min, tt.max)
			}
		})
	}
}

// Guards against an endpoint that attracts requests because it fails fast, and one
// that keeps the factor of the process that ran before under the same id.
func TestFailuresAndRestartsGiveNoSpeed(t *testing.T) {
	c, list := New(Options{Plain: 30}), testEndpoints(6)
	now := clock.Millis(0)
	for now = 1000; now < 30000; now += 250 {
		for i, e := range list {
			ms := 60.0
			if i == 0 {
				ms = 20
				c.RecordFailure(now, e)
			}
			if i == 1 {
				ms = 150
			}
			c.RecordPlain(now, e, 1, ms)
		}
	}
	if got := c.Speed(now, list[0]).Factor; got < 1 {
		t.Errorf("factor of an endpoint that fails fast: got %.2f, want 1", got)
	}
	if got := c.Speed(now, list[1]).Factor; got < 2 {
		t.Errorf("factor before a restart: got %.2f, want about 2.5", got)
	}
	if got := c.PlainDuration("s"); got < 55 || got > 65 {
		t.Errorf("mean duration: got %.1f, want about 60", got)
	}
	list[1].StartedAt = 5
	if got := c.Speed(now, list[1]).Factor; got != 1 {
		t.Errorf("factor after a restart: got %.2f, want 1", got)
	}
}

// Guards against samples that are lost, counted twice or sent without need, against a
// neighbour's text that spoils the factors, and against a restarted instance that knows
// no speeds for long.
func TestNeighboursShareSamples(t *testing.T) {
	list := testEndpoints(6)
	list[5].Local = false
	a, b, restarted := New(Options{Plain: 30}), New(Options{Plain: 30}), New(Options{Plain: 30})
	now := clock.Millis(1000)
	counts := make(map[uint64]int)
	for ; now < 9000; now += 250 {
		for i, e := range list {
			a.RecordPace(now, e, "m", 1, []float64{150, 50, 50, 50, 50, 50}[i])
		}
		a.Reports(now, func(r Report) {
			counts[r.Key] += r.Count
			b.Merge(now, r)
			if now >= 5000 {
				r.Sum, r.Count = 0, 0 // only the long-term value arrives
				restarted.Merge(now, r)
			}
		})
	}
	if got, want := counts[list[0].Key], 32-minBaseline/len(list); got < want-1 || got > want {
		t.Errorf("shared samples: got %d, want %d", got, want)
	}
	if got := counts[list[5].Key]; got != 0 {
		t.Errorf("shared samples of another data centre's endpoint: got %d, want 0", got)
	}
	for _, spoilt := range []Report{{Key: 2, Sum: 1e9, Count: 3}, {Key: 2, Sum: -5, Count: 1}, {Key: 2, Count: 9}} {
		b.Merge(now, spoilt)
	}
	for name, c := range map[string]*Calibrator{"neighbour": b, "restarted": restarted} {
		for _, e := range list {
			c.Speed(now, e)
		}
		now += refreshInterval
		slow, other := c.Speed(now, list[0]).Factor, c.Speed(now, list[1]).Factor
		if slow < 1.9 || other < 0.9 || other > 1.1 {
			t.Errorf("%s: got factors %.2f and %.2f, want about 2.5 and 1", name, slow, other)
		}
	}
	a.Reports(now, func(r Report) {
		if r.Count > 0 {
			t.Errorf("samples of endpoint %d are sent twice", r.Key)
		}
	})
}
