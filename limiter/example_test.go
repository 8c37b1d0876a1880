package limiter_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/limiter"
)

// With a share of 0.125, eight successful requests permit one retry.
func Example() {
	l := limiter.New(limiter.Options{Share: 0.125, Burst: 10, Keys: 100, Base: 10, Max: clock.Second})
	fmt.Println(l.Retry("tags", "one"))
	for range 8 {
		l.Succeeded("tags", "one")
	}
	fmt.Println(l.Retry("tags", "one"))
	fmt.Println(l.Retry("tags", "one"))
	// Output:
	// false
	// true
	// false
}
