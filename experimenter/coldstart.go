package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// Parameters of the cold start experiment. Nine instances route requests to two
// data centres with four endpoints each. All endpoints start cold. All endpoints
// of the first data centre restart at the same time, and later all of the second.
// Instances pause at random, permit assignments are written from incomplete
// membership views, and the store is unavailable for 15 s.
const (
	coldInstances      = 9
	coldEndpoints      = 8
	coldRequestRate    = 20.0                  // requests per second at each instance
	coldServiceTime    = 200 * clock.Millis(1) // mean
	coldFirstRestart   = 20 * clock.Second     // of the first data centre
	coldSecondRestart  = 70 * clock.Second     // of the second data centre
	coldStoreDownAt    = 40 * clock.Second
	coldStoreUpAt      = 55 * clock.Second
	coldEnd            = 120 * clock.Second
	coldPermitInterval = 100 * clock.Millis(1) // minimum time between two permit requests for one process
	coldIdleTimeout    = 300 * clock.Millis(1) // time after which an unused permit is returned
)

// coldOptions are the options of permits, and give the limit of a cold process.
var coldOptions = permitter.Options{
	ConfirmationLifetime: 3 * clock.Second, Lifetime: 3 * clock.Second, WarmLifetime: 10 * clock.Second,
	MaxRequestTime: 5 * clock.Second, Margin: clock.Second / 2, ColdLimit: 2, WarmLimit: 16, FinishedPerUnit: 4,
}

// ColdStart returns the experiment on cold endpoints. It compares the number of
// concurrent requests at cold endpoints with their limit. In the baseline, each
// instance applies the limit on its own, without permits from a shared granter.
func ColdStart() Experiment {
	return Experiment{
		Name:    "cold_start",
		Summary: "concurrent work at cold endpoints against their limit, with paused and disagreeing granters",
		Run:     runColdStart,
	}
}

// coldInstance is an instance with its holder and granter of permits.
type coldInstance struct {
	id          string
	pausedUntil clock.Millis
	holder      *permitter.Holder
	granter     *permitter.Granter
	assignments permitter.AssignmentStore
	votes       map[uint64][]string                // ids of the voters, by epoch of the assignment
	requestedAt map[permitter.Process]clock.Millis // last permit request
	usedAt      map[permitter.Process]clock.Millis // last request that needed a permit
}

// coldFleet is the state and the measurements of one run.
type coldFleet struct {
	sim            simulation
	random         *rand.Rand
	store          *storeemulator.Emulator
	ownGranter     bool // each instance is its own granter (the baseline)
	withoutRestart bool // the second data centre becomes cold without a restart
	instances      []*coldInstance
	processes      []*coldProcess

	offered, served, failed, starts, startsAboveLimit int
	peakRunning                                       int       // maximum number of concurrent requests at a cold process
	peakRatio                                         float64   // maximum ratio of concurrent requests to the limit
	warmupSeconds                                     []float64 // from cold to warm or to the end of the run
	curve                                             Curve
}

func runColdStart(seed uint64) Result {
	result := Result{
		Columns: []string{
			"peak_running", "peak_over_limit", "starts_above_limit", "ms_above_limit", "failed", "served_share",
			"cold_to_warm_max_s",
		},
		XAxis: "time (s)", YAxis: "most running requests at a cold endpoint / limit",
	}
	variants := []struct {
		label                      string
		ownGranter, withoutRestart bool
	}{
		{"each its own little", true, false},
		{"permits", false, false},
		{"each its own little, no restart", true, true},
		{"permits, no restart", false, true},
	}
	for _, v := range variants {
		f := newColdFleet(seed, v.ownGranter, v.withoutRestart)
		f.run()
		row := f.row(v.label)
		result.Rows = append(result.Rows, row)
		f.curve.Label = v.label
		result.Curves = append(result.Curves, f.curve)
		if v.label == "permits" {
			result.Targets = []Target{
				{Name: "peak of concurrent work at a cold endpoint / limit", Measured: row.Values[1], Limit: 1},
				{Name: "starts above the limit", Measured: row.Values[2], Limit: 0},
			}
		}
	}
	return result
}

