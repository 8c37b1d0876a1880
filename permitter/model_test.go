package permitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

var modelOptions = Options{
	ConfirmationLifetime: 3000, Lifetime: 3000, WarmLifetime: 8000, MaxRequestTime: 6000, Margin: 500,
	ColdLimit: 2, WarmLimit: 8, FinishedPerUnit: 1,
}

// model simulates a set of members and endpoint processes under one true clock,
// with messages that are late, lost, duplicated or out of order. All randomness
// follows from its seed.
type model struct {
	now           clock.Millis // true time
	random        *rand.Rand
	store         *storeemulator.Emulator
	storeDown     bool
	members       []*member
	drained       []string // ids of members that ended without running requests
	endpoints     []*endpoint
	events        []event  // messages in transit
	limitedStarts int      // requests started under limited permits
	violations    []string // starts above the capacity of an endpoint
}

// member is one instance with its clock, granter and holder.
type member struct {
	id              string
	clockRate       float64
	clockOffset     clock.Millis
	partition       int // members in different partitions cannot reach each other
	paused          bool
	dead            bool
	assignmentStore AssignmentStore
	granter         *Granter
	holder          *Holder
	votes           []string
	votedEpoch      uint64
	coldKnown       map[Process]int          // value of endpoint.coolings of the newest sign that the granter knows
	permits         map[Process]*permitState // newest permit of each process
}

// permitState holds the units of a permit, and the signs of cold that the granter
// knew when it issued the permit.
type permitState struct {
	units, coolings int
}

// endpoint is an endpoint whose capacity follows from the requests that it has
// finished.
type endpoint struct {
	name     string
	restart  int // number of restarts, which serves as restart id
	coolings int // how often it became cold since the last restart
	finished int // requests under limited permits since it last became cold
	jobs     []*job
}

// job is a request that runs at an endpoint.
type job struct {
	holder   *member
	request  RunningRequest
	end      clock.Millis
	endpoint *endpoint
	restart  int
}

// event is the delivery of a message to a member.
type event struct {
	at     clock.Millis
	member *member
	run    func()
}

func newModel(seed uint64, members int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), store: storeemulator.New()}
	for n := range members {
		m.join(fmt.Sprintf("i%d/1", n))
	}
	for n := range 3 {
		m.endpoints = append(m.endpoints, &endpoint{name: fmt.Sprintf("e%d", n)})
	}
	return m
}

// join adds a member.
func (m *model) join(id string) {
	s := m.store.Store()
	m.members = append(m.members, &member{
		id: id, clockRate: 0.996 + 0.008*m.random.Float64(), clockOffset: clock.Millis(m.random.IntN(100000)),
		assignmentStore: AssignmentStore{Get: s.Get, Put: s.Put, Key: "permits"},
		granter:         NewGranter(id, modelOptions), holder: NewHolder(id, modelOptions),
		coldKnown: map[Process]int{}, permits: map[Process]*permitState{},
	})
}

func (m *model) clockOf(mem *member) clock.Millis {
	return mem.clockOffset + clock.Millis(float64(m.now)*mem.clockRate)
}

// send delivers a message to a member late, twice or not at all.
func (m *model) send(from, to *member, run func()) {
	if from.partition != to.partition || m.random.IntN(10) == 0 {
		return
	}
	copies := 1 + m.random.IntN(8)/7
	for range copies {
		delay := clock.Millis(m.random.IntN(300))
		if m.random.IntN(10) == 0 {
			delay = clock.Millis(m.random.IntN(9000))
		}
		m.events = append(m.events, event{at: m.now + delay, member: to, run: run})
	}
}

// pick returns a random live member, or nil if none was found.
func (m *model) pick() *member {
	for range 50 {
		mem := m.members[m.random.IntN(len(m.members))]
		if !mem.paused && !mem.dead {
			return mem
		}
	}
	return nil
}

// tick advances the true time, delivers messages, ends requests and lets every
// member act.
func (m *model) tick(d clock.Millis) {
	m.now += d
	due := m.events
	m.events = nil
	for _, ev := range due {
		switch {
		case ev.at > m.now || ev.member.paused:
			m.events = append(m.events, ev)
		case !ev.member.dead:
			ev.run()
		}
	}
	for _, e := range m.endpoints {
		for _, j := range slices.Clone(e.jobs) {
			if m.now >= j.end {
				m.finish(j)
			}
		}
	}
	for _, mem := range m.members {
		if !mem.dead && !mem.paused {
			m.act(mem)
		}
	}
}

