package router

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// Gate admits requests in the scheduler's order. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	s       *scheduler.Scheduler
	waiting map[string]chan error
	now     func() clock.Millis
	max     int
}

// NewGate returns a gate around s that lets at most maxQueued requests wait.
func NewGate(s *scheduler.Scheduler, maxQueued int, now func() clock.Millis) *Gate {
	return &Gate{s: s, waiting: map[string]chan error{}, now: now, max: maxQueued}
}

// Enter waits until the request may start. The returned function must be called
// once when the request has ended.
func (g *Gate) Enter(ctx context.Context, i scheduler.Item) (leave func(succeeded bool), err error) {
	admitted := make(chan error, 1)
	if err := g.enqueue(i, admitted); err != nil {
		return nil, err
	}
	leave = func(succeeded bool) { g.leave(i.ID, succeeded) }
	select {
	case err := <-admitted:
		return leave, err
	case <-ctx.Done():
		return nil, g.abandon(i, admitted)
	}
}

func (g *Gate) enqueue(i scheduler.Item, admitted chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) >= g.max {
		return refuser.ErrQueueFull.WithMessage("%d requests wait already", g.max)
	}
	if err := g.s.Enqueue(g.now(), i); err != nil {
		return err
	}
	g.waiting[i.ID] = admitted
	g.advance()
	return nil
}

// abandon takes a request whose caller has gone out of the queue.
func (g *Gate) abandon(i scheduler.Item, admitted chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.s.Cancel(i.Workspace, i.ID) {
		delete(g.waiting, i.ID)
	} else if err := <-admitted; err == nil {
		g.s.Done(g.now(), i.ID, false)
		g.advance()
	}
	return refuser.ErrDeadline.WithMessage("the caller gave up while the request waited")
}

func (g *Gate) leave(id string, succeeded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.Done(g.now(), id, succeeded)
	g.advance()
}

// Tick starts requests that may start now and refuses expired ones.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
}

// SetSlots changes how many requests may run at once.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.SetSlots(n)
	g.advance()
}

// Load returns the numbers of running and waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.s.Running(), g.s.Waiting()
}

func (g *Gate) advance() {
	for {
		next, expired, ok := g.s.Next(g.now())
		for _, e := range expired {
			g.answer(e.ID, refuser.ErrDeadline.WithMessage("the request could not start in time"))
		}
		if !ok {
			return
		}
		g.answer(next.ID, nil)
	}
}

func (g *Gate) answer(id string, err error) {
	if c, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		c <- err
	}
}