func newColdFleet(seed uint64, ownGranter, withoutRestart bool) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(seed, 1)), store: storeemulator.New(),
		ownGranter: ownGranter, withoutRestart: withoutRestart,
	}
	s := f.store.Store()
	for n := range coldInstances {
		id := fmt.Sprintf("i%d/1", n)
		i := &coldInstance{
			id: id, holder: permitter.NewHolder(id, coldOptions), granter: permitter.NewGranter(id, coldOptions),
			assignments: permitter.AssignmentStore{Get: s.Get, Put: s.Put, Key: "permits"},
			votes:       map[uint64][]string{}, requestedAt: map[permitter.Process]clock.Millis{},
			usedAt: map[permitter.Process]clock.Millis{},
		}
		f.instances = append(f.instances, i)
		if ownGranter {
			f.adopt(i, permitter.Assignment{}.Next(id, []string{id}, nil))
		}
	}
	for n := range coldEndpoints {
		f.processes = append(f.processes, &coldProcess{name: fmt.Sprintf("e%d", n)})
	}
	return f
}

func (f *coldFleet) run() {
	for _, i := range f.instances {
		f.sim.poissonArrivals(f.random, coldRequestRate, coldEnd, func() { f.arrive(i) })
		f.every(clock.Second/2, func() { f.confirm(i) })
		f.every(clock.Second/10, func() { f.returnIdlePermits(i) })
	}
	if !f.ownGranter {
		f.propose(f.instances[0], 0)
		f.every(15*clock.Second, func() { f.propose(f.instances[f.random.IntN(coldInstances)], 1) })
	}
	f.every(5*clock.Second, func() {
		f.instances[f.random.IntN(coldInstances)].pausedUntil = f.sim.now + clock.Millis(1000+f.random.IntN(11000))
	})
	f.every(clock.Second, f.sample)
	f.sim.after(coldStoreDownAt, func() { f.store.SetFaults(storeemulator.Faults{Down: true}) })
	f.sim.after(coldStoreUpAt, func() { f.store.SetFaults(storeemulator.Faults{}) })
	f.sim.after(coldFirstRestart, func() { f.makeCold(f.processes[:coldEndpoints/2], false) })
	f.sim.after(coldSecondRestart, func() { f.makeCold(f.processes[coldEndpoints/2:], f.withoutRestart) })
	f.sim.runUntil(coldEnd)
	for _, p := range f.processes {
		f.trackTimeAboveLimit(p)
		if p.limit() != permitter.Unlimited {
			f.warmupSeconds = append(f.warmupSeconds, float64(f.sim.now-p.coldSince)/float64(clock.Second))
		}
	}
}

// every runs a function periodically, from a random phase on.
func (f *coldFleet) every(interval clock.Millis, run func()) {
	var next func()
	next = func() {
		run()
		f.sim.after(interval, next)
	}
	f.sim.after(clock.Millis(1+f.random.Int64N(int64(interval))), next)
}

// send delivers a message to an instance within 5 ms. 1% of the messages are
// lost and 2% take up to 4 s. A paused instance handles the message when it
// resumes.
func (f *coldFleet) send(to *coldInstance, run func()) {
	delay := clock.Millis(1 + f.random.IntN(5))
	switch f.random.IntN(100) {
	case 0:
		return
	case 1, 2:
		delay = clock.Millis(f.random.IntN(4000))
	}
	f.deliver(to, delay, run)
}

// deliver runs a function at an instance after a delay, and not before the
// instance resumes from a pause.
func (f *coldFleet) deliver(to *coldInstance, delay clock.Millis, run func()) {
	var deliver func()
	deliver = func() {
		if wait := to.pausedUntil - f.sim.now; wait > 0 {
			f.sim.after(wait, deliver)
			return
		}
		run()
	}
	f.sim.after(delay, deliver)
}

