package gossiper_test

import (
	"fmt"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/gossiper"
)

// Seeds from the instance list become members.
func Example() {
	g := gossiper.New(gossiper.Member{ID: "a", Address: "127.0.0.1:1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	g.Seed(0, []gossiper.Member{{ID: "b", Address: "127.0.0.1:2", Incarnation: 1}})
	for _, m := range g.Members() {
		fmt.Println(m.ID, m.State == gossiper.Alive)
	}
	// Output:
	// a true
	// b true
}
