package demonstrator

import (
	"context"
	"sync"
	"time"

	"rosemaryarch.example/rosemaryarch/administrator"
)

// watcher looks at the status of every instance and notes what must not happen.
type watcher struct {
	d       *Demonstrator
	done    chan struct{}
	ended   sync.WaitGroup
	mu      sync.Mutex
	highest map[int]uint64 // revision by instance, since its start
}

const watchInterval = 100 * time.Millisecond

func newWatcher(d *Demonstrator) *watcher {
	w := &watcher{d: d, done: make(chan struct{}), highest: map[int]uint64{}}
	w.ended.Add(1)
	go w.run()
	return w
}

func (w *watcher) run() {
	defer w.ended.Done()
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
			w.look()
		}
	}
}

func (w *watcher) stop() {
	close(w.done)
	w.ended.Wait()
}

// restarted forgets what an instance had adopted before it was started anew.
func (w *watcher) restarted(k int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[k] = 0
}

// look compares the revision of each instance with the one seen before.
func (w *watcher) look() {
	for k := range w.d.hoster.Settings() {
		w.mu.Lock()
		before := w.highest[k]
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), watchInterval)
		s, err := w.d.admin(k).Config(ctx, administrator.Empty{})
		cancel()
		if err != nil {
			continue
		}
		w.mu.Lock()
		if s.Revision < before && w.highest[k] == before {
			w.d.ledger.fault("instance %d went back from revision %d to %d", k+1, before, s.Revision)
		}
		w.highest[k] = max(w.highest[k], s.Revision)
		w.mu.Unlock()
	}
}
