package budgeter

import (
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a retry storm: whatever the pattern of requests, the repeats
// of all instances in any window stay within the users' bound (rule BUDGET).
func TestSumStaysWithinTheBound(t *testing.T) {
	const (
		ratio  = 0.9
		slack  = 58.0
		window = 10 * clock.Second
	)
	tests := map[string]struct {
		members  int
		requests int // per second and instance at the start
		later    int // after 15 s
	}{
		// Clients that repeat at once send four times the usual.
		"abusive retries begin": {9, 5, 20},
		"abusive retries end":   {9, 20, 5},
		"steady":                {9, 10, 10},
		"burst ends":            {9, 60, 2},
		"idle":                  {9, 0, 0},
		"idle, many":            {76, 0, 0},
		"many":                  {76, 4, 4},
		"traffic returns":       {9, 0, 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			list := make([]*Budgeter, tt.members)
			for i := range list {
				list[i] = New(Options{Window: window, Ratio: ratio, Slack: slack})
			}
			const length = 40000
			var sent, repeated [length + 1]int
			for now := clock.Millis(0); now < length; now += 50 {
				rate := tt.requests
				if now > 15000 {
					rate = tt.later
				}
				for _, b := range list {
					if r.Float64() < float64(rate)/20 {
						b.Request(now, "s")
						sent[now]++
					}
					// Every client asks for repeats all the time.
					for range 3 {
						if b.Repeat(now, "s", tt.members, 0) {
							repeated[now]++
						}
					}
				}
			}
			for from := 0; from+int(window) < length; from += 250 {
				n, requests := 0, 0
				for at := from; at < from+int(window); at++ {
					n += repeated[at]
				}
				// The users count the requests of this window, of the one before
				// or of the one half a window before, whichever has most.
				for _, back := range []int{0, int(window) / 2, int(window)} {
					count := 0
					for at := max(0, from-back); at < from+int(window)-back; at++ {
						count += sent[at]
					}
					requests = max(requests, count)
				}
				if bound := ratio*float64(requests) + slack; float64(n) > bound {
					t.Fatalf("from %d ms: got %d repeats, want at most %.0f", from, n, bound)
				}
			}
		})
	}
}

// Guards against connections that fail and use up the budget of repeats that
// could be sent. Found in the explanation of a broken stream (grown kseal site,
// trouble-1).
func TestReturn(t *testing.T) {
	b := New(Options{Window: 10000, Ratio: 0, Slack: 10})
	for i := range 100 {
		if !b.Repeat(clock.Millis(i), "s", 1, 0) {
			t.Fatalf("repeat %d: refused although none was sent", i)
		}
		b.Return(clock.Millis(i), "s")
	}
}

// Guards against a reserve that keeps nothing: less important repeats end
// before the more important ones.
func TestReserve(t *testing.T) {
	b := New(Options{Window: 10000, Ratio: 0.9, Slack: 0})
	for range 100 {
		b.Request(0, "s")
	}
	count := func(reserve float64) int {
		n := 0
		for b.Repeat(1, "s", 1, reserve) {
			n++
		}
		return n
	}
	if got := count(0.5); got == 0 {
		t.Error("no repeat although half of the budget is free")
	}
	if got := count(0); got == 0 {
		t.Error("the reserve is used up by less important repeats")
	}
}
