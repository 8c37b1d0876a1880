package budgeter

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// buckets is the number of parts of the window, so that old counts expire in
	// small steps.
	buckets = 20
	// safetyFactor is the share of its bound that an instance without peers uses.
	// The rest covers the width of a bucket and members it does not know of.
	safetyFactor = 0.85
	// ownShare is the share of its bound that an instance uses independently of
	// others, and poolShare the share of all bounds that peers use in common: a
	// single instance sees few requests, so its own need varies widely. The rest
	// covers what several instances take from the pool before they receive each
	// other's counts: at most a quarter of the pool, since each takes half of its
	// share at once.
	ownShare  = 0.6
	poolShare = 0.25
)

// Options are the bounds on the retries of one service.
type Options struct {
	Window clock.Millis // length of the sliding window
	Ratio  float64      // retries per request in the window
	Slack  float64      // additional retries in the window, for the whole fleet
}

// PeerCounts holds the counts in the window received from other instances, its
// peers.
type PeerCounts struct {
	Requests  float64
	Borrowed  float64      // retries taken from the pool
	Instances int          // number of peers
	Age       clock.Millis // of the oldest of the reports
}

// Budgeter counts requests and retries by service. It is safe for concurrent
// use.
type Budgeter struct {
	mu       sync.Mutex
	options  Options
	services map[string]*window
}

// window counts the events of one service in a ring of buckets.
type window struct {
	requests [buckets]int
	retries  [buckets]int // within the instance's own share
	borrowed [buckets]int // retries taken from the pool
	newest   clock.Millis // number of the newest bucket
}

// sum returns the total of the newest n buckets.
func (w *window) sum(counts *[buckets]int, n int) float64 {
	total := 0
	for i := range min(n, buckets) {
		total += counts[(w.newest+buckets-clock.Millis(i))%buckets]
	}
	return float64(total)
}

// New returns a Budgeter without counts. It panics if the window is shorter than
// 1 ms per bucket.
func New(o Options) *Budgeter {
	if o.Window < buckets {
		panic("budgeter: Options.Window must be at least 1 ms per bucket")
	}
	return &Budgeter{options: o, services: make(map[string]*window)}
}

// RecordRequest counts a request, when it is sent for the first time.
func (b *Budgeter) RecordRequest(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, service)
	w.requests[w.newest%buckets]++
}

// TryWithdraw reports whether one more retry is within the budget, and counts it
// if so. reserve is the share of the budget, 0 to 1, that is left for more
// important retries, and members the number of instances that share the slack.
func (b *Budgeter) TryWithdraw(now clock.Millis, service string, members int, reserve float64, peers PeerCounts) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, service)
	slack := b.options.Slack / float64(max(1, members))
	limit := b.options.Ratio*w.sum(&w.requests, buckets) + slack
	own, borrowed := w.sum(&w.retries, buckets), w.sum(&w.borrowed, buckets)
	if peers.Instances == 0 {
		if own+borrowed+1 > safetyFactor*limit*(1-reserve) {
			return false
		}
		w.retries[w.newest%buckets]++
		return true
	}
	if own+1 <= ownShare*limit*(1-reserve) {
		w.retries[w.newest%buckets]++
		return true
	}
	pool := limit + b.options.Ratio*peers.Requests + slack*float64(peers.Instances)
	remaining := poolShare*pool*(1-reserve) - peers.Borrowed - borrowed
	if !b.mayBorrow(w, remaining/float64(2*(peers.Instances+1)), peers.Age) {
		return false
	}
	w.borrowed[w.newest%buckets]++
	return true
}

// mayBorrow reports whether one more retry from the pool is within the
// instance's share of it, for the time in which its counts may not have reached
// its peers. A share of less than one retry in that time allows one retry in a
// correspondingly longer time.
func (b *Budgeter) mayBorrow(w *window, share float64, age clock.Millis) bool {
	unreported := int(age/(b.options.Window/buckets)) + 2
	switch {
	case share <= 0:
		return false
	case share >= 1:
		return w.sum(&w.borrowed, unreported)+1 <= share
	}
	return float64(unreported)/share <= buckets && w.sum(&w.borrowed, int(float64(unreported)/share)+1) == 0
}

// Counts calls each with the requests of every service in the window and the
// retries taken from the pool.
func (b *Budgeter) Counts(now clock.Millis, each func(service string, requests, borrowed float64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		w := b.current(now, service)
		each(service, w.sum(&w.requests, buckets), w.sum(&w.borrowed, buckets))
	}
}

// Refund takes back a retry that was counted but not sent.
func (b *Budgeter) Refund(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, service)
	switch at := w.newest % buckets; {
	case w.retries[at] > 0:
		w.retries[at]--
	case w.borrowed[at] > 0:
		w.borrowed[at]--
	}
}

// current returns the window of a service, advanced to now. The lock must be
// held.
func (b *Budgeter) current(now clock.Millis, service string) *window {
	w := b.services[service]
	newest := now / (b.options.Window / buckets)
	if w == nil {
		w = &window{newest: newest}
		b.services[service] = w
	}
	for i := max(w.newest+1, newest-buckets+1); i <= newest; i++ {
		w.requests[i%buckets], w.retries[i%buckets], w.borrowed[i%buckets] = 0, 0, 0
	}
	w.newest = max(w.newest, newest)
	return w
}
