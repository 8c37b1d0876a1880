package gossiper

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
)

// TestSingleFaults guards against members that are removed wrongly, declared
// dead late or revived, with one fault at a time in a fleet of nine.
func TestSingleFaults(t *testing.T) {
	cases := map[string]func(t *testing.T, w *network){
		"crash":                    crash,
		"pause and return":         pauseAndReturn,
		"leave":                    leave,
		"one-way cut":              oneWayCut,
		"split and heal":           splitAndHeal,
		"restart under same id":    restartUnderSameID,
		"restart at same address":  restartAtSameAddress,
		"replaced process resumes": replacedProcessResumes,
		"join by one seed":         joinByOneSeed,
		"seed of a dead member":    seedDeadMember,
		"packet loss of 5 percent": packetLoss,
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newNetwork(t, 11)
			w.startFleet(9)
			if got := w.timeUntilAllAlive(10 * clock.Second); got < 0 {
				t.Fatal("the fleet did not form in 10 s")
			}
			w.run(5 * clock.Second)
			c(t, w)
		})
	}
}

// expectState fails if the member does not reach one of the states at every
// other running node within the limit.
func expectState(t *testing.T, w *network, limit clock.Millis, id string, states ...uint8) {
	t.Helper()
	if w.timeUntil(limit, id, states...) < 0 {
		for _, n := range w.running() {
			t.Logf("at %s, %s has state %d", n.member.ID, id, n.state(id))
		}
		t.Fatalf("%s did not reach states %v everywhere in %d ms", id, states, limit)
	}
}

func crash(t *testing.T, w *network) {
	n := w.nodes[3]
	n.stopped = true
	expectState(t, w, 10*clock.Second, n.member.ID, Dead)
	w.run(clock.Minute)
	expectState(t, w, 0, n.member.ID, Dead)
	for _, other := range w.running() { // an hour later
		other.Tick(w.clock.Now() + tombstoneLifetime)
	}
	expectState(t, w, 0, n.member.ID, 255)
}

func pauseAndReturn(t *testing.T, w *network) {
	n, other := w.nodes[3], w.nodes[4]
	n.paused = true
	expectState(t, w, 10*clock.Second, n.member.ID, Dead)
	other.stopped = true // n is paused and still considers it alive
	expectState(t, w, 10*clock.Second, other.member.ID, Dead)
	w.resume(n)
	if got := w.timeUntilAllAlive(15 * clock.Second); got < 0 {
		t.Error("the returned instance did not refute, or removed others")
	}
	expectState(t, w, 10*clock.Second, other.member.ID, Dead)
	if n.Self().Incarnation <= n.member.Incarnation {
		t.Error("the returned instance kept its incarnation")
	}
}

func leave(t *testing.T, w *network) {
	n := w.nodes[3]
	w.send(n, n.Leave(w.clock.Now()))
	expectState(t, w, 3*clock.Second, n.member.ID, Leaving)
	w.run(10 * clock.Second)
	n.stopped = true
	w.run(clock.Minute)
	expectState(t, w, 0, n.member.ID, Leaving) // not dead
}

func oneWayCut(t *testing.T, w *network) {
	a, b := w.nodes[1], w.nodes[2]
	w.cut = func(from, to *node) bool { return from == a && to == b }
	for range 60 {
		w.run(clock.Second)
		if !w.allHold(a.member.ID, Alive, Suspect) || !w.allHold(b.member.ID, Alive, Suspect) {
			t.Fatal("a one-way cut between two members removed one of them")
		}
	}
}

func splitAndHeal(t *testing.T, w *network) {
	side := func(n *node) bool { return n.member.DataCentre == "oita" }
	w.cut = func(from, to *node) bool { return side(from) != side(to) }
	w.run(20 * clock.Second)
	for _, n := range w.nodes {
		for _, m := range w.nodes {
			if got, want := n.state(m.member.ID) == Dead, side(n) != side(m); got != want {
				t.Fatalf("%s considers %s dead: got %v, want %v", n.member.ID, m.member.ID, got, want)
			}
		}
	}
	w.run(2 * clock.Minute)
	w.cut = nil
	if got := w.timeUntilAllAlive(30 * clock.Second); got < 0 {
		t.Error("the halves did not merge in 30 s")
	}
}

