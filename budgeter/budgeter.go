package budgeter

import (
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// buckets divide the window, so that old counts leave in small steps.
	buckets = 20
	// safety is the part of the bound that is used; the rest covers the width
	// of a bucket and members that this instance has not heard of.
	safety = 0.85
)

// Options are the bounds on repeats of one service.
type Options struct {
	Window clock.Millis
	Ratio  float64 // repeats per request in the window
	Slack  float64 // repeats in the window besides, for the whole fleet
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
	at       clock.Millis // number of the newest bucket
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
func (b *Budgeter) Repeat(now clock.Millis, service string, members int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	var requests, repeats int
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	limit := safety * (b.options.Ratio*float64(requests) + b.options.Slack/float64(max(1, members)))
	if float64(repeats+1) > limit*(1-reserve) {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
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
		w.requests[i%buckets], w.repeats[i%buckets] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}
