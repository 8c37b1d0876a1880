package placer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

const lifetime, margin = 3000, 200 // ms

func newLease(e *storeemulator.Emulator, now func() clock.Millis, member string) *Lease {
	s := e.Store()
	return &Lease{Get: s.Get, Put: s.Put, Now: now, Key: "placement/d", Member: member, Lifetime: lifetime, Margin: margin}
}

// leaseModel simulates instances that compete for one lease under one true clock,
// with faults that follow from its seed.
type leaseModel struct {
	random     *rand.Rand
	store      *storeemulator.Emulator
	now        clock.Millis
	leases     []*Lease
	paused     map[*Lease]bool
	maxNumber  uint64
	lastHolder string
	violation  string
}

func newLeaseModel(seed uint64, instances int) *leaseModel {
	m := &leaseModel{random: rand.New(rand.NewPCG(seed, 1)), store: storeemulator.New(), paused: map[*Lease]bool{}}
	for n := range instances {
		offset, clockRate := clock.Millis(m.random.IntN(9000)), 0.98+0.02*m.random.Float64()
		l := newLease(m.store, func() clock.Millis { return offset + clock.Millis(float64(m.now)*clockRate) }, fmt.Sprint(n))
		put := l.Put
		l.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
			m.advance(l)
			v, err := put(ctx, key, value, expect)
			m.advance(l)
			return v, err
		}
		m.leases = append(m.leases, l)
	}
	return m
}

// advance lets a short time pass or, sometimes, a long time in which others act.
func (m *leaseModel) advance(l *Lease) {
	m.now += clock.Millis(m.random.IntN(20))
	if m.paused[l] || m.random.IntN(20) > 0 {
		return
	}
	m.paused[l] = true
	for range m.random.IntN(30) {
		m.now += clock.Millis(m.random.IntN(400))
		m.act(m.leases[m.random.IntN(len(m.leases))])
	}
	m.paused[l] = false
}

// act calls Tick, and sometimes Change or Release, on a lease that is not paused.
func (m *leaseModel) act(l *Lease) {
	if m.paused[l] {
		return
	}
	_ = l.Tick(context.Background())
	m.check()
	switch m.random.IntN(40) {
	case 0, 1, 2, 3:
		_ = l.Change(context.Background(), func(r Record) Record { r.Stage++; return r })
	case 4:
		_ = l.Release(context.Background())
	}
	m.check()
}

// check records a violation if two members hold the lease, or if a member took it
// over without an increase of the number.
func (m *leaseModel) check() {
	var held []string
	for _, l := range m.leases {
		if !l.Held() {
			continue
		}
		held = append(held, l.Member)
		if l.Member != m.lastHolder && l.Record().FencingNumber <= m.maxNumber {
			m.violation = fmt.Sprintf("at %d: %s took over under number %d after %d",
				m.now, l.Member, l.Record().FencingNumber, m.maxNumber)
		}
		m.lastHolder, m.maxNumber = l.Member, max(m.maxNumber, l.Record().FencingNumber)
	}
	if len(held) > 1 {
		m.violation = fmt.Sprintf("at %d: members %v hold the lease", m.now, held)
	}
}

var leaseFaults = []string{"", "", "", "lose writes", "stale", "down", "heal", "heal", "pause", "resume"}

// TestSingleHolder guards against two holders of the lease at the same time, and
// against a number that does not increase with a takeover: under pauses, clocks
// with different rates, a store that is down or slow, lost answers and stale reads.
func TestSingleHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newLeaseModel(rapid.Uint64().Draw(r, "seed"), 3)
		for range rapid.IntRange(20, 200).Draw(r, "steps") {
			switch rapid.SampledFrom(leaseFaults).Draw(r, "fault") {
			case "lose writes":
				m.store.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1 + m.random.IntN(3), StaleReads: m.random.IntN(2) == 0})
			case "stale":
				m.store.SetFaults(storeemulator.Faults{StaleReads: true})
			case "down":
				m.store.SetFaults(storeemulator.Faults{Down: true})
			case "heal":
				m.store.SetFaults(storeemulator.Faults{})
			case "pause":
				m.paused[m.leases[m.random.IntN(3)]] = true
			case "resume":
				clear(m.paused)
			}
			for _, l := range m.leases {
				m.now += clock.Millis(m.random.IntN(300))
				m.act(l)
			}
		}
		m.store.SetFaults(storeemulator.Faults{})
		for _, l := range m.leases[1:] {
			m.paused[l] = true
		}
		delete(m.paused, m.leases[0])
		for n := 0; n < 100 && !m.leases[0].Held(); n++ {
			m.now += 100
			_ = m.leases[0].Tick(context.Background())
			m.check()
		}
		if m.violation == "" && !m.leases[0].Held() {
			m.violation = "the only live instance does not hold the lease"
		}
		if m.violation != "" {
			r.Fatal(m.violation)
		}
	})
}

