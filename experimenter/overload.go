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

// agenda runs functions in the order of their simulated time.
type agenda struct {
	now    clock.Millis
	events agendaEvents
	count  uint64
}

type agendaEvent struct {
	at    clock.Millis
	order uint64
	run   func()
}

type agendaEvents []agendaEvent

func (a agendaEvents) Len() int { return len(a) }

func (a agendaEvents) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

func (a agendaEvents) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agendaEvents) Push(x any) { *a = append(*a, x.(agendaEvent)) }

func (a *agendaEvents) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// after runs a function when the span has passed.
func (a *agenda) after(span clock.Millis, run func()) {
	a.count++
	heap.Push(&a.events, agendaEvent{at: a.now + span, order: a.count, run: run})
}

// until runs everything that is due before the end.
func (a *agenda) until(end clock.Millis) {
	for len(a.events) > 0 && a.events[0].at < end {
		e := heap.Pop(&a.events).(agendaEvent)
		a.now = e.at
		e.run()
	}
	a.now = end
}

// arrivals calls arrive as a Poisson process with the given rate per second
// until the end.
func (a *agenda) arrivals(r *rand.Rand, perSecond float64, end clock.Millis, arrive func()) {
	at := float64(a.now)
	var next func()
	next = func() {
		arrive()
		at += r.ExpFloat64() / perSecond * float64(clock.Second)
		if clock.Millis(at) < end {
			a.after(clock.Millis(at)-a.now, next)
		}
	}
	at += r.ExpFloat64() / perSecond * float64(clock.Second)
	a.after(clock.Millis(at)-a.now, next)
}

// The overload experiment: a pool of slots that serves 200 requests/s, callers
// that wait for two seconds, one large workspace and nine small ones that each
// use half of their fair share.
const (
	overloadSlots    = 20
	overloadService  = 100 * clock.Millis(1) // mean service time
	overloadPatience = 2 * clock.Second
	overloadWarmUp   = 10 * clock.Second
	overloadEnd      = 72 * clock.Second
	overloadSmall    = 0.05 // load of one small workspace as a share of capacity
)

// overloadPool is the queue in front of the slots.
type overloadPool struct {
	agenda  agenda
	random  *rand.Rand
	fair    *scheduler.Scheduler // nil for the baseline
	fifo    []overloadRequest
	running int
	ids     int
	waiting map[string]overloadRequest

	offered, good map[bool]int // by whether the workspace is small
	refused       int          // on arrival
	expired, late int
	waits         *hdrhistogram.Histogram // of the small workspaces, ms
}

type overloadRequest struct {
	id, workspace string
	small         bool
	arrived       clock.Millis
	service       clock.Millis
}

// Overload measures goodput above capacity and the service that small
// workspaces get beside a large one. The baseline is one first-in queue without
// deadlines.
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
	good := map[float64]float64{}
	var small float64
	for _, fair := range []bool{false, true} {
		name := "fifo"
		if fair {
			name = "scheduler"
		}
		curve := Curve{Label: name}
		for _, load := range loads {
			p := newOverloadPool(seed, fair)
			p.run(load)
			row := p.row(fmt.Sprintf("%s at %.0f%%", name, 100*load))
			result.Rows = append(result.Rows, row)
			curve.X, curve.Y = append(curve.X, load), append(curve.Y, row.Values[0])
			if load == 1 {
				best = max(best, row.Values[0])
			}
			if fair {
				good[load], small = row.Values[0], row.Values[4]
			}
		}
		result.Curves = append(result.Curves, curve)
	}
	result.Targets = []Target{
		{Name: "goodput at 120% / best at 100%", Measured: good[1.2] / best, Limit: 0.95, AtLeast: true},
		{Name: "goodput at 200% / best at 100%", Measured: good[2] / best, Limit: 0.95, AtLeast: true},
		{Name: "share served of the small workspaces at 200%", Measured: small, Limit: 0.99, AtLeast: true},
	}
	return result
}

