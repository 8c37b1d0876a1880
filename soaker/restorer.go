package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/platform/objectemulator"
)

const (
	// minCopyAge and maxCopyAge bound the age of the copy from which the store comes
	// back, and maxRestoreOutage the time for which it is away before.
	minCopyAge       = clock.Second
	maxCopyAge       = 5 * clock.Second
	maxRestoreOutage = 2 * clock.Second
	// lostRotations is the number of configurations that the store loses.
	lostRotations = 3
	// maxRewriteTime is the time within which the operator and the endpoints write
	// their objects again.
	maxRewriteTime = 1500 * clock.Millis(1)
	// silentEntryTime is the time after which the store removes entries whose endpoints
	// do not report.
	silentEntryTime = 3600 * clock.Millis(1)
)

// restoreTimes draws the times at which copies of the store are taken from which it
// comes back; none for half of the seeds.
func restoreTimes(o Options) []clock.Millis {
	r := rand.New(rand.NewPCG(o.Seed, 3)) // streams 1 and 2 draw the other faults
	if r.IntN(2) == 0 || o.PromptsOnly {
		return nil
	}
	var times []clock.Millis
	const span = maxCopyAge + maxRestoreOutage + silentEntryTime
	gap := func() clock.Millis { return clock.Millis(r.Int64N(int64(span))) }
	for at := gap(); at+span <= o.FaultPhase; at += span + gap() {
		times = append(times, at)
	}
	return times
}

// restoreStore makes the store come back from older copies at the given times.
func (s *Soaker) restoreStore(ctx context.Context, times []clock.Millis) {
	r := rand.New(rand.NewPCG(s.options.Seed, 4))
	begin := s.clock.Now()
	for _, at := range times {
		sleep(ctx, begin+at-s.clock.Now())
		if ctx.Err() == nil {
			s.restoreOnce(ctx, r)
		}
	}
}

// restoreOnce takes a copy of the store, takes the store away after some changes of
// the configuration and brings it back with the copy. The operator and the endpoints write their objects
// again; entries of endpoints that have ended since stay until they are silent.
func (s *Soaker) restoreOnce(ctx context.Context, r *rand.Rand) {
	old := s.store.Copy()
	age := minCopyAge + clock.Millis(r.Int64N(int64(maxCopyAge-minCopyAge)))
	for range lostRotations {
		sleep(ctx, age/lostRotations)
		s.recordError(s.operator.rotate())
	}
	end := s.checker.recordFault(faultPeriod{})
	defer end()
	outage := minFaultTime + clock.Millis(r.Int64N(int64(maxRestoreOutage-minFaultTime)))
	s.logFault("store comes back from a copy, away for %d ms", outage)
	s.store.SetFault(objectemulator.Unavailable)
	sleep(ctx, outage)
	atOnce := r.IntN(2) == 0
	s.recordError(s.store.Restore(old, func(put func(kind, name string, spec any)) {
		if text := s.operator.written(); atOnce && text != nil {
			put(platform.ConfigKind, platform.ConfigName, text)
		}
	}))
	if atOnce {
		// Its revision is one that the store had given out before.
		s.recordError(s.operator.rotate())
	}
	s.store.SetFault(objectemulator.NoFault)
	var rewritten sync.WaitGroup
	if !atOnce {
		wait := clock.Millis(r.Int64N(int64(maxRewriteTime)))
		rewritten.Go(func() {
			sleep(ctx, wait)
			s.recordError(s.operator.rewrite())
		})
	}
	for _, e := range s.endpoints {
		wait := clock.Millis(r.Int64N(int64(maxRewriteTime)))
		rewritten.Go(func() {
			sleep(ctx, wait)
			s.recordError(e.rewrite())
		})
	}
	rewritten.Wait()
	sleep(ctx, silentEntryTime-maxRewriteTime)
	for _, name := range s.store.Names(platform.EndpointKind) {
		if !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.lists(name) }) {
			s.store.Delete(platform.EndpointKind, name)
		}
	}
}

// written returns the text of the configuration that was written last.
func (o *operator) written() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text
}

// rewrite writes the last configuration again.
func (o *operator) rewrite() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.soak.store.Put(platform.ConfigKind, platform.ConfigName, o.text)
}

// rewrite writes the entry of the endpoint again if it is listed.
func (e *endpoint) rewrite() error {
	e.mu.Lock()
	listed := e.listed
	e.mu.Unlock()
	if !listed {
		return nil
	}
	return e.publish()
}

// lists reports whether the entry with a name is that of the endpoint.
func (e *endpoint) lists(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed && e.id == name
}
