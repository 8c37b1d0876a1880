package soaker

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/platform/objectemulator"
	"rosemaryarch.example/rosemaryarch/proxier"
)

const (
	// minGap and maxGap bound the time between the starts of two faults. Faults
	// overlap if it is shorter than the first one.
	minGap = 150 * clock.Millis(1)
	maxGap = 1500 * clock.Millis(1)
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 300 * clock.Millis(1)
	maxFaultTime = 4 * clock.Second
	// maxDelay is the maximum delay of a connection in each direction.
	maxDelay = 300 * clock.Millis(1)
)

// step is one scheduled fault.
type step struct {
	name     string
	duration clock.Millis
	index    int // chooses the instance or endpoint, modulo their number
	variant  int // chooses the variant of the fault
}

// fault is a kind of fault. inject injects it and returns at its end. planned
// marks an operation of the platform or its operators, which must not cut answers.
type fault struct {
	name    string
	planned bool
	inject  func(s *Soaker, ctx context.Context, x step)
}

// faults are the kinds of faults, drawn with equal probability. A kind that is
// listed twice is twice as likely.
var faults = []fault{
	{"store refuses", false, storeFault(objectemulator.Unavailable)},
	{"store silent", false, storeFault(objectemulator.Unresponsive)},
	{"store loses answers", false, storeFault(objectemulator.ResponseLost)},
	{"store forgets its history", false, func(s *Soaker, _ context.Context, _ step) { s.store.Compact() }},
	{"store path", false, (*Soaker).disturbStorePath},
	{"store refuses one instance", false, (*Soaker).refuseInstance},
	{"endpoint path", false, (*Soaker).disturbEndpointPath},
	{"endpoint path", false, (*Soaker).disturbEndpointPath},
	{"kill", false, (*Soaker).kill},
	{"kill", false, (*Soaker).kill},
	{"pause", false, (*Soaker).pause},
	{"pause", false, (*Soaker).pause},
	{"stop", true, (*Soaker).terminate},
	{"stop", true, (*Soaker).terminate},
	{"reload", true, func(s *Soaker, _ context.Context, x step) { s.instance(x).signal(syscall.SIGHUP, false) }},
	{"key taken away", true, func(s *Soaker, _ context.Context, _ step) { s.recordError(s.operator.rotate()) }},
	{"endpoint leaves", true, (*Soaker).replaceEndpoint},
	{"endpoint crashes", false, (*Soaker).crashEndpoint},
	{"endpoint flaps", false, (*Soaker).flapEndpoint},
	{"endpoint spoils answers", false, (*Soaker).spoilAnswers},
	{"endpoint spoils answers", false, (*Soaker).spoilAnswers},
	{"power lost after configuration", false, (*Soaker).killAllAfterConfig},
}

func (s *Soaker) instance(x step) *instance { return s.instances[x.index%len(s.instances)] }
func (s *Soaker) endpoint(x step) *endpoint { return s.endpoints[x.index%len(s.endpoints)] }

// injectFaults draws faults from the seed for Options.FaultPhase, starts each after a
// random gap and waits for the end of all. If a fault that ends or pauses the same
// process or endpoint is in progress, the new one has no effect. Prompts that crash
// endpoints and a store that comes back from an older copy are drawn separately and
// leave the other faults of a seed as they are.
func (s *Soaker) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	if length := drawPromptTime(s.options); length > 0 {
		running.Go(func() { s.crashByPrompts(ctx, length) })
	}
	if times := restoreTimes(s.options); len(times) > 0 {
		running.Go(func() { s.restoreStore(ctx, times) })
	}
	for left := s.options.FaultPhase; left > 0 && !s.options.PromptsOnly && ctx.Err() == nil; {
		gap := minGap + clock.Millis(s.rand.Int64N(int64(maxGap-minGap)))
		f := faults[s.rand.IntN(len(faults))]
		x := step{
			name: f.name, duration: minFaultTime + clock.Millis(s.rand.Int64N(int64(maxFaultTime-minFaultTime))),
			index: s.rand.IntN(1 << 20), variant: s.rand.IntN(1 << 20),
		}
		left -= gap
		sleep(ctx, gap)
		running.Go(func() {
			end := s.checker.recordFault(faultPeriod{planned: f.planned})
			defer end()
			s.logFault("%s (%d), %d ms", x.name, x.index%len(s.instances), x.duration)
			f.inject(s, ctx, x)
		})
	}
	running.Wait()
	s.store.SetFault(objectemulator.NoFault)
}

