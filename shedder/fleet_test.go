package shedder

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// fleet simulates instances that send to engines, without a network. An engine works
// off its prompts one after the other. An instance knows the queues as of its last
// heartbeat and what it has sent since.
type fleet struct {
	load      load
	random    *rand.Rand
	busyUntil []float64 // by engine
	known     [][]float64
	knownAt   []clock.Millis
	shedders  []*Shedder
	names     [fleetWorkspaces]string
	arrivals  arrivals
	outcomes  []*outcome
}

const (
	fleetInstances  = 20
	fleetEngines    = 20
	fleetWorkspaces = 24
	fleetBeat       = 500 * clock.Millis(1)
	fleetTarget     = 1500 * clock.Millis(1)
	fleetDeadline   = 6 * clock.Second
	fleetFrom       = 20 * clock.Second // begin of the load under test
	fleetAfter      = 5 * clock.Second  // time after it whose requests count too
)

// load is a pattern of requests. The usual load takes two thirds of the engines' time.
type load struct {
	without bool                              // no admission control
	demand  func(workspace, kind int) float64 // factor from fleetFrom to until
	speed   float64                           // of the engines from fleetFrom to until; 0: 1
	until   clock.Millis                      // end of the load under test
	restart clock.Millis                      // instant at which all instances lose their state; 0: never
}

// outcome is what becomes of a request.
type outcome struct {
	workspace, rank, kind int
	session               string
	size, work            float64
	begin                 clock.Millis
	first                 float64 // instant of the first event; infinite if never
	refusals              int
}

func (o *outcome) onTime() bool { return o.first <= float64(o.begin+fleetTarget) }

