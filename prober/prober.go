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
	Engine  func(address string) engineclient.Client
	Report  func(id string, l engineclient.Load, now clock.Millis)
	Cached  func(id string, events []engineclient.CacheEvent, now clock.Millis)
	Now     func() clock.Millis
	Every   clock.Millis // between two reads of one endpoint
	Timeout clock.Millis // of one read
}

type state struct {
	busy  bool
	next  clock.Millis
	event uint64 // last cache event seen
}

// Prober reads from endpoints. It is safe for concurrent use.
type Prober struct {
	o      Options
	mu     sync.Mutex
	states map[string]state
	open   sync.WaitGroup
}

// New returns a prober that has read nothing yet.
func New(o Options) *Prober { return &Prober{o: o, states: map[string]state{}} }

// Tick starts the reads that are due. An endpoint whose last read is still open
// is passed over.
func (p *Prober) Tick(targets []Target, now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]state, len(targets))
	for _, t := range targets {
		s := p.states[t.ID]
		if !s.busy && now >= s.next {
			s.busy, s.next = true, now+p.o.Every
			p.open.Add(1)
			go p.read(t, s.event)
		}
		known[t.ID] = s
	}
	p.states = known
}

// Wait returns when no read is open.
func (p *Prober) Wait() { p.open.Wait() }

func (p *Prober) read(t Target, event uint64) {
	defer p.open.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.o.Timeout.Duration())
	defer cancel()
	engine := p.o.Engine(t.Address)
	if l, err := engine.Load(ctx); err == nil {
		p.o.Report(t.ID, l, p.o.Now())
	}
	events, err := engine.CacheEvents(ctx, event)
	if err == nil && len(events) > 0 {
		p.o.Cached(t.ID, events, p.o.Now())
		event = events[len(events)-1].Sequence
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[t.ID]; ok {
		s.busy, s.event = false, event
		p.states[t.ID] = s
	}
}
