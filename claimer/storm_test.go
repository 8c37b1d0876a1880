package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// commitAtPreferred makes an instance commit through the preferred writer of each
// shard.
func commitAtPreferred(f *fleet, c *Claimer) {
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

// deliver sends deliveries of orders to random instances of 9, at most 500
// concurrently, and returns the number of deliveries by outcome. A sender waits
// for 0.1 to 1.1 times callerTimeout.
func (f *fleet) deliver(s *service, deliveries, orders int, callerTimeout, work time.Duration) map[string]int {
	random := rand.New(rand.NewPCG(7, 7))
	reasonCounts := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, 500)
	for i := range deliveries {
		key, c := fmt.Sprint("order", i%orders), f.node(fmt.Sprint("i", random.IntN(9))).claimer
		timeout := callerTimeout/10 + time.Duration(random.Int64N(int64(callerTimeout)))
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := c.Do(ctx, f.call(key), func(_ context.Context, attempt string) (Answer, error) {
				time.Sleep(work)
				return s.execute(key, attempt)
			})
			mu.Lock()
			defer mu.Unlock()
			reasonCounts[outcomeOf(err)]++
		})
	}
	group.Wait()
	return reasonCounts
}

// TestRetryStorm guards against orders that run more than once when a slow
// service makes senders repeat their deliveries, as in a published webhook
// incident where the claim was written after the work. 5,000 deliveries of 100
// orders over 9 instances, with senders that leave before the service answers
// and faults in 10% of the store calls, must run each order once and refuse a
// key that is used with another body.
func TestRetryStorm(t *testing.T) {
	e := storeemulator.New()
	e.SetFaults(storeemulator.Faults{Delay: 1})
	f, s := newFleet(e), newService()
	for i := range 9 {
		injector := storeemulator.NewFaultInjector(e, uint64(i), 0.1)
		f.start(fmt.Sprint("i", i), 1, injector.Store(), func(c *Claimer) { commitAtPreferred(f, c) })
	}
	const deliveries, orders = 5000, 100
	reasonCounts := f.deliver(s, deliveries, orders, 100*time.Millisecond, 30*time.Millisecond)
	t.Logf("%d deliveries of %d orders: outcomes %v, store calls %+v", deliveries, orders, reasonCounts, e.Counts())
	f.deliver(s, orders, orders, time.Minute, 0)
	for i := range orders {
		key := fmt.Sprint("order", i)
		other := f.call(key)
		other.BodyHash = []byte("x")
		_, err := f.node("i1").claimer.Do(context.Background(), other, nil)
		if got := s.count(key); got != 1 || !errors.Is(err, refuser.ErrKeyReused) {
			t.Errorf("%s: got %d runs, want 1; with another body got %v, want ErrKeyReused", key, got, err)
		}
	}
}

// TestStoreWrites guards against one store write per change: batching must need
// at most a tenth of the writes.
func TestStoreWrites(t *testing.T) {
	const orders = 1000
	measure := func(name string, delay clock.Millis, configure func(f *fleet, c *Claimer)) int {
		e := storeemulator.New()
		e.SetFaults(storeemulator.Faults{Delay: delay})
		f, s := newFleet(e), newService()
		for i := range 9 {
			f.start(fmt.Sprint("i", i), 1, e.Store(), func(c *Claimer) { configure(f, c) })
		}
		if got := f.deliver(s, orders, orders, time.Minute, 0); got["ok"] != orders {
			t.Errorf("%s: got outcomes %v, want ok for every order", name, got)
		}
		t.Logf("%-32s %d orders, store calls %+v", name, orders, e.Counts())
		return e.Counts().Writes
	}
	var oneAtATime sync.Mutex
	single := measure("one change per write", 0, func(_ *fleet, c *Claimer) {
		c.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
			oneAtATime.Lock()
			defer oneAtATime.Unlock()
			return c.CommitLocal(ctx, shard, key, change)
		}
	})
	measure("batched at each instance", 1, func(*fleet, *Claimer) {})
	batched := measure("batched at the preferred writer", 1, commitAtPreferred)
	if batched > single/10 {
		t.Errorf("batched: got %d writes, want at most a tenth of %d", batched, single)
	}
}
