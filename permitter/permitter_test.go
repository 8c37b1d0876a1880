package permitter

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// propose lets a member write the next assignment according to its own incomplete
// view of the membership.
func (m *model) propose() {
	mem := m.pick()
	if mem == nil || mem.partition != 0 || m.storeDown {
		return
	}
	a, err := mem.assignmentStore.Load(context.Background())
	if err != nil {
		return
	}
	var view []string
	for _, o := range m.members {
		if !o.dead && m.random.IntN(6) > 0 {
			view = append(view, o.id)
		}
	}
	n := a.Next(mem.id, view, m.drained)
	if len(view) > 0 && mem.assignmentStore.Save(context.Background(), n) == nil {
		m.adopt(mem, n)
	}
}

// replace ends a member, gracefully if it has no running requests, and starts
// another one.
func (m *model) replace() {
	mem := m.pick()
	if mem == nil {
		return
	}
	mem.dead = true
	var running int
	for _, e := range m.endpoints {
		for _, j := range e.jobs {
			if j.holder == mem {
				running++
			}
		}
	}
	if running == 0 {
		m.drained = append(m.drained, mem.id)
	}
	m.join(fmt.Sprintf("r%d/1", len(m.members)))
}

func (m *model) forEachEndpoint(change func(*endpoint)) {
	for _, e := range m.endpoints {
		change(e)
	}
}

func (m *model) restart(e *endpoint) {
	e.restart++
	e.finished, e.jobs, e.coolings = 0, nil, 0
}

// cool makes a warm process cold without a restart. One member detects it and sends
// the sign to the others.
func (m *model) cool(e *endpoint) {
	mem := m.pick()
	if mem == nil || e.capacity() != Unlimited {
		return
	}
	e.coolings++
	e.finished = 0
	p, coolings := Process{Endpoint: e.name, Restart: fmt.Sprint(e.restart)}, e.coolings
	mem.holder.MarkCold(p)
	for _, o := range m.members {
		m.send(mem, o, func() {
			o.holder.MarkCold(p)
			o.granter.MarkCold(m.clockOf(o), p)
			o.coldKnown[p] = max(o.coldKnown[p], coolings)
		})
	}
}

// faultActions holds the faults by name.
var faultActions = map[string]func(m *model){
	"propose":      (*model).propose,
	"replace":      (*model).replace,
	"restart":      func(m *model) { m.restart(m.endpoints[m.random.IntN(len(m.endpoints))]) },
	"cool":         func(m *model) { m.cool(m.endpoints[m.random.IntN(len(m.endpoints))]) },
	"toggle store": func(m *model) { m.storeDown = !m.storeDown },
	"lose write":   func(m *model) { m.store.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1}) },
	"mass restart": func(m *model) { m.forEachEndpoint(m.restart) },
	"pause": func(m *model) {
		if mem := m.pick(); mem != nil {
			mem.paused = true
		}
	},
	"resume all": func(m *model) {
		for _, mem := range m.members {
			mem.paused = false
		}
	},
	"partition": func(m *model) {
		for _, mem := range m.members {
			mem.partition = m.random.IntN(2)
		}
	},
	"heal": func(m *model) {
		for _, mem := range m.members {
			mem.partition = 0
		}
	},
}

// faultNames lists the faults to draw from; one listed twice is twice as likely.
var faultNames = []string{
	"propose", "replace", "restart", "mass restart", "cool", "toggle store", "toggle store",
	"pause", "resume all", "resume all", "partition", "heal", "heal", "lose write",
}