type arrival struct {
	expected clock.Millis // if above 0, the arrival of the first event
	sent     clock.Millis
	at       clock.Millis
	id       uint64
	instance int
	outcome  *outcome
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// run simulates a load for 40 s and returns the outcomes of the requests that begin
// while it lasts or up to fleetAfter later.
func run(seed uint64, l load) []*outcome {
	f := &fleet{
		load: l, random: rand.New(rand.NewPCG(seed, 1)), busyUntil: make([]float64, fleetEngines),
		known: make([][]float64, fleetInstances), knownAt: make([]clock.Millis, fleetInstances),
	}
	for w := range f.names {
		f.names[w] = fmt.Sprint("w", w)
	}
	f.restart()
	f.generate()
	restarted := l.restart == 0
	for f.arrivals.Len() > 0 {
		a := heap.Pop(&f.arrivals).(arrival)
		if !restarted && a.at >= l.restart {
			restarted = true
			f.restart()
		}
		f.handle(a)
	}
	var list []*outcome
	for _, o := range f.outcomes {
		if o.begin >= fleetFrom && o.begin < l.until+fleetAfter {
			list = append(list, o)
		}
	}
	return list
}

func (f *fleet) restart() {
	f.shedders = make([]*Shedder, fleetInstances)
	for i := range f.shedders {
		f.shedders[i] = New(Options{Others: func(now clock.Millis, service string) Demand { return f.others(i, now) }})
		f.known[i] = make([]float64, fleetEngines)
		f.knownAt[i] = math.MinInt32
		if f.load.restart > 0 {
			f.knownAt[i] = f.load.restart
		}
	}
}

// others returns the demand that half of the other instances report.
func (f *fleet) others(self int, now clock.Millis) Demand {
	d := Demand{Rates: make(map[uint64]float64), Reporting: fleetInstances/2 - 1, Unknown: fleetInstances / 2}
	for i := range fleetInstances / 2 {
		f.shedders[(self/10*10+i)%fleetInstances].Rates(now, func(_, workspace string, rate float64) {
			if self/10*10+i != self {
				d.Rates[matcher.Hash("workspace", workspace)] += rate
			}
		})
	}
	return d
}

// generate creates the arrivals of 40 s: per workspace and kind a Poisson process.
// Kinds are 0 long, 1 short, 2 labels, with one rank each.
func (f *fleet) generate() {
	rates := [3]float64{0.012, 0.14, 0.06} // requests per ms, all workspaces
	for kind, rate := range rates {
		for w := range fleetWorkspaces {
			for at := 0.0; at < 40_000; {
				factor := 1.0
				if t := clock.Millis(at); t >= fleetFrom && t < f.load.until && f.load.demand != nil {
					factor = f.load.demand(w, kind)
				}
				at += f.random.ExpFloat64() * fleetWorkspaces / (rate * factor)
				size := []float64{6000 * math.Exp(0.8*f.random.NormFloat64()), 830, 2400}[kind]
				size = min(size*(0.7+0.6*f.random.Float64()), 54_600)
				o := &outcome{
					workspace: w, rank: []int{1, 0, 2}[kind], kind: kind, size: size, work: size * 0.05,
					session: fmt.Sprint(w, "-", f.random.IntN(20)), begin: clock.Millis(at), first: math.Inf(1),
				}
				f.outcomes = append(f.outcomes, o)
				instance := f.random.IntN(fleetInstances)
				heap.Push(&f.arrivals, arrival{at: o.begin, id: f.random.Uint64(), instance: instance, outcome: o})
			}
		}
	}
}

func (f *fleet) speed(now clock.Millis) float64 {
	if f.load.speed > 0 && now >= fleetFrom && now < f.load.until {
		return f.load.speed
	}
	return 1
}

func (f *fleet) handle(a arrival) {
	if a.expected > 0 {
		f.shedders[a.instance].Observe(a.at, "s", fmt.Sprint(a.outcome.kind), a.expected, a.at-a.sent)
		return
	}
	now, o := float64(a.at), a.outcome
	known := f.known[a.instance]
	if a.at-f.knownAt[a.instance] >= fleetBeat {
		f.knownAt[a.instance] = a.at - clock.Millis(f.random.IntN(100))
		copy(known, f.busyUntil)
	}
	least := math.Inf(1)
	for _, b := range known {
		least = min(least, max(0, b-now))
	}
	remaining := o.begin + fleetDeadline - a.at
	r := Request{
		ID: a.id, Service: "s", Kind: fmt.Sprint(o.kind), Workspace: f.names[o.workspace], Session: o.session,
		Rank: o.rank, Size: o.size, Work: o.work, Expected: clock.Millis(least+o.work) + 30, Target: fleetTarget,
		Remaining: remaining, Idle: least == 0,
	}
	if !f.load.without {
		v := f.shedders[a.instance].Decide(a.at, r)
		if !v.Admitted {
			o.refusals++
			if again := a.at + v.RetryAfter; again < o.begin+fleetDeadline-fleetDeadline/10 {
				instance := a.instance
				if f.random.IntN(2) == 0 {
					instance = f.random.IntN(fleetInstances)
				}
				heap.Push(&f.arrivals, arrival{at: again, id: a.id, instance: instance, outcome: o})
			}
			return
		}
	}
	best := f.random.IntN(fleetEngines)
	for range 3 {
		if e := f.random.IntN(fleetEngines); known[e] < known[best] {
			best = e
		}
	}
	work := o.work / f.speed(a.at)
	start := max(now, f.busyUntil[best])
	if start > float64(o.begin+fleetDeadline) {
		return // the caller has left before the engine began
	}
	f.busyUntil[best] = start + work
	known[best] = max(now, known[best]) + work
	o.first = start + work + 30
	heap.Push(&f.arrivals, arrival{
		at: clock.Millis(o.first), instance: a.instance, expected: r.Expected, sent: a.at, outcome: o,
	})
}

// share returns the share of the outcomes that pass a test among those that pass a
// filter, and their number.
func share(list []*outcome, filter, test func(*outcome) bool) (float64, int) {
	n, ok := 0, 0
	for _, o := range list {
		if filter != nil && !filter(o) {
			continue
		}
		n++
		if test(o) {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n)), n
}
