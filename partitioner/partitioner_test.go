package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// endpoints returns n endpoints in each of the data centres.
func endpoints(n int, dataCentres ...string) (list []Endpoint) {
	for _, dc := range dataCentres {
		for i := range n {
			list = append(list, Endpoint{fmt.Sprint(dc, i), dc})
		}
	}
	return list
}

// testOptions are independent of the settings of the platform deployment.
var testOptions = Options{Utilisation: 0.35, MaxShare: 1.0 / 3, MinEndpoints: 2, ShrinkAfter: 5 * clock.Second}

// Guards against too few endpoints for the long prompts and against reserving more
// than a third of them, or any without long prompts.
func TestCount(t *testing.T) {
	tests := map[string]struct {
		demand      float64
		perDC, want int // endpoints of each of two data centres, and reserved ones in both
	}{
		"no long prompts":      {0, 12, 0},
		"few":                  {0.01, 12, 2},
		"two endpoints' worth": {1.4, 12, 4},
		"rounded up":           {1.5, 12, 6},
		"more than a third":    {50, 12, 8},
		"two endpoints":        {50, 2, 0},
		"no endpoint":          {1, 0, 0},
	}
	for name, tt := range tests {
		p := New("s", testOptions)
		if p.Update(1000, tt.demand, endpoints(tt.perDC, "a", "b")); p.Count() != tt.want {
			t.Errorf("%s: got %d reserved, want %d", name, p.Count(), tt.want)
		}
	}
}

// Guards against numbers that follow each cluster of arrivals: with a demand that
// varies by a factor of two within seconds, the number must not change after the
// first peak, and a lasting decrease must free one endpoint each 5 s.
func TestNoFlapping(t *testing.T) {
	p, list := New("s", testOptions), endpoints(24, "a")
	now, changes := clock.Millis(1000), 0
	for ; now < 61000; now += 100 {
		if p.Update(now, 1+float64(now/1500%2), list) {
			changes++
		}
	}
	if p.Count() != 6 || changes > 2 {
		t.Errorf("varying demand: got %d reserved after %d changes, want 6 after at most 2", p.Count(), changes)
	}
	for i, want := range []int{6, 5, 4, 3, 3, 0, 6} {
		if p.Update(now, []float64{1, 1, 1, 1, 1, 0, 2}[i], list); p.Count() != want {
			t.Errorf("step %d: got %d reserved, want %d", i, p.Count(), want)
		}
		now += 5 * clock.Second
	}
}

// Guards against instances that reserve different endpoints: with sums that differ
// by a few percent, in other orders of the list, without one endpoint or a data centre
// and after a restart of all, any two may differ by one endpoint in a data centre.
func TestInstancesAgree(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	instances := make([]*Partitioner, 20)
	for now := clock.Millis(1000); now < 30000; now += 200 {
		list, want := endpoints(24, "a", "b", "c"), 5
		if now >= 15000 {
			list, want = list[:47], 7 // the last one of b and all of c are gone
		}
		for i := range instances {
			if now == 1000 || now == 20000 {
				instances[i] = New("s", testOptions)
			}
			r.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
			instances[i].Update(now, 4.3*(0.97+0.06*r.Float64()), list)
			reserved, differ := make(map[string]int), make(map[string]int)
			for _, e := range list {
				if instances[i].Reserved(e.ID) {
					reserved[e.DataCentre]++
				}
				if instances[i].Reserved(e.ID) != instances[0].Reserved(e.ID) {
					differ[e.DataCentre]++
				}
			}
			if max(differ["a"], differ["b"], differ["c"]) > 1 || min(reserved["a"], reserved["b"]) < want-1 {
				t.Fatalf("at %d: instances 0 and %d differ in %v of %v", now, i, differ, reserved)
			}
		}
	}
}

// Guards against a large part of a small data centre's endpoints that is left to long
// prompts. Seen on thekkedath-tabs, with three in each.
func TestSmallDataCentre(t *testing.T) {
	for n, want := range map[int]int{Default().MinEndpoints - 1: 0, Default().MinEndpoints: 2} {
		p := New("s", Default())
		p.Update(1, 100, endpoints(n, "a"))
		if got := p.CountIn("a"); got != want || p.Count() != want {
			t.Errorf("%d endpoints: got %d reserved, want %d", n, got, want)
		}
	}
}
