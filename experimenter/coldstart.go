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

// The cold start experiment: nine instances and two data centres with four
// endpoints each. All endpoints start cold; one data centre restarts at once and
// later the other. Members are paused again and again, assignments are written
// from incomplete views of the membership, and the store is down for a while.
const (
	coldInstances = 9
	coldEndpoints = 8
	coldRate      = 20.0 // requests/s of each instance
	coldService   = 200 * clock.Millis(1)
	coldFirst     = 20 * clock.Second // the first data centre restarts
	coldSecond    = 70 * clock.Second // the second one
	coldStoreDown = 40 * clock.Second
	coldStoreUp   = 55 * clock.Second
	coldEnd       = 120 * clock.Second
	coldAskPause  = 100 * clock.Millis(1) // between two asks for one process
	coldIdle      = 300 * clock.Millis(1) // an unused permit is given back
)

var coldOptions = permitter.Options{
	ConfirmationLifetime: 3 * clock.Second, Lifetime: 3 * clock.Second, WarmLifetime: 10 * clock.Second,
	MaxRequestTime: 5 * clock.Second, Margin: clock.Second / 2, ColdLimit: 2, WarmLimit: 16, FinishedPerUnit: 4,
}

// ColdStart measures the concurrent work at cold endpoints against their limit.
// In the baseline each of the instances keeps to the limit for itself.
func ColdStart() Experiment {
	return Experiment{
		Name:    "cold_start",
		Summary: "concurrent work at cold endpoints against their limit, with paused and disagreeing granters",
		Run:     runColdStart,
	}
}

type coldMember struct {
	id       string
	paused   clock.Millis // until then
	holder   *permitter.Holder
	granter  *permitter.Granter
	registry permitter.AssignmentStore
	votes    map[uint64][]string
	asked    map[permitter.Process]clock.Millis
	used     map[permitter.Process]clock.Millis
}

type coldFleet struct {
	agenda    agenda
	random    *rand.Rand
	store     *storeemulator.Emulator
	alone     bool // each instance is its own granter
	silent    bool // the second data centre becomes cold without a restart
	members   []*coldMember
	processes []*coldProcess

	offered, served, failed, starts, excess int
	peak                                    int     // most running requests at a cold process
	ratio                                   float64 // most running requests over the limit
	warm                                    []float64
	curve                                   Curve
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
		label         string
		alone, silent bool
	}{
		{"each its own little", true, false},
		{"permits", false, false},
		{"each its own little, no restart", true, true},
		{"permits, no restart", false, true},
	}
	for _, v := range variants {
		f := newColdFleet(seed, v.alone, v.silent)
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

func newColdFleet(seed uint64, alone, silent bool) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(seed, 1)), store: storeemulator.New(), alone: alone, silent: silent,
	}
	s := f.store.Store()
	for n := range coldInstances {
		id := fmt.Sprintf("i%d/1", n)
		m := &coldMember{
			id: id, holder: permitter.NewHolder(id, coldOptions), granter: permitter.NewGranter(id, coldOptions),
			registry: permitter.AssignmentStore{Get: s.Get, Put: s.Put, Key: "permits"},
			votes:    map[uint64][]string{}, asked: map[permitter.Process]clock.Millis{},
			used: map[permitter.Process]clock.Millis{},
		}
		f.members = append(f.members, m)
		if alone {
			f.adopt(m, permitter.Assignment{}.Next(id, []string{id}, nil))
		}
	}
	for n := range coldEndpoints {
		f.processes = append(f.processes, &coldProcess{name: fmt.Sprintf("e%d", n)})
	}
	return f
}