// TestPausedHolder guards against a holder that acts after its lease has
// expired while it was paused, and against a successor that relies on the state of
// an endpoint without fencing which it read before the former commands must have
// arrived.
func TestPausedHolder(t *testing.T) {
	store, c := storeemulator.New(), clock.NewManual(0)
	a, b := newLease(store, c.Now, "a"), newLease(store, c.Now, "b")
	ctx := context.Background()
	_, _ = a.Tick(ctx), b.Tick(ctx)
	err := a.Change(ctx, func(r Record) Record {
		r.Stage, r.Desired = 9, map[string][]string{"fenced": {"v"}, "open": {"v"}}
		return r
	})
	if err != nil || !a.Held() || b.Held() {
		t.Fatalf("got %v, held by a %v, by b %v, want nil, true, false", err, a.Held(), b.Held())
	}
	_ = b.Tick(ctx)
	c.Advance(lifetime + margin - 1)
	if _ = b.Tick(ctx); b.Held() || a.Held() {
		t.Error("the lease was taken before the margin, or is held after its lifetime")
	}
	c.Advance(1)
	if err := b.Tick(ctx); err != nil || !b.Held() || b.Record().FencingNumber != a.Record().FencingNumber+1 {
		t.Errorf("takeover: got %v, held %v, number %d after %d",
			err, b.Held(), b.Record().FencingNumber, a.Record().FencingNumber)
	}
	if err := a.Change(ctx, func(r Record) Record { return r }); err == nil {
		t.Error("a holder whose lease had expired changed the record")
	}
	p := New(b.AcquiredAt(), Options{CommandTimeout: 500, LoadTimeout: 1000, Rate: 1000, Burst: 10})
	for wait, want := range []int{1, 2} {
		now := c.Advance(500 * clock.Millis(wait))
		read := []Endpoint{{ID: "fenced", Slots: 1, Fenced: true, ReadAt: now}, {ID: "open", Slots: 1, ReadAt: now}}
		p.sent = map[string]sentCommand{}
		if got := p.Tick(now+10, b.Record(), read); len(got) != want || got[0].Number != b.Record().FencingNumber {
			t.Errorf("%d ms after the takeover: got commands %v, want %d", 500*wait, got, want)
		}
	}
}

// execute applies the commands to the endpoints, except for some that are lost, and
// reads the endpoints back.
func execute(random *rand.Rand, now clock.Millis, endpoints []Endpoint, commands []Command) {
	for k := range endpoints {
		e := &endpoints[k]
		e.ReadAt = now
		for _, c := range commands {
			if c.Endpoint != e.ID || random.IntN(5) == 0 {
				continue
			}
			e.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(v string) bool { return v == c.Version })
			if c.Kind == Load {
				e.Versions = append(e.Versions, c.Version)
			}
		}
	}
}

// TestConvergence guards against placements that are never reached because of lost
// commands or because endpoints must exchange their versions, against more loads
// than the weight-store budget allows, and against endpoints that hold more versions
// than fit.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		var endpoints []Endpoint
		for n := range rapid.IntRange(1, 6).Draw(r, "endpoints") {
			e := Endpoint{ID: fmt.Sprint(n), Slots: 1 + random.IntN(3)}
			for range random.IntN(e.Slots + 1) {
				if v := fmt.Sprint(random.IntN(4)); !slices.Contains(e.Versions, v) {
					e.Versions = append(e.Versions, v)
				}
			}
			endpoints = append(endpoints, e)
		}
		shares := map[string]float64{}
		for v := range rapid.IntRange(1, 4).Draw(r, "versions") {
			shares[fmt.Sprint(v)] = random.Float64()
		}
		record := Record{FencingNumber: 7, Desired: ComputePlacement(endpoints, shares, nil)}
		options := Options{
			CommandTimeout: 100, LoadTimeout: 500, Rate: 2, Burst: 3, Stages: []float64{0.25, 0.5}, StageTime: 300,
		}
		p := New(0, options)
		var loads int
		for now := clock.Millis(0); now < 120000; now += 100 {
			execute(random, now, endpoints, nil)
			record.Stage = p.NextStage(now, record, endpoints)
			commands := p.Tick(now+1, record, endpoints)
			for _, c := range commands {
				if c.Kind == Load {
					loads++
				}
			}
			if allowed := options.Rate * float64(now+1) / 1000; float64(loads) > allowed {
				r.Fatalf("at %d: %d loads, the budget allows %.1f", now, loads, allowed)
			}
			execute(random, now+50, endpoints, commands)
			for _, e := range endpoints {
				if len(e.Versions) > e.Slots {
					r.Fatalf("endpoint %s holds %v in %d slots", e.ID, e.Versions, e.Slots)
				}
			}
		}
		for _, e := range endpoints {
			slices.Sort(e.Versions)
			if got, want := fmt.Sprint(e.Versions), fmt.Sprint(record.Desired[e.ID]); got != want {
				r.Fatalf("endpoint %s holds %s, want %s (stage %d)", e.ID, got, want, record.Stage)
			}
		}
	})
}

