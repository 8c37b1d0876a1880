package gossiper

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/messenger"
)

// init fixes the seed of the random fault sequences and limits their number,
// because the race detector slows them down. Command-line flags override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
}

const testTick = 100 * clock.Millis(1)

// event is the delivery of a packet or a tick at a simulated instant. sequence
// orders events of the same instant.
type event struct {
	at       clock.Millis
	sequence int
	node     *node
	packet   []byte // nil: a tick
	kind     string
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// node is one simulated instance.
type node struct {
	*Gossiper
	member             Member
	stopped            bool
	paused             bool
	backlog            []event // packets that arrived during a pause
	sentBytes          int     // with envelopes
	sentPackets        int
	largestPacketBytes int
}

// network delivers encoded packets between gossipers in simulated time.
type network struct {
	t          testing.TB
	clock      *clock.Manual
	rand       *rand.Rand
	nodes      []*node
	byAddress  map[string]*node
	queue      events
	eventCount int
	lossRate   float64
	cut        func(from, to *node) bool
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t: t, clock: clock.NewManual(clock.Hour), rand: rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[string]*node{},
	}
}

// testMember returns the i-th member; members alternate between four data
// centres.
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

// startFleet starts n members that are seeded with each other.
func (w *network) startFleet(n int) {
	var seeds []Member
	for i := range n {
		seeds = append(seeds, testMember(i))
	}
	for i := range n {
		w.start(seeds[i], seeds)
	}
}

func (w *network) push(e event) {
	w.eventCount++
	e.sequence = w.eventCount
	heap.Push(&w.queue, e)
}

func (w *network) send(from *node, packets []Packet) {
	for _, p := range packets {
		b, err := p.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		e, err := messenger.Envelope{Kind: p.Kind, From: from.member.ID, Incarnation: 1 << 40, Body: b}.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		from.sentBytes += len(e) + 8 // frame header and mask
		from.sentPackets++
		from.largestPacketBytes = max(from.largestPacketBytes, len(b))
		to := w.byAddress[p.To]
		if to == nil || to.stopped || w.cut != nil && w.cut(from, to) || w.rand.Float64() < w.lossRate {
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

// state returns the member's state at n, or 255 if n does not know the member.
func (n *node) state(id string) uint8 {
	for _, m := range n.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return 255
}

// timeUntil runs until the member has one of the states at every other running
// node. It returns how long that took, or -1 after the limit.
func (w *network) timeUntil(limit clock.Millis, id string, states ...uint8) clock.Millis {
	begin := w.clock.Now()
	for w.clock.Now()-begin <= limit {
		if w.allHold(id, states...) {
			return w.clock.Now() - begin
		}
		w.run(testTick)
	}
	return -1
}

// allHold reports whether the member has one of the states at every other running
// node.
func (w *network) allHold(id string, states ...uint8) bool {
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

// timeUntilAllAlive runs until every running node considers every running node
// alive. It returns how long that took, or -1 after the limit.
func (w *network) timeUntilAllAlive(limit clock.Millis) clock.Millis {
	begin := w.clock.Now()
	for w.clock.Now()-begin <= limit {
		allAlive := true
		for _, n := range w.running() {
			allAlive = allAlive && w.allHold(n.member.ID, Alive)
		}
		if allAlive {
			return w.clock.Now() - begin
		}
		w.run(testTick)
	}
	return -1
}
