package slowstarter

import (
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against more requests to a cold endpoint than it can serve: the sum
// over all instances must stay within the bound in any second (soak rule
// FAILBACK), even if hundreds of requests wait or there are more instances than
// requests allowed.
func TestSumStaysWithinBound(t *testing.T) {
	const bound = 12*1.5 + 5
	for name, senders := range map[string]int{"one": 1, "three": 3, "nineteen": 19, "more than the bound": 40} {
		t.Run(name, func(t *testing.T) {
			list := make([]*SlowStarter, senders)
			for i := range list {
				list[i] = New()
			}
			random := rand.New(rand.NewPCG(3, 4))
			var sends []clock.Millis
			for now := clock.Millis(0); now < 6000; now += 10 {
				for i, s := range list {
					if random.Float64() < 0.5 && s.Allow(now, "e", Share(bound, senders, i)) {
						sends = append(sends, now)
					}
				}
			}
			if len(sends) == 0 {
				t.Fatal("nothing was sent")
			}
			for i, from := range sends {
				n := 0
				for _, at := range sends[i:] {
					if at < from+clock.Second {
						n++
					}
				}
				if n > bound {
					t.Fatalf("second from %d ms: got %d, want at most %.0f", from, n, float64(bound))
				}
			}
		})
	}
}

// Guards against an endpoint that turns cold after many requests, which must
// count towards the bound.
func TestSendsWhileWarmCount(t *testing.T) {
	s := New()
	for range 30 {
		s.Record(1000, "e")
	}
	if s.Allow(1500, "e", 23) {
		t.Error("send allowed within a second of 30 others")
	}
	if !s.Allow(2200, "e", 23) {
		t.Error("send refused after the window of the others")
	}
}