// TestNeverAboveLimit guards against granters that together permit more than a
// cold process can handle: granters that are paused, partitioned or restarted,
// members that disagree about the membership, messages that are late, duplicated
// or lost, a store that is down or loses answers, processes that restart one by
// one or all at once, and processes that become cold without a restart (in this
// case for every start under a permit that was granted after the sign).
func TestNeverAboveLimit(t *testing.T) {
	var limited, runs int
	rapid.Check(t, func(r *rapid.T) {
		m := newModel(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 7).Draw(r, "members"))
		m.propose()
		for range rapid.IntRange(10, 60).Draw(r, "faults") {
			faultActions[rapid.SampledFrom(faultNames).Draw(r, "fault")](m)
			for range rapid.IntRange(0, 40).Draw(r, "ticks") {
				m.tick(clock.Millis(50 + m.random.IntN(250)))
			}
			if len(m.violations) > 0 {
				r.Fatalf("%s", m.violations[0])
			}
		}
		limited += m.limitedStarts
		runs++
	})
	if !t.Failed() && limited < 10*runs {
		t.Errorf("got %d starts under limited permits in %d runs, want at least ten for each run", limited, runs)
	}
}

// TestOutstandingRequests guards against a granter that no longer counts the running
// requests of a holder which dies, is paused or returns its permit, and against
// late messages that are processed as new ones.
func TestOutstandingRequests(t *testing.T) {
	o := modelOptions
	p := Process{Endpoint: "e", Restart: "1"}
	a := Assignment{}.Next("a/1", []string{"a/1", "b/1"}, nil)
	g := NewGranter(a.Granter("e"), o)
	g.Adopt(0, a)
	holders := map[string]*Holder{"a/1": NewHolder("a/1", o), "b/1": NewHolder("b/1", o)}
	requestPermit := func(now clock.Millis, name string, want int) (PermitRequest, bool) {
		g.Confirm(now, a.Epoch)
		q := holders[name].Ask(now, p, want)
		permit, ok := g.Grant(now, q)
		return q, ok && holders[name].Accept(now, permit) && holders[name].AvailableUnits(now, p) > 0
	}
	for _, h := range holders {
		h.Adopt(a)
	}
	if _, ok := requestPermit(0, "a/1", 2); ok {
		t.Error("a new granter issued a permit before every member had reported")
	}
	requestPermit(0, "b/1", 0)
	late, ok := requestPermit(10, "a/1", 2)
	if _, started := holders["a/1"].Start(10, p); !ok || !started {
		t.Fatal("the first holder cannot start a request")
	}
	if _, ok := requestPermit(20, "b/1", 1); ok {
		t.Error("a second holder got units that the first one holds")
	}
	requestPermit(30, "a/1", 0)
	if _, ok := g.Grant(35, late); ok || g.Outstanding(35, p) != 1 {
		t.Errorf("after a late permit request: got %v and %d outstanding, want no answer and 1", ok, g.Outstanding(35, p))
	}
	if _, ok := requestPermit(40, "b/1", 2); !ok || holders["b/1"].AvailableUnits(40, p) != 1 {
		t.Errorf("got %v, %d units next to one running request, want 1", ok, holders["b/1"].AvailableUnits(40, p))
	}
	// Both holders die now. The running request and the one that may still be
	// started count until their deadlines plus the margins.
	end := 30 + o.MaxRequestTime + 2*o.Margin
	if got, want := g.Outstanding(end-1, p), 2; got != want {
		t.Errorf("before the deadline of a dead holder's request: got %d outstanding, want %d", got, want)
	}
	if got, want := g.Outstanding(end, p), 1; got != want {
		t.Errorf("after the deadline of a dead holder's request: got %d outstanding, want %d", got, want)
	}
	if got, want := g.Outstanding(end+10+o.Lifetime-1, p), 1; got != want {
		t.Errorf("before the deadline of a request that may still start: got %d outstanding, want %d", got, want)
	}
}