func newOverloadPool(seed uint64, fair bool) *overloadPool {
	p := &overloadPool{
		random: rand.New(rand.NewPCG(seed, 1)), waiting: map[string]overloadRequest{},
		offered: map[bool]int{}, good: map[bool]int{},
		waits: hdrhistogram.New(1, int64(clock.Hour), 3),
	}
	if fair {
		p.fair = scheduler.New(scheduler.Options{Slots: overloadSlots, InitialServiceTime: overloadService})
	}
	return p
}

func (p *overloadPool) run(load float64) {
	capacity := overloadSlots * float64(clock.Second) / float64(overloadService)
	for n := range 9 {
		name := fmt.Sprintf("small%d", n)
		p.agenda.arrivals(p.random, overloadSmall*capacity, overloadEnd, func() { p.arrive(name, true) })
	}
	large := (load - 9*overloadSmall) * capacity
	p.agenda.arrivals(p.random, large, overloadEnd, func() { p.arrive("large", false) })
	p.agenda.until(overloadEnd + overloadPatience)
}

// service draws a log-normal service time with the mean overloadService.
func (p *overloadPool) service() clock.Millis {
	const sigma = 0.6
	mu := math.Log(float64(overloadService)) - sigma*sigma/2
	return max(clock.Millis(math.Exp(mu+sigma*p.random.NormFloat64())), 1)
}

func (p *overloadPool) measured(r overloadRequest) bool {
	return r.arrived >= overloadWarmUp && r.arrived < overloadEnd-overloadPatience
}

func (p *overloadPool) arrive(workspace string, small bool) {
	p.ids++
	r := overloadRequest{
		id: fmt.Sprint(p.ids), workspace: workspace, small: small,
		arrived: p.agenda.now, service: p.service(),
	}
	if p.measured(r) {
		p.offered[small]++
	}
	if p.fair == nil {
		p.fifo = append(p.fifo, r)
		p.dispatch()
		return
	}
	i := scheduler.Request{ID: r.id, Workspace: workspace, Deadline: r.arrived + overloadPatience}
	if p.fair.Enqueue(p.agenda.now, i) != nil {
		if p.measured(r) {
			p.refused++
		}
		return
	}
	p.waiting[r.id] = r
	p.dispatch()
}

func (p *overloadPool) dispatch() {
	for p.fair == nil && p.running < overloadSlots && len(p.fifo) > 0 {
		r := p.fifo[0]
		p.fifo = p.fifo[1:]
		p.start(r)
	}
	for p.fair != nil {
		i, expired, ok := p.fair.Next(p.agenda.now)
		for _, x := range expired {
			if p.measured(p.waiting[x.ID]) {
				p.expired++
			}
			delete(p.waiting, x.ID)
		}
		if !ok {
			return
		}
		r := p.waiting[i.ID]
		delete(p.waiting, i.ID)
		p.start(r)
	}
}

// start runs a request. The scheduler's callers propagate the deadline, so the
// engine ends the work there; the baseline's work runs to its end.
func (p *overloadPool) start(r overloadRequest) {
	p.running++
	if r.small && p.measured(r) {
		_ = p.waits.RecordValue(int64(p.agenda.now - r.arrived))
	}
	left := r.arrived + overloadPatience - p.agenda.now
	span := r.service
	if p.fair != nil {
		span = min(span, left)
	}
	p.agenda.after(span, func() {
		p.running--
		inTime := r.service <= left
		switch {
		case !p.measured(r):
		case inTime:
			p.good[r.small]++
		default:
			p.late++
		}
		if p.fair != nil {
			p.fair.Done(p.agenda.now, r.id, inTime)
		}
		p.dispatch()
	})
}

func (p *overloadPool) row(label string) Row {
	offered := float64(p.offered[true] + p.offered[false])
	seconds := float64(overloadEnd-overloadPatience-overloadWarmUp) / float64(clock.Second)
	return Row{Label: label, Values: []float64{
		float64(p.good[true]+p.good[false]) / seconds,
		float64(p.refused) / offered,
		float64(p.expired) / offered,
		float64(p.late) / offered,
		float64(p.good[true]) / float64(p.offered[true]),
		float64(p.waits.ValueAtQuantile(95)),
		float64(p.waits.Max()),
	}}
}
