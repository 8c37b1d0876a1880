package quarantiner

import (
	"fmt"
	"slices"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// network connects the quarantiners of a fleet. A report reaches the others with
// the next tick, unless lost says otherwise.
type network struct {
	now       clock.Millis
	instances []*Quarantiner
	lost      func(from, to int) bool
}

// losses are ways in which reports get lost.
var losses = map[string]func(from, to int) bool{
	"no loss":                        func(int, int) bool { return false },
	"half of the receivers miss all": func(from, to int) bool { return (from+to)%2 == 1 && to != 0 && from != 0 },
}

func newNetwork(size int) *network {
	n := &network{now: 1_000_000, lost: func(int, int) bool { return false }}
	for range size {
		n.instances = append(n.instances, New())
	}
	return n
}

// tick lets all instances exchange their reports and decide, every 200 ms.
func (n *network) tick(d clock.Millis) {
	for end := n.now + d; n.now < end; n.now += 200 {
		for i, q := range n.instances {
			report := q.Outgoing(n.now)
			report.Holds = q.Held(n.now)
			for j, other := range n.instances {
				if i != j && !n.lost(i, j) {
					other.Merge(n.now+1, report)
				}
			}
		}
		for _, q := range n.instances {
			q.Decide(n.now + 2)
		}
	}
}

// crash records that an endpoint has ended under a request, as seen by an
// instance, and lets d pass.
func (n *network) crash(instance, endpoint, request int, d clock.Millis, parts ...string) {
	n.instances[instance].RecordCrash(n.now, uint64(endpoint), Request{uint64(request), parts})
	n.tick(d)
}

func (n *network) sound(instance int, parts ...string) {
	n.instances[instance].RecordFirstEvent(n.now, Request{Parts: parts})
}

// held returns the parts that each instance holds, and fails the test if they
// differ.
func (n *network) held(t *testing.T) []string {
	t.Helper()
	var first []string
	for i, q := range n.instances {
		var names []string
		for _, h := range q.Held(n.now) {
			names = append(names, h.Part)
		}
		slices.Sort(names)
		if i == 0 {
			first = names
		} else if !slices.Equal(first, names) {
			t.Errorf("instance %d holds %v, instance 0 holds %v", i, names, first)
		}
	}
	return first
}

// crashTest is a course of crashes and the parts that are held after it.
type crashTest struct {
	crash func(n *network)
	want  []string
}

func checkHeld(t *testing.T, tests map[string]crashTest) {
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(9)
			tt.crash(n)
			n.tick(1400)
			if got := n.held(t); !slices.Equal(got, tt.want) {
				t.Errorf("held: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against requests that crash one endpoint after the other because no
// instance sees enough of the crashes, and against holding parts that sound
// requests share with them.
func TestHoldsThePartThatCrashesEndpoints(t *testing.T) {
	tests := map[string]crashTest{
		"each crash seen by another instance": {func(n *network) {
			for i := range 4 {
				n.sound(i, "system", "subject")
				n.crash(i, i, i, 300, "system", "subject", "deadly")
			}
		}, []string{"deadly"}},
		"two requests, each sent twice": {func(n *network) {
			for i := range 4 {
				n.crash(i/2, i, i/2, 300, "system", "deadly")
				n.sound(8, "system")
			}
		}, []string{"deadly"}},
		"the subject was sound before": {func(n *network) {
			n.sound(5, "system", "subject")
			n.tick(400)
			for i := range 4 {
				n.crash(i, i, i, 300, "system", "deadly", "subject")
			}
		}, []string{"deadly"}},
		"nothing was sound before": {func(n *network) {
			for i := range 4 {
				n.crash(i, i, i, 300, "system", "subject", "deadly")
			}
		}, []string{"deadly"}},
		"the first part of a route": {func(n *network) {
			n.sound(0, "system")
			for i := range 6 {
				n.crash(i, i, i, 300, "system", fmt.Sprint("subject-", i))
			}
		}, []string{"system"}},
		"the same endpoint, which starts again": {func(n *network) {
			for i := range 4 {
				n.crash(i, 1, i, 3400, "system", "deadly")
				n.sound(8, "system")
			}
		}, []string{"deadly"}},
		"two deadly parts": {func(n *network) {
			for i := range 8 {
				n.crash(i, i, i, 300, "system", fmt.Sprint("deadly-", i%2))
				n.sound(8, "system")
			}
		}, []string{"deadly-0", "deadly-1"}},
		"one request alone": {func(n *network) {
			for i := range 5 {
				n.crash(i, i, 1, 300, "system", "subject")
				n.sound(8, "system")
			}
		}, []string{"request:1"}},
		"one request, repeated": {func(n *network) {
			for i := range 6 {
				n.crash(i, i, 1, 300, "system", "deadly")
				n.sound(8, "system")
			}
		}, []string{"request:1"}},
		"one request, then others with its part": {func(n *network) {
			for i := range 6 {
				n.crash(i, i, max(1, i-1), 800, "system", "deadly")
				n.sound(8, "system")
			}
		}, []string{"deadly", "request:1"}},
		"each session behind the deadly part": {func(n *network) {
			for i := range 8 {
				n.crash(i, i, i/2, 800, "system", "deadly", fmt.Sprint("session-", i/4))
				n.sound(8, "system")
			}
		}, []string{"deadly", "session-0"}},
		"sound requests between the crashes": {func(n *network) {
			for i := range 8 {
				n.crash(i, i, i, 300, "system", "subject")
				n.sound((i+3)%9, "system", "subject")
			}
		}, nil},
		"a first event just after the third crash, elsewhere": {func(n *network) {
			for i := range 3 {
				n.crash(i, i, i, 200, "system", "subject")
			}
			n.sound(7, "system", "subject")
		}, nil},
		"only the last part is shared by nobody": {func(n *network) {
			for i := range 6 {
				n.crash(i, i, i, 300, "system")
				n.sound(8, "system")
			}
		}, nil},
	}
	checkHeld(t, tests)
}

// Guards against sound parts that are held, and deadly ones that are not, because
// many requests wait at endpoints that end.
func TestManyRequestsWait(t *testing.T) {
	tests := map[string]crashTest{
		"all endpoints end together": {func(n *network) {
			n.sound(0, "system")
			n.tick(200)
			for i := range 18 {
				n.crash(i%9, i, i, 0, "system", fmt.Sprint("subject-", i%3))
			}
		}, nil},
		"two hundred requests wait at each endpoint": {func(n *network) {
			for i := range 4 {
				for j := range 200 {
					n.crash((i+j)%9, i, 1000*i+j, 0, "system", fmt.Sprint("subject-", i, j))
				}
				n.crash(i, i, i, 300, "system", "deadly")
				n.sound(8, "system")
			}
		}, []string{"deadly"}},
		"many requests at one endpoint": {func(n *network) {
			for i := range 20 {
				n.crash(i%9, 1, i, 0, "system", "subject")
			}
		}, nil},
	}
	checkHeld(t, tests)
}

// Guards against a decision that comes later than contactMs, 3 s, after the fifth
// crash, with lost datagrams too.
func TestHoldsInTime(t *testing.T) {
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(9)
			n.lost = lost
			for i := range 5 {
				n.sound(8, "system")
				n.crash(i, i, i, 1000, "system", "deadly")
			}
			n.tick(2000)
			for i, q := range n.instances {
				if part, _ := q.Check(n.now, Request{Parts: []string{"system", "deadly", "other"}}); part != "deadly" {
					t.Errorf("instance %d: got %q, want the part that crashes endpoints", i, part)
				}
			}
		})
	}
}

// deadlyFleet returns a fleet that holds the part "deadly".
func deadlyFleet(t *testing.T) *network {
	t.Helper()
	n := newNetwork(3)
	for i := range 4 {
		n.sound(0, "system")
		n.crash(i%3, i, i, 300, "system", "deadly")
	}
	n.tick(1000)
	if got := n.held(t); !slices.Equal(got, []string{"deadly"}) {
		t.Fatalf("held: got %v, want deadly", got)
	}
	return n
}

// Guards against an instance that forgets with a restart what is held, against one
// that has missed first events and makes the others hold a sound part, and against
// a part that is held for ever.
func TestHoldsEnd(t *testing.T) {
	tests := map[string]struct {
		change func(n *network)
		want   []string
	}{
		"restart of an instance": {func(n *network) {
			n.instances[1] = New()
			n.tick(400)
		}, []string{"deadly"}},
		"requests go on": {func(n *network) {
			for range 30 {
				n.instances[0].Check(n.now, Request{Parts: []string{"deadly"}})
				n.tick(10 * clock.Second)
			}
		}, []string{"deadly"}},
		"no more requests": {func(n *network) {
			n.now += forgetTime
			n.tick(clock.Second)
		}, nil},
		"a first event after all": {func(n *network) {
			n.tick(clock.Second)
			n.sound(1, "deadly")
			n.tick(clock.Second)
		}, nil},
		"a first event after all, then one crash": {func(n *network) {
			n.tick(clock.Second)
			n.sound(1, "deadly")
			n.tick(clock.Second)
			n.crash(0, 9, 9, 1000, "system", "deadly")
		}, nil},
		"a first event that one instance does not hear of": {func(n *network) {
			n.lost = func(from, to int) bool { return to == 0 }
			n.sound(1, "deadly")
			n.tick(2 * clock.Second)
			n.lost = func(int, int) bool { return false }
			n.tick(clock.Second)
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := deadlyFleet(t)
			tt.change(n)
			if got := n.held(t); !slices.Equal(got, tt.want) {
				t.Errorf("held: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a part that is tried again by many requests, or never, so that a
// sound one stays held.
func TestTrials(t *testing.T) {
	n := deadlyFleet(t)
	request := Request{Parts: []string{"system", "deadly"}}
	var trials []clock.Millis
	begin := n.now
	for n.now < begin+25*clock.Minute {
		part, left := n.instances[1].Check(n.now, request)
		if part == "deadly" && left == 0 && n.instances[1].TakeTrial(n.now, request) {
			trials = append(trials, (n.now-begin)/clock.Second)
		}
		n.tick(clock.Second)
	}
	if len(trials) != 4 || trials[0] < 10 || trials[1] < 100 || trials[2] < 540 || trials[3] < 1140 {
		t.Errorf("trials after %v s, want four: after a quarter of a minute, 2, 10 and 20 minutes", trials)
	}
	for i, q := range n.instances {
		if part, left := q.Check(n.now, request); part != "deadly" || left == 0 {
			t.Errorf("instance %d: %q held, next trial in %d ms", i, part, left)
		}
	}
}

// Guards against state and messages that grow with the number of requests or of
// crashes, also if a caller states many parts that nobody else has.
func TestStateIsBounded(t *testing.T) {
	q := New()
	now := clock.Millis(1_000_000)
	for i := range maxParts / 4 {
		now += 20
		for k := range 5 {
			q.RecordFirstEvent(now, Request{uint64(i), []string{"system", fmt.Sprint("subject-", i, "-", k)}})
		}
		var parts []string
		for k := range 64 {
			parts = append(parts, fmt.Sprintf("%032d", (i/8)*64+k))
		}
		q.RecordCrash(now, uint64(i), Request{uint64(i), parts})
		q.RecordFirstEvent(now+1, Request{Parts: parts[:8]})
		q.Decide(now)
		report := q.Outgoing(now)
		entries := len(report.Marks)
		for _, c := range report.Crashes {
			entries += len(c.Waiting)
		}
		if entries > maxReportParts {
			t.Fatalf("a report of %d parts", entries)
		}
	}
	if len(q.parts) > maxParts || len(q.crashes) > maxCrashes || len(q.held) > maxHeld || len(q.suspects) > maxSuspects {
		t.Errorf("parts %d, crashes %d, held %d, suspects %d", len(q.parts), len(q.crashes), len(q.held), len(q.suspects))
	}
	now += crashMemory + soundMemory + forgetTime
	q.Decide(now)
	q.Decide(now + sweepInterval)
	if len(q.parts)+len(q.crashes)+len(q.suspects)+len(q.held) > 0 {
		t.Errorf("left at the end: parts %d, crashes %d, suspects %d, held %d",
			len(q.parts), len(q.crashes), len(q.suspects), len(q.held))
	}
}