// TestLastCopy guards against an unload of the only copy of a version that another
// endpoint is still to load, and against a staged return to service in which all
// endpoints load at once.
func TestLastCopy(t *testing.T) {
	record := Record{FencingNumber: 3, Desired: map[string][]string{"a": {"v"}, "b": {"v"}, "c": {"w"}, "d": {"w"}}}
	options := Options{CommandTimeout: 1, LoadTimeout: 10, Rate: 1000, Burst: 100, Stages: []float64{0.5}, StageTime: 1000}
	p := New(0, options)
	endpoints := []Endpoint{
		{ID: "a", Slots: 2, ReadAt: 500}, {ID: "b", Slots: 2, ReadAt: 500},
		{ID: "c", Slots: 1, ReadAt: 500, Versions: []string{"v"}}, {ID: "d", Slots: 2, ReadAt: 500},
	}
	got := fmt.Sprint(p.Tick(1000, record, endpoints))
	if want := fmt.Sprint([]Command{{"a", Load, "v", 3}, {"b", Load, "v", 3}}); got != want {
		t.Errorf("first stage: got %s, want %s", got, want)
	}
	if got := p.Tick(1100, record, endpoints); len(got) > 0 {
		t.Errorf("before the endpoints were read again: got %v, want no commands", got)
	}
	if p.NextStage(2000, record, endpoints) != 0 {
		t.Error("the next stage began before the first one was filled")
	}
	execute(rand.New(rand.NewPCG(4, 4)), 1500, endpoints, nil)
	endpoints[0].Versions, endpoints[1].Versions = []string{"v"}, []string{"v"}
	record.Stage = p.NextStage(2000, record, endpoints)
	got = fmt.Sprint(p.Tick(2000, record, endpoints))
	if want := fmt.Sprint([]Command{{"c", Unload, "v", 3}, {"d", Load, "w", 3}}); got != want {
		t.Errorf("second stage: got %s, want %s", got, want)
	}
	record = Record{FencingNumber: 4, Desired: map[string][]string{"a": {"w"}}}
	both := []Endpoint{{ID: "a", Slots: 1, ReadAt: 500}, {ID: "b", ReadAt: 500}, {ID: "c", ReadAt: 500}}
	both[1].Versions, both[2].Versions = []string{"w"}, []string{"w"}
	got = fmt.Sprint(New(0, options).Tick(0, record, both))
	if want := fmt.Sprint([]Command{{"b", Unload, "w", 4}}); got != want {
		t.Errorf("two copies elsewhere: got %s, want %s", got, want)
	}
}

// TestComputePlacement guards against versions without a copy although there are free
// slots, against unnecessary moves, and against withdrawn versions that stay placed.
func TestComputePlacement(t *testing.T) {
	var endpoints []Endpoint
	for n := range 12 {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint(n), Slots: 2})
	}
	shares := map[string]float64{"a": 0.6, "b": 0.3, "c": 0.0999, "d": 0.0001}
	first := ComputePlacement(endpoints, shares, nil)
	for v, want := range map[string]int{"a": 12, "b": 7, "c": 2, "d": 1} {
		if got := countCopies(first, v); got < want {
			t.Errorf("version %s: got %d copies, want at least %d", v, got, want)
		}
	}
	delete(shares, "b")
	shares["e"] = 0.3
	second := ComputePlacement(endpoints, shares, first)
	var moved int
	for _, e := range endpoints {
		for _, v := range missing(second[e.ID], first[e.ID]) {
			if v != "e" {
				moved++
			}
		}
	}
	if countCopies(second, "b") != 0 || moved > 1 {
		t.Errorf("after b was replaced by e: %d copies of b, %d other moves, want 0 and at most 1",
			countCopies(second, "b"), moved)
	}
}

// TestBucket guards against a token bucket that behaves differently from
// golang.org/x/time/rate.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		perSecond := rapid.IntRange(1, 50).Draw(r, "rate")
		burst := rapid.IntRange(1, 20).Draw(r, "burst")
		start := time.UnixMilli(1_700_000_000_000)
		l := rate.NewLimiter(rate.Limit(perSecond), burst)
		l.AllowN(start, burst)
		b := tokenBucket{rate: float64(perSecond), burst: float64(burst)}
		var now clock.Millis
		for range 100 {
			now += clock.Millis(rapid.IntRange(0, 1000).Draw(r, "ms"))
			n := rapid.IntRange(1, 25).Draw(r, "n")
			wait := b.wait(now, float64(n))
			near := math.Abs(b.tokens-float64(n)) < 1e-6
			if got, want := b.take(now, float64(n)), l.AllowN(start.Add(now.Duration()), n); got != want && !near {
				r.Fatalf("at %d: take %d: got %v, want %v", now, n, got, want)
			} else if got != want {
				return
			} else if got != (wait == 0) && !near {
				r.Fatalf("at %d: take %d: got %v after a wait of %d", now, n, got, wait)
			}
		}
	})
}
