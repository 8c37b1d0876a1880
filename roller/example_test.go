package roller_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/roller"
)

// Sessions in the share of the new version remain in it when the share rises.
func ExampleTakes() {
	kept := true
	for i := range 1000 {
		session := fmt.Sprint(i)
		if roller.Takes("small@v2", session, 0.05) && !roller.Takes("small@v2", session, 0.2) {
			kept = false
		}
	}
	fmt.Println(kept, roller.Takes("small@v2", "s", 0), roller.Takes("small@v2", "s", 1))
	// Output: true false true
}
