package capper

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// names returns the names of n instances.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("edge-", i)
	}
	return list
}

// Guards against shares that exceed the stated rate together, leave a part of it
// unused, or exclude an endpoint with a small rate.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 32, 195} {
		for _, rate := range []float64{0, 0.1, 0.25, 1.8, 4.9, 50, 1e12} {
			for endpoint := range uint64(20) {
				sum := 0
				for _, name := range names(n) {
					sends, _ := Share(rate, endpoint, Instances{Self: name, Names: names(n)})
					sum += sends
				}
				if want := max(1, int(min(rate*4.2, 1e9))); sum != want {
					t.Errorf("%d instances, rate %v, endpoint %d: got %d, want %d", n, rate, endpoint, sum, want)
				}
			}
		}
	}
}

// Guards against a new instance by which the shares of many others move, since
// old and new ones could then send at the same time.
func TestSharesAreStable(t *testing.T) {
	const rate, endpoint = 2.0, 5
	moved := 0
	for _, name := range names(32) {
		before, _ := Share(rate, endpoint, Instances{Self: name, Names: names(32)})
		after, _ := Share(rate, endpoint, Instances{Self: name, Names: names(33)})
		if before != after {
			moved++
		}
	}
	if moved > 1 {
		t.Errorf("instances with another share: got %d, want at most 1", moved)
	}
}

// sender is an instance of a simulated fleet.
type sender struct {
	capper *Capper
	in     Instances
	inbox  []delivery
}

// delivery is a batch of reports on its way.
type delivery struct {
	at      clock.Millis
	reports []Report
}

// Guards against a fleet that exceeds a stated rate, that leaves most of it unused,
// or of which a part does not learn that the limit has ended: most instances have
// no share of a small rate (soak rule LIMIT).
func TestFleetStaysWithinRate(t *testing.T) {
	tests := map[string]struct {
		local, remote int
		rate          float64
		loss          float64 // share of heartbeats
	}{
		"one":            {1, 0, 2, 0},
		"small fleet":    {2, 7, 1.8, 0},
		"lossy":          {3, 6, 4.9, 0.2},
		"large fleet":    {32, 163, 2, 0.05},
		"very slow":      {32, 163, 0.2, 0.05},
		"no own sharers": {0, 9, 3, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(tt.local, tt.remote, tt.loss)
			const begin, end, stop = 2000, 40000, 60000
			for now := clock.Millis(0); now < stop; now += 10 {
				s.step(now, tt.rate, now >= begin && now < end)
			}
			bound := int(1.5*4*tt.rate) + 5
			if got := s.most(begin+3000, end, 4000); got > bound {
				t.Errorf("requests in 4 s: got %d, want at most %d", got, bound)
			}
			used := float64(s.count(begin+10000, end)) / float64(end-begin-10000) * 1000
			if used < 0.5*tt.rate {
				t.Errorf("requests per second: got %.2f, want at least %.2f", used, 0.5*tt.rate)
			}
			for i, x := range s.senders {
				if x.capper.Wait(stop, 1, func() Instances { return x.in }) > 0 {
					t.Errorf("instance %d still keeps to the limit 20 s after its end", i)
				}
			}
		})
	}
}

// simulation is a fleet whose instances want to send to endpoint 1 all the time.
type simulation struct {
	random  *rand.Rand
	loss    float64
	local   int
	senders []*sender
	sends   []clock.Millis
}

func newSimulation(local, remote int, loss float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(5, 6)), loss: loss, local: local}
	all := names(local + remote)
	shared := all[:local]
	if local == 0 {
		shared = all
	}
	for _, name := range all {
		s.senders = append(s.senders, &sender{
			capper: New(), in: Instances{Self: name, Names: shared, Others: len(all) - len(shared)},
		})
	}
	return s
}

// step sends, responds and exchanges heartbeats: in a data centre four times a
// second, between data centres once.
func (s *simulation) step(now clock.Millis, rate float64, limited bool) {
	const endpoint = 1
	for i, x := range s.senders {
		for len(x.inbox) > 0 && x.inbox[0].at <= now {
			x.capper.Merge(now, x.inbox[0].reports)
			x.inbox = x.inbox[1:]
		}
		if s.random.Float64() < 0.05 && x.capper.Allow(now, endpoint, func() Instances { return x.in }) {
			s.sends = append(s.sends, now)
			x.capper.Observe(now, endpoint, rate, limited)
		}
		offset := clock.Millis(i * 7 % 1000)
		if (now+offset)%250 < 10 {
			s.tell(now, i, x.capper.Reports(now, false), true)
		}
		if (now+offset)%1000 < 10 {
			s.tell(now, i, x.capper.Reports(now, true), false)
		}
	}
}

// tell delivers reports to the instances of the same group, or to the others.
func (s *simulation) tell(now clock.Millis, from int, reports []Report, sameGroup bool) {
	if len(reports) == 0 {
		return
	}
	for i, x := range s.senders {
		if i != from && ((i < s.local) == (from < s.local)) == sameGroup && s.random.Float64() >= s.loss {
			x.inbox = append(x.inbox, delivery{now + 10, reports})
		}
	}
}

// count returns the sends in [from, to).
func (s *simulation) count(from, to clock.Millis) int {
	n := 0
	for _, at := range s.sends {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// most returns the largest number of sends in a span within [from, to).
func (s *simulation) most(from, to, span clock.Millis) int {
	most := 0
	for _, at := range s.sends {
		if at >= from && at+span <= to {
			most = max(most, s.count(at, at+span))
		}
	}
	return most
}
