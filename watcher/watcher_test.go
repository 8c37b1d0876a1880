package watcher

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// fakeStore is an in-memory store that runs on the test's fake clock.
type fakeStore struct {
	mu            sync.Mutex
	clock         clock.Clock
	revision      int64
	objects       []Object
	log           []Object
	compactedUpTo int64 // watches from an earlier revision fail
	failure       error
	hangs         bool
	missesChanges bool // watch calls return no changes
	calls         int
	changed       chan struct{}
}

func newFakeStore(c clock.Clock) *fakeStore {
	return &fakeStore{clock: c, revision: 1, changed: make(chan struct{})}
}

func (f *fakeStore) write(name, spec string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	o := Object{Name: name, Revision: f.revision, Spec: []byte(spec)}
	f.objects = append(f.objects, o)
	f.log = append(f.log, o)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) begin(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	hangs, failure := f.hangs, f.failure
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	return failure
}

func (f *fakeStore) source() Source {
	return Source{
		List: func(ctx context.Context, _ string) ([]Object, Position, error) {
			if err := f.begin(ctx); err != nil {
				return nil, Position{}, err
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return append([]Object(nil), f.objects...), Position{Revision: f.revision}, nil
		},
		Watch:           f.watch,
		DropConnections: func() {},
	}
}

func (f *fakeStore) watch(ctx context.Context, _ string, from Position, wait clock.Millis) ([]Object, Position, error) {
	if err := f.begin(ctx); err != nil {
		return nil, Position{}, err
	}
	timer := time.After(wait.Duration())
	for {
		f.mu.Lock()
		if from.Revision < f.compactedUpTo {
			f.mu.Unlock()
			return nil, Position{}, ErrHistoryGone
		}
		var list []Object
		for _, o := range f.log {
			if o.Revision > from.Revision && !f.missesChanges {
				list = append(list, o)
			}
		}
		at, changed := Position{Revision: f.revision}, f.changed
		if f.missesChanges {
			at = from
		}
		f.mu.Unlock()
		if len(list) > 0 {
			return list, at, nil
		}
		select {
		case <-timer:
			return nil, at, nil
		case <-changed:
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		}
	}
}

// observed records the callbacks of a watcher.
type observed struct {
	mu       sync.Mutex
	specs    map[string]string
	lost     int
	regained int
}

func (s *observed) put(o Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.specs[o.Name] = string(o.Spec)
}

func (s *observed) get(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.specs[name]
}

func (s *observed) transitions() (lost, regained int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.regained
}

func start(ctx context.Context, c clock.Clock, source Source) (*Watcher, *observed) {
	s := &observed{specs: make(map[string]string)}
	kind := func(name string, wait clock.Millis) Kind {
		return Kind{Name: name, Wait: wait, Change: s.put, Replace: func(list []Object) {
			for _, o := range list {
				s.put(o)
			}
		}}
	}
	w := New(Options{
		Clock: c, Source: source, Kinds: []Kind{kind("lead", 1500), kind("other", 12000)},
		Role:          func() Role { return Role{Direct: true} },
		DirectChanged: func(bool) {},
		Confirmed:     func(clock.Millis) {},
		EraChanged:    func(_, _ int64) {},
		Current:       func() bool { return true },
		Backoff:       func(failures int) clock.Millis { return min(600, clock.Millis(150)<<(failures-2)) },
		StoreLost:     func(error) { s.mu.Lock(); s.lost++; s.mu.Unlock() },
		StoreRegained: func(clock.Millis) { s.mu.Lock(); s.regained++; s.mu.Unlock() },
	})
	go w.Run(ctx)
	return w, s
}

// Guards against a confirmation that is more recent than the data read: during
// and after any failure of the store, a change older than the confirmation must
// be known.
func TestConfirmationIsNeverTooRecent(t *testing.T) {
	unavailable := errors.New("unavailable")
	tests := map[string]struct {
		breakStore, repairStore func(f *fakeStore)
		missedTime              clock.Millis // for which watches omit changes without an error
	}{
		"calls fail": {func(f *fakeStore) { f.failure = unavailable }, func(f *fakeStore) { f.failure = nil }, 0},
		"calls hang": {func(f *fakeStore) { f.hangs = true }, func(f *fakeStore) { f.hangs = false }, 0},
		"history gone": {
			func(f *fakeStore) { f.compactedUpTo = 1 << 40 },
			func(f *fakeStore) { f.compactedUpTo = f.revision },
			0,
		},
		"watches miss changes": {
			func(f *fakeStore) { f.missesChanges = true },
			func(f *fakeStore) { f.missesChanges, f.compactedUpTo = false, f.revision },
			1000,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := clock.System()
				f := newFakeStore(c)
				w, s := start(ctx, c, f.source())
				written := make(map[string]clock.Millis)
				for i := range 120 {
					time.Sleep(97 * time.Millisecond)
					if i == 30 {
						f.set(func() { tt.breakStore(f) })
					}
					if i == 40 {
						f.set(func() { tt.repairStore(f) })
					}
					key := fmt.Sprint("k", i)
					written[key] = c.Now()
					f.write(key, "v")
					synctest.Wait()
					for k, at := range written {
						if s.get(k) == "" && w.Confirmed() > at+tt.missedTime {
							t.Fatalf("%s written at %d is not known, confirmed %d", k, at, w.Confirmed())
						}
					}
				}
				if age := c.Now() - w.Confirmed(); age > 1700 {
					t.Errorf("confirmation is %d ms old after the failure, want at most 1700", age)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a busy loop of calls to a store that fails, since refused calls
// are billed too.
func TestFewCallsWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := clock.System()
		f := newFakeStore(c)
		w, s := start(ctx, c, f.source())
		time.Sleep(3 * time.Second)
		f.set(func() { f.failure = errors.New("busy") })
		time.Sleep(1600 * time.Millisecond)
		f.set(func() { f.calls = 0 })
		time.Sleep(10 * time.Second)
		// At most 10 s divided by 450 ms, the longest pause of 600 ms less the
		// jitter of a quarter.
		f.set(func() {
			if f.calls > 23 {
				t.Errorf("calls in 10 s: got %d, want at most 23", f.calls)
			}
		})
		if w.StoreUp() {
			t.Error("the store is reported as up")
		}
		f.set(func() { f.failure = nil })
		time.Sleep(2 * time.Second)
		if lost, regained := s.transitions(); !w.StoreUp() || lost != 1 || regained != 2 {
			t.Errorf("after the outage: up %v, lost %d times, regained %d times", w.StoreUp(), lost, regained)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against list calls without a pause: after one lost history, the list of
// a kind that the store cannot answer was repeated at once, for as long as the
// primary kind was served.
func TestFailingListsArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.System()
		f := newFakeStore(c)
		source := f.source()
		var lists atomic.Int64
		broken := Source{
			DropConnections: source.DropConnections,
			List: func(ctx context.Context, kind string) ([]Object, Position, error) {
				if kind == "other" && lists.Add(1) > 1 {
					time.Sleep(time.Millisecond)
					return nil, Position{}, ErrUnavailable
				}
				return source.List(ctx, kind)
			},
			Watch: func(ctx context.Context, kind string, from Position, wait clock.Millis) ([]Object, Position, error) {
				if kind == "other" {
					time.Sleep(time.Second)
					return nil, Position{}, ErrHistoryGone
				}
				return source.Watch(ctx, kind, from, wait)
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		start(ctx, c, broken)
		time.Sleep(4 * time.Second)
		cancel()
		synctest.Wait()
		// The pause is at least three quarters of listPause.
		if got, limit := lists.Load(), int64(2+3*clock.Second/(listPause*3/4)); got > limit {
			t.Errorf("list calls in three seconds: got %d, want at most %d", got, limit)
		}
	})
}

// Guards against a stalled connection that delays changes for too long.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := clock.System()
		f := newFakeStore(c)
		source := f.source()
		inner := source.Watch
		first := true
		source.Watch = func(ctx context.Context, kind string, from Position, wait clock.Millis) ([]Object, Position, error) {
			if kind == "lead" && first {
				first = false
				<-ctx.Done() // the connection stalls
				return nil, Position{}, ctx.Err()
			}
			return inner(ctx, kind, from, wait)
		}
		_, s := start(ctx, c, source)
		time.Sleep(100 * time.Millisecond)
		f.write("a", "v")
		time.Sleep(2600 * time.Millisecond)
		if s.get("a") == "" {
			t.Error("a change is not known after 2.6 s on a stalled connection")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against reporting a change of this instance's role as a failure of its
// feed: the instance and those that follow it would read the store themselves
// for seconds.
func TestRoleChangeIsNotAFeedFailure(t *testing.T) {
	failed := errors.New("the connection broke")
	tests := map[string]struct {
		follow func(ctx context.Context) error
		want   error
	}{
		"the role changes": {func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, nil},
		"the feed fails":   {func(context.Context) error { return failed }, failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ended := make(chan error, 1)
				w := New(Options{
					Clock: clock.System(), Kinds: []Kind{{Name: "config"}},
					Role: func() Role {
						if time.Since(start) < time.Second {
							return Role{Feed: "first"}
						}
						return Role{}
					},
					Follow: func(ctx context.Context, _ string) error { return tt.follow(ctx) },
					FeedEnded: func(_ string, err error) {
						select {
						case ended <- err:
						default: // only the first end is checked
						}
						time.Sleep(time.Millisecond)
					},
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					w.Run(ctx)
				}()
				if got := <-ended; !errors.Is(got, tt.want) {
					t.Errorf("end of the feed: got %v, want %v", got, tt.want)
				}
				cancel()
				<-done
				time.Sleep(roleCheckInterval.Duration()) // the last check of the role
			})
		})
	}
}

// Guards against a store call for each change while many endpoints start at the
// same time. Without spacing there would be 50 calls a second here.
func TestManyChangesTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const spacing = 300 * clock.Millis(1)
		c := clock.System()
		f := newFakeStore(c)
		source := f.source()
		inner := source.Watch
		var calls atomic.Int64
		source.Watch = func(ctx context.Context, kind string, from Position, wait clock.Millis) ([]Object, Position, error) {
			if kind == "many" {
				calls.Add(1)
			}
			return inner(ctx, kind, from, wait)
		}
		s := &observed{specs: make(map[string]string)}
		w := New(Options{
			Clock: c, Source: source, StoreLost: func(error) {}, StoreRegained: func(clock.Millis) {},
			Kinds: []Kind{
				{Name: "lead", Wait: clock.Second, Replace: func([]Object) {}, Change: func(Object) {}},
				{Name: "many", Wait: 10 * clock.Second, Spacing: spacing, Replace: func([]Object) {}, Change: s.put},
			},
			Role:          func() Role { return Role{Direct: true} },
			DirectChanged: func(bool) {}, Confirmed: func(clock.Millis) {}, Current: func() bool { return true },
			Backoff: func(int) clock.Millis { return 150 },
		})
		go w.Run(ctx)
		time.Sleep(time.Second)
		written := make(map[string]clock.Millis)
		for i := range 500 {
			time.Sleep(20 * time.Millisecond)
			key := fmt.Sprint("k", i)
			written[key] = c.Now()
			f.write(key, "v")
			synctest.Wait()
			for k, at := range written {
				if s.get(k) == "" && c.Now()-at > spacing {
					t.Fatalf("%s is not known after %d ms, want %d at most", k, c.Now()-at, spacing)
				}
			}
		}
		if got, want := calls.Load(), int64(10*clock.Second/spacing+2); got > want {
			t.Errorf("watches in 10 s: got %d, want at most %d", got, want)
		}
		cancel()
		synctest.Wait()
	})
}
