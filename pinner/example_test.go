package pinner_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/pinner"
)

// A session keeps the version of its token until that version is withdrawn.
func ExampleChoose() {
	candidates := []pinner.Candidate{{Version: "small@v1", Share: 0}, {Version: "small@v2", Share: 1}}
	c := pinner.Choose("one", "s", "small@v1", "", candidates)
	fmt.Println(c.Version, c.Reason)
	candidates[0].Withdrawn = true
	c = pinner.Choose("one", "s", "small@v1", "", candidates)
	fmt.Println(c.Version, c.Reason, c.Displaced)
	// Output:
	// small@v1 token
	// small@v2 share small@v1
}
