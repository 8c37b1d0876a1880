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

// Parameters of the endpoint choice experiment.
const (
	choiceEndpoints   = 24
	choiceInstances   = 9
	choiceDataCentres = 4
	choiceWorkspaces  = 10
	choiceWarmUp      = 20 * clock.Second // not measured
	choiceDuration    = 80 * clock.Second // of the arrivals, including the warm-up
	meanTurns         = 4                 // requests of a session
	meanThinkMillis   = 8000              // between two requests of a session
	meanDecodeTokens  = 120               // of an answer
	hopDelayMillis    = 1                 // from an instance to an endpoint
	// endpointQueueSlots is the number of requests beyond its slots that an instance
	// may send to an endpoint. With 2, slots were idle between the delayed reports.
	endpointQueueSlots = 4
)

// EndpointChoice returns the experiment on the choice of an endpoint. It measures
// the time to the first token and the share of prompt tokens found in the prefix
// cache. Nine instances route a trace of sessions to 24 endpoints, at several
// shares of the capacity. They know the endpoints only from delayed load reports
// and from cache events that are delayed and partly lost. The baselines choose an
// endpoint at random, or the one with the least reported load.
func EndpointChoice() Experiment {
	return Experiment{
		Name:    "endpoint_choice",
		Summary: "time to first token and prefix hits against random and least reported load",
		Run:     runEndpointChoice,
	}
}

// trace holds requests sorted by arrival. The elements with the same index in all
// slices belong to one request.
type trace struct {
	arrivedAt    []float64 // at the instance, ms
	instance     []int
	prefix       [][]uint64 // ids of the prompt's prefixes, the shortest first
	tokens       [][]int32  // length of each prefix in tokens
	decodeTokens []int32    // length of the answer
}