// recordError records an error of the soak test itself, which invalidates the run.
func (s *Soaker) recordError(err error) {
	if err == nil {
		return
	}
	s.logFault("soak: %v", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownErrors = append(s.ownErrors, fmt.Sprintf("SOAK: %v", err))
}

// storeFault returns a function that applies f to the store for the duration of a
// step.
func storeFault(f objectemulator.Fault) func(*Soaker, context.Context, step) {
	return func(s *Soaker, ctx context.Context, x step) {
		s.store.SetFault(f)
		sleep(ctx, x.duration)
		s.store.SetFault(objectemulator.NoFault)
	}
}

// disturbProxy delays or blocks the connections of a proxy in one or both directions
// for the duration of x, and resets them at the end. Half of the variants also
// reset them at the start, and some do nothing else.
func (s *Soaker) disturbProxy(ctx context.Context, p *proxier.Proxier, x step) {
	variants := []proxier.Fault{
		{Delay: 1 + clock.Millis(x.variant)%maxDelay}, {BlockUpstream: true}, {BlockDownstream: true},
		{BlockUpstream: true, BlockDownstream: true}, {},
	}
	p.SetFault(variants[x.variant%len(variants)])
	if x.variant%2 == 0 {
		p.Reset()
	}
	sleep(ctx, x.duration)
	p.SetFault(proxier.Fault{})
	p.Reset()
}

func (s *Soaker) disturbEndpointPath(ctx context.Context, x step) {
	s.disturbProxy(ctx, s.endpoint(x).proxy.Load(), x)
}

// disturbStorePath disturbs the connections of an instance to the store.
func (s *Soaker) disturbStorePath(ctx context.Context, x step) {
	defer s.instance(x).recordFault()()
	s.disturbProxy(ctx, s.instance(x).store, x)
}

// refuseInstance makes the store refuse one instance for the duration of x while it
// serves the others.
func (s *Soaker) refuseInstance(ctx context.Context, x step) {
	defer s.instance(x).recordFault()()
	statuses := []string{"503 Service Unavailable", "429 Too Many Requests"}
	p := s.instance(x).store
	p.SetFault(proxier.Fault{
		Answer: "HTTP/1.1 " + statuses[x.variant%len(statuses)] + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	})
	p.Reset()
	sleep(ctx, x.duration)
	p.SetFault(proxier.Fault{})
}

// exclusively runs f unless another fault that ends or pauses the same instance is
// in progress.
func (n *instance) exclusively(f func()) {
	if !n.faultMu.TryLock() {
		return
	}
	defer n.faultMu.Unlock()
	defer n.recordFault()()
	f()
}

// recordFault records, beside the period of the scheduled fault, that it ends,
// suspends or cuts off this instance.
func (n *instance) recordFault() (end func()) {
	return n.soak.checker.recordFault(faultPeriod{planned: true, instance: n.front})
}

// kill kills an instance and restarts it after the duration of x.
func (s *Soaker) kill(ctx context.Context, x step) {
	n := s.instance(x)
	n.exclusively(func() {
		n.signal(syscall.SIGKILL, true)
		n.wait(time.Second)
		sleep(ctx, x.duration)
		s.recordError(n.start())
	})
}

// pause suspends an instance for the duration of x.
func (s *Soaker) pause(ctx context.Context, x step) {
	n := s.instance(x)
	n.exclusively(func() {
		n.signal(syscall.SIGSTOP, false)
		sleep(ctx, x.duration)
		n.signal(syscall.SIGCONT, false)
	})
}

// stopSlack is added to the grace period because the processes of the whole run
// compete for one machine.
const stopSlack = 500 * time.Millisecond

// terminate stops an instance with SIGTERM, checks its grace period and restarts it.
func (s *Soaker) terminate(_ context.Context, x step) {
	n := s.instance(x)
	n.exclusively(func() {
		n.signal(syscall.SIGTERM, true)
		if !n.wait(graceS*time.Second + stopSlack) {
			n.recordFailure(fmt.Sprintf("GRACE: %s still runs after the grace period", n.name))
			n.signal(syscall.SIGKILL, true)
			n.wait(time.Second)
		}
		s.recordError(n.start())
	})
}

// replaceEndpoint replaces an endpoint as the platform does: the endpoint publishes
// that it leaves, serves on for drainTime and the duration of x, and ends; then
// another one starts at its address.
func (s *Soaker) replaceEndpoint(ctx context.Context, x step) {
	e := s.endpoint(x)
	if !e.faultMu.TryLock() {
		return
	}
	defer e.faultMu.Unlock()
	s.recordError(e.drain())
	sleep(ctx, drainTime+x.duration)
	e.remove()
	e.crash()
	sleep(ctx, minFaultTime)
	s.recordError(e.start(false))
}

// crashEndpoint ends an endpoint without notice and restarts it with the same id or
// a new one.
func (s *Soaker) crashEndpoint(ctx context.Context, x step) {
	e := s.endpoint(x)
	if !e.faultMu.TryLock() {
		return
	}
	defer e.faultMu.Unlock()
	e.crash()
	sleep(ctx, x.duration)
	same := x.variant%2 == 0
	if !same {
		e.remove()
	}
	s.recordError(e.start(same))
}

// flapTime is half of the period of an endpoint that goes down and up.
const flapTime = 300 * clock.Millis(1)

// flapEndpoint ends an endpoint and restarts it with the same id again and again
// for the duration of x.
func (s *Soaker) flapEndpoint(ctx context.Context, x step) {
	e := s.endpoint(x)
	if !e.faultMu.TryLock() {
		return
	}
	defer e.faultMu.Unlock()
	for left := x.duration; left > 0 && ctx.Err() == nil; left -= 2 * flapTime {
		e.crash()
		sleep(ctx, flapTime)
		s.recordError(e.start(true))
		sleep(ctx, flapTime)
	}
}

// spoilAnswers makes an endpoint spoil some of its answers for the duration of x.
func (s *Soaker) spoilAnswers(ctx context.Context, x step) {
	e := s.endpoint(x)
	e.spoil.Store(int64(1 + x.variant%len(spoilers)))
	sleep(ctx, x.duration)
	e.spoil.Store(0)
}

// killAllAfterConfig kills all instances at the moment at which the store
// acknowledges a configuration, and restarts them after the duration of x.
func (s *Soaker) killAllAfterConfig(ctx context.Context, x step) {
	s.recordError(s.operator.rotate())
	var killed sync.WaitGroup
	for _, n := range s.instances {
		killed.Go(func() {
			n.exclusively(func() {
				n.signal(syscall.SIGKILL, true)
				n.wait(time.Second)
				sleep(ctx, x.duration)
				s.recordError(n.start())
			})
		})
	}
	killed.Wait()
}
