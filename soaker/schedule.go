package soaker

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/platform/storekeeper"
	"rosemaryarch.example/rosemaryarch/proxier"
)

const (
	// leastGap and mostGap bound the time between the starts of two faults;
	// the shorter ones overlap.
	leastGap = 150 * clock.Millis(1)
	mostGap  = 1500 * clock.Millis(1)
	// leastFault and mostFault bound how long a fault lasts.
	leastFault = 300 * clock.Millis(1)
	mostFault  = 4 * clock.Second
	// slowest is the longest delay of a slow connection, in each direction.
	slowest = 300 * clock.Millis(1)
)

// step is one fault of a schedule.
type step struct {
	name  string
	lasts clock.Millis
	index int // of the instance or endpoint
	roll  int // decides variants
}

// fault is a kind of trouble. act plays it until its end.
type fault struct {
	name    string
	planned bool
	act     func(s *Soaker, ctx context.Context, x step)
}

// faults are the kinds with equal chances.
var faults = []fault{
	{"store refuses", false, storeFault(storekeeper.Busy)},
	{"store silent", false, storeFault(storekeeper.Silent)},
	{"store loses answers", false, storeFault(storekeeper.Lost)},
	{"store forgets its history", false, func(s *Soaker, _ context.Context, _ step) { s.store.Compact() }},
	{"store path", false, func(s *Soaker, ctx context.Context, x step) { s.breakPath(ctx, s.instance(x).store, x) }},
	{"endpoint path", false, func(s *Soaker, ctx context.Context, x step) { s.breakPath(ctx, s.endpoint(x).proxy, x) }},
	{"endpoint path", false, func(s *Soaker, ctx context.Context, x step) { s.breakPath(ctx, s.endpoint(x).proxy, x) }},
	{"kill", false, (*Soaker).kill},
	{"kill", false, (*Soaker).kill},
	{"pause", false, (*Soaker).pause},
	{"pause", false, (*Soaker).pause},
	{"stop", true, (*Soaker).terminate},
	{"stop", true, (*Soaker).terminate},
	{"reload", true, func(s *Soaker, _ context.Context, x step) { s.instance(x).signal(syscall.SIGHUP, false) }},
	{"key taken away", true, func(s *Soaker, _ context.Context, _ step) { s.report(s.config.rotate()) }},
	{"endpoint leaves", true, (*Soaker).replaceEndpoint},
	{"endpoint crashes", false, (*Soaker).crashEndpoint},
}

func (s *Soaker) instance(x step) *instance { return s.instances[x.index%len(s.instances)] }
func (s *Soaker) endpoint(x step) *endpoint { return s.endpoints[x.index%len(s.endpoints)] }

// play starts the faults of the seed one after the other and waits for their
// ends. Of two faults that end or pause the same process or endpoint at the same
// time, the second is left out.
func (s *Soaker) play(ctx context.Context) {
	var running sync.WaitGroup
	for left := s.options.Faults; left > 0 && ctx.Err() == nil; {
		gap := leastGap + clock.Millis(s.rand.Int64N(int64(mostGap-leastGap)))
		f := faults[s.rand.IntN(len(faults))]
		x := step{
			name: f.name, lasts: leastFault + clock.Millis(s.rand.Int64N(int64(mostFault-leastFault))),
			index: s.rand.IntN(1 << 20), roll: s.rand.IntN(1 << 20),
		}
		left -= gap
		sleep(ctx, gap)
		running.Go(func() {
			end := s.checker.fault(f.planned)
			defer end()
			s.note("%s (%d), %d ms", x.name, x.index%len(s.instances), x.lasts)
			f.act(s, ctx, x)
		})
	}
	running.Wait()
	s.store.SetFault(storekeeper.None)
}

// report notes an error of the soak itself, which spoils the run.
func (s *Soaker) report(err error) {
	if err == nil {
		return
	}
	s.note("soak: %v", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf("SOAK: %v", err))
}

func storeFault(f storekeeper.Fault) func(*Soaker, context.Context, step) {
	return func(s *Soaker, ctx context.Context, x step) {
		s.store.SetFault(f)
		sleep(ctx, x.lasts)
		s.store.SetFault(storekeeper.None)
	}
}

// breakPath delays, cuts, silences or resets the connections of a proxy.
func (s *Soaker) breakPath(ctx context.Context, p *proxier.Proxier, x step) {
	variants := []proxier.Fault{
		{Delay: 1 + clock.Millis(x.roll)%slowest}, {CutUp: true}, {CutDown: true}, {CutUp: true, CutDown: true}, {},
	}
	p.Set(variants[x.roll%len(variants)])
	if x.roll%2 == 0 {
		p.Reset()
	}
	sleep(ctx, x.lasts)
	p.Set(proxier.Fault{})
	p.Reset()
}

// one runs f unless another fault ends or pauses the same instance.
func (n *instance) one(f func()) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	f()
}

func (s *Soaker) kill(ctx context.Context, x step) {
	n := s.instance(x)
	n.one(func() {
		n.signal(syscall.SIGKILL, true)
		n.wait(time.Second)
		sleep(ctx, x.lasts)
		s.report(n.start())
	})
}

func (s *Soaker) pause(ctx context.Context, x step) {
	n := s.instance(x)
	n.one(func() {
		n.signal(syscall.SIGSTOP, false)
		sleep(ctx, x.lasts)
		n.signal(syscall.SIGCONT, false)
	})
}

// stopSlack is added to the grace period for the end of a process on a machine
// that is busy with the whole run.
const stopSlack = 500 * time.Millisecond

func (s *Soaker) terminate(_ context.Context, x step) {
	n := s.instance(x)
	n.one(func() {
		n.signal(syscall.SIGTERM, true)
		if !n.wait(graceS*time.Second + stopSlack) {
			n.fail(fmt.Sprintf("GRACE: %s runs on after the grace period", n.name))
			n.signal(syscall.SIGKILL, true)
			n.wait(time.Second)
		}
		s.report(n.start())
	})
}

// replaceEndpoint lets an endpoint leave as the platform does: it reports, goes
// on to serve, ends, and another one comes at its address.
func (s *Soaker) replaceEndpoint(ctx context.Context, x step) {
	e := s.endpoint(x)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	s.report(e.drain())
	sleep(ctx, drainTime+x.lasts)
	e.remove()
	e.crash()
	sleep(ctx, leastFault)
	s.report(e.start(false))
}

// crashEndpoint ends an endpoint without notice; it comes back under its id or
// a new one.
func (s *Soaker) crashEndpoint(ctx context.Context, x step) {
	e := s.endpoint(x)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	e.crash()
	sleep(ctx, x.lasts)
	same := x.roll%2 == 0
	if !same {
		e.remove()
	}
	s.report(e.start(same))
}
