package limiter_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/limiter"
)

// At 0.125 retries per success, eight successful requests permit one retry.
func Example() {
	l := limiter.New(limiter.Options{
		RetriesPerSuccess: 0.125, Burst: 10, MaxKeys: 100, BaseDelay: 10, MaxDelay: clock.Second,
	})
	fmt.Println(l.AllowRetry("tags", "one"))
	for range 8 {
		l.Succeeded("tags", "one")
	}
	fmt.Println(l.AllowRetry("tags", "one"))
	fmt.Println(l.AllowRetry("tags", "one"))
	// Output:
	// false
	// true
	// false
}
