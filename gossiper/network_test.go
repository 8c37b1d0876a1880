package gossiper

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/linker"
)

// init fixes the seed of the random histories and bounds their number,
// because the race detector slows them down. The command line
// overrides both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
}

const testTick = 100 * clock.Millis(1)

type event struct {
	at     clock.Millis
	order  int
	node   *node
	packet []byte // nil: a tick
	kind   string
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type node struct {
	*Gossiper
	member  Member
	stopped bool
	paused  bool
	backlog []event // what arrives during a pause
	sent    int     // bytes, in envelopes
	packets int
	largest int
}

// network exchanges encoded packets between gossipers under simulated time.
type network struct {
	t         testing.TB
	clock     *clock.Manual
	rand      *rand.Rand
	nodes     []*node
	byAddress map[string]*node
	queue     events
	order     int
	loss      float64
	cut       func(from, to *node) bool
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t: t, clock: clock.NewManual(clock.Hour), rand: rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[string]*node{},
	}
}

// testMember returns the i-th of n members in four data centres.
func testMember(i int) Member {
	return Member{
		ID: fmt.Sprintf("kyushu-%03d", i), Address: fmt.Sprintf("10.20.%d.%d:7000", i%4, i),
		DataCentre: []string{"fukuoka", "kumamoto", "kagoshima", "oita"}[i%4], Region: "kyushu",
	}
}

// start runs a process for the member. It replaces one under the same address.
func (w *network) start(m Member, seeds []Member) *node {
	m.Incarnation = uint64(w.clock.Now())
	n := &node{member: m}
	n.Gossiper = New(m, rand.New(rand.NewPCG(w.rand.Uint64(), 2)))
	n.Seed(w.clock.Now(), seeds)
	if old := w.byAddress[m.Address]; old != nil {
		old.stopped = true
	}
	w.nodes = append(w.nodes, n)
	w.byAddress[m.Address] = n
	w.push(event{at: w.clock.Now() + clock.Millis(w.rand.Int64N(int64(testTick))), node: n})
	return n
}

// fleet starts n members that know each other from the instance list.
func (w *network) fleet(n int) {
	var seeds []Member
	for i := range n {
		seeds = append(seeds, testMember(i))
	}
	for i := range n {
		w.start(seeds[i], seeds)
	}
}

func (w *network) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.queue, e)
}

func (w *network) send(from *node, packets []Packet) {
	for _, p := range packets {
		b, err := p.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		e, err := linker.Envelope{Kind: p.Kind, From: from.member.ID, Incarnation: 1 << 40, Body: b}.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		from.sent += len(e) + 8 // frame header and mask
		from.packets++
		from.largest = max(from.largest, len(b))
		to := w.byAddress[p.To]
		if to == nil || to.stopped || w.cut != nil && w.cut(from, to) || w.rand.Float64() < w.loss {
			continue
		}
		w.push(event{at: w.clock.Now() + 1 + clock.Millis(w.rand.IntN(5)), node: to, kind: p.Kind, packet: b})
	}
}

func (w *network) run(d clock.Millis) {
	end := w.clock.Now() + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.clock.Advance(e.at - w.clock.Now())
		w.handle(e)
	}
	w.clock.Advance(end - w.clock.Now())
}

func (w *network) handle(e event) {
	n := e.node
	switch {
	case n.stopped:
	case n.paused && e.packet != nil:
		n.backlog = append(n.backlog, e)
	case e.packet != nil:
		p, err := Decode(e.kind, e.packet)
		if err != nil {
			w.t.Fatal(err)
		}
		w.send(n, n.Receive(w.clock.Now(), p))
	default:
		if !n.paused {
			w.send(n, n.Tick(w.clock.Now()))
		}
		e.at += testTick
		w.push(e)
	}
}

func (w *network) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, e := range backlog {
		e.at = w.clock.Now()
		w.push(e)
	}
}

func (w *network) running() []*node {
	var running []*node
	for _, n := range w.nodes {
		if !n.stopped && !n.paused {
			running = append(running, n)
		}
	}
	return running
}

// state returns what n holds of the member, or 255 if it does not know it.
func (n *node) state(id string) uint8 {
	for _, m := range n.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return 255
}

// until runs until every running node holds the member in one of the states,
// and returns how long that took, or -1 after the limit.
func (w *network) until(limit clock.Millis, id string, states ...uint8) clock.Millis {
	begin := w.clock.Now()
	for w.clock.Now()-begin <= limit {
		if w.all(id, states...) {
			return w.clock.Now() - begin
		}
		w.run(testTick)
	}
	return -1
}

func (w *network) all(id string, states ...uint8) bool {
	for _, n := range w.running() {
		var found bool
		for _, s := range states {
			found = found || n.state(id) == s
		}
		if n.member.ID != id && !found {
			return false
		}
	}
	return true
}

// untilAllAlive runs until every running node holds every running node for alive.
func (w *network) untilAllAlive(limit clock.Millis) clock.Millis {
	begin := w.clock.Now()
	for w.clock.Now()-begin <= limit {
		good := true
		for _, n := range w.running() {
			good = good && w.all(n.member.ID, Alive)
		}
		if good {
			return w.clock.Now() - begin
		}
		w.run(testTick)
	}
	return -1
}
