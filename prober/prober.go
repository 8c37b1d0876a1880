package prober

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
)

// Target is one endpoint to read from.
type Target struct {
	ID      string
	Address string
}

// Options are the settings of a prober. All fields must be set.
type Options struct {
	// Engine returns the client of the engine at address.
	Engine func(address string) engineclient.Client
	// OnLoad is called with each load report.
	OnLoad func(id string, l engineclient.Load, now clock.Millis)
	// OnCacheEvents is called with the cache events since the last read, if any.
	OnCacheEvents func(id string, events []engineclient.CacheEvent, now clock.Millis)
	// Now returns the present instant; see clock.Clock.
	Now      func() clock.Millis
	Interval clock.Millis // interval between two reads of one endpoint
	Timeout  clock.Millis // limit on both reads of one endpoint together
}

// state is the state of one endpoint.
type state struct {
	busy  bool         // a read is in progress
	next  clock.Millis // instant at which the next read is due
	event uint64       // sequence number of the last cache event
}

// Prober reads load reports and cache events from endpoints. It is safe for
// concurrent use.
type Prober struct {
	options Options
	mu      sync.Mutex
	states  map[string]state // by endpoint id
	reads   sync.WaitGroup   // reads in progress
}

// New returns a prober that has read nothing yet.
func New(o Options) *Prober { return &Prober{options: o, states: map[string]state{}} }

// Tick starts the reads that are due, each in its own goroutine. It skips an
// endpoint whose last read is still in progress, and forgets endpoints that are
// not among the targets.
func (p *Prober) Tick(targets []Target, now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]state, len(targets))
	for _, t := range targets {
		s := p.states[t.ID]
		if !s.busy && now >= s.next {
			s.busy, s.next = true, now+p.options.Interval
			p.reads.Add(1)
			go p.read(t, s.event)
		}
		known[t.ID] = s
	}
	p.states = known
}

// Wait returns when no read is in progress.
func (p *Prober) Wait() { p.reads.Wait() }

// read reads the load report and the cache events after event from one endpoint.
func (p *Prober) read(t Target, event uint64) {
	defer p.reads.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.options.Timeout.Duration())
	defer cancel()
	engine := p.options.Engine(t.Address)
	if l, err := engine.Load(ctx); err == nil {
		p.options.OnLoad(t.ID, l, p.options.Now())
	}
	events, err := engine.CacheEvents(ctx, event)
	if err == nil && len(events) > 0 {
		p.options.OnCacheEvents(t.ID, events, p.options.Now())
		event = events[len(events)-1].Sequence
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[t.ID]; ok {
		s.busy, s.event = false, event
		p.states[t.ID] = s
	}
}