func (f *coldFleet) instance(id string) *coldInstance {
	k := slices.IndexFunc(f.instances, func(i *coldInstance) bool { return i.id == id })
	if k < 0 {
		return nil
	}
	return f.instances[k]
}

func (f *coldFleet) adopt(i *coldInstance, a permitter.Assignment) {
	i.holder.Adopt(a)
	i.granter.Adopt(f.sim.now, a)
}

// propose writes a new assignment from a membership view that lacks the given
// number of live instances.
func (f *coldFleet) propose(i *coldInstance, missing int) {
	assignment, err := i.assignments.Load(context.Background())
	if err != nil || i.pausedUntil > f.sim.now {
		return
	}
	var members []string
	for _, member := range f.random.Perm(coldInstances)[missing:] {
		members = append(members, f.instances[member].id)
	}
	next := assignment.Next(i.id, members, nil)
	if i.assignments.Save(context.Background(), next) == nil {
		f.adopt(i, next)
	}
}

// confirm asks all instances to vote for the assignment that this one holds. Each
// response also carries the newest assignment that the peer knows.
func (f *coldFleet) confirm(i *coldInstance) {
	if i.pausedUntil > f.sim.now {
		return
	}
	sent, a := f.sim.now, i.holder.Assignment()
	if f.ownGranter {
		i.granter.Confirm(sent, a.Epoch)
		return
	}
	for _, peer := range f.instances {
		f.send(peer, func() {
			vote, newest := peer.holder.Vote(a.Epoch), peer.holder.Assignment()
			f.send(i, func() {
				f.adopt(i, newest)
				if vote {
					i.granter.Vote(sent, a.Epoch, peer.id)
					i.votes[a.Epoch] = append(i.votes[a.Epoch], peer.id)
					f.settle(i)
				}
			})
		})
	}
}

// settle settles the assignment once enough instances have voted for it. Any
// instance may do so, because the one that wrote it may be paused.
func (f *coldFleet) settle(i *coldInstance) {
	a := i.holder.Assignment()
	settled, ok := a.Settle(i.votes[a.Epoch])
	if a.Epoch == 0 || a.Settled() || !ok {
		return
	}
	stored, err := i.assignments.Load(context.Background())
	if err != nil {
		return
	}
	if stored.Epoch == a.Epoch && !stored.Settled() && i.assignments.Save(context.Background(), settled) != nil {
		return
	}
	if stored.Epoch == a.Epoch {
		f.adopt(i, settled)
	}
}

// arrive tries a request at up to three random processes.
func (f *coldFleet) arrive(i *coldInstance) {
	if i.pausedUntil > f.sim.now {
		return
	}
	f.offered++
	for range 3 {
		p := f.processes[f.random.IntN(coldEndpoints)]
		if f.start(i, p) {
			return
		}
	}
}

// start sends a request if the instance has a permit for the process. It requests
// a permit if there is none or if the current one expires soon. It reports
// whether the request was sent.
func (f *coldFleet) start(i *coldInstance, p *coldProcess) bool {
	id := p.id()
	i.usedAt[id] = f.sim.now
	w, ok := i.holder.Start(f.sim.now, id)
	if !ok || i.holder.NeedsRenewal(f.sim.now, id) {
		f.requestPermit(i, id, 2)
	}
	if !ok {
		return false
	}
	f.trackTimeAboveLimit(p)
	p.running++
	f.starts++
	overloaded := p.running > p.limit()
	if limit := p.limit(); limit != permitter.Unlimited {
		f.peakRunning = max(f.peakRunning, p.running)
		f.peakRatio = max(f.peakRatio, float64(p.running)/float64(limit))
	}
	f.trackTimeAboveLimit(p)
	duration := clock.Millis(float64(coldServiceTime) * (0.5 + f.random.Float64()))
	f.sim.after(duration, func() { f.end(i, p, w, overloaded) })
	return true
}

