package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/picker"
)

const (
	choiceEndpoints   = 24
	choiceInstances   = 9
	choiceDataCentres = 4
	choiceWorkspaces  = 10
	choiceWarmUp      = 20 * clock.Second
	choiceLength      = 80 * clock.Second
	meanTurns         = 4
	meanThinkMillis   = 8000
	meanDecodeTokens  = 120
	hopMillis         = 1
	endpointQueue     = 4 // requests beyond the slots; with 2, slots stood empty between the late reports
)

// EndpointChoice returns the experiment on the choice of an endpoint. Nine
// instances route one trace of sessions to 24 endpoints, from reports and cache
// events that are late and have gaps, at several shares of the capacity. The
// baselines choose at random, or the endpoint with the least reported load.
func EndpointChoice() Experiment {
	return Experiment{
		Name:    "endpoint_choice",
		Summary: "time to first token and prefix hits against random and least reported load",
		Run:     runEndpointChoice,
	}
}

// trace is a table of requests, one index per request, by arrival.
type trace struct {
	at       []float64 // ms
	instance []int
	prefix   [][]uint64
	tokens   [][]int32
	decode   []int32
}

// newTrace draws sessions with several turns. Each prompt is the template of its
// workspace and the session so far. A few workspaces send most of the requests.
func newTrace(seed uint64, load float64) *trace {
	r := rand.New(rand.NewPCG(seed, 11))
	holdMillis := decodeMillis*meanDecodeTokens + prefillMillis*2500.0
	perMilli := load * choiceEndpoints * engineSlots / holdMillis / meanTurns
	var t trace
	session := uint64(0)
	for start := -10.0 * meanThinkMillis; start < float64(choiceLength); start += r.ExpFloat64() / perMilli {
		session++
		workspace := min(choiceWorkspaces-1, int(3*r.ExpFloat64()))
		prefix := []uint64{uint64(workspace + 1)}
		tokens := []int32{int32(1000 + 150*workspace)}
		at := start
		for turn := uint64(1); ; turn++ {
			prefix = append(prefix, session<<16|turn)
			tokens = append(tokens, tokens[len(tokens)-1]+engineTokensStep)
			if at >= 0 && at < float64(choiceLength) {
				t.at = append(t.at, at)
				t.instance = append(t.instance, r.IntN(choiceInstances))
				t.prefix = append(t.prefix, prefix[:len(prefix):len(prefix)])
				t.tokens = append(t.tokens, tokens[:len(tokens):len(tokens)])
				t.decode = append(t.decode, 1+int32(meanDecodeTokens*r.ExpFloat64()))
			}
			if r.IntN(meanTurns) == 0 {
				break
			}
			at += meanThinkMillis * r.ExpFloat64()
		}
	}
	sort.Sort(&t)
	return &t
}

func (t *trace) Len() int           { return len(t.at) }
func (t *trace) Less(i, j int) bool { return t.at[i] < t.at[j] }
func (t *trace) Swap(i, j int) {
	t.at[i], t.at[j] = t.at[j], t.at[i]
	t.instance[i], t.instance[j] = t.instance[j], t.instance[i]
	t.prefix[i], t.prefix[j] = t.prefix[j], t.prefix[i]
	t.tokens[i], t.tokens[j] = t.tokens[j], t.tokens[i]
	t.decode[i], t.decode[j] = t.decode[j], t.decode[i]
}

// The kinds of events.
const (
	eventArrive = iota // request reaches its instance
	eventReach         // request reaches its endpoint
	eventEnd           // last token
	eventReport        // endpoint measures its load
	eventHear          // an instance receives a report
	eventCached        // an instance receives a cache event
	eventGone          // an instance receives an eviction event
)

