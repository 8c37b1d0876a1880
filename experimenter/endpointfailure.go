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

// Parameters of the endpoint failure experiment: nine instances and 20 endpoints
// with four slots each, at 80% of capacity. For 20 s, either five endpoints refuse
// all requests, or all endpoints refuse 40% of them, which is below the error rate
// that opens a circuit breaker.
const (
	failureInstances         = 9
	failureEndpoints         = 20
	failureSlots             = 4
	failureMeanServiceTime   = 100 * clock.Millis(1)
	failureRefusalDelay      = 5 * clock.Millis(1) // time until a failing endpoint refuses a request
	failureTimeout           = clock.Second        // of a request, and of an attempt in the baseline
	failureLoad              = 0.8                 // share of capacity
	failureWarmUp            = 5 * clock.Second    // not measured
	failureStart             = 15 * clock.Second   // the endpoints fail
	failureStop              = 35 * clock.Second   // the endpoints recover
	failureEnd               = 60 * clock.Second
	failureMaxRetries        = 3   // of a request in the baseline
	failureOvercommitPercent = 200 // attempts in flight per slot; see maxInFlight
)

var failureBreaker = breaker.Options{
	Window: clock.Second, MinRequests: 10, ErrorRate: 0.5, ConsecutiveErrors: 5,
	OpenFor: clock.Second, OpenMax: 4 * clock.Second,
	MaxProbes: 1, ProbeSuccesses: 3, ProbeTimeout: 2 * clock.Second, MaxOpenShare: 0.5,
}

var failureLimiter = limiter.Options{
	RetriesPerSuccess: 0.08, Burst: 10, InitialTokens: 2, MaxKeys: 100, BaseDelay: 20, MaxDelay: clock.Second,
}

// failureScenario is a number of endpoints that each refuse a share of their
// requests.
type failureScenario struct {
	name       string
	endpoints  int
	errorShare float64
}

var failureScenarios = []failureScenario{
	{"5 of 20 refuse all", 5, 1},
	{"all refuse 40%", failureEndpoints, 0.4},
}

// EndpointFailure returns the experiment on failing endpoints. It measures the
// attempts per request during the failure, and the time to recovery afterwards.
// The router's variant uses circuit breakers, a retry budget and queues bounded
// by deadlines; the baseline retries a request up to three times at once.
func EndpointFailure() Experiment {
	return Experiment{
		Name:    "endpoint_failure",
		Summary: "attempts per request while a quarter of the endpoints fails, and the recovery afterwards",
		Run:     runEndpointFailure,
	}
}

// failureEndpoint is an endpoint with a FIFO queue.
type failureEndpoint struct {
	id         string
	errorShare float64 // share of the requests that are refused
	running    int
	queue      []func()
}

// failureInstance is an instance, which chooses an endpoint for each attempt.
type failureInstance struct {
	breaker   *breaker.Breaker
	limiter   *limiter.Limiter
	scheduler *scheduler.Scheduler
	inFlight  []int                      // attempts of this instance in flight, by endpoint
	waiting   map[string]*failureRequest // in the queue of the scheduler, by id
}

// failureRequest is a request of a caller, with one or more attempts.
type failureRequest struct {
	id                 string
	arrived            clock.Millis
	attempts           int
	lastFailedEndpoint int  // index, or -1 if no attempt has failed
	done               bool // a response has been counted
}

// failureFleet is the state and the measurements of one run.
type failureFleet struct {
	sim       simulation
	random    *rand.Rand
	guarded   bool // with breaker, limiter and scheduler; false for the baseline
	scenario  failureScenario
	endpoints []*failureEndpoint
	instances []*failureInstance
	lastID    int

	requests, attempts, started, served int                     // of the requests that arrived during the failure
	goodput                             []int                   // responses in time, by second
	latency                             *hdrhistogram.Histogram // ms, of requests served during the failure
}

func runEndpointFailure(seed uint64) Result {
	result := Result{
		Columns: []string{
			"attempts_per_request", "served_share", "p95_ms", "p99_ms", "recovery_s", "goodput_before", "goodput_after",
		},
		XAxis: "time (s)", YAxis: "goodput (requests/s)",
	}
	for _, scenario := range failureScenarios {
		for _, guarded := range []bool{false, true} {
			f := newFailureFleet(seed, guarded, scenario)
			f.run()
			label := "three retries, " + scenario.name
			if guarded {
				label = "guarded, " + scenario.name
			}
			row := f.row(label)
			result.Rows = append(result.Rows, row)
			c := Curve{Label: label}
			for s, n := range f.goodput {
				c.X, c.Y = append(c.X, float64(s)), append(c.Y, float64(n))
			}
			result.Curves = append(result.Curves, c)
			if guarded {
				result.Targets = append(result.Targets, failureTargets(scenario, row)...)
			}
		}
	}
	return result
}

