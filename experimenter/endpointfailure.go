package experimenter

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/limiter"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// The endpoint failure experiment: nine instances and 20 endpoints with four
// slots each, at 80% of capacity. For 20 s, some endpoints refuse requests: five
// of them all requests, or all of them 40%, which opens no circuit.
const (
	failureInstances  = 9
	failureEndpoints  = 20
	failureSlots      = 4
	failureService    = 100 * clock.Millis(1)
	failureRefusal    = 5 * clock.Millis(1) // time until a broken endpoint refuses
	failurePatience   = clock.Second
	failureLoad       = 0.8
	failureWarmUp     = 5 * clock.Second
	failureStart      = 15 * clock.Second
	failureStop       = 35 * clock.Second
	failureEnd        = 60 * clock.Second
	failureRetries    = 3   // of the baseline
	failureOvercommit = 200 // percent of the slots
)

var failureBreaker = breaker.Options{
	Window: clock.Second, MinRequests: 10, ErrorRate: 0.5, Consecutive: 5,
	OpenFor: clock.Second, OpenMax: 4 * clock.Second,
	Probes: 1, Successes: 3, ProbeTimeout: 2 * clock.Second, MaxShare: 0.5,
}

var failureLimiter = limiter.Options{
	RetriesPerSuccess: 0.08, Burst: 10, Initial: 2, MaxKeys: 100, Base: 20, Max: clock.Second,
}

// failureKind is a number of endpoints that refuse a share of the requests.
type failureKind struct {
	name      string
	endpoints int
	share     float64
}

var failureKinds = []failureKind{
	{"5 of 20 refuse all", 5, 1},
	{"all refuse 40%", failureEndpoints, 0.4},
}

// EndpointFailure measures attempts per request while endpoints fail, and how
// fast service recovers afterwards. The baseline tries again up to three times,
// without queues bounded by deadlines.
func EndpointFailure() Experiment {
	return Experiment{
		Name:    "endpoint_failure",
		Summary: "attempts per request while a quarter of the endpoints fails, and the recovery afterwards",
		Run:     runEndpointFailure,
	}
}

// failureEndpoint is one back end with a first-in queue.
type failureEndpoint struct {
	id      string
	errors  float64 // share of the requests that are refused
	running int
	queue   []func()
}

type failureInstance struct {
	breaker  *breaker.Breaker
	limiter  *limiter.Limiter
	schedule *scheduler.Scheduler
	active   []int // attempts under way at each endpoint
	waiting  map[string]*failureRequest
}

type failureRequest struct {
	id       string
	arrived  clock.Millis
	attempts int
	tried    int // the endpoint that failed last, or -1
	done     bool
}

// failureFleet holds the tables and what was measured.
type failureFleet struct {
	agenda    agenda
	random    *rand.Rand
	guarded   bool // false for the baseline
	kind      failureKind
	endpoints []*failureEndpoint
	instances []*failureInstance
	ids       int

	requests, attempts, started, served int // of the requests that arrived during the failure
	good                                []int
	latency                             *hdrhistogram.Histogram // ms, of requests served during the failure
}

func runEndpointFailure(seed uint64) Result {
	result := Result{
		Columns: []string{
			"attempts_per_request", "served_share", "p95_ms", "p99_ms", "recovery_s", "goodput_before", "goodput_after",
		},
		XAxis: "time (s)", YAxis: "goodput (requests/s)",
	}
	for _, k := range failureKinds {
		for _, guarded := range []bool{false, true} {
			f := newFailureFleet(seed, guarded, k)
			f.run()
			label := "three retries, " + k.name
			if guarded {
				label = "guarded, " + k.name
			}
			row := f.row(label)
			result.Rows = append(result.Rows, row)
			c := Curve{Label: label}
			for s, n := range f.good {
				c.X, c.Y = append(c.X, float64(s)), append(c.Y, float64(n))
			}
			result.Curves = append(result.Curves, c)
			if guarded {
				result.Targets = append(result.Targets, failureTargets(k, row)...)
			}
		}
	}
	return result
}

