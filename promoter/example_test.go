package promoter_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/promoter"
)

// Sessions in the share of the new version remain in it when the share rises.
func ExampleInShare() {
	kept := true
	for i := range 1000 {
		session := fmt.Sprint(i)
		if promoter.InShare("small@v2", session, 0.05) && !promoter.InShare("small@v2", session, 0.2) {
			kept = false
		}
	}
	fmt.Println(kept, promoter.InShare("small@v2", "s", 0), promoter.InShare("small@v2", "s", 1))
	// Output: true false true
}
