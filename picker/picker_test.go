package picker

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
)

var distances = [][]float32{{1, 1, 30}, {1, 1, 30}, {30, 30, 1}}

// warmTable returns n warm endpoints of limit 8 in three data centres that all
// serve the given versions.
func warmTable(n, versions int) *Table {
	t := NewTable(versions, distances, 4096)
	var all []int
	for v := range versions {
		all = append(all, v)
	}
	for e := range n {
		t.Add("endpoint-"+strconv.Itoa(e), uint8(e%3), 8, all)
		t.State[e] = 0
	}
	return t
}

// Guards against the choice of an endpoint that is out, leaving, behind an open
// circuit breaker, cold without a permit, at its limit or without the version,
// and against finding no endpoint while one is eligible.
func TestPickOnlyEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const versions = 70
		table := NewTable(versions, distances, 64)
		n := rapid.IntRange(0, 12).Draw(t, "endpoints")
		for e := range n {
			table.Add("e"+strconv.Itoa(e), uint8(e%3), 3,
				rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 65}), 0, 3).Draw(t, "versions"))
			table.State[e] = rapid.SampledFrom([]uint8{
				0, 0, StateOut, StateLeaving, StateBreakerOpen, StateCold, StateCold | StateOut}).Draw(t, "state")
			table.Permit[e] = rapid.Int32Range(0, 2).Draw(t, "permit")
			for range rapid.IntRange(0, 3).Draw(t, "sent") {
				table.Sent(e)
			}
			table.Report(e, float64(rapid.IntRange(0, 4).Draw(t, "load")), 900, 1000)
			table.RecordCached(uint64(e%4), e, 1000)
		}
		q := Query{Version: rapid.SampledFrom([]int{0, 1, 65}).Draw(t, "version"), Now: 1000, Prompt: 100,
			Prefix: []uint64{1, 2}, Tokens: []int32{40, 80}}
		p, mean := Default(), table.meanReported[q.Version]
		got, reason := p.Pick(table, &q, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		eligible := 0
		for e := range n {
			load, _ := table.estimate(int32(e), mean, q.Now, 1/float32(p.MaxAge))
			isEligible := table.Serves(e, q.Version) && table.inService(int32(e)) && table.hasCapacity(int32(e), load)
			if isEligible {
				eligible++
			}
			if e == got && (!isEligible || table.State[e]&^StateCold != 0 || table.InFlight[e] >= table.Limit[e]) {
				t.Fatalf("got ineligible endpoint %d, reason %s", e, reason)
			}
		}
		if got < 0 && eligible > 0 {
			t.Fatalf("got no endpoint (%s), want one of %d", reason, eligible)
		}
	})
}

// Guards against choices that ignore a cached prefix, overload its holder, leave
// the region without need, or return the wrong reason.
func TestPickReason(t *testing.T) {
	query := Query{Now: 1000, Prompt: 1000, Prefix: []uint64{7, 8}, Tokens: []int32{100, 900}}
	tests := map[string]struct {
		query    Query
		change   func(*Table)
		endpoint int // expected index; -2 accepts any
		reason   string
	}{
		"cached prefix": {
			query: query, change: func(t *Table) { t.RecordCached(8, 4, 900) }, endpoint: 4, reason: ReasonPrefix,
		},
		"evicted prefix": {query: query, change: func(t *Table) {
			t.RecordCached(8, 4, 900)
			t.RecordEvicted(8, 4)
		}, endpoint: -2, reason: ReasonAffinity},
		"holder above the load bound": {query: query, change: func(t *Table) {
			t.RecordCached(8, 4, 900)
			t.Report(4, 7, 990, 1000)
		}, endpoint: -2, reason: ReasonAffinity},
		"no prefix": {query: Query{Now: 1000, Prompt: 10}, change: func(*Table) {}, endpoint: -2, reason: ReasonRandom},
		"all out of service": {query: query, change: func(t *Table) {
			for e := range t.State {
				t.State[e] = StateOut
			}
		}, endpoint: -1, reason: ReasonNoneInService},
		"all at their limits": {query: query, change: func(t *Table) {
			for e := range t.State {
				t.Report(e, 8, 990, 1000)
			}
		}, endpoint: -1, reason: ReasonAllAtLimit},
		"version not served": {query: query, change: func(t *Table) {
			for e := range t.State {
				t.SetVersions(e, nil)
			}
		}, endpoint: -1, reason: ReasonNone},
		"all cold, one permit": {query: query, change: func(t *Table) {
			for e := range t.State {
				t.State[e] = StateCold
			}
			t.Permit[5] = 1
		}, endpoint: 5, reason: ReasonAffinity},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, p := warmTable(12, 1), Default()
			for e := range table.ID {
				table.Report(e, 1, 900, 1000)
			}
			test.change(table)
			got, reason := p.Pick(table, &test.query, rand.New(rand.NewPCG(1, 2)))
			if test.endpoint != -2 && got != test.endpoint || reason != test.reason {
				t.Errorf("got %d %q, want %d %q", got, reason, test.endpoint, test.reason)
			}
			if got >= 0 && table.DataCentre[got] == 2 && test.endpoint == -2 {
				t.Errorf("got endpoint %d in another region", got)
			}
		})
	}
}