func failureTargets(k failureKind, row Row) []Target {
	return []Target{
		{Name: "attempts per request, " + k.name, Measured: row.Values[0], Limit: 1.1},
		{Name: "seconds until recovery, " + k.name, Measured: row.Values[4], Limit: 10},
		{Name: "goodput after / before, " + k.name, Measured: row.Values[6] / row.Values[5], Limit: 0.95, AtLeast: true},
	}
}

func newFailureFleet(seed uint64, guarded bool, k failureKind) *failureFleet {
	f := &failureFleet{
		random: rand.New(rand.NewPCG(seed, 1)), guarded: guarded, kind: k,
		good: make([]int, failureEnd/clock.Second), latency: hdrhistogram.New(1, int64(clock.Hour), 3),
	}
	for e := range failureEndpoints {
		f.endpoints = append(f.endpoints, &failureEndpoint{id: fmt.Sprint(e)})
	}
	for range failureInstances {
		f.instances = append(f.instances, &failureInstance{
			breaker:  breaker.New(failureBreaker, f.random),
			limiter:  limiter.New(failureLimiter),
			schedule: scheduler.New(scheduler.Options{Slots: f.share(failureEndpoints), InitialServiceTime: failureService}),
			active:   make([]int, failureEndpoints),
			waiting:  map[string]*failureRequest{},
		})
	}
	return f
}

// share returns the attempts that an instance may have under way. It exceeds its
// part of the slots: the instances do not share their unused slots, and endpoints
// queue what comes at once.
func (f *failureFleet) share(endpoints int) int {
	return max(failureOvercommit*endpoints*failureSlots/(100*failureInstances), 1)
}

func (f *failureFleet) run() {
	rate := failureLoad * failureEndpoints * failureSlots * float64(clock.Second) / float64(failureService)
	for _, i := range f.instances {
		f.agenda.arrivals(f.random, rate/failureInstances, failureEnd, func() { f.arrive(i) })
	}
	f.agenda.after(failureStart, func() { f.setErrors(f.kind.share) })
	f.agenda.after(failureStop, func() { f.setErrors(0) })
	f.agenda.until(failureEnd)
}

func (f *failureFleet) setErrors(share float64) {
	for _, e := range f.endpoints[:f.kind.endpoints] {
		e.errors = share
		if share == 1 {
			// The work that runs or waits there fails when its caller gives up.
			e.running, e.queue = 0, nil
		}
	}
}

func (f *failureFleet) during(r *failureRequest) bool {
	return r.arrived >= failureStart && r.arrived < failureStop
}

func (f *failureFleet) arrive(i *failureInstance) {
	f.ids++
	r := &failureRequest{id: fmt.Sprint(f.ids), arrived: f.agenda.now, tried: -1}
	if f.during(r) {
		f.requests++
	}
	if !f.guarded {
		f.attempt(i, r)
		return
	}
	f.enqueue(i, r)
}

// enqueue queues a first or a further attempt within the request's deadline.
func (f *failureFleet) enqueue(i *failureInstance, r *failureRequest) {
	item := scheduler.Request{ID: r.id, Workspace: "w", Deadline: r.arrived + failurePatience, Priority: r.attempts}
	if i.schedule.Enqueue(f.agenda.now, item) != nil {
		return
	}
	i.waiting[r.id] = r
	f.dispatch(i)
}

func (f *failureFleet) dispatch(i *failureInstance) {
	var closed int
	for _, e := range f.endpoints {
		if i.breaker.State(f.agenda.now, e.id) == breaker.Closed {
			closed++
		}
	}
	i.schedule.SetSlots(f.share(closed))
	for {
		item, expired, ok := i.schedule.Next(f.agenda.now)
		for _, x := range expired {
			delete(i.waiting, x.ID)
		}
		if !ok {
			return
		}
		r := i.waiting[item.ID]
		delete(i.waiting, item.ID)
		f.attempt(i, r)
	}
}