func (f *coldFleet) run() {
	for _, m := range f.members {
		f.agenda.arrivals(f.random, coldRate, coldEnd, func() { f.arrive(m) })
		f.every(clock.Second/2, func() { f.confirm(m) })
		f.every(clock.Second/10, func() { f.giveBack(m) })
	}
	if !f.alone {
		f.propose(f.members[0], 0)
		f.every(15*clock.Second, func() { f.propose(f.members[f.random.IntN(coldInstances)], 1) })
	}
	f.every(5*clock.Second, func() {
		f.members[f.random.IntN(coldInstances)].paused = f.agenda.now + clock.Millis(1000+f.random.IntN(11000))
	})
	f.every(clock.Second, f.sample)
	f.agenda.after(coldStoreDown, func() { f.store.SetFaults(storeemulator.Faults{Down: true}) })
	f.agenda.after(coldStoreUp, func() { f.store.SetFaults(storeemulator.Faults{}) })
	f.agenda.after(coldFirst, func() { f.cool(f.processes[:coldEndpoints/2], false) })
	f.agenda.after(coldSecond, func() { f.cool(f.processes[coldEndpoints/2:], f.silent) })
	f.agenda.until(coldEnd)
	for _, p := range f.processes {
		f.follow(p)
		if p.limit() != permitter.Unlimited {
			f.warm = append(f.warm, float64(f.agenda.now-p.cold)/float64(clock.Second))
		}
	}
}

func (f *coldFleet) every(span clock.Millis, run func()) {
	var next func()
	next = func() {
		run()
		f.agenda.after(span, next)
	}
	f.agenda.after(clock.Millis(1+f.random.Int64N(int64(span))), next)
}

// send delivers a message to a member; few are late or lost. A paused member
// handles it when it wakes up.
func (f *coldFleet) send(to *coldMember, run func()) {
	delay := clock.Millis(1 + f.random.IntN(5))
	switch f.random.IntN(100) {
	case 0:
		return
	case 1, 2:
		delay = clock.Millis(f.random.IntN(4000))
	}
	f.deliver(to, delay, run)
}

// deliver runs a function at a member, when it is awake.
func (f *coldFleet) deliver(to *coldMember, delay clock.Millis, run func()) {
	var deliver func()
	deliver = func() {
		if wait := to.paused - f.agenda.now; wait > 0 {
			f.agenda.after(wait, deliver)
			return
		}
		run()
	}
	f.agenda.after(delay, deliver)
}

func (f *coldFleet) member(id string) *coldMember {
	k := slices.IndexFunc(f.members, func(m *coldMember) bool { return m.id == id })
	if k < 0 {
		return nil
	}
	return f.members[k]
}

func (f *coldFleet) adopt(m *coldMember, a permitter.Assignment) {
	m.holder.Adopt(a)
	m.granter.Adopt(f.agenda.now, a)
}

// propose writes an assignment that misses so many live members.
func (f *coldFleet) propose(m *coldMember, missed int) {
	a, err := m.registry.Load(context.Background())
	if err != nil || m.paused > f.agenda.now {
		return
	}
	var view []string
	for _, n := range f.random.Perm(coldInstances)[missed:] {
		view = append(view, f.members[n].id)
	}
	n := a.Next(m.id, view, nil)
	if m.registry.Save(context.Background(), n) == nil {
		f.adopt(m, n)
	}
}

// confirm collects votes, which also carry the newest assignment, and settles
// the own assignment when it has enough of them.
func (f *coldFleet) confirm(m *coldMember) {
	if m.paused > f.agenda.now {
		return
	}
	asked, a := f.agenda.now, m.holder.Assignment()
	if f.alone {
		m.granter.Confirm(asked, a.Epoch)
		return
	}
	for _, o := range f.members {
		f.send(o, func() {
			vote, newest := o.holder.Vote(a.Epoch), o.holder.Assignment()
			f.send(m, func() {
				f.adopt(m, newest)
				if vote {
					m.granter.Vote(asked, a.Epoch, o.id)
					m.votes[a.Epoch] = append(m.votes[a.Epoch], o.id)
					f.settle(m)
				}
			})
		})
	}
}

// settle lets any member settle the assignment, as its writer may be paused.
func (f *coldFleet) settle(m *coldMember) {
	a := m.holder.Assignment()
	n, ok := a.Settle(m.votes[a.Epoch])
	if a.Epoch == 0 || a.Settled() || !ok {
		return
	}
	stored, err := m.registry.Load(context.Background())
	if err != nil {
		return
	}
	if stored.Epoch == a.Epoch && !stored.Settled() && m.registry.Save(context.Background(), n) != nil {
		return
	}
	if stored.Epoch == a.Epoch {
		f.adopt(m, n)
	}
}

func (f *coldFleet) arrive(m *coldMember) {
	if m.paused > f.agenda.now {
		return
	}
	f.offered++
	for range 3 {
		p := f.processes[f.random.IntN(coldEndpoints)]
		if f.start(m, p) {
			return
		}
	}
}

