package permitter_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// A first token after more than eight times the usual wait is a sign of a cold
// process.
func ExampleFirstTokenLate() {
	const usual = 60 * clock.Millis(1)
	fmt.Println(permitter.FirstTokenLate(100, usual, 8), permitter.FirstTokenLate(600, usual, 8))
	// Output: false true
}