// end finishes a request. A request that was started above the limit fails. The
// instance reports the process as cold after such a failure, or after a slow
// response of a process that it considered warm.
func (f *coldFleet) end(i *coldInstance, p *coldProcess, w permitter.RunningRequest, overloaded bool) {
	alive := p.id() == w.Process
	f.trackTimeAboveLimit(p)
	showsCold := alive && (overloaded || i.holder.AvailableUnits(f.sim.now, p.id()) > permitter.Unlimited/2 &&
		p.limit() != permitter.Unlimited)
	if alive {
		p.running--
	}
	switch {
	case overloaded:
		f.startsAboveLimit++
		f.failed++
	case !alive:
		f.failed++
	default:
		f.served++
		p.finished++
		if limit := p.limit(); limit == permitter.Unlimited && p.coldSince >= 0 {
			f.warmupSeconds = append(f.warmupSeconds, float64(f.sim.now-p.coldSince)/float64(clock.Second))
			p.coldSince = -1
		}
	}
	f.trackTimeAboveLimit(p)
	f.deliver(i, 0, func() { i.holder.Finish(w, alive && !overloaded) })
	if showsCold {
		f.reportCold(i, w.Process)
	}
}

// reportCold tells all instances that a process is cold, or only the instance
// itself in the baseline.
func (f *coldFleet) reportCold(i *coldInstance, id permitter.Process) {
	i.holder.MarkCold(id)
	for _, peer := range f.instances {
		if f.ownGranter && peer != i {
			continue
		}
		f.send(peer, func() {
			peer.holder.MarkCold(id)
			peer.granter.MarkCold(f.sim.now, id)
		})
	}
}

// requestPermit requests permits for a number of units from the granter of the
// endpoint. A request for 0 units returns the permit.
func (f *coldFleet) requestPermit(i *coldInstance, id permitter.Process, want int) {
	if f.sim.now < i.requestedAt[id]+coldPermitInterval {
		return
	}
	i.requestedAt[id] = f.sim.now
	request := i.holder.Ask(f.sim.now, id, want)
	granter := f.instance(i.holder.Assignment().Granter(id.Endpoint))
	if granter == nil {
		return
	}
	f.send(granter, func() {
		if permit, ok := granter.granter.Grant(f.sim.now, request); ok {
			f.send(i, func() { i.holder.Accept(f.sim.now, permit) })
		}
	})
}

// returnIdlePermits returns limited permits that were not used within
// coldIdleTimeout.
func (f *coldFleet) returnIdlePermits(i *coldInstance) {
	if i.pausedUntil > f.sim.now {
		return
	}
	for _, p := range f.processes {
		id := p.id()
		units := i.holder.AvailableUnits(f.sim.now, id)
		if units > 0 && units <= coldOptions.WarmLimit && f.sim.now >= i.usedAt[id]+coldIdleTimeout {
			f.requestPermit(i, id, 0)
		}
	}
	i.holder.Tick(f.sim.now)
	i.granter.Tick(f.sim.now)
}

// sample adds a point to the curve: the maximum over all cold processes of the ratio
// of concurrent requests to the limit.
func (f *coldFleet) sample() {
	var peak float64
	for _, p := range f.processes {
		if limit := p.limit(); limit != permitter.Unlimited {
			peak = max(peak, float64(p.running)/float64(limit))
		}
	}
	f.curve.X = append(f.curve.X, float64(f.sim.now)/float64(clock.Second))
	f.curve.Y = append(f.curve.Y, peak)
}

func (f *coldFleet) row(label string) Row {
	var aboveLimit clock.Millis
	for _, p := range f.processes {
		aboveLimit += p.timeAboveLimit
	}
	return Row{Label: label, Values: []float64{
		float64(f.peakRunning), f.peakRatio, float64(f.startsAboveLimit), float64(aboveLimit), float64(f.failed),
		float64(f.served) / float64(f.offered), slices.Max(append(f.warmupSeconds, 0)),
	}}
}
