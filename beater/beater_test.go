package beater

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// group starts beaters on loopback; instance i is in data centre dc(i).
func group(t *testing.T, n int, dc func(i int) string) ([]*Beater, []context.CancelFunc) {
	t.Helper()
	list := make([]*Beater, n)
	stops := make([]context.CancelFunc, n)
	var done sync.WaitGroup
	for i := range n {
		b, err := New(Options{
			Clock: clock.Boot(),
			Self: Member{
				Name:        fmt.Sprintf("i%02d", i),
				DataCentre:  dc(i),
				Front:       fmt.Sprint("front-", i),
				Beat:        "127.0.0.1:0",
				Incarnation: 1,
			},
			Fill: func(m *Message) {
				m.Loads = []Load{{Endpoint: 7, Work: 100, Running: 2}}
			},
			Heard:   func(*Message) {},
			Changed: func(string, bool, clock.Millis) {},
			Failed:  func(error) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		b.options.Self.Beat = b.conn.LocalAddr().String()
		b.SetReady(true, false)
		list[i] = b
	}
	for i, b := range list {
		ctx, cancel := context.WithCancel(t.Context())
		stops[i] = cancel
		for _, o := range list {
			b.Learn(o.options.Self)
		}
		done.Go(func() { b.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, s := range stops {
			s()
		}
		done.Wait()
	})
	return list, stops
}

func alive(b *Beater) []string {
	var names []string
	for _, m := range b.Members() {
		names = append(names, m.Name)
	}
	return names
}

// eventually waits for a condition that the protocol promises within limit.
func eventually(t *testing.T, limit time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Errorf("%s: not within %v", what, limit)
}

// Guards against instances that do not learn of each other across data centres,
// and against a stopped one that is named for long: the users allow contactMs
// and three seconds, six in all.
func TestMembers(t *testing.T) {
	list, stops := group(t, 9, func(i int) string { return fmt.Sprint("dc", i%3) })
	for i, b := range list {
		eventually(t, 5*time.Second, fmt.Sprintf("instance %d knows all", i), func() bool { return len(alive(b)) == 9 })
	}
	stops[4]()
	for i, b := range list {
		if i != 4 {
			eventually(t, 6*time.Second, fmt.Sprintf("instance %d notices the end", i), func() bool {
				return !slices.Contains(alive(b), "i04")
			})
		}
	}
	if got := len(list[0].Neighbours("dc1")); got != 3 {
		t.Errorf("known instances of dc1: got %d, want 3 with the stopped one", got)
	}
}

// Guards against loads that are lost or that outlive their instance.
func TestLoads(t *testing.T) {
	list, stops := group(t, 3, func(int) string { return "dc" })
	eventually(t, 3*time.Second, "loads of two neighbours", func() bool {
		_, running, _ := list[0].Load(7)
		return running == 4
	})
	list[1].Broadcast(Message{})
	time.Sleep(50 * time.Millisecond)
	if _, running, _ := list[0].Load(7); running != 4 {
		t.Errorf("after a message without loads: got %d running, want 4", running)
	}
	stops[1]()
	eventually(t, 3*time.Second, "loads of one neighbour", func() bool {
		_, running, _ := list[0].Load(7)
		return running == 2
	})
}

// Guards against news of an earlier process of an instance, and against old
// news that arrive by a detour.
func TestLearnKeepsTheNewest(t *testing.T) {
	tests := map[string]struct {
		member Member
		at     clock.Millis
		ready  bool
	}{
		"newer":                   {Member{Name: "x", Incarnation: 2, Ready: false}, 2000, false},
		"older news":              {Member{Name: "x", Incarnation: 2, Ready: false}, 500, true},
		"earlier process":         {Member{Name: "x", Incarnation: 1, Ready: false}, 2000, true},
		"next process, old clock": {Member{Name: "x", Incarnation: 3, Ready: false}, 500, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &Beater{peers: make(map[string]*peer)}
			b.learn(Member{Name: "x", Incarnation: 2, Ready: true}, 1000)
			b.learn(tt.member, tt.at)
			if got := b.peers["x"].member.Ready; got != tt.ready {
				t.Errorf("ready: got %v, want %v", got, tt.ready)
			}
		})
	}
}

// Guards against an instance that other data centres take for dead, or for
// ready, because its state is told in short; and against bytes between data
// centres that grow as before: 19 neighbours may take 700 bytes, a third of
// their full descriptions.
func TestStatesOfKnownInstances(t *testing.T) {
	now := clock.Minute
	sender := &Beater{peers: make(map[string]*peer)}
	sender.options.Clock = clock.Clock{Now: func() clock.Millis { return now }}
	sender.options.Self = Member{Name: "self", DataCentre: "a", Front: "10.1.0.1:8227", Beat: "10.1.0.1:7340"}
	receiver := &Beater{peers: make(map[string]*peer)}
	receiver.options.Clock = sender.options.Clock
	receiver.options.Self = Member{Name: "receiver", DataCentre: "b"}
	for i := range 19 {
		m := Member{
			Name: fmt.Sprint("edge-kumamoto-", i), DataCentre: "a", Front: fmt.Sprintf("10.1.0.%d:8227", 40+i),
			Beat: fmt.Sprintf("10.1.0.%d:7340", 40+i), Incarnation: int64(1e12) + int64(i), Ready: i%2 == 0,
		}
		sender.learn(m, now-newFor)
		sender.learn(m, now-100)
		m.Ready = false
		receiver.learn(m, now-farDead)
	}
	full, states := sender.news(now)
	if got := len(full); got != 0 {
		t.Errorf("full descriptions of known instances: got %d, want 0", got)
	}
	data, err := (&Message{From: sender.options.Self, States: states}).encode()
	if err != nil {
		t.Fatal(err)
	}
	if got := len(data); got > 700 {
		t.Errorf("bytes of a message: got %d, want at most 700", got)
	}
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(receiver.Members()); got != 1 {
		t.Fatalf("living instances before: got %d, want only the receiver", got)
	}
	receiver.learnStates(now, m.States)
	if got := len(receiver.Members()); got != 20 {
		t.Errorf("living instances: got %d, want 20", got)
	}
	for _, x := range receiver.Members() {
		if want := sender.peers[x.Name]; want != nil && x.Ready != want.member.Ready {
			t.Errorf("%s is ready: got %v, want %v", x.Name, x.Ready, want.member.Ready)
		}
	}
	// A process that has started again is described in full.
	again := sender.peers["edge-kumamoto-3"].member
	again.Incarnation++
	sender.learn(again, now)
	if full, _ := sender.news(now); len(full) != 1 || full[0].Name != again.Name {
		t.Errorf("full descriptions after a restart: got %v, want only %s", full, again.Name)
	}
}

// FuzzDecode guards against a datagram of another sender that ends the process.
func FuzzDecode(f *testing.F) {
	m := Message{From: Member{Name: "a"}, Loads: []Load{{Endpoint: 1}}}
	data, err := m.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := decode(data); err == nil && m == nil {
			t.Error("neither a message nor an error")
		}
	})
}
