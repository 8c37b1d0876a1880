package follower

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Kinds of messages between followers.
const (
	KindHint  = "revision"
	KindQuery = "revision_get"
)

const (
	tickInterval        = 100 * time.Millisecond
	pollTimeout         = 8 * time.Second // allows for a slow store
	reachabilityTimeout = time.Second     // of the check before an operator's write
	watchTimeout        = 30 * time.Second
	watchRetryInterval  = time.Second // after an error, and while this instance is not a watcher
)

// Connect sets the function fields except Members and OnAdopt, so that the
// follower sends through m and reads from s, and registers its message handlers
// with m.
func (f *Follower) Connect(m *messenger.Messenger, s storeclient.Store, c clock.Clock) {
	f.SendHint = func(address string, body []byte) { _ = m.Send(address, KindHint, body) } // the messenger counts drops
	f.SendQuery = func(address string, body []byte, done func(clock.Millis, []byte, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, queryTimeout.Duration())
			defer cancel()
			answer, err := m.Call(ctx, address, KindQuery, body)
			done(c.Now(), answer, err)
		}()
	}
	f.ReadVersion = func(done func(clock.Millis, uint64, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, pollTimeout)
			defer cancel()
			v, err := s.Version(ctx, configwriter.Key)
			done(c.Now(), v, err)
		}()
	}
	f.ReadObject = func(done func(clock.Millis, storeclient.Object, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, pollTimeout)
			defer cancel()
			o, err := s.Get(ctx, configwriter.Key)
			done(c.Now(), o, err)
		}()
	}
	m.Handle(KindHint, func(_ context.Context, e messenger.Envelope) ([]byte, error) {
		return nil, f.HandleHint(c.Now(), e.From, e.Body)
	})
	m.Handle(KindQuery, func(_ context.Context, e messenger.Envelope) ([]byte, error) {
		return f.HandleQuery(c.Now(), e.Body)
	})
}

// Run calls Tick and, while this instance is a watcher, holds the watch, until
// done is closed. Then it cancels the open store calls and queries. Connect must
// have been called.
func (f *Follower) Run(s storeclient.Store, c clock.Clock, done <-chan struct{}) {
	defer f.cancel()
	go f.watch(f.ctx, s, c)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.Tick(c.Now())
		case <-done:
			return
		}
	}
}

// CheckWritable runs CheckReachability and waits at most a second for its result. It
// is meant for configwriter.Writer.CheckWritable and must be called before each
// write. The error is refuser.ErrNotReady.
func (f *Follower) CheckWritable(c clock.Clock) error {
	result := make(chan bool, 1)
	f.CheckReachability(c.Now(), func(ok bool) { result <- ok })
	t := time.NewTimer(reachabilityTimeout)
	defer t.Stop()
	select {
	case ok := <-result:
		if ok {
			return nil
		}
	case <-t.C:
	}
	return refuser.ErrNotReady.WithMessage("fewer than half of the instances can be reached; nothing was changed")
}

// watch passes changes of the fleet object to HandleWatch while this instance is
// a watcher.
func (f *Follower) watch(ctx context.Context, s storeclient.Store, c clock.Clock) {
	var from uint64
	for ctx.Err() == nil {
		if !f.IsWatcher() {
			sleep(ctx, watchRetryInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		objects, next, err := s.Watch(call, configwriter.Key, from)
		cancel()
		if err != nil {
			klog.V(2).Infof("follower: watch of the fleet object failed: %v", err)
			sleep(ctx, watchRetryInterval)
			continue
		}
		from = next
		for _, o := range objects {
			if o.Key == configwriter.Key && !o.Deleted {
				f.HandleWatch(c.Now(), o)
			}
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