func restartUnderSameID(t *testing.T, w *network) {
	old := w.nodes[3]
	n := w.start(old.member, []Member{w.nodes[0].member})
	if got := w.timeUntilAllAlive(15 * clock.Second); got < 0 {
		t.Fatal("the new process is not alive everywhere")
	}
	for _, m := range w.nodes[0].Members() {
		if m.ID == n.member.ID && m.Incarnation < n.member.Incarnation {
			t.Errorf("incarnation: got %d, want at least %d", m.Incarnation, n.member.Incarnation)
		}
	}
}

func restartAtSameAddress(t *testing.T, w *network) {
	old := w.nodes[3]
	m := old.member
	m.ID = "kyushu-new"
	w.start(m, []Member{w.nodes[0].member})
	expectState(t, w, 10*clock.Second, m.ID, Alive)
	expectState(t, w, 10*clock.Second, old.member.ID, Leaving, 255)
}

// replacedProcessResumes replaces a paused process by one under the same id at
// another address, and resumes it.
func replacedProcessResumes(t *testing.T, w *network) {
	old := w.nodes[3]
	old.paused = true
	m := old.member
	m.Address = "10.20.9.9:7000"
	w.run(2 * clock.Second)
	w.start(m, []Member{w.nodes[0].member})
	w.run(20 * clock.Second)
	w.resume(old)
	w.run(20 * clock.Second)
	if !old.IsReplaced() {
		t.Error("the old process does not report that it was replaced")
	}
	for _, n := range w.nodes {
		for _, got := range n.Members() {
			if n != old && got.ID == m.ID && (got.State != Alive || got.Address != m.Address) {
				t.Errorf("%s has entry %+v, want alive at %s", n.member.ID, got, m.Address)
			}
		}
	}
}

func joinByOneSeed(t *testing.T, w *network) {
	n := w.start(testMember(9), []Member{w.nodes[0].member})
	if got := w.timeUntilAllAlive(20 * clock.Second); got < 0 {
		t.Fatalf("the new member knows %d of 10 in 20 s", len(n.Members()))
	}
}

// seedDeadMember seeds a member that the fleet has declared dead.
func seedDeadMember(t *testing.T, w *network) {
	dead := w.nodes[3]
	dead.stopped = true
	expectState(t, w, 10*clock.Second, dead.member.ID, Dead)
	for range 30 {
		for _, n := range w.running() {
			n.Seed(w.clock.Now(), []Member{dead.member})
		}
		w.run(clock.Second)
		expectState(t, w, 0, dead.member.ID, Dead)
	}
}

func packetLoss(t *testing.T, w *network) {
	w.lossRate = 0.05
	for range 60 {
		w.run(clock.Second)
		for _, n := range w.running() {
			if !w.allHold(n.member.ID, Alive, Suspect) {
				t.Fatalf("%s was removed", n.member.ID)
			}
		}
	}
}

// TestRandomFaults guards, for random sequences of faults, against dead entries
// that revive, incarnations that decrease, packets above MaxPacketBytes, and a
// fleet that does not converge once the faults end.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(t, rapid.Uint64().Draw(rt, "seed"))
		w.startFleet(6)
		w.run(3 * clock.Second)
		known := map[string]Member{}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			i := rapid.IntRange(0, 5).Draw(rt, "node")
			n := w.byAddress[testMember(i).Address]
			switch rapid.IntRange(0, 6).Draw(rt, "fault") {
			case 0:
				n.paused = true
			case 1:
				if n.paused {
					w.resume(n)
				}
			case 2:
				w.cut = func(from, to *node) bool { return (from == n) != (to == n) }
			case 3:
				w.cut = func(from, to *node) bool { return from == n && to != n }
			case 4:
				w.cut = nil
			case 5:
				w.lossRate = 0.3
			case 6:
				w.start(testMember(i), []Member{testMember((i + 1) % 6)})
			}
			for range 8 {
				w.run(clock.Second)
				checkInvariants(rt, w, known)
			}
		}
		w.cut, w.lossRate = nil, 0
		for _, n := range w.nodes {
			if n.paused && !n.stopped {
				w.resume(n)
			}
		}
		if got := w.timeUntilAllAlive(clock.Minute); got < 0 {
			rt.Fatal("not all running members are alive everywhere one minute after the faults")
		}
	})
}