// Guards against estimated loads that grow without new reports, because the mean
// of the reported loads is updated with the requests that this instance sent.
func TestEstimateWithoutReports(t *testing.T) {
	table, p := warmTable(4, 1), Default()
	table.Report(0, 2, 900, 1000)
	table.Sent(0)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 100 {
		p.Pick(table, &Query{Now: 1000 + clock.Millis(i)*p.MaxAge}, r)
	}
	if got, _ := table.estimate(0, table.meanReported[0], 1e6, 1/float32(p.MaxAge)); got > 4 {
		t.Errorf("got estimated load %v, want at most 4", got)
	}
}

// Guards against requests that are lost or counted twice in the load when a new
// report, an outdated report or a new table arrives while they run, and against
// prefix hints that follow the index instead of the endpoint into a new table.
func TestReportAndCopyState(t *testing.T) {
	table := warmTable(2, 1)
	table.Report(0, 3, 1000, 1000)
	table.Sent(0)
	table.Sent(0)
	table.Report(0, 5, 1500, 2000)
	table.Report(0, 9, 1200, 2000)
	table.RecordCached(8, 1, 2000)
	newer := warmTable(3, 1)
	newer.ID[1], newer.ID[2] = newer.ID[2], newer.ID[1] // the endpoint has another index in the new table
	newer.hash[1], newer.hash[2] = newer.hash[2], newer.hash[1]
	newer.CopyState(table)
	p, q := Default(), Query{Now: 2000, Prompt: 1000, Prefix: []uint64{8}, Tokens: []int32{1000}}
	for seed := range uint64(20) {
		if got, _ := p.Pick(newer, &q, rand.New(rand.NewPCG(seed, 2))); got != 2 {
			t.Errorf("got endpoint %d, want 2, which holds the prefix", got)
		}
	}
	if got, _ := newer.estimate(0, 0, 1500, 0.001); got != 6 {
		t.Errorf("got estimated load %v, want 6 (5 reported, half of 2 sent)", got)
	}
	if got := newer.InFlight[0]; got != 2 {
		t.Errorf("got %d in flight, want 2", got)
	}
}

// largeTable returns a table of the size that the fleet is expected to reach in
// two years, 690 endpoints and 33 versions, with queries for it.
func largeTable() (*Table, []Query) {
	t := NewTable(33, distances, 1<<16)
	r := rand.New(rand.NewPCG(3, 4))
	for e := range 690 {
		t.Add("endpoint-"+strconv.Itoa(e), uint8(e%3), 16, nil)
		var versions []int
		for v := range 33 {
			if v == 0 || r.IntN(4) == 0 {
				versions = append(versions, v)
			}
		}
		t.SetVersions(e, versions)
		t.State[e] = []uint8{0, 0, 0, 0, 0, 0, 0, StateCold, StateLeaving, StateBreakerOpen}[r.IntN(10)]
		t.Report(e, float64(r.IntN(16)), 900, 1000)
	}
	var queries []Query
	for i := range 1024 {
		q := Query{Now: 1000, Prompt: 2000, DataCentre: uint8(i % 3)}
		for d := range 8 {
			q.Prefix = append(q.Prefix, r.Uint64())
			q.Tokens = append(q.Tokens, int32(200*(d+1)))
			t.RecordCached(q.Prefix[d], r.IntN(690), 900)
		}
		queries = append(queries, q)
	}
	return t, queries
}

// Guards against allocations in Pick, which runs for every request.
func TestPickAllocates(t *testing.T) {
	table, queries := largeTable()
	p, r := Default(), rand.New(rand.NewPCG(1, 2))
	i := 0
	got := testing.AllocsPerRun(200, func() {
		e, _ := p.Pick(table, &queries[i%len(queries)], r)
		table.Sent(e)
		table.Done(e)
		i++
	})
	if got != 0 {
		t.Errorf("got %v allocations per decision, want 0", got)
	}
}

// BenchmarkPick measures one choice for a version that all 690 endpoints serve.
func BenchmarkPick(b *testing.B) {
	table, queries := largeTable()
	p, r := Default(), rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e, _ := p.Pick(table, &queries[i%len(queries)], r)
		table.Sent(e)
		table.Done(e)
		i++
	}
}