// newTrace draws a trace whose load is the given share of the capacity. Sessions
// have several turns. Each prompt is the template of its workspace followed by the
// session so far. A few workspaces send most of the requests.
func newTrace(seed uint64, load float64) *trace {
	r := rand.New(rand.NewPCG(seed, 11))
	slotMillis := decodeMillisPerToken*meanDecodeTokens + prefillMillisPerToken*2500.0
	sessionsPerMilli := load * choiceEndpoints * engineSlots / slotMillis / meanTurns
	var t trace
	session := uint64(0)
	for start := -10.0 * meanThinkMillis; start < float64(choiceDuration); start += r.ExpFloat64() / sessionsPerMilli {
		session++
		workspace := min(choiceWorkspaces-1, int(3*r.ExpFloat64()))
		prefix := []uint64{uint64(workspace + 1)}
		tokens := []int32{int32(1000 + 150*workspace)}
		at := start
		for turn := uint64(1); ; turn++ {
			prefix = append(prefix, session<<16|turn)
			tokens = append(tokens, tokens[len(tokens)-1]+engineTokensPerTurn)
			if at >= 0 && at < float64(choiceDuration) {
				t.arrivedAt = append(t.arrivedAt, at)
				t.instance = append(t.instance, r.IntN(choiceInstances))
				t.prefix = append(t.prefix, prefix[:len(prefix):len(prefix)])
				t.tokens = append(t.tokens, tokens[:len(tokens):len(tokens)])
				t.decodeTokens = append(t.decodeTokens, 1+int32(meanDecodeTokens*r.ExpFloat64()))
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

func (t *trace) Len() int           { return len(t.arrivedAt) }
func (t *trace) Less(i, j int) bool { return t.arrivedAt[i] < t.arrivedAt[j] }
func (t *trace) Swap(i, j int) {
	t.arrivedAt[i], t.arrivedAt[j] = t.arrivedAt[j], t.arrivedAt[i]
	t.instance[i], t.instance[j] = t.instance[j], t.instance[i]
	t.prefix[i], t.prefix[j] = t.prefix[j], t.prefix[i]
	t.tokens[i], t.tokens[j] = t.tokens[j], t.tokens[i]
	t.decodeTokens[i], t.decodeTokens[j] = t.decodeTokens[j], t.decodeTokens[i]
}

// Kinds of events.
const (
	eventRequestAtInstance = iota // a request arrives at its instance
	eventRequestAtEndpoint        // a request arrives at its endpoint
	eventResponseEnd              // an endpoint sends the last token
	eventLoadMeasured             // an endpoint measures its load
	eventReportReceived           // an instance receives a load report
	eventCacheAddition            // an instance learns of a cached prefix
	eventCacheEviction            // an instance learns of an evicted prefix
)

// event is an event of the simulation. The fields that apply depend on its kind.
type event struct {
	at         float64 // ms
	order      int     // breaks ties
	kind       int
	request    int32
	endpoint   int
	instance   int
	load       int     // running and queued requests
	measuredAt float64 // ms
	prefix     uint64
}

// events is a heap of events, the earliest first.
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

// policy chooses an endpoint for a request, from the table of one instance and the
// load last reported by each endpoint. It returns -1 if no endpoint is free.
type policy func(t *picker.Table, q *picker.Query, reported []int, r *rand.Rand) int

// choiceRun is the state of one run.
type choiceRun struct {
	trace     *trace
	choose    policy
	random    *rand.Rand
	events    events
	lastOrder int // of the events
	engines   []*engine
	tables    []*picker.Table // by instance
	reported  [][]int         // load in the last report, by instance and endpoint
	waiting   [][]int32       // requests queued at each instance
	chosen    []int           // endpoint, by request

	firstToken              *hdrhistogram.Histogram // time to the first token, in units of 0.1 ms
	hitTokens, promptTokens float64                 // cached and all tokens of the measured prompts
}

func newChoiceRun(t *trace, choose policy, seed uint64) *choiceRun {
	c := &choiceRun{
		trace: t, choose: choose, random: rand.New(rand.NewPCG(seed, 12)),
		waiting: make([][]int32, choiceInstances), chosen: make([]int, t.Len()),
		firstToken: hdrhistogram.New(1, 100_000_000, 3),
	}
	distance := make([][]float32, choiceDataCentres)
	for i := range distance {
		distance[i] = make([]float32, choiceDataCentres)
		for j := range distance[i] {
			distance[i][j] = hopDelayMillis
		}
	}
	for range choiceEndpoints {
		c.engines = append(c.engines, newEngine())
	}
	for range choiceInstances {
		table := picker.NewTable(1, distance, 1<<15)
		for e := range choiceEndpoints {
			table.Add(fmt.Sprintf("endpoint-%d", e), uint8(e%choiceDataCentres), engineSlots+endpointQueueSlots, []int{0})
			table.State[e] = 0
		}
		c.tables = append(c.tables, table)
		c.reported = append(c.reported, make([]int, choiceEndpoints))
	}
	for q := range t.arrivedAt {
		c.push(event{at: t.arrivedAt[q], kind: eventRequestAtInstance, request: int32(q)})
	}
	for e := range choiceEndpoints {
		c.push(event{at: c.random.Float64() * float64(reportInterval), kind: eventLoadMeasured, endpoint: e})
	}
	return c
}

func (c *choiceRun) push(e event) {
	c.lastOrder++
	e.order = c.lastOrder
	heap.Push(&c.events, e)
}

func (c *choiceRun) run() {
	for remaining := c.trace.Len(); remaining > 0; {
		e := heap.Pop(&c.events).(event)
		switch e.kind {
		case eventRequestAtInstance:
			i := c.trace.instance[e.request]
			c.waiting[i] = append(c.waiting[i], e.request)
			c.sendWaiting(i, e.at)
		case eventRequestAtEndpoint:
			engine := c.engines[e.endpoint]
			engine.waiting = append(engine.waiting, e.request)
			c.startWaiting(e.endpoint, e.at)
		case eventResponseEnd:
			remaining--
			c.engines[e.endpoint].running--
			i := c.trace.instance[e.request]
			c.tables[i].Done(e.endpoint)
			c.startWaiting(e.endpoint, e.at)
			c.sendWaiting(i, e.at)
		case eventLoadMeasured:
			c.reportLoad(e)
		case eventReportReceived:
			c.reported[e.instance][e.endpoint] = e.load
			c.tables[e.instance].Report(e.endpoint, float64(e.load), pickerTime(e.measuredAt), pickerTime(e.at))
			c.sendWaiting(e.instance, e.at)
		case eventCacheAddition:
			c.tables[e.instance].RecordCached(e.prefix, e.endpoint, pickerTime(e.at))
		case eventCacheEviction:
			c.tables[e.instance].RecordEvicted(e.prefix, e.endpoint)
		}
	}
}

// pickerTime converts a simulated time. It starts at one second, because 0 means
// "never" to the picker.
func pickerTime(at float64) clock.Millis { return clock.Second + clock.Millis(at) }

// sendWaiting sends the queued requests of an instance in order, until the policy
// finds no endpoint for one.
func (c *choiceRun) sendWaiting(i int, now float64) {
	for len(c.waiting[i]) > 0 {
		request := c.waiting[i][0]
		prefix, tokens := c.trace.prefix[request], c.trace.tokens[request]
		query := picker.Query{
			DataCentre: uint8(i % choiceDataCentres), Now: pickerTime(now), Prompt: tokens[len(tokens)-1],
			Prefix: prefix, Tokens: tokens,
		}
		e := c.choose(c.tables[i], &query, c.reported[i], c.random)
		if e < 0 {
			return
		}
		c.waiting[i] = c.waiting[i][1:]
		c.chosen[request] = e
		c.tables[i].Sent(e)
		for _, p := range prefix {
			c.tables[i].RecordCached(p, e, pickerTime(now))
		}
		c.push(event{at: now + hopDelayMillis, kind: eventRequestAtEndpoint, request: request, endpoint: e})
	}
}

// startWaiting starts queued requests of an endpoint while it has free slots.
func (c *choiceRun) startWaiting(e int, now float64) {
	engine := c.engines[e]
	for engine.running < engineSlots && len(engine.waiting) > 0 {
		request := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		engine.running++
		prefix, tokens := c.trace.prefix[request], c.trace.tokens[request]
		prompt := tokens[len(tokens)-1]
		hit := engine.prefixHit(prefix, tokens)
		evicted := engine.store(prefix, tokens)
		first := engine.prefill(now, prompt-hit)
		c.push(event{at: first + decodeMillisPerToken*float64(c.trace.decodeTokens[request]), kind: eventResponseEnd,
			request: request, endpoint: e})
		c.publishCacheEvents(e, now, prefix, evicted)
		if c.trace.arrivedAt[request] >= float64(choiceWarmUp) {
			_ = c.firstToken.RecordValue(int64(10 * (first + hopDelayMillis - c.trace.arrivedAt[request])))
			c.hitTokens += float64(hit)
			c.promptTokens += float64(prompt)
		}
	}
}

// publishCacheEvents sends cache events to all instances after cacheEventLag, and
// drops the share cacheEventLoss of them for each instance.
func (c *choiceRun) publishCacheEvents(e int, now float64, stored, evicted []uint64) {
	at := now + float64(cacheEventLag)
	for i := range choiceInstances {
		for _, p := range stored {
			if c.random.Float64() >= cacheEventLoss {
				c.push(event{at: at, kind: eventCacheAddition, endpoint: e, instance: i, prefix: p})
			}
		}
		for _, p := range evicted {
			if c.random.Float64() >= cacheEventLoss {
				c.push(event{at: at, kind: eventCacheEviction, endpoint: e, instance: i, prefix: p})
			}
		}
	}
}

// reportLoad measures the load of an endpoint, sends it to all instances with a
// random lag of 0.8 to 1.2 times reportLag, and schedules the next report.
func (c *choiceRun) reportLoad(e event) {
	engine := c.engines[e.endpoint]
	for i := range choiceInstances {
		lag := float64(reportLag) * (0.8 + 0.4*c.random.Float64())
		c.push(event{
			at: e.at + lag, kind: eventReportReceived, endpoint: e.endpoint, instance: i,
			load: engine.running + len(engine.waiting), measuredAt: e.at,
		})
	}
	c.push(event{at: e.at + float64(reportInterval), kind: eventLoadMeasured, endpoint: e.endpoint})
}

func chooseRandom(_ *picker.Table, _ *picker.Query, reported []int, r *rand.Rand) int {
	return r.IntN(len(reported))
}

// chooseLeastReported returns an endpoint with the least reported load, at random
// among equals.
func chooseLeastReported(_ *picker.Table, _ *picker.Query, reported []int, r *rand.Rand) int {
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
	p.TokenMillis = prefillMillisPerToken
	policies := []struct {
		name   string
		choose policy
	}{
		{"random", chooseRandom},
		{"least_reported", chooseLeastReported},
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
			quantile := func(q float64) float64 { return float64(c.firstToken.ValueAtQuantile(q)) / 10 }
			row := Row{Label: fmt.Sprintf("%s_%d", policy.name, percent), Values: []float64{
				quantile(50), quantile(95), quantile(99), c.hitTokens / c.promptTokens, float64(c.firstToken.TotalCount())}}
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
