package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// forward makes every instance commit through the preferred writer of a shard.
func forward(f *fleet, c *Claimer) {
	c.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
		f.mu.Lock()
		var preferred *node
		var highest uint64
		for name, n := range f.nodes {
			if weight := xxhash.Sum64String(name + "/" + shard); weight >= highest {
				preferred, highest = n, weight
			}
		}
		f.mu.Unlock()
		return preferred.claimer.CommitLocal(ctx, shard, key, change)
	}
}

// TestRetryStorm guards against the fault of a published webhook incident, in
// which a slow handler made the sender deliver each order many times and a
// claim written after the work let every delivery through: 5,000 deliveries of
// 100 orders over 9 instances, with callers that leave before the service
// answers and with faults in 10% of the store calls, must run each order once and refuse a
// key that comes with another body.
func TestRetryStorm(t *testing.T) {
	e := storeemulator.New()
	e.SetFaults(storeemulator.Faults{Delay: 1})
	f := newFleet(e)
	for i := range 9 {
		f.start(fmt.Sprint("i", i), 1, storeemulator.NewChaos(e, uint64(i), 0.1).Store(), func(c *Claimer) { forward(f, c) })
	}
	s := newService()
	random := rand.New(rand.NewPCG(7, 7))
	told := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	const deliveries, orders = 5000, 100
	slots := make(chan struct{}, 500) // deliveries at a time
	for i := range deliveries {
		key, name := fmt.Sprint("order", i%orders), fmt.Sprint("i", random.IntN(9))
		patience := time.Duration(10+random.IntN(90)) * time.Millisecond
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			_, err := f.node(name).claimer.Do(ctx, f.call(key), func(_ context.Context, attempt string) (Answer, error) {
				time.Sleep(30 * time.Millisecond)
				return s.execute(key, attempt)
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				told["ok"]++
			} else {
				told[string(refuser.From(err).Reason)]++
			}
		})
	}
	group.Wait()
	for i := range orders {
		key := fmt.Sprint("order", i)
		run := func(_ context.Context, attempt string) (Answer, error) { return s.execute(key, attempt) }
		_, err := f.node("i0").claimer.Do(context.Background(), f.call(key), run)
		if got := s.count(key); got != 1 || err != nil {
			t.Errorf("%s: got %d runs, %v, want 1", key, got, err)
		}
		other := f.call(key)
		other.BodyHash = []byte("x")
		if _, err := f.node("i1").claimer.Do(context.Background(), other, run); !errors.Is(err, refuser.ErrKeyReused) {
			t.Errorf("%s with another body: got %v, want ErrKeyReused", key, err)
		}
	}
	t.Logf("%d deliveries of %d orders: told %v, store calls %+v", deliveries, orders, told, e.Counts())
}

// TestStoreWrites guards against a return to one store write for each change.
func TestStoreWrites(t *testing.T) {
	const orders = 1000
	writes := map[string]int{}
	for _, name := range []string{"one change a write", "batched at each instance", "batched at the preferred writer"} {
		e := storeemulator.New()
		if name != "one change a write" {
			e.SetFaults(storeemulator.Faults{Delay: 1})
		}
		f := newFleet(e)
		var turn sync.Mutex
		for i := range 9 {
			f.start(fmt.Sprint("i", i), 1, e.Store(), func(c *Claimer) {
				switch name {
				case "one change a write":
					c.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
						turn.Lock()
						defer turn.Unlock()
						return c.CommitLocal(ctx, shard, key, change)
					}
				case "batched at the preferred writer":
					forward(f, c)
				}
			})
		}
		var runs atomic.Int64
		var group sync.WaitGroup
		for i := range orders {
			group.Go(func() {
				c := f.node(fmt.Sprint("i", i%9)).claimer
				_, err := c.Do(context.Background(), f.call(fmt.Sprint(i)), func(context.Context, string) (Answer, error) {
					runs.Add(1)
					return Answer{Status: 200}, nil
				})
				if err != nil && !errors.Is(err, refuser.ErrStillRunning) {
					t.Errorf("order %d: %v", i, err)
				}
			})
		}
		group.Wait()
		if got := runs.Load(); got != orders {
			t.Errorf("%s: got %d runs, want %d", name, got, orders)
		}
		writes[name] = e.Counts().Writes
		t.Logf("%-32s %d orders, %d instances, store calls %+v", name, orders, 9, e.Counts())
	}
	got, want := writes["batched at the preferred writer"], writes["one change a write"]/10
	if got > want {
		t.Errorf("batched: got %d writes, want at most %d", got, want)
	}
}
