package breaker_test

import (
	"fmt"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/clock"
)

// Three errors in a row open the circuit of one of two endpoints.
func Example() {
	b := breaker.New(breaker.Options{
		Window: 10 * clock.Second, MinRequests: 10, ErrorRate: 0.5, ConsecutiveErrors: 3, OpenFor: clock.Second,
		OpenMax: clock.Minute, MaxProbes: 1, ProbeSuccesses: 2, ProbeTimeout: clock.Second, MaxOpenShare: 0.5,
	}, rand.New(rand.NewPCG(1, 1)))
	b.Allow(0, "good")
	for now := range clock.Millis(3) {
		t, _ := b.Allow(now, "bad")
		b.Report(now, t, false)
	}
	_, ok := b.Allow(3, "bad")
	fmt.Println(b.State(3, "good"), b.State(3, "bad"), ok)
	// Output: closed open false
}
