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
	ownShare  = 0.5
	poolShare = 0.3
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
	Borrowed  float64 // repeats beyond their own parts
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
	repeats  [buckets]int
	borrowed [buckets]int // repeats that were taken from the pool
	at       clock.Millis // number of the newest bucket
	slack    float64      // of this instance, as of the last repeat
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
// share reserve (0 to 1) of what is shared for more important ones, and counts
// it if so. members is the number of instances that share the slack.
func (b *Budgeter) Repeat(now clock.Millis, service string, members int, reserve float64, o Others) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.slack = b.options.Slack / float64(max(1, members))
	requests, repeats := w.sum(&w.requests, buckets), w.sum(&w.repeats, buckets)
	limit := b.options.Ratio*requests + w.slack
	switch {
	case o.Instances == 0:
		if repeats+1 > safety*limit*(1-reserve) {
			return false
		}
	case repeats+1 > ownShare*limit:
		pool := limit + b.options.Ratio*o.Requests + w.slack*float64(o.Instances)
		left := poolShare*pool*(1-reserve) - o.Borrowed - max(0, repeats-ownShare*limit)
		unheard := int(o.Age/(b.options.Window/buckets)) + 2
		if w.sum(&w.borrowed, unheard)+1 > left/float64(2*(o.Instances+1)) {
			return false
		}
		w.borrowed[w.at%buckets]++
	}
	w.repeats[w.at%buckets]++
	return true
}

// Counts returns the requests of each service in the window, and the repeats
// beyond this instance's own part.
func (b *Budgeter) Counts(now clock.Millis, each func(service string, requests, borrowed float64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		w := b.window(now, service)
		requests, repeats := w.sum(&w.requests, buckets), w.sum(&w.repeats, buckets)
		each(service, requests, max(0, repeats-ownShare*(b.options.Ratio*requests+w.slack)))
	}
}

// Return gives back a repeat that was counted and then not sent.
func (b *Budgeter) Return(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if at := w.at % buckets; w.repeats[at] > 0 {
		w.repeats[at]--
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