// checkInvariants fails if a packet was too large, or if an entry was replaced by
// an older one since the last check.
func checkInvariants(rt *rapid.T, w *network, known map[string]Member) {
	for i, n := range w.nodes {
		if n.largestPacketBytes > MaxPacketBytes {
			rt.Fatalf("packet of %d bytes", n.largestPacketBytes)
		}
		for _, m := range n.Members() {
			key := fmt.Sprint(i, m.ID)
			was, ok := known[key]
			if ok && (m.Incarnation < was.Incarnation || m.Incarnation == was.Incarnation && m.State < was.State) {
				rt.Fatalf("%s: %s went from %d/%d back to %d/%d",
					n.member.ID, m.ID, was.Incarnation, was.State, m.Incarnation, m.State)
			}
			known[key] = m
		}
	}
}

// TestHostilePackets guards against packets of arbitrary content that crash the
// gossiper, grow the member table without bound or change its own state.
func TestHostilePackets(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	g := New(testMember(0), r)
	for i := range 10000 {
		p := Packet{Kind: []string{KindPing, KindAck, KindPingReq}[r.IntN(3)], Sequence: r.Uint64N(8)}
		p.From = Member{ID: fmt.Sprint(i), Address: fmt.Sprint(r.IntN(50)), State: uint8(r.IntN(256))}
		p.Target = testMember(r.IntN(2)).ID
		for range r.IntN(5) {
			m := testMember(r.IntN(3))
			m.Incarnation, m.State = r.Uint64N(1<<62), uint8(r.IntN(256))
			p.Updates = append(p.Updates, m)
		}
		for _, q := range append(g.Receive(clock.Millis(i+1), p), g.Tick(clock.Millis(i+1))...) {
			if b, err := q.Encode(); err != nil || len(b) > MaxPacketBytes {
				t.Fatalf("packet of %d bytes, %v", len(b), err)
			}
		}
	}
	if got := len(g.Members()); got > maxMembers {
		t.Errorf("members: got %d, want at most %d", got, maxMembers)
	}
	if got := g.Self().State; got != Alive {
		t.Errorf("own state: got %d, want alive", got)
	}
}

// FuzzDecode guards against input that crashes the decoder or that decodes to a
// packet without a sender.
func FuzzDecode(f *testing.F) {
	b, _ := Packet{From: testMember(1), Updates: []Member{testMember(2)}}.Encode()
	f.Add(b)
	f.Add(b[:20])
	f.Add([]byte{0x85, 0x86, 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := Decode(KindPing, b); err == nil && p.From.ID == "" {
			t.Errorf("packet without a sender from %x", b)
		}
	})
}

// TestNoSuspicionAfterOwnPause guards against an instance that suspects or
// removes others because it was itself paused while its probes were open.
func TestNoSuspicionAfterOwnPause(t *testing.T) {
	g := New(testMember(0), rand.New(rand.NewPCG(1, 1)))
	suspect := testMember(2)
	suspect.State, suspect.Incarnation = Suspect, 1
	g.Seed(1, []Member{testMember(1), testMember(2)})
	g.Receive(1, Packet{Kind: KindPing, From: testMember(1), Updates: []Member{suspect}})
	now := clock.Second
	for ; len(g.probes) == 0; now += testTick {
		g.Tick(now)
	}
	g.Tick(now + 30*clock.Second)
	g.Tick(now + 30*clock.Second + finalPingTimeout)
	for i, want := range []uint8{Alive, Alive, Suspect} {
		if got := g.members[testMember(i).ID].State; got != want {
			t.Errorf("member %d after the pause: got state %d, want %d", i, got, want)
		}
	}
}

// TestMoveAfterUpdateWithoutAddress guards against a member that keeps its old
// address because an update without the address arrived before the one with the
// new address.
func TestMoveAfterUpdateWithoutAddress(t *testing.T) {
	g := New(testMember(0), rand.New(rand.NewPCG(1, 1)))
	m := testMember(1)
	moved := m
	moved.Address, moved.Incarnation = "10.9.9.9:7000", 6
	for _, u := range []Member{m, {ID: m.ID, Incarnation: 6}, moved} {
		g.Receive(1, Packet{Kind: KindPing, From: testMember(2), Updates: []Member{u}})
	}
	for _, got := range g.Members() {
		if got.ID == m.ID && got.Address != moved.Address {
			t.Errorf("address: got %s, want %s", got.Address, moved.Address)
		}
	}
}