// TestTakeover guards against a granter that issues permits before the requests
// permitted by another one must have ended, against reports of an earlier epoch
// that are used as new ones, against permits and votes of an earlier epoch, and
// against a permit whose lifetime is counted from its arrival.
func TestTakeover(t *testing.T) {
	o := modelOptions
	bothMembers, oneMember := []string{"a/1", "b/1"}, []string{"b/1"}
	first := Assignment{}.Next("a/1", bothMembers, nil)
	p := Process{Restart: "1"}
	for n := 0; first.Granter(p.Endpoint) != "a/1"; n++ {
		p.Endpoint = fmt.Sprint(n)
	}
	a, b, h := NewGranter("a/1", o), NewGranter("b/1", o), NewHolder("b/1", o)
	a.Adopt(0, first)
	h.Adopt(first)
	a.Confirm(0, 1)
	a.Grant(0, NewHolder("a/1", o).adoptAndRequest(0, first, p))
	permit, ok := a.Grant(0, h.Ask(0, p, 1))
	if accepted := h.Accept(2900, permit); !ok || !accepted ||
		h.AvailableUnits(2999, p) != 1 || h.AvailableUnits(3000, p) != 0 {
		t.Errorf("got %v, %v, %d units at the end of the lifetime and %d after it, want true, true, 1, 0",
			ok, accepted, h.AvailableUnits(2999, p), h.AvailableUnits(3000, p))
	}
	stale, _ := a.Grant(0, h.Ask(2999, p, 1))
	second := first.Next("b/1", oneMember, nil)
	settled, _ := second.Next("b/1", oneMember, nil).Settle(oneMember)
	b.Adopt(5000, second)
	h.Adopt(settled)
	if h.Accept(3000, stale) || h.Vote(1) || !h.Vote(3) {
		t.Error("a permit or a vote of an earlier epoch was accepted")
	}
	b.Adopt(9000, settled)
	for early := clock.Millis(1); early >= 0; early-- {
		now := 9000 + o.TakeoverWait() - early
		b.Confirm(now, 3)
		if _, got := b.Grant(now, h.Ask(now, p, 1)); got != (early == 0) {
			t.Errorf("new granter, %d ms before the end of its wait: got %v", early, got)
		}
	}
	third, _ := settled.Next("b/1", bothMembers, bothMembers).Settle(oneMember)
	a.Adopt(5000, second)
	a.Adopt(10000, settled)
	a.Adopt(10000, third)
	a.Confirm(10000, 4)
	if _, got := a.Grant(10000, h.adoptAndRequest(10000, third, p)); got {
		t.Error("a returning granter used the reports of its earlier term")
	}
}

// adoptAndRequest adopts an assignment and requests a permit of one unit.
func (h *Holder) adoptAndRequest(now clock.Millis, a Assignment, p Process) PermitRequest {
	h.Adopt(a)
	return h.Ask(now, p, 1)
}

