package experimenter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// simulation is a discrete-event simulator. It runs functions in the order of
// their simulated time, and in the order of scheduling at equal times.
type simulation struct {
	now       clock.Millis
	events    simulationEvents
	scheduled uint64 // number of events scheduled so far
}

// simulationEvent is a function that runs at a simulated time.
type simulationEvent struct {
	at    clock.Millis
	order uint64 // breaks ties
	run   func()
}

// simulationEvents is a heap of events, the earliest first.
type simulationEvents []simulationEvent

func (e simulationEvents) Len() int { return len(e) }

func (e simulationEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e simulationEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simulationEvents) Push(x any) { *e = append(*e, x.(simulationEvent)) }

func (e *simulationEvents) Pop() any {
	end := len(*e) - 1
	last := (*e)[end]
	*e = (*e)[:end]
	return last
}

// after schedules a function to run after a delay.
func (s *simulation) after(delay clock.Millis, run func()) {
	s.scheduled++
	heap.Push(&s.events, simulationEvent{at: s.now + delay, order: s.scheduled, run: run})
}

// runUntil runs all events before the end, and sets the time to the end.
func (s *simulation) runUntil(end clock.Millis) {
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(simulationEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// poissonArrivals schedules calls of arrive as a Poisson process with the given
// rate per second until the end.
func (s *simulation) poissonArrivals(r *rand.Rand, perSecond float64, end clock.Millis, arrive func()) {
	at := float64(s.now)
	var next func()
	next = func() {
		arrive()
		at += r.ExpFloat64() / perSecond * float64(clock.Second)
		if clock.Millis(at) < end {
			s.after(clock.Millis(at)-s.now, next)
		}
	}
	at += r.ExpFloat64() / perSecond * float64(clock.Second)
	s.after(clock.Millis(at)-s.now, next)
}

// Parameters of the overload experiment: a pool of slots that serves 200
// requests per second, callers that give up after two seconds, one large
// workspace, and nine small workspaces that each use half of their fair share.
const (
	overloadSlots           = 20
	overloadMeanServiceTime = 100 * clock.Millis(1)
	overloadTimeout         = 2 * clock.Second  // after which a caller gives up
	overloadWarmUp          = 10 * clock.Second // not measured
	overloadEnd             = 72 * clock.Second
	overloadSmallLoad       = 0.05 // load of one small workspace as a share of capacity
)

// overloadPool is a pool of slots with a queue in front of them, and the
// measurements of one run.
type overloadPool struct {
	sim       simulation
	random    *rand.Rand
	scheduler *scheduler.Scheduler // nil for the baseline
	fifo      []overloadRequest    // queue of the baseline
	running   int
	lastID    int
	waiting   map[string]overloadRequest // in the queue of the scheduler, by id

	offered, inTime map[bool]int            // requests, by whether the workspace is small
	refused         int                     // requests refused on arrival
	expired, late   int                     // requests that missed their deadline in the queue, and after the start
	smallWaits      *hdrhistogram.Histogram // queueing time of the small workspaces, ms
}

// overloadRequest is a request that the pool serves.
type overloadRequest struct {
	id, workspace string
	small         bool
	arrived       clock.Millis
	serviceTime   clock.Millis
}

// Overload returns the experiment on load above capacity. It measures the goodput
// and the service that small workspaces get beside a large one. The baseline is a
// single FIFO queue without deadlines.
func Overload() Experiment {
	return Experiment{
		Name:    "overload",
		Summary: "goodput at 100%, 120% and 200% of capacity, and nine small workspaces beside a large one",
		Run:     runOverload,
	}
}

func runOverload(seed uint64) Result {
	result := Result{
		Columns: []string{
			"goodput_per_s", "refused_share", "expired_share", "late_share", "small_served",
			"small_wait_p95_ms", "small_wait_max_ms",
		},
		XAxis: "offered load / capacity", YAxis: "goodput (requests/s)",
	}
	loads := []float64{0.8, 1, 1.2, 1.5, 2}
	best := 0.0
	goodput := map[float64]float64{}
	var small float64
	for _, scheduled := range []bool{false, true} {
		name := "fifo"
		if scheduled {
			name = "scheduler"
		}
		curve := Curve{Label: name}
		for _, load := range loads {
			p := newOverloadPool(seed, scheduled)
			p.run(load)
			row := p.row(fmt.Sprintf("%s at %.0f%%", name, 100*load))
			result.Rows = append(result.Rows, row)
			curve.X, curve.Y = append(curve.X, load), append(curve.Y, row.Values[0])
			if load == 1 {
				best = max(best, row.Values[0])
			}
			if scheduled {
				goodput[load], small = row.Values[0], row.Values[4]
			}
		}
		result.Curves = append(result.Curves, curve)
	}
	result.Targets = []Target{
		{Name: "goodput at 120% / best at 100%", Measured: goodput[1.2] / best, Limit: 0.95, AtLeast: true},
		{Name: "goodput at 200% / best at 100%", Measured: goodput[2] / best, Limit: 0.95, AtLeast: true},
		{Name: "share served of the small workspaces at 200%", Measured: small, Limit: 0.99, AtLeast: true},
	}
	return result
}

func newOverloadPool(seed uint64, scheduled bool) *overloadPool {
	p := &overloadPool{
		random: rand.New(rand.NewPCG(seed, 1)), waiting: map[string]overloadRequest{},
		offered: map[bool]int{}, inTime: map[bool]int{},
		smallWaits: hdrhistogram.New(1, int64(clock.Hour), 3),
	}
	if scheduled {
		p.scheduler = scheduler.New(scheduler.Options{Slots: overloadSlots, InitialServiceTime: overloadMeanServiceTime})
	}
	return p
}

func (p *overloadPool) run(load float64) {
	capacity := overloadSlots * float64(clock.Second) / float64(overloadMeanServiceTime)
	for n := range 9 {
		name := fmt.Sprintf("small%d", n)
		p.sim.poissonArrivals(p.random, overloadSmallLoad*capacity, overloadEnd, func() { p.arrive(name, true) })
	}
	large := (load - 9*overloadSmallLoad) * capacity
	p.sim.poissonArrivals(p.random, large, overloadEnd, func() { p.arrive("large", false) })
	p.sim.runUntil(overloadEnd + overloadTimeout)
}

// serviceTime draws a log-normal service time with the mean
// overloadMeanServiceTime.
func (p *overloadPool) serviceTime() clock.Millis {
	const sigma = 0.6
	mu := math.Log(float64(overloadMeanServiceTime)) - sigma*sigma/2
	return max(clock.Millis(math.Exp(mu+sigma*p.random.NormFloat64())), 1)
}

// inMeasurement reports whether a request arrived in the measured interval, which
// leaves out the warm-up and the requests whose deadline is after the end.
func (p *overloadPool) inMeasurement(r overloadRequest) bool {
	return r.arrived >= overloadWarmUp && r.arrived < overloadEnd-overloadTimeout
}

func (p *overloadPool) arrive(workspace string, small bool) {
	p.lastID++
	r := overloadRequest{
		id: fmt.Sprint(p.lastID), workspace: workspace, small: small,
		arrived: p.sim.now, serviceTime: p.serviceTime(),
	}
	if p.inMeasurement(r) {
		p.offered[small]++
	}
	if p.scheduler == nil {
		p.fifo = append(p.fifo, r)
		p.dispatch()
		return
	}
	request := scheduler.Request{ID: r.id, Workspace: workspace, Deadline: r.arrived + overloadTimeout}
	if p.scheduler.Enqueue(p.sim.now, request) != nil {
		if p.inMeasurement(r) {
			p.refused++
		}
		return
	}
	p.waiting[r.id] = r
	p.dispatch()
}

// dispatch starts queued requests while there are free slots.
func (p *overloadPool) dispatch() {
	for p.scheduler == nil && p.running < overloadSlots && len(p.fifo) > 0 {
		r := p.fifo[0]
		p.fifo = p.fifo[1:]
		p.start(r)
	}
	for p.scheduler != nil {
		request, expired, ok := p.scheduler.Next(p.sim.now)
		for _, x := range expired {
			if p.inMeasurement(p.waiting[x.ID]) {
				p.expired++
			}
			delete(p.waiting, x.ID)
		}
		if !ok {
			return
		}
		r := p.waiting[request.ID]
		delete(p.waiting, request.ID)
		p.start(r)
	}
}

// start runs a request. With the scheduler, callers send the deadline along, so
// that the engine cancels the request at its deadline. In the baseline, every
// request runs to completion.
func (p *overloadPool) start(r overloadRequest) {
	p.running++
	if r.small && p.inMeasurement(r) {
		_ = p.smallWaits.RecordValue(int64(p.sim.now - r.arrived))
	}
	remaining := r.arrived + overloadTimeout - p.sim.now
	duration := r.serviceTime
	if p.scheduler != nil {
		duration = min(duration, remaining)
	}
	p.sim.after(duration, func() {
		p.running--
		inTime := r.serviceTime <= remaining
		switch {
		case !p.inMeasurement(r):
		case inTime:
			p.inTime[r.small]++
		default:
			p.late++
		}
		if p.scheduler != nil {
			p.scheduler.Done(p.sim.now, r.id, inTime)
		}
		p.dispatch()
	})
}

func (p *overloadPool) row(label string) Row {
	offered := float64(p.offered[true] + p.offered[false])
	seconds := float64(overloadEnd-overloadTimeout-overloadWarmUp) / float64(clock.Second)
	return Row{Label: label, Values: []float64{
		float64(p.inTime[true]+p.inTime[false]) / seconds,
		float64(p.refused) / offered,
		float64(p.expired) / offered,
		float64(p.late) / offered,
		float64(p.inTime[true]) / float64(p.offered[true]),
		float64(p.smallWaits.ValueAtQuantile(95)),
		float64(p.smallWaits.Max()),
	}}
}
