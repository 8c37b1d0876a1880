package budgeter

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// buckets divide the window, so that old counts leave in small steps.
	buckets = 20
	// safety is the part of the bound that an instance without neighbours uses;
	// the rest covers the width of a bucket and members that it has not heard of.
	safety = 0.85
	// ownShare is the part of an instance's bound that it uses whatever the
	// others do, and poolShare the part of all bounds that neighbours share: one
	// instance sees few requests, so its own need varies much. The rest covers
	// what several instances take from the pool before they hear of each other:
	// a quarter of the pool at most, since each takes half of its share at once.
	ownShare  = 0.6
	poolShare = 0.25
)

// Options are the bounds on repeats of one service.
type Options struct {
	Window clock.Millis
	Ratio  float64 // repeats per request in the window
	Slack  float64 // repeats in the window besides, for the whole fleet
}

// Others is what neighbours have told of the window.
type Others struct {
	Requests  float64
	Borrowed  float64 // repeats that were taken from the pool
	Instances int
	Age       clock.Millis // of the oldest message
}

// Budgeter counts requests and repeats by service. It is safe for concurrent
// use.
type Budgeter struct {
	mu       sync.Mutex
	options  Options
	services map[string]*window
}

type window struct {
	requests [buckets]int
	repeats  [buckets]int // within the instance's own part
	borrowed [buckets]int // from the pool
	at       clock.Millis // number of the newest bucket
}

// sum returns the total of the newest n buckets.
func (w *window) sum(counts *[buckets]int, n int) float64 {
	total := 0
	for i := range min(n, buckets) {
		total += counts[(w.at+buckets-clock.Millis(i))%buckets]
	}
	return float64(total)
}

// New returns a budget without counts. It panics if the window is too short.
func New(o Options) *Budgeter {
	if o.Window < buckets {
		panic("budgeter: window is shorter than its buckets")
	}
	return &Budgeter{options: o, services: make(map[string]*window)}
}

// Request counts the first send of a request.
func (b *Budgeter) Request(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.at%buckets]++
}

// Repeat reports whether one more repeat is within the budget, keeping the
// share reserve (0 to 1) of it for more important ones, and counts it if so.
// members is the number of instances that share the slack.
func (b *Budgeter) Repeat(now clock.Millis, service string, members int, reserve float64, o Others) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	slack := b.options.Slack / float64(max(1, members))
	limit := b.options.Ratio*w.sum(&w.requests, buckets) + slack
	own, borrowed := w.sum(&w.repeats, buckets), w.sum(&w.borrowed, buckets)
	if o.Instances == 0 {
		if own+borrowed+1 > safety*limit*(1-reserve) {
			return false
		}
		w.repeats[w.at%buckets]++
		return true
	}
	if own+1 <= ownShare*limit*(1-reserve) {
		w.repeats[w.at%buckets]++
		return true
	}
	pool := limit + b.options.Ratio*o.Requests + slack*float64(o.Instances)
	left := poolShare*pool*(1-reserve) - o.Borrowed - borrowed
	if !b.mayBorrow(w, left/float64(2*(o.Instances+1)), o.Age) {
		return false
	}
	w.borrowed[w.at%buckets]++
	return true
}

// mayBorrow reports whether one more repeat is within an instance's share of
// the pool for the time in which its news may not have reached the others. Less
// than one repeat in that time is one in a longer time.
func (b *Budgeter) mayBorrow(w *window, share float64, age clock.Millis) bool {
	unheard := int(age/(b.options.Window/buckets)) + 2
	switch {
	case share <= 0:
		return false
	case share >= 1:
		return w.sum(&w.borrowed, unheard)+1 <= share
	}
	return float64(unheard)/share <= buckets && w.sum(&w.borrowed, int(float64(unheard)/share)+1) == 0
}

// Counts returns the requests of each service in the window, and the repeats
// that were taken from the pool.
func (b *Budgeter) Counts(now clock.Millis, each func(service string, requests, borrowed float64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		w := b.window(now, service)
		each(service, w.sum(&w.requests, buckets), w.sum(&w.borrowed, buckets))
	}
}

// Return gives back a repeat that was counted and then not sent.
func (b *Budgeter) Return(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	switch at := w.at % buckets; {
	case w.repeats[at] > 0:
		w.repeats[at]--
	case w.borrowed[at] > 0:
		w.borrowed[at]--
	}
}

func (b *Budgeter) window(now clock.Millis, service string) *window {
	w := b.services[service]
	at := now / (b.options.Window / buckets)
	if w == nil {
		w = &window{at: at}
		b.services[service] = w
	}
	for i := max(w.at+1, at-buckets+1); i <= at; i++ {
		w.requests[i%buckets], w.repeats[i%buckets], w.borrowed[i%buckets] = 0, 0, 0
	}
	w.at = max(w.at, at)
	return w
}
