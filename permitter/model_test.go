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
	Confirm: 3000, Lifetime: 3000, WarmLifetime: 8000, Work: 6000, Margin: 500,
	ColdLimit: 2, WarmLimit: 8, StepWork: 1,
}

// model is a set of members and endpoint processes under one true clock, with
// messages that are late, lost, doubled or out of order.
type model struct {
	now      clock.Millis
	random   *rand.Rand
	store    *storeemulator.Emulator
	down     bool
	members  []*member
	drained  []string
	machines []*machine
	events   []event
	limited  int // starts under limited permits
	faults   []string
}

type member struct {
	id       string
	rate     float64
	offset   clock.Millis
	side     int // members on different sides cannot reach each other
	paused   bool
	dead     bool
	registry Registry
	granter  *Granter
	holder   *Holder
	votes    []string
	voted    uint64
	told     map[Process]int         // newest cooling of each process that the granter knows
	informed map[Process]*permission // of the newest permit
}

// permission is what the model knows about a permit.
type permission struct {
	units, cooling int
}

// machine is one endpoint. Tolerance follows the work that it has finished.
type machine struct {
	name     string
	restart  int
	cooling  int // number of coolings without a restart
	finished int // under limited permits since it last became cold
	jobs     []*job
}

type job struct {
	holder  *member
	work    Work
	end     clock.Millis
	machine *machine
	restart int
}

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
		m.machines = append(m.machines, &machine{name: fmt.Sprintf("e%d", n)})
	}
	return m
}

func (m *model) join(id string) {
	s := m.store.Store()
	m.members = append(m.members, &member{
		id: id, rate: 0.996 + 0.008*m.random.Float64(), offset: clock.Millis(m.random.IntN(100000)),
		registry: Registry{Get: s.Get, Put: s.Put, Key: "permits"},
		granter:  NewGranter(id, modelOptions), holder: NewHolder(id, modelOptions),
		told: map[Process]int{}, informed: map[Process]*permission{},
	})
}

func (m *model) clock(b *member) clock.Millis { return b.offset + clock.Millis(float64(m.now)*b.rate) }

// send delivers a message to a member, late, twice or not at all.
func (m *model) send(from, to *member, run func()) {
	if from.side != to.side || m.random.IntN(10) == 0 {
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

func (m *model) pick() *member {
	for range 50 {
		b := m.members[m.random.IntN(len(m.members))]
		if !b.paused && !b.dead {
			return b
		}
	}
	return nil
}

// tick advances the true time, delivers messages and ends work.
func (m *model) tick(d clock.Millis) {
	m.now += d
	due := m.events
	m.events = nil
	for _, e := range due {
		switch {
		case e.at > m.now || e.member.paused:
			m.events = append(m.events, e)
		case !e.member.dead:
			e.run()
		}
	}
	for _, h := range m.machines {
		for _, j := range slices.Clone(h.jobs) {
			if m.now >= j.end {
				m.finish(j)
			}
		}
	}
	for _, b := range m.members {
		if !b.dead && !b.paused {
			m.act(b)
		}
	}
}

func (m *model) finish(j *job) {
	h := j.machine
	h.jobs = slices.DeleteFunc(h.jobs, func(o *job) bool { return o == j })
	if j.holder.dead {
		return
	}
	if j.work.limited && h.restart == j.restart {
		h.finished++
	}
	// A paused holder notices the end when it wakes up.
	m.events = append(m.events, event{at: m.now, member: j.holder, run: func() { j.holder.holder.Finish(j.work, true) }})
}

// act lets a member confirm, ask and start work.
func (m *model) act(b *member) {
	m.maintain(b)
	h := m.machines[m.random.IntN(len(m.machines))]
	p := Process{Endpoint: h.name, Restart: fmt.Sprint(h.restart)}
	if m.random.IntN(2) == 0 {
		m.ask(b, p)
	}
	if m.random.IntN(4) > 0 {
		m.start(b, h, p)
	}
	b.holder.Tick(m.clock(b))
	b.granter.Tick(m.clock(b))
}

func (m *model) ask(b *member, p Process) {
	q := b.holder.Ask(m.clock(b), p, m.random.IntN(4))
	target := b.holder.Assignment().Granter(p.Endpoint)
	for _, g := range m.members {
		if g.id != target {
			continue
		}
		m.send(b, g, func() {
			permit, ok := g.granter.Grant(m.clock(g), q)
			if !ok {
				return
			}
			cooling := g.told[p]
			m.send(g, b, func() {
				if b.holder.Accept(m.clock(b), permit) {
					b.informed[p] = &permission{units: permit.Units, cooling: cooling}
				}
			})
		})
	}
}

func (m *model) start(b *member, h *machine, p Process) {
	w, ok := b.holder.Start(m.clock(b), p)
	if !ok {
		return
	}
	end := m.now + 200 + clock.Millis(m.random.IntN(1500))
	if m.random.IntN(8) == 0 {
		end = m.now + modelOptions.Work
	}
	h.jobs = append(h.jobs, &job{holder: b, work: w, end: end, machine: h, restart: h.restart})
	known := b.informed[p]
	if w.limited {
		m.limited++
	}
	if got, want := len(h.jobs), h.tolerance(); got > want && known.cooling == h.cooling {
		m.faults = append(m.faults, fmt.Sprintf("at %d: %s has %d jobs, tolerates %d, permit of %s for %d",
			m.now, h.name, got, want, b.id, known.units))
	}
}

// tolerance returns how many requests the machine's process can handle.
func (h *machine) tolerance() int {
	limit, finished := modelOptions.ColdLimit, h.finished
	for finished >= modelOptions.StepWork*limit {
		finished -= modelOptions.StepWork * limit
		limit *= 2
		if limit >= modelOptions.WarmLimit {
			return Unlimited
		}
	}
	return limit
}

// maintain confirms the assignment through the store or through peers.
func (m *model) maintain(b *member) {
	asked, epoch := m.clock(b), b.holder.Assignment().Epoch
	if m.random.IntN(4) == 0 && b.side == 0 && !m.down {
		if confirmed, err := b.registry.Confirm(context.Background()); err == nil {
			m.send(b, b, func() { b.granter.Confirm(asked, confirmed) })
		} else if a, err := b.registry.Load(context.Background()); err == nil {
			m.adopt(b, a)
		}
	}
	for _, o := range m.members {
		if m.random.IntN(4) > 0 {
			continue
		}
		m.send(b, o, func() {
			if !o.holder.Vote(epoch) {
				a := o.holder.Assignment()
				m.send(o, b, func() { m.adopt(b, a) })
				return
			}
			m.send(o, b, func() {
				b.granter.Vote(asked, epoch, o.id)
				if b.voted != epoch {
					b.voted, b.votes = epoch, nil
				}
				b.votes = append(b.votes, o.id)
			})
		})
	}
	m.settle(b)
}

func (m *model) settle(b *member) {
	a := b.holder.Assignment()
	if a.Epoch == 0 || a.Settled() || b.voted != a.Epoch || b.side != 0 || m.down {
		return
	}
	stored, err := b.registry.Load(context.Background())
	if err != nil || stored.Epoch != a.Epoch {
		return
	}
	if n, ok := a.Settle(b.votes); ok && b.registry.Save(context.Background(), n) == nil {
		m.adopt(b, n)
	}
}

func (m *model) adopt(b *member, a Assignment) {
	b.holder.Adopt(a)
	b.granter.Adopt(m.clock(b), a)
}
