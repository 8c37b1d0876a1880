package watcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// eraStore is a store of which each kind has one object, whose spec is the era. It
// serves watches of any position for their whole wait, without changes, like a
// store that has given out the revision again.
func eraStore(era *atomic.Int64) Source {
	return Source{
		DropConnections: func() {},
		List: func(context.Context, string) ([]Object, Position, error) {
			now := era.Load()
			spec := []byte{byte('0' + now)}
			return []Object{{Name: "a", Era: now, Revision: 5, Spec: spec}}, Position{Era: now, Revision: 9}, nil
		},
		Watch: func(ctx context.Context, _ string, from Position, wait clock.Millis) ([]Object, Position, error) {
			select {
			case <-time.After(wait.Duration()):
			case <-ctx.Done():
				return nil, from, ctx.Err()
			}
			if era.Load() != from.Era {
				return nil, from, ErrHistoryGone
			}
			return nil, from, nil
		},
	}
}

// eraOptions returns options of a watcher that reads an eraStore.
func eraOptions(c clock.Clock, era *atomic.Int64, kinds ...Kind) Options {
	return Options{
		Clock: c, Source: eraStore(era), Kinds: kinds, Role: func() Role { return Role{Direct: true} },
		DirectChanged: func(bool) {}, Confirmed: func(clock.Millis) {}, Backoff: func(int) clock.Millis { return 150 },
		Current: func() bool { return true }, EraChanged: func(_, _ int64) {},
		StoreLost: func(error) {}, StoreRegained: func(clock.Millis) {},
	}
}

// Guards against changes that are missed after the store has come back from an
// older copy: a watch that waits at a revision of the earlier era shows only what
// follows when the store has given out that revision again.
func TestKindsAreListedInALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := clock.System()
		var era atomic.Int64
		era.Store(1)
		var mu sync.Mutex
		var eras []int64
		seen := map[string]string{}
		kind := func(name string, wait clock.Millis) Kind {
			return Kind{Name: name, Wait: wait, Change: func(Object) {}, Replace: func(list []Object) {
				mu.Lock()
				defer mu.Unlock()
				seen[name] = string(list[0].Spec)
			}}
		}
		o := eraOptions(c, &era, kind("lead", 1000), kind("other", 12000))
		o.EraChanged = func(before, now int64) {
			mu.Lock()
			defer mu.Unlock()
			eras = append(eras, before, now)
		}
		w := New(o)
		go w.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		era.Store(2)
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		for _, name := range []string{"lead", "other"} {
			if seen[name] != "2" {
				t.Errorf("kind %s: got the list of era %q, want that of 2", name, seen[name])
			}
		}
		if want := []int64{0, 1, 1, 2}; !slices.Equal(eras, want) {
			t.Errorf("changes of the era: got %v, want %v", eras, want)
		}
		if w.RecordEra(1) {
			t.Error("an earlier era is accepted")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a confirmation by a store that is known to show an older state.
func TestOlderStateConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := clock.System()
		var era atomic.Int64
		era.Store(1)
		var current atomic.Bool
		kind := Kind{Name: "lead", Wait: 1000, Change: func(Object) {}, Replace: func([]Object) {}}
		o := eraOptions(c, &era, kind)
		o.Current = current.Load
		w := New(o)
		go w.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		if got := w.Confirmed(); got != 0 {
			t.Errorf("confirmed: got %d, want 0", got)
		}
		current.Store(true)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if w.Confirmed() == 0 {
			t.Error("confirmed: got 0 although the state is current")
		}
		cancel()
		synctest.Wait()
	})
}