type event struct {
	at       float64
	order    int // breaks ties
	kind     int
	request  int32
	endpoint int
	instance int
	load     int
	measured float64
	prefix   uint64
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// policy chooses an endpoint for a request from the table of one instance, or -1.
type policy func(t *picker.Table, q *picker.Query, reported []int, r *rand.Rand) int

// choiceRun is the state of one run.
type choiceRun struct {
	trace    *trace
	choose   policy
	random   *rand.Rand
	events   events
	order    int
	engines  []*engine
	tables   []*picker.Table // by instance
	reported [][]int         // by instance and endpoint
	queues   [][]int32       // requests that wait at an instance
	endpoint []int           // by request

	first       *hdrhistogram.Histogram // 0.1 ms
	hit, prompt float64                 // tokens
}

func newChoiceRun(t *trace, choose policy, seed uint64) *choiceRun {
	c := &choiceRun{
		trace: t, choose: choose, random: rand.New(rand.NewPCG(seed, 12)),
		queues: make([][]int32, choiceInstances), endpoint: make([]int, t.Len()),
		first: hdrhistogram.New(1, 100_000_000, 3),
	}
	distance := make([][]float32, choiceDataCentres)
	for i := range distance {
		distance[i] = make([]float32, choiceDataCentres)
		for j := range distance[i] {
			distance[i][j] = hopMillis
		}
	}
	for range choiceEndpoints {
		c.engines = append(c.engines, newEngine())
	}
	for range choiceInstances {
		table := picker.NewTable(1, distance, 1<<15)
		for e := range choiceEndpoints {
			table.Add(fmt.Sprintf("endpoint-%d", e), uint8(e%choiceDataCentres), engineSlots+endpointQueue, []int{0})
			table.State[e] = 0
		}
		c.tables = append(c.tables, table)
		c.reported = append(c.reported, make([]int, choiceEndpoints))
	}
	for q := range t.at {
		c.push(event{at: t.at[q], kind: eventArrive, request: int32(q)})
	}
	for e := range choiceEndpoints {
		c.push(event{at: c.random.Float64() * float64(reportInterval), kind: eventReport, endpoint: e})
	}
	return c
}

func (c *choiceRun) push(e event) {
	c.order++
	e.order = c.order
	heap.Push(&c.events, e)
}

func (c *choiceRun) run() {
	for left := c.trace.Len(); left > 0; {
		e := heap.Pop(&c.events).(event)
		switch e.kind {
		case eventArrive:
			i := c.trace.instance[e.request]
			c.queues[i] = append(c.queues[i], e.request)
			c.drain(i, e.at)
		case eventReach:
			n := c.engines[e.endpoint]
			n.waiting = append(n.waiting, e.request)
			c.admit(e.endpoint, e.at)
		case eventEnd:
			left--
			c.engines[e.endpoint].running--
			i := c.trace.instance[e.request]
			c.tables[i].Done(e.endpoint)
			c.admit(e.endpoint, e.at)
			c.drain(i, e.at)
		case eventReport:
			c.report(e)
		case eventHear:
			c.reported[e.instance][e.endpoint] = e.load
			c.tables[e.instance].Report(e.endpoint, float64(e.load), millis(e.measured), millis(e.at))
			c.drain(e.instance, e.at)
		case eventCached:
			c.tables[e.instance].RecordCached(e.prefix, e.endpoint, millis(e.at))
		case eventGone:
			c.tables[e.instance].RecordEvicted(e.prefix, e.endpoint)
		}
	}
}

// millis starts at one second, since the picker takes 0 for "never".
func millis(at float64) clock.Millis { return clock.Second + clock.Millis(at) }

// drain sends the waiting requests of an instance in order, until one finds no endpoint.
func (c *choiceRun) drain(i int, now float64) {
	for len(c.queues[i]) > 0 {
		q := c.queues[i][0]
		prefix, tokens := c.trace.prefix[q], c.trace.tokens[q]
		query := picker.Query{
			DataCentre: uint8(i % choiceDataCentres), Now: millis(now), Prompt: tokens[len(tokens)-1],
			Prefix: prefix, Tokens: tokens,
		}
		e := c.choose(c.tables[i], &query, c.reported[i], c.random)
		if e < 0 {
			return
		}
		c.queues[i] = c.queues[i][1:]
		c.endpoint[q] = e
		c.tables[i].Sent(e)
		for _, p := range prefix {
			c.tables[i].RecordCached(p, e, millis(now))
		}
		c.push(event{at: now + hopMillis, kind: eventReach, request: q, endpoint: e})
	}
}

// admit starts waiting requests while the endpoint has slots.
func (c *choiceRun) admit(e int, now float64) {
	n := c.engines[e]
	for n.running < engineSlots && len(n.waiting) > 0 {
		q := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.running++
		prefix, tokens := c.trace.prefix[q], c.trace.tokens[q]
		prompt := tokens[len(tokens)-1]
		hit := n.hit(prefix, tokens)
		evicted := n.store(prefix, tokens)
		first := n.prefill(now, prompt-hit)
		c.push(event{at: first + decodeMillis*float64(c.trace.decode[q]), kind: eventEnd, request: q, endpoint: e})
		c.publish(e, now, prefix, evicted)
		if c.trace.at[q] >= float64(choiceWarmUp) {
			_ = c.first.RecordValue(int64(10 * (first + hopMillis - c.trace.at[q])))
			c.hit += float64(hit)
			c.prompt += float64(prompt)
		}
	}
}

// publish sends cache events to all instances, late and with gaps.
func (c *choiceRun) publish(e int, now float64, stored, evicted []uint64) {
	at := now + float64(cacheEventLag)
	for i := range choiceInstances {
		for _, p := range stored {
			if c.random.Float64() >= cacheEventLoss {
				c.push(event{at: at, kind: eventCached, endpoint: e, instance: i, prefix: p})
			}
		}
		for _, p := range evicted {
			if c.random.Float64() >= cacheEventLoss {
				c.push(event{at: at, kind: eventGone, endpoint: e, instance: i, prefix: p})
			}
		}
	}
}

// report measures the load of an endpoint and sends it to all instances.
func (c *choiceRun) report(e event) {
	n := c.engines[e.endpoint]
	for i := range choiceInstances {
		lag := float64(reportLag) * (0.8 + 0.4*c.random.Float64())
		c.push(event{
			at: e.at + lag, kind: eventHear, endpoint: e.endpoint, instance: i,
			load: n.running + len(n.waiting), measured: e.at,
		})
	}
	c.push(event{at: e.at + float64(reportInterval), kind: eventReport, endpoint: e.endpoint})
}

func chooseRandom(_ *picker.Table, _ *picker.Query, reported []int, r *rand.Rand) int {
	return r.IntN(len(reported))
}

// chooseLeast takes the least reported load, at random among equals.
func chooseLeast(_ *picker.Table, _ *picker.Query, reported []int, r *rand.Rand) int {
	best, same := -1, 0
	for e, load := range reported {
		switch {
		case best < 0 || load < reported[best]:
			best, same = e, 1
		case load == reported[best]:
			if same++; r.IntN(same) == 0 {
				best = e
			}
		}
	}
	return best
}

func runEndpointChoice(seed uint64) Result {
	p := picker.Default()
	p.TokenMillis = prefillMillis
	policies := []struct {
		name   string
		choose policy
	}{
		{"random", chooseRandom},
		{"least_reported", chooseLeast},
		{"picker", func(t *picker.Table, q *picker.Query, _ []int, r *rand.Rand) int {
			e, _ := p.Pick(t, q, r)
			return e
		}},
	}
	result := Result{
		Columns: []string{"p50_ms", "p95_ms", "p99_ms", "prefix_hit_share", "requests"},
		XAxis:   "load in % of capacity", YAxis: "p95 to first token, ms",
		Curves: make([]Curve, len(policies)),
	}
	for _, percent := range []int{50, 80, 95, 120} {
		t := newTrace(seed, float64(percent)/100)
		var rows []Row
		for i, policy := range policies {
			c := newChoiceRun(t, policy.choose, seed)
			c.run()
			quantile := func(q float64) float64 { return float64(c.first.ValueAtQuantile(q)) / 10 }
			row := Row{Label: fmt.Sprintf("%s_%d", policy.name, percent), Values: []float64{
				quantile(50), quantile(95), quantile(99), c.hit / c.prompt, float64(c.first.TotalCount())}}
			rows = append(rows, row)
			curve := &result.Curves[i]
			curve.Label = policy.name
			curve.X, curve.Y = append(curve.X, float64(percent)), append(curve.Y, row.Values[1])
		}
		result.Rows = append(result.Rows, rows...)
		for column, name := range result.Columns[:4] {
			random, least := rows[0].Values[column], rows[1].Values[column]
			target := Target{Name: fmt.Sprintf("%s_at_%d", name, percent), Measured: rows[2].Values[column]}
			if target.Limit = min(random, least); column == 3 {
				target.Limit, target.AtLeast = max(random, least), true
			}
			result.Targets = append(result.Targets, target)
		}
	}
	return result
}