// TestConfirmation guards against a granter that acts without a recent
// confirmation, with the votes of a minority, or under an assignment that replaces
// one which may still be in use; and against assignments that lose their
// confirmation while the store is down although a majority is in contact.
func TestConfirmation(t *testing.T) {
	first := Assignment{}.Next("a/1", []string{"a/1", "b/1", "c/1", "d/1"}, nil)
	second := first.Next("a/1", []string{"a/1"}, nil)
	settled, ok := second.Settle([]string{"a/1", "b/1"})
	if _, early := second.Settle([]string{"a/1", "x/1"}); !ok || early {
		t.Errorf("settled by two of four members %v, by one %v, want true and false", ok, early)
	}
	cases := map[string]struct {
		a     Assignment
		store bool
		votes []string
		now   clock.Millis
		want  bool
	}{
		"no confirmation":        {a: first, now: 100},
		"store":                  {a: first, store: true, now: 3099, want: true},
		"store, too old":         {a: first, store: true, now: 3100},
		"majority, store down":   {a: first, votes: []string{"a/1", "b/1", "c/1"}, now: 3099, want: true},
		"majority, too old":      {a: first, votes: []string{"a/1", "b/1", "c/1"}, now: 3100},
		"half":                   {a: first, votes: []string{"a/1", "b/1"}, now: 100},
		"one member three times": {a: first, votes: []string{"a/1", "a/1", "a/1"}, now: 100},
		"strangers":              {a: first, votes: []string{"x/1", "y/1", "z/1"}, now: 100},
		"not settled":            {a: second, store: true, votes: []string{"a/1"}, now: 100},
		"settled":                {a: settled, votes: []string{"a/1"}, now: 100, want: true},
	}
	for name, c := range cases {
		g := NewGranter("a/1", modelOptions)
		g.Adopt(50, c.a)
		if c.store {
			g.Confirm(100, c.a.Epoch)
		}
		for _, v := range c.votes {
			g.Vote(100, c.a.Epoch, v)
		}
		if got := g.Confirmed(c.now); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestLimitGrowth guards against limits that do not grow with the number of
// finished requests, or that are not reset by a sign of cold.
func TestLimitGrowth(t *testing.T) {
	o := modelOptions
	p := Process{Endpoint: "e", Restart: "1"}
	a := Assignment{}.Next("a/1", []string{"a/1"}, nil)
	g, h := NewGranter("a/1", o), NewHolder("a/1", o)
	g.Adopt(0, a)
	h.Adopt(a)
	var limits []int
	for now := clock.Millis(0); now < 100; now++ {
		g.Confirm(now, a.Epoch)
		permit, _ := g.Grant(now, h.Ask(now, p, 100))
		h.Accept(now, permit)
		if len(limits) == 0 || limits[len(limits)-1] != permit.Units {
			limits = append(limits, permit.Units)
		}
		if r, ok := h.Start(now, p); ok {
			h.Finish(r, true)
		}
	}
	if got, want := fmt.Sprint(limits), fmt.Sprint([]int{2, 4, Unlimited}); got != want {
		t.Errorf("got limits %s, want %s", got, want)
	}
	h.MarkCold(p)
	g.MarkCold(100, p)
	if _, ok := h.Start(100, p); ok || g.Limit(p) != o.ColdLimit {
		t.Errorf("after a sign of cold: start %v, limit %d, want false and %d", ok, g.Limit(p), o.ColdLimit)
	}
	later := 100 + o.TakeoverWait()
	g.Tick(later)
	g.Confirm(later, a.Epoch)
	g.Grant(later, PermitRequest{Process: p, Holder: "a/1", Epoch: 1, Sequence: 1000, Want: 1, Held: Unlimited})
	if got := g.Limit(p); got != o.ColdLimit {
		t.Errorf("a member that missed the sign reports the process as warm: got limit %d, want %d", got, o.ColdLimit)
	}
}

// TestLostStoreAnswer guards against an assignment that is wrongly considered
// written or not written when the store's answer was lost or a read is stale.
func TestLostStoreAnswer(t *testing.T) {
	e := storeemulator.New()
	s := e.Store()
	r := AssignmentStore{Get: s.Get, Put: s.Put, Key: "permits"}
	ctx := context.Background()
	a := Assignment{}.Next("a/1", []string{"a/1"}, nil)
	e.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1})
	if err := r.Save(ctx, a); err != nil {
		t.Errorf("lost answer: got %v, want nil", err)
	}
	e.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1, StaleReads: true})
	if err := r.Save(ctx, a.Next("a/1", []string{"a/1", "b/1"}, nil)); err == nil {
		t.Error("lost answer and stale read: got nil, want an unknown outcome")
	}
	e.SetFaults(storeemulator.Faults{})
	if _, err := r.Confirm(ctx); err == nil {
		t.Error("confirm of an assignment that has been replaced: got nil, want a conflict")
	}
}

// BenchmarkStart measures the permit check on the request path.
func BenchmarkStart(b *testing.B) {
	h := NewHolder("a/1", modelOptions)
	p := Process{Endpoint: "fukuoka-17", Restart: "0f3a"}
	q := h.Ask(0, p, 1)
	h.Accept(0, Permit{Process: p, Holder: "a/1", Sequence: q.Sequence, Units: Unlimited, Lifetime: clock.Hour})
	for b.Loop() {
		r, _ := h.Start(1, p)
		h.Finish(r, true)
	}
}
