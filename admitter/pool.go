package admitter

import (
	"context"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// pool is the queue of one pool of endpoints.
type pool struct {
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	waiting   map[string]chan error // receives the result of admission, by request ID
	now       func() clock.Millis
	maxQueued int // greatest number of waiting requests
}

// admit waits until the request may start. If the error is nil, release must be
// called once when the request has ended.
func (p *pool) admit(ctx context.Context, request scheduler.Request) (release func(succeeded bool), err error) {
	admitted := make(chan error, 1)
	if err := p.enqueue(request, admitted); err != nil {
		return nil, err
	}
	release = func(succeeded bool) { p.release(request.ID, succeeded) }
	select {
	case err := <-admitted:
		return release, err
	case <-ctx.Done():
		return nil, p.cancel(request, admitted)
	}
}

// enqueue adds a request to the queue, unless it is refused at once.
func (p *pool) enqueue(request scheduler.Request, admitted chan error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) >= p.maxQueued {
		return refuser.ErrQueueFull.WithMessage("the queue has reached its limit of %d requests", p.maxQueued)
	}
	if err := p.scheduler.Enqueue(p.now(), request); err != nil {
		return err
	}
	p.waiting[request.ID] = admitted
	p.startRequests()
	return nil
}

// cancel removes a request whose context has ended from the queue, or frees its
// slot if it was admitted at the same time. It returns the refusal for the caller.
func (p *pool) cancel(request scheduler.Request, admitted chan error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler.Cancel(request.Workspace, request.ID) {
		delete(p.waiting, request.ID)
	} else if err := <-admitted; err == nil {
		p.scheduler.Done(p.now(), request.ID, false)
		p.startRequests()
	}
	return refuser.ErrDeadline.WithMessage("the caller left or the deadline passed while the request waited")
}

// release frees the slot of a request that has ended.
func (p *pool) release(id string, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Done(p.now(), id, succeeded)
	p.startRequests()
}

// tick starts the requests that may start now and refuses expired ones.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startRequests()
}

// setSlots sets the greatest number of running requests.
func (p *pool) setSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetSlots(n)
	p.startRequests()
}

// load returns the numbers of running and waiting requests.
func (p *pool) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Running(), p.scheduler.Waiting()
}

// startRequests starts requests while slots are free and refuses expired ones.
// The caller holds p.mu.
func (p *pool) startRequests() {
	for {
		next, expired, ok := p.scheduler.Next(p.now())
		for _, e := range expired {
			p.reply(e.ID, refuser.ErrDeadline.WithMessage("the request could not start in time for its deadline"))
		}
		if !ok {
			return
		}
		p.reply(next.ID, nil)
	}
}

// reply passes the result of admission to the goroutine that waits for it.
func (p *pool) reply(id string, err error) {
	if reply, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		reply <- err
	}
}

// setWeights sets the relative shares of the workspaces.
func (p *pool) setWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetWeights(weights)
}