func failureTargets(scenario failureScenario, row Row) []Target {
	return []Target{
		{Name: "attempts per request, " + scenario.name, Measured: row.Values[0], Limit: 1.1},
		{Name: "seconds until recovery, " + scenario.name, Measured: row.Values[4], Limit: 10},
		{
			Name: "goodput after / before, " + scenario.name, Measured: row.Values[6] / row.Values[5],
			Limit: 0.95, AtLeast: true,
		},
	}
}

func newFailureFleet(seed uint64, guarded bool, scenario failureScenario) *failureFleet {
	f := &failureFleet{
		random: rand.New(rand.NewPCG(seed, 1)), guarded: guarded, scenario: scenario,
		goodput: make([]int, failureEnd/clock.Second), latency: hdrhistogram.New(1, int64(clock.Hour), 3),
	}
	for e := range failureEndpoints {
		f.endpoints = append(f.endpoints, &failureEndpoint{id: fmt.Sprint(e)})
	}
	for range failureInstances {
		f.instances = append(f.instances, &failureInstance{
			breaker: breaker.New(failureBreaker, f.random),
			limiter: limiter.New(failureLimiter),
			scheduler: scheduler.New(scheduler.Options{
				Slots: f.maxInFlight(failureEndpoints), InitialServiceTime: failureMeanServiceTime}),
			inFlight: make([]int, failureEndpoints),
			waiting:  map[string]*failureRequest{},
		})
	}
	return f
}

// maxInFlight returns the number of attempts that an instance may have in flight
// at the given number of usable endpoints. It exceeds the instance's part of their
// slots, because an instance cannot use the unused part of another one, and
// endpoints queue requests that exceed their slots.
func (f *failureFleet) maxInFlight(endpoints int) int {
	return max(failureOvercommitPercent*endpoints*failureSlots/(100*failureInstances), 1)
}

func (f *failureFleet) run() {
	rate := failureLoad * failureEndpoints * failureSlots * float64(clock.Second) / float64(failureMeanServiceTime)
	for _, i := range f.instances {
		f.sim.poissonArrivals(f.random, rate/failureInstances, failureEnd, func() { f.arrive(i) })
	}
	f.sim.after(failureStart, func() { f.setErrors(f.scenario.errorShare) })
	f.sim.after(failureStop, func() { f.setErrors(0) })
	f.sim.runUntil(failureEnd)
}

// setErrors sets the share of refused requests at the endpoints of the scenario.
func (f *failureFleet) setErrors(errorShare float64) {
	for _, e := range f.endpoints[:f.scenario.endpoints] {
		e.errorShare = errorShare
		if errorShare == 1 {
			// Running and queued attempts get no response and fail at their timeout.
			e.running, e.queue = 0, nil
		}
	}
}

// arrivedDuringFailure reports whether the request counts for the measurements of
// the failure.
func (f *failureFleet) arrivedDuringFailure(r *failureRequest) bool {
	return r.arrived >= failureStart && r.arrived < failureStop
}

func (f *failureFleet) arrive(i *failureInstance) {
	f.lastID++
	r := &failureRequest{id: fmt.Sprint(f.lastID), arrived: f.sim.now, lastFailedEndpoint: -1}
	if f.arrivedDuringFailure(r) {
		f.requests++
	}
	if !f.guarded {
		f.attempt(i, r)
		return
	}
	f.enqueue(i, r)
}

// enqueue queues the request for its first or next attempt, with the deadline of
// the request. A request that the scheduler refuses is dropped.
func (f *failureFleet) enqueue(i *failureInstance, r *failureRequest) {
	request := scheduler.Request{ID: r.id, Workspace: "w", Deadline: r.arrived + failureTimeout, Priority: r.attempts}
	if i.scheduler.Enqueue(f.sim.now, request) != nil {
		return
	}
	i.waiting[r.id] = r
	f.dispatch(i)
}

// dispatch adapts the number of slots to the number of closed circuits, and starts an
// attempt for each request that the scheduler releases.
func (f *failureFleet) dispatch(i *failureInstance) {
	var closed int
	for _, e := range f.endpoints {
		if i.breaker.State(f.sim.now, e.id) == breaker.Closed {
			closed++
		}
	}
	i.scheduler.SetSlots(f.maxInFlight(closed))
	for {
		request, expired, ok := i.scheduler.Next(f.sim.now)
		for _, x := range expired {
			delete(i.waiting, x.ID)
		}
		if !ok {
			return
		}
		r := i.waiting[request.ID]
		delete(i.waiting, request.ID)
		f.attempt(i, r)
	}
}