// start sends a request if the member has a permit, and asks for one if not or
// if it ends soon.
func (f *coldFleet) start(m *coldMember, p *coldProcess) bool {
	id := p.id()
	m.used[id] = f.agenda.now
	w, ok := m.holder.Start(f.agenda.now, id)
	if !ok || m.holder.NeedsRenewal(f.agenda.now, id) {
		f.ask(m, id, 2)
	}
	if !ok {
		return false
	}
	f.follow(p)
	p.running++
	f.starts++
	overloaded := p.running > p.limit()
	if limit := p.limit(); limit != permitter.Unlimited {
		f.peak = max(f.peak, p.running)
		f.ratio = max(f.ratio, float64(p.running)/float64(limit))
	}
	f.follow(p)
	span := clock.Millis(float64(coldService) * (0.5 + f.random.Float64()))
	f.agenda.after(span, func() { f.end(m, p, w, overloaded) })
	return true
}

// end finishes a request. One that was started above the limit fails, which is
// a sign of cold, as is a slow response of a process that was taken for warm.
func (f *coldFleet) end(m *coldMember, p *coldProcess, w permitter.RunningRequest, overloaded bool) {
	alive := p.id() == w.Process
	f.follow(p)
	sign := alive && (overloaded || m.holder.AvailableUnits(f.agenda.now, p.id()) > permitter.Unlimited/2 &&
		p.limit() != permitter.Unlimited)
	if alive {
		p.running--
	}
	switch {
	case overloaded:
		f.excess++
		f.failed++
	case !alive:
		f.failed++
	default:
		f.served++
		p.finished++
		if limit := p.limit(); limit == permitter.Unlimited && p.cold >= 0 {
			f.warm = append(f.warm, float64(f.agenda.now-p.cold)/float64(clock.Second))
			p.cold = -1
		}
	}
	f.follow(p)
	f.deliver(m, 0, func() { m.holder.Finish(w, alive && !overloaded) })
	if sign {
		f.sign(m, w.Process)
	}
}

func (f *coldFleet) sign(m *coldMember, id permitter.Process) {
	m.holder.MarkCold(id)
	for _, o := range f.members {
		if f.alone && o != m {
			continue
		}
		f.send(o, func() {
			o.holder.MarkCold(id)
			o.granter.MarkCold(f.agenda.now, id)
		})
	}
}

func (f *coldFleet) ask(m *coldMember, id permitter.Process, want int) {
	if f.agenda.now < m.asked[id]+coldAskPause {
		return
	}
	m.asked[id] = f.agenda.now
	q := m.holder.Ask(f.agenda.now, id, want)
	g := f.member(m.holder.Assignment().Granter(id.Endpoint))
	if g == nil {
		return
	}
	f.send(g, func() {
		if permit, ok := g.granter.Grant(f.agenda.now, q); ok {
			f.send(m, func() { m.holder.Accept(f.agenda.now, permit) })
		}
	})
}

// giveBack returns limited permits that have not been used for a while.
func (f *coldFleet) giveBack(m *coldMember) {
	if m.paused > f.agenda.now {
		return
	}
	for _, p := range f.processes {
		id := p.id()
		units := m.holder.AvailableUnits(f.agenda.now, id)
		if units > 0 && units <= coldOptions.WarmLimit && f.agenda.now >= m.used[id]+coldIdle {
			f.ask(m, id, 0)
		}
	}
	m.holder.Tick(f.agenda.now)
	m.granter.Tick(f.agenda.now)
}

func (f *coldFleet) sample() {
	var most float64
	for _, p := range f.processes {
		if limit := p.limit(); limit != permitter.Unlimited {
			most = max(most, float64(p.running)/float64(limit))
		}
	}
	f.curve.X = append(f.curve.X, float64(f.agenda.now)/float64(clock.Second))
	f.curve.Y = append(f.curve.Y, most)
}

func (f *coldFleet) row(label string) Row {
	var above clock.Millis
	for _, p := range f.processes {
		above += p.above
	}
	return Row{Label: label, Values: []float64{
		float64(f.peak), f.ratio, float64(f.excess), float64(above), float64(f.failed),
		float64(f.served) / float64(f.offered), slices.Max(append(f.warm, 0)),
	}}
}
