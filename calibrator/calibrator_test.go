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

// Guards against requests beyond the number that an endpoint serves well, against a
// limit that rests on chance or on few samples, and against one that stays for good.
// The durations double beyond half of the slots.
func TestLimitIsTheKnee(t *testing.T) {
	tests := map[string]struct {
		knee   int
		beyond int // samples beyond the knee
		wait   clock.Millis
		want   int
	}{
		"knee at half of the slots":  {4, 200, 0, 4},
		"knee at one request":        {1, 200, 0, 1},
		"no knee":                    {8, 200, 0, 8},
		"too few samples beyond it":  {4, 25, 0, 8},
		"not seen for half an hour":  {4, 60, 30 * clock.Minute, 8},
		"still known after a minute": {4, 200, clock.Minute, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, list := New(Options{Plain: 30}), testEndpoints(6)
			now := clock.Millis(1000)
			for i := range 1200 {
				for _, e := range list[1:] {
					c.RecordPlain(now, e, 1, 60)
				}
				running := 1 + i%8
				ms := 50 + float64(i*7%20)
				if running > tt.knee {
					ms *= 2
				}
				if running <= tt.knee || i < 8*tt.beyond/(8-tt.knee) {
					c.RecordPlain(now, list[0], running, ms)
				}
				now += 20
			}
			c.Speed(now+tt.wait, list[0])
			for range 10 {
				for _, e := range list {
					c.RecordPlain(now+tt.wait, e, 1, 60)
				}
			}
			now += tt.wait + 2*kneeInterval
			got := c.Speed(now, list[0])
			if got.Limit != tt.want || (got.Confidence > 0) != (tt.want < 8) {
				t.Errorf("got limit %d with confidence %.2f, want %d", got.Limit, got.Confidence, tt.want)
			}
			if tt.knee < 8 && tt.want == tt.knee && got.Factor > 1.3 {
				t.Errorf("factor: got %.2f, want about 1", got.Factor)
			}
		})
	}
}

// Guards against log lines for each small change of a factor, and against an endpoint
// that is reported as slow for ever.
func TestChangesAreReportedOnce(t *testing.T) {
	c, list := New(Options{Plain: 30}), testEndpoints(6)
	var got []bool
	for now := clock.Millis(1000); now < 120000; now += 250 {
		for i, e := range list {
			ms := 50.0
			if i == 0 && now/20000 == 1 {
				ms = 120
			}
			c.RecordPace(now, e, "m", 1, ms)
		}
		changes, largest, slow := c.Changes(now)
		for _, ch := range changes {
			got = append(got, ch.Slow)
			if ch.Endpoint != "e0" || ch.Slow && (largest < 1.5 || slow != 1) {
				t.Errorf("got %+v with largest factor %.2f and %d slow", ch, largest, slow)
			}
		}
	}
	if len(got) != 2 || !got[0] || got[1] {
		t.Errorf("changes: got %v, want slow and then not slow", got)
	}
}

// Guards against a response of an endpoint's earlier process that resets what is known of
// its present one.
func TestLateResponseOfEarlierProcess(t *testing.T) {
	c := New(Options{Plain: 30})
	earlier := Endpoint{Key: 1, ID: "a", Service: "s", StartedAt: 1000, Slots: 8}
	present := earlier
	present.StartedAt = 2000
	c.Speed(1, present)
	c.RecordPlain(2, earlier, 1, 100)
	c.RecordFailure(3, earlier)
	if got := c.endpoints[1]; got.StartedAt != present.StartedAt || got.failed {
		t.Errorf("got the process started at %d, failed %v, want that of %d", got.StartedAt, got.failed, present.StartedAt)
	}
}
