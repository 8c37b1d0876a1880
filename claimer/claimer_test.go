package claimer

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// TestDo guards against a second run for a repeated call, and against a key
// that is used for two different calls.
func TestDo(t *testing.T) {
	f := newFleet(storeemulator.New(), "a", "b")
	var mu sync.Mutex
	runs := 0
	run := func(context.Context, string) (Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		runs++
		return Answer{Status: 200, Body: []byte("ok")}, nil
	}
	var group sync.WaitGroup
	for range 20 {
		for _, n := range f.nodes {
			group.Go(func() {
				got, err := n.claimer.Do(context.Background(), f.call("k"), run)
				if err != nil || string(got.Body) != "ok" {
					t.Errorf("got %+v, %v, want ok", got, err)
				}
			})
		}
	}
	group.Wait()
	if runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
	other := f.call("k")
	other.BodyHash = []byte("x")
	if _, err := f.nodes["b"].claimer.Do(context.Background(), other, run); !errors.Is(err, refuser.ErrKeyReused) {
		t.Errorf("other body: got %v, want ErrKeyReused", err)
	}
}