func (m *model) finish(j *job) {
	e := j.endpoint
	e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
	if j.holder.dead {
		return
	}
	if j.request.limited && e.restart == j.restart {
		e.finished++
	}
	// A paused holder learns of the end when it resumes.
	m.events = append(m.events, event{
		at: m.now, member: j.holder, run: func() { j.holder.holder.Finish(j.request, true) },
	})
}

// act lets a member confirm its assignment, request permits and start requests.
func (m *model) act(mem *member) {
	m.maintain(mem)
	e := m.endpoints[m.random.IntN(len(m.endpoints))]
	p := Process{Endpoint: e.name, Restart: fmt.Sprint(e.restart)}
	if m.random.IntN(2) == 0 {
		m.requestPermit(mem, p)
	}
	if m.random.IntN(4) > 0 {
		m.start(mem, e, p)
	}
	mem.holder.Tick(m.clockOf(mem))
	mem.granter.Tick(m.clockOf(mem))
}

func (m *model) requestPermit(mem *member, p Process) {
	q := mem.holder.Ask(m.clockOf(mem), p, m.random.IntN(4))
	target := mem.holder.Assignment().Granter(p.Endpoint)
	for _, g := range m.members {
		if g.id != target {
			continue
		}
		m.send(mem, g, func() {
			permit, ok := g.granter.Grant(m.clockOf(g), q)
			if !ok {
				return
			}
			coolings := g.coldKnown[p]
			m.send(g, mem, func() {
				if mem.holder.Accept(m.clockOf(mem), permit) {
					mem.permits[p] = &permitState{units: permit.Units, coolings: coolings}
				}
			})
		})
	}
}

func (m *model) start(mem *member, e *endpoint, p Process) {
	r, ok := mem.holder.Start(m.clockOf(mem), p)
	if !ok {
		return
	}
	end := m.now + 200 + clock.Millis(m.random.IntN(1500))
	if m.random.IntN(8) == 0 {
		end = m.now + modelOptions.MaxRequestTime
	}
	e.jobs = append(e.jobs, &job{holder: mem, request: r, end: end, endpoint: e, restart: e.restart})
	known := mem.permits[p]
	if r.limited {
		m.limitedStarts++
	}
	if got, want := len(e.jobs), e.capacity(); got > want && known.coolings == e.coolings {
		m.violations = append(m.violations, fmt.Sprintf("at %d: %s has %d jobs, capacity %d, permit of %s for %d",
			m.now, e.name, got, want, mem.id, known.units))
	}
}

// capacity returns how many concurrent requests the endpoint's process can handle.
func (e *endpoint) capacity() int {
	limit, finished := modelOptions.ColdLimit, e.finished
	for finished >= modelOptions.FinishedPerUnit*limit {
		finished -= modelOptions.FinishedPerUnit * limit
		limit *= 2
		if limit >= modelOptions.WarmLimit {
			return Unlimited
		}
	}
	return limit
}

// maintain confirms the assignment through the store or by votes of the peers.
func (m *model) maintain(mem *member) {
	askedAt, epoch := m.clockOf(mem), mem.holder.Assignment().Epoch
	if m.random.IntN(4) == 0 && mem.partition == 0 && !m.storeDown {
		if confirmed, err := mem.assignmentStore.Confirm(context.Background()); err == nil {
			m.send(mem, mem, func() { mem.granter.Confirm(askedAt, confirmed) })
		} else if a, err := mem.assignmentStore.Load(context.Background()); err == nil {
			m.adopt(mem, a)
		}
	}
	for _, o := range m.members {
		if m.random.IntN(4) > 0 {
			continue
		}
		m.send(mem, o, func() {
			if !o.holder.Vote(epoch) {
				a := o.holder.Assignment()
				m.send(o, mem, func() { m.adopt(mem, a) })
				return
			}
			m.send(o, mem, func() {
				mem.granter.Vote(askedAt, epoch, o.id)
				if mem.votedEpoch != epoch {
					mem.votedEpoch, mem.votes = epoch, nil
				}
				mem.votes = append(mem.votes, o.id)
			})
		})
	}
	m.settle(mem)
}

func (m *model) settle(mem *member) {
	a := mem.holder.Assignment()
	if a.Epoch == 0 || a.Settled() || mem.votedEpoch != a.Epoch || mem.partition != 0 || m.storeDown {
		return
	}
	stored, err := mem.assignmentStore.Load(context.Background())
	if err != nil || stored.Epoch != a.Epoch {
		return
	}
	if n, ok := a.Settle(mem.votes); ok && mem.assignmentStore.Save(context.Background(), n) == nil {
		m.adopt(mem, n)
	}
}

func (m *model) adopt(mem *member, a Assignment) {
	mem.holder.Adopt(a)
	mem.granter.Adopt(m.clockOf(mem), a)
}
