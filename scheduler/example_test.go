package scheduler_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// A workspace with one waiting request does not have to wait until all requests
// of another workspace have run.
func Example() {
	s := scheduler.New(scheduler.Options{Slots: 1, InitialServiceTime: 100})
	for _, request := range []scheduler.Request{
		{ID: "a1", Workspace: "a"}, {ID: "a2", Workspace: "a"}, {ID: "a3", Workspace: "a"}, {ID: "b1", Workspace: "b"},
	} {
		request.Deadline = clock.Minute
		if err := s.Enqueue(0, request); err != nil {
			fmt.Println(err)
		}
	}
	for now := clock.Millis(0); s.Waiting() > 0; now += 100 {
		next, _, _ := s.Next(now)
		fmt.Println(next.ID)
		s.Done(now+100, next.ID, true)
	}
	// Output:
	// a1
	// b1
	// a2
	// a3
}
