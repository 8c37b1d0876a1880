package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// endpoints returns n endpoints in each of the data centres.
func endpoints(n int, dataCentres ...string) []Endpoint {
	var list []Endpoint
	for _, dc := range dataCentres {
		for i := range n {
			list = append(list, Endpoint{fmt.Sprint(dc, i), dc})
		}
	}
	return list
}

// in returns the number of reserved endpoints of a data centre.
func (p *Partitioner) in(dataCentre string) int {
	n := 0
	for i := range 100 {
		if p.Reserved(fmt.Sprint(dataCentre, i)) {
			n++
		}
	}
	return n
}

// Guards against too few endpoints for the long prompts and against reserving more
// than a third of them, or any without long prompts.
func TestCount(t *testing.T) {
	tests := map[string]struct {
		demand      float64
		perDC, want int // endpoints of each of two data centres, and reserved ones
	}{
		"no long prompts":      {0, 12, 0},
		"few":                  {0.01, 12, 1},
		"two endpoints' worth": {1.4, 12, 2},
		"rounded up":           {1.5, 12, 3},
		"more than a third":    {50, 12, 4},
		"two endpoints":        {50, 2, 0},
		"no endpoint":          {1, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("s", Default())
			p.Update(1000, tt.demand, endpoints(tt.perDC, "a", "b"))
			if a, b := p.in("a"), p.in("b"); a != tt.want || b != tt.want {
				t.Errorf("reserved: got %d and %d, want %d in each", a, b, tt.want)
			}
		})
	}
}

// Guards against numbers that follow each cluster of arrivals: with a demand that
// varies by a factor of two within seconds, the number must not change after the
// first peak, and a lasting decrease must free one endpoint each 5 s.
func TestNoFlapping(t *testing.T) {
	p, list := New("s", Default()), endpoints(24, "a")
	now, changes := clock.Millis(1000), 0
	for ; now < 61000; now += 100 {
		demand := 2.0
		if now/1500%2 == 0 {
			demand = 1
		}
		if p.Update(now, demand, list) {
			changes++
		}
	}
	if got := p.Count(); got != 6 || changes > 2 {
		t.Errorf("varying demand: got %d reserved after %d changes, want 6 after at most 2", got, changes)
	}
	for _, want := range []int{6, 5, 4, 3, 3} {
		if p.Update(now, 1, list); p.Count() != want {
			t.Errorf("at %d: got %d reserved, want %d", now, p.Count(), want)
		}
		now += 5 * clock.Second
	}
	if p.Update(now, 0, list); p.Count() != 0 {
		t.Errorf("no long prompts for 10 s: got %d reserved, want 0", p.Count())
	}
	if p.Update(now+100, 2, list); p.Count() != 6 {
		t.Errorf("back again: got %d reserved, want 6", p.Count())
	}
}

// Guards against instances that reserve different endpoints: with sums that differ
// by a few percent, in other orders of the list, after a lost data centre and for one
// that has just started, any two may differ by one endpoint in a data centre.
func TestInstancesAgree(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	instances := make([]*Partitioner, 20)
	for i := range instances {
		instances[i] = New("s", Default())
	}
	all := endpoints(24, "a", "b", "c")
	for now := clock.Millis(1000); now < 30000; now += 200 {
		usable := all
		if now >= 15000 {
			usable = all[:48]
		}
		if now == 20000 {
			for i := range instances {
				instances[i] = New("s", Default())
			}
		}
		for i, p := range instances {
			list := append([]Endpoint(nil), usable...)
			r.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
			p.Update(now, 4.3*(0.97+0.06*r.Float64()), list)
			for _, dc := range []string{"a", "b", "c"} {
				differ := 0
				for k := range 24 {
					if id := fmt.Sprint(dc, k); p.Reserved(id) != instances[0].Reserved(id) {
						differ++
					}
				}
				if i > 0 && differ > 1 {
					t.Fatalf("at %d: instances 0 and %d differ in %d endpoints of %s", now, i, differ, dc)
				}
			}
		}
		if p := instances[0]; now >= 15000 && (p.in("c") != 0 || p.in("a") < 7) {
			t.Fatalf("at %d without c: got %d in a and %d in c, want 7 and 0", now, p.in("a"), p.in("c"))
		}
	}
}

// Guards against cold caches: an endpoint that leaves may move one assignment.
func TestStableMembership(t *testing.T) {
	p, q := New("s", Default()), New("s", Default())
	list := endpoints(24, "a")
	p.Update(1, 1.5, list)
	for gone := range list {
		rest := append(append([]Endpoint(nil), list[:gone]...), list[gone+1:]...)
		moved := 0
		q.Update(clock.Millis(gone+1), 1.5, rest)
		for _, e := range rest {
			if p.Reserved(e.ID) != q.Reserved(e.ID) {
				moved++
			}
		}
		if moved > 1 {
			t.Errorf("without %s: %d assignments moved, want at most 1", list[gone].ID, moved)
		}
	}
}