// attempt starts an attempt at the endpoint that pick returns.
func (f *failureFleet) attempt(i *failureInstance, r *failureRequest) {
	e, ticket, ok := f.pick(i, r)
	if !ok {
		i.scheduler.Done(f.sim.now, r.id, false)
		return
	}
	r.attempts++
	if f.arrivedDuringFailure(r) {
		f.attempts++
		if r.attempts == 1 {
			f.started++
		}
	}
	i.inFlight[e]++
	var ended bool
	end := func(succeeded bool) {
		if ended {
			return
		}
		ended = true
		i.inFlight[e]--
		f.finish(i, r, e, ticket, succeeded)
	}
	timeout := failureTimeout
	if f.guarded {
		timeout = r.arrived + failureTimeout - f.sim.now
	}
	f.sim.after(timeout, func() { end(false) })
	f.send(f.endpoints[e], r, func() bool { return ended }, end)
}

// pick returns the endpoint with fewer attempts in flight of two random ones. It
// draws again if the last attempt failed there or if the circuit is open.
func (f *failureFleet) pick(i *failureInstance, r *failureRequest) (int, breaker.Ticket, bool) {
	for range 10 {
		a, b := f.random.IntN(failureEndpoints), f.random.IntN(failureEndpoints)
		if i.inFlight[b] < i.inFlight[a] {
			a = b
		}
		if a == r.lastFailedEndpoint {
			continue
		}
		if !f.guarded {
			return a, breaker.Ticket{}, true
		}
		if t, ok := i.breaker.Allow(f.sim.now, f.endpoints[a].id); ok {
			return a, t, true
		}
	}
	return 0, breaker.Ticket{}, false
}

// send runs or queues an attempt at an endpoint. The endpoint drops queued attempts
// that have ended already only if it knows their deadline. The baseline does not
// send the deadline along.
func (f *failureFleet) send(e *failureEndpoint, r *failureRequest, ended func() bool, end func(bool)) {
	if f.random.Float64() < e.errorShare {
		f.sim.after(failureRefusalDelay, func() { end(false) })
		return
	}
	start := func() {
		e.running++
		duration := max(clock.Millis(f.random.ExpFloat64()*float64(failureMeanServiceTime)), 1)
		f.sim.after(duration, func() {
			if e.errorShare == 1 {
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

// finish records the outcome of an attempt, and retries a failed one if permitted.
func (f *failureFleet) finish(i *failureInstance, r *failureRequest, e int, t breaker.Ticket, succeeded bool) {
	now := f.sim.now
	if f.guarded {
		i.breaker.Report(now, t, succeeded)
		i.scheduler.Done(now, r.id, succeeded)
		defer f.dispatch(i)
	}
	if succeeded {
		i.limiter.Succeeded("s", "w")
		f.succeed(r)
		return
	}
	r.lastFailedEndpoint = e
	switch {
	case f.guarded && now < r.arrived+failureTimeout && i.limiter.AllowRetry("s", "w"):
		delay := i.limiter.Backoff(r.attempts-1, f.random)
		f.sim.after(delay, func() { f.enqueue(i, r) })
	case !f.guarded && r.attempts <= failureMaxRetries:
		f.attempt(i, r)
	}
}

// succeed counts the first response to a request. In the baseline the caller waits
// for all attempts; a response after failureTimeout is served but not goodput.
func (f *failureFleet) succeed(r *failureRequest) {
	if r.done {
		return
	}
	r.done = true
	if s := f.sim.now / clock.Second; int(s) < len(f.goodput) && f.sim.now <= r.arrived+failureTimeout {
		f.goodput[s]++
	}
	if f.arrivedDuringFailure(r) {
		f.served++
		_ = f.latency.RecordValue(int64(f.sim.now - r.arrived))
	}
}

// row returns the measurements. The recovery time is the number of seconds until
// the goodput over two seconds reaches 95% of that before the failure.
func (f *failureFleet) row(label string) Row {
	before := meanOf(f.goodput[failureWarmUp/clock.Second : failureStart/clock.Second])
	after := meanOf(f.goodput[failureEnd/clock.Second-20:])
	recovery := len(f.goodput) - int(failureStop/clock.Second)
	for s := int(failureStop / clock.Second); s+2 <= len(f.goodput); s++ {
		if meanOf(f.goodput[s:s+2]) >= 0.95*before {
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