// attempt sends the request to the less loaded of two random endpoints.
func (f *failureFleet) attempt(i *failureInstance, r *failureRequest) {
	e, ticket, ok := f.pick(i, r)
	if !ok {
		i.schedule.Done(f.agenda.now, r.id, false)
		return
	}
	r.attempts++
	if f.during(r) {
		f.attempts++
		if r.attempts == 1 {
			f.started++
		}
	}
	i.active[e]++
	var ended bool
	end := func(succeeded bool) {
		if ended {
			return
		}
		ended = true
		i.active[e]--
		f.finish(i, r, e, ticket, succeeded)
	}
	limit := failurePatience
	if f.guarded {
		limit = r.arrived + failurePatience - f.agenda.now
	}
	f.agenda.after(limit, func() { end(false) })
	f.send(f.endpoints[e], r, func() bool { return ended }, end)
}

func (f *failureFleet) pick(i *failureInstance, r *failureRequest) (int, breaker.Ticket, bool) {
	for range 10 {
		a, b := f.random.IntN(failureEndpoints), f.random.IntN(failureEndpoints)
		if i.active[b] < i.active[a] {
			a = b
		}
		if a == r.tried {
			continue
		}
		if !f.guarded {
			return a, breaker.Ticket{}, true
		}
		if t, ok := i.breaker.Allow(f.agenda.now, f.endpoints[a].id); ok {
			return a, t, true
		}
	}
	return 0, breaker.Ticket{}, false
}

// send queues an attempt at an endpoint. An endpoint skips work whose deadline
// has passed only if the deadline was sent along, which the baseline does not.
func (f *failureFleet) send(e *failureEndpoint, r *failureRequest, ended func() bool, end func(bool)) {
	if f.random.Float64() < e.errors {
		f.agenda.after(failureRefusal, func() { end(false) })
		return
	}
	start := func() {
		e.running++
		span := max(clock.Millis(f.random.ExpFloat64()*float64(failureService)), 1)
		f.agenda.after(span, func() {
			if e.errors == 1 {
				return
			}
			e.running = max(e.running-1, 0)
			for e.running < failureSlots && len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
			end(true)
		})
	}
	if e.running < failureSlots {
		start()
		return
	}
	e.queue = append(e.queue, func() {
		if !f.guarded || !ended() {
			start()
		}
	})
}

func (f *failureFleet) finish(i *failureInstance, r *failureRequest, e int, t breaker.Ticket, succeeded bool) {
	now := f.agenda.now
	if f.guarded {
		i.breaker.Report(now, t, succeeded)
		i.schedule.Done(now, r.id, succeeded)
		defer f.dispatch(i)
	}
	if succeeded {
		i.limiter.Succeeded("s", "w")
		f.succeed(r)
		return
	}
	r.tried = e
	switch {
	case f.guarded && now < r.arrived+failurePatience && i.limiter.AllowRetry("s", "w"):
		pause := i.limiter.Backoff(r.attempts-1, f.random)
		f.agenda.after(pause, func() { f.enqueue(i, r) })
	case !f.guarded && r.attempts <= failureRetries:
		f.attempt(i, r)
	}
}

// succeed counts a response. The baseline's caller waits for all its attempts.
func (f *failureFleet) succeed(r *failureRequest) {
	if r.done {
		return
	}
	r.done = true
	if s := f.agenda.now / clock.Second; int(s) < len(f.good) && f.agenda.now <= r.arrived+failurePatience {
		f.good[s]++
	}
	if f.during(r) {
		f.served++
		_ = f.latency.RecordValue(int64(f.agenda.now - r.arrived))
	}
}

func (f *failureFleet) row(label string) Row {
	before := meanOf(f.good[failureWarmUp/clock.Second : failureStart/clock.Second])
	after := meanOf(f.good[failureEnd/clock.Second-20:])
	recovery := len(f.good) - int(failureStop/clock.Second)
	for s := int(failureStop / clock.Second); s+2 <= len(f.good); s++ {
		if meanOf(f.good[s:s+2]) >= 0.95*before {
			recovery = s - int(failureStop/clock.Second)
			break
		}
	}
	return Row{Label: label, Values: []float64{
		float64(f.attempts) / float64(f.started), float64(f.served) / float64(f.requests),
		float64(f.latency.ValueAtQuantile(95)), float64(f.latency.ValueAtQuantile(99)),
		float64(recovery), before, after,
	}}
}

func meanOf(counts []int) float64 {
	var sum int
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / float64(len(counts))
}
