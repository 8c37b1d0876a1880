package demonstrator

import (
	"context"
	"sync"
	"time"

	"rosemaryarch.example/rosemaryarch/administrator"
)

// watcher polls every instance and records a violation if one goes back to an older
// revision of the configuration.
type watcher struct {
	d               *Demonstrator
	done            chan struct{}
	running         sync.WaitGroup
	mu              sync.Mutex
	highestRevision map[int]uint64 // highest revision seen since the start of the instance, by its index
}

// watchInterval is the time between two polls, and the timeout of each request.
const watchInterval = 100 * time.Millisecond

func newWatcher(d *Demonstrator) *watcher {
	w := &watcher{d: d, done: make(chan struct{}), highestRevision: map[int]uint64{}}
	w.running.Add(1)
	go w.run()
	return w
}

func (w *watcher) run() {
	defer w.running.Done()
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
			w.check()
		}
	}
}

func (w *watcher) stop() {
	close(w.done)
	w.running.Wait()
}

// resetRevision forgets the revision seen at an instance that has been restarted.
func (w *watcher) resetRevision(k int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highestRevision[k] = 0
}

// check compares the revision of each instance with the highest one seen before.
func (w *watcher) check() {
	for k := range w.d.hoster.Settings() {
		w.mu.Lock()
		highest := w.highestRevision[k]
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), watchInterval)
		s, err := w.d.admin(k).Config(ctx, administrator.Empty{})
		cancel()
		if err != nil {
			continue
		}
		w.mu.Lock()
		if s.Revision < highest && w.highestRevision[k] == highest {
			w.d.collector.addViolation("instance %d went back from revision %d to %d", k+1, highest, s.Revision)
		}
		w.highestRevision[k] = max(w.highestRevision[k], s.Revision)
		w.mu.Unlock()
	}
}
