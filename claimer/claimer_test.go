package claimer

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeemulator"
	"rosemaryarch.example/rosemaryarch/storer"
)

// fleet is several instances over one store, whose pauses advance the clock.
type fleet struct {
	clock    *clock.Manual
	claimers map[string]*Claimer
	cut      map[string]bool // instances that do not answer
}

func newFleet(store storer.Store, names ...string) *fleet {
	f := &fleet{clock: clock.NewManual(0), claimers: map[string]*Claimer{}, cut: map[string]bool{}}
	for _, n := range names {
		f.start(store, n, 1)
	}
	return f
}

func (f *fleet) start(store storer.Store, name string, incarnation uint64) *Claimer {
	m := committer.New(store, f.clock.Clock(), committer.Options{Instance: name, Incarnation: incarnation})
	m.Sleep = func(_ context.Context, d clock.Millis) { f.clock.Advance(d) }
	c := New(m, f.clock.Clock(), name, incarnation)
	c.Sleep = m.Sleep
	c.Shards = 4
	c.AskAttempt = func(_ context.Context, instance, attempt string) State {
		if f.cut[instance] {
			return Unreachable
		}
		return f.claimers[instance].State(attempt)
	}
	f.claimers[name] = c
	return c
}

func (f *fleet) call(key string) Call {
	return Call{Workspace: "w", Service: "booking", Key: key, BodyHash: []byte("h"), Deadline: f.clock.Now() + clock.Hour}
}

// TestDo guards against a second run for a repeated call, and against a key
// that is used for two different calls.
func TestDo(t *testing.T) {
	f := newFleet(storeemulator.New().Store(), "a", "b")
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
		for _, c := range f.claimers {
			group.Go(func() {
				got, err := c.Do(context.Background(), f.call("k"), run)
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
	if _, err := f.claimers["b"].Do(context.Background(), other, run); !errors.Is(err, refuser.ErrKeyReused) {
		t.Errorf("other body: got %v, want ErrKeyReused", err)
	}
}
