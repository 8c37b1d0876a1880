package admitter

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// pool is the queue in front of one pool of endpoints.
type pool struct {
	mu      sync.Mutex
	s       *scheduler.Scheduler
	waiting map[string]chan error
	now     func() clock.Millis
	max     int
}

// enter waits until the request may start. The returned function must be called
// once when the request has ended.
func (p *pool) enter(ctx context.Context, i scheduler.Item) (leave func(succeeded bool), err error) {
	admitted := make(chan error, 1)
	if err := p.enqueue(i, admitted); err != nil {
		return nil, err
	}
	leave = func(succeeded bool) { p.leave(i.ID, succeeded) }
	select {
	case err := <-admitted:
		return leave, err
	case <-ctx.Done():
		return nil, p.abandon(i, admitted)
	}
}

func (p *pool) enqueue(i scheduler.Item, admitted chan error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) >= p.max {
		return refuser.ErrQueueFull.WithMessage("%d requests wait already", p.max)
	}
	if err := p.s.Enqueue(p.now(), i); err != nil {
		return err
	}
	p.waiting[i.ID] = admitted
	p.advance()
	return nil
}

// abandon takes a request whose caller has gone out of the queue.
func (p *pool) abandon(i scheduler.Item, admitted chan error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.s.Cancel(i.Workspace, i.ID) {
		delete(p.waiting, i.ID)
	} else if err := <-admitted; err == nil {
		p.s.Done(p.now(), i.ID, false)
		p.advance()
	}
	return refuser.ErrDeadline.WithMessage("the caller gave up while the request waited")
}

func (p *pool) leave(id string, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s.Done(p.now(), id, succeeded)
	p.advance()
}

// tick starts requests that may start now and refuses expired ones.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
}

// setSlots changes how many requests may run at once.
func (p *pool) setSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s.SetSlots(n)
	p.advance()
}

// load returns the numbers of running and waiting requests.
func (p *pool) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.s.Running(), p.s.Waiting()
}

func (p *pool) advance() {
	for {
		next, expired, ok := p.s.Next(p.now())
		for _, e := range expired {
			p.answer(e.ID, refuser.ErrDeadline.WithMessage("the request could not start in time"))
		}
		if !ok {
			return
		}
		p.answer(next.ID, nil)
	}
}

func (p *pool) answer(id string, err error) {
	if c, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		c <- err
	}
}

func (p *pool) setWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s.SetWeights(weights)
}
