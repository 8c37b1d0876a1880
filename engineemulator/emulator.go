package engineemulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// maxResumableAttempts is the number of latest attempts that can be resumed.
const maxResumableAttempts = 1024

// errCut makes the HTTP handler cut the connection.
var errCut = errors.New("engineemulator: connection cut")

// arrival is one received generate call.
type arrival struct {
	at      clock.Millis
	version string
}

// attempt is a queued or running attempt.
type attempt struct {
	request streamer.Request
	faults  Faults
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{} // closed when the attempt joins the batch
	cached  int           // leading bytes of the prompt that were in the prefix cache
	cold    bool          // admitted in the current cold period
}

// Emulator emulates one engine. It is safe for concurrent use.
type Emulator struct {
	mu                 sync.Mutex
	o                  Options
	faults             Faults
	random             *rand.Rand
	running            map[*attempt]bool
	queue              []*attempt
	attempts           map[string]streamer.Request // resumable attempts by attempt id
	attemptIDs         []string                    // keys of attempts, oldest first
	cache              prefixCache
	versions           map[string]clock.Millis // instant from which each version is ready
	reports            []engineclient.Load     // oldest first
	restarts           int
	warm               bool
	completedSinceCold int    // attempts completed since the engine last became cold
	role               string // set by the command set_role
	fencingNumber      uint64 // highest fencing number of the executed commands

	arrivals      []arrival
	maxColdLoad   int
	refusedCold   int
	maxRunning    int
	completed     int
	staleCommands int
}

// New returns an engine without faults.
func New(o Options) *Emulator {
	o = o.withDefaults()
	e := &Emulator{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 0)), warm: o.Warm,
		running: map[*attempt]bool{}, attempts: map[string]streamer.Request{},
		cache: prefixCache{capacity: o.CacheEntries}, versions: map[string]clock.Millis{},
	}
	for _, v := range o.Versions {
		e.versions[v] = 0
	}
	e.recordLoad()
	return e
}

// SetFaults replaces the injected failures. Down cuts the running and queued
// streams.
func (e *Emulator) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Down {
		e.cutAll()
	}
}

// Faults returns the injected failures, with MaxStreams reduced by the number of
// streams that they have affected.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// MakeCold makes the engine cold. Only the load report shows it; the restart id
// stays.
func (e *Emulator) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.becomeCold()
	e.recordLoad()
}

// becomeCold starts a cold period. Attempts admitted before do not count towards
// MaxColdLoad. The mutex must be held.
func (e *Emulator) becomeCold() {
	e.warm, e.completedSinceCold = false, 0
	for a := range e.running {
		a.cold = false
	}
	for _, a := range e.queue {
		a.cold = false
	}
}

// Restart emulates a restart of the process: it cuts all streams, clears the
// cache and the resumable attempts and makes the engine cold under a new restart
// id.
func (e *Emulator) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAll()
	e.restarts++
	e.becomeCold()
	e.attempts, e.attemptIDs = map[string]streamer.Request{}, nil
	e.cache.clear()
	e.recordLoad()
}

// MaxColdLoad returns the maximum number of concurrent attempts in a cold period. It
// counts only those that arrived in that period, including a refused one.
func (e *Emulator) MaxColdLoad() int { return e.count(&e.maxColdLoad) }

// RefusedCold returns the number of attempts that the engine refused, or cut,
// because it was cold and at Options.ColdLimit.
func (e *Emulator) RefusedCold() int { return e.count(&e.refusedCold) }

// MaxRunning returns the maximum number of concurrently running attempts.
func (e *Emulator) MaxRunning() int { return e.count(&e.maxRunning) }

// Completed returns the number of attempts that were streamed to the end marker.
func (e *Emulator) Completed() int { return e.count(&e.completed) }

// StaleCommands returns the number of commands that ran with an outdated fencing
// number.
func (e *Emulator) StaleCommands() int { return e.count(&e.staleCommands) }

func (e *Emulator) count(n *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *n
}

// ReceivedCount returns the number of generate calls for version that arrived after
// the given instant, including refused ones; an empty version stands for all.
// Resumes are not counted.
func (e *Emulator) ReceivedCount(version string, after clock.Millis) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.arrivals {
		if a.at > after && (version == "" || a.version == version) {
			n++
		}
	}
	return n
}

// cutAll cuts all running and queued streams. The mutex must be held.
func (e *Emulator) cutAll() {
	for a := range e.running {
		a.cancel()
	}
	for _, a := range e.queue {
		a.cancel()
	}
}

// recordLoad records the current load, which is reported after Options.LoadDelay.
// The mutex must be held.
func (e *Emulator) recordLoad() {
	now := e.o.Now()
	e.recordLoadedVersions(now)
	l := engineclient.Load{
		AsOf: now, Running: len(e.running), Queued: len(e.queue), Warm: e.warm,
		RestartID: fmt.Sprintf("%s/%d", e.o.ID, e.restarts), Role: e.role, Versions: e.loaded(now),
	}
	if !e.o.IgnoreFencing {
		l.FencingNumber = e.fencingNumber
	}
	e.reports = append(e.reports, l)
	e.visibleReport(now)
}

// recordLoadedVersions adds a report if a version has become ready since the last
// report. The mutex must be held.
func (e *Emulator) recordLoadedVersions(now clock.Millis) {
	if len(e.reports) == 0 {
		return
	}
	last := e.reports[len(e.reports)-1]
	at := last.AsOf
	for _, ready := range e.versions {
		if ready <= now {
			at = max(at, ready)
		}
	}
	if at > last.AsOf {
		last.AsOf, last.Versions = at, e.loaded(at)
		e.reports = append(e.reports, last)
	}
}

// visibleReport returns the latest report that is at least Options.LoadDelay old and
// discards the older ones. The mutex must be held.
func (e *Emulator) visibleReport(now clock.Millis) engineclient.Load {
	e.recordLoadedVersions(now)
	for len(e.reports) > 1 && e.reports[1].AsOf+e.o.LoadDelay <= now {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

// loaded returns the keys of the versions that are ready, sorted.
func (e *Emulator) loaded(now clock.Millis) []string {
	found := []string{}
	for v, ready := range e.versions {
		if ready <= now {
			found = append(found, v)
		}
	}
	sort.Strings(found)
	return found
}

// isLoaded reports whether version is ready. The mutex must be held.
func (e *Emulator) isLoaded(version string) bool {
	ready, ok := e.versions[version]
	return ok && ready <= e.o.Now()
}

// refusal returns a response which states that the request was not executed.
func refusal(status int, reason string) error {
	return &exchanger.StatusError{Status: status, Reason: reason, Execution: refuser.NotExecuted}
}

// admit queues an attempt and starts it if the batch has room. The error is a
// refusal, or errCut if the connection must be cut.
func (e *Emulator) admit(ctx context.Context, q streamer.Request, resumed bool) (*attempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Down {
		return nil, errCut
	}
	if !resumed {
		e.arrivals = append(e.arrivals, arrival{e.o.Now(), q.Version})
	}
	if e.random.Float64() < e.faults.ErrorRate {
		return nil, &exchanger.StatusError{Status: http.StatusInternalServerError, Reason: "failed"}
	}
	if err := e.checkAdmission(q); err != nil {
		return nil, err
	}
	a := &attempt{request: q, faults: e.useFaults(), ready: make(chan struct{}), cold: !e.warm}
	a.ctx, a.cancel = context.WithCancel(ctx)
	e.recordAttempt(q)
	e.queue = append(e.queue, a)
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].request.Priority > e.queue[j].request.Priority })
	e.startNext()
	return a, nil
}

// checkAdmission refuses an attempt if its version is not loaded or the engine is
// at a limit. The mutex must be held.
func (e *Emulator) checkAdmission(q streamer.Request) error {
	if !e.isLoaded(q.Version) {
		return refusal(http.StatusNotFound, engineclient.ReasonNotLoaded)
	}
	active := len(e.running) + len(e.queue)
	if !e.warm {
		e.maxColdLoad = max(e.maxColdLoad, e.coldAttempts()+1)
	}
	if !e.warm && active >= e.o.ColdLimit {
		e.refusedCold++
		if e.o.CutAboveColdLimit {
			e.cutAll()
			return errCut
		}
		return refusal(http.StatusServiceUnavailable, engineclient.ReasonCold)
	}
	if active >= e.o.MaxBatch+e.o.MaxQueue {
		return refusal(http.StatusTooManyRequests, engineclient.ReasonFull)
	}
	return nil
}

// coldAttempts returns the number of running and queued attempts that were
// admitted in the current cold period. The mutex must be held.
func (e *Emulator) coldAttempts() int {
	n := 0
	for a := range e.running {
		if a.cold {
			n++
		}
	}
	for _, a := range e.queue {
		if a.cold {
			n++
		}
	}
	return n
}

// useFaults returns the faults of a new stream and counts the stream towards
// MaxStreams. The mutex must be held.
func (e *Emulator) useFaults() Faults {
	f := e.faults
	if f.MaxStreams == 1 {
		e.faults = Faults{}
	}
	if f.MaxStreams > 1 {
		e.faults.MaxStreams--
	}
	return f
}

// recordAttempt stores the request for a later resume and discards the oldest one
// above maxResumableAttempts. The mutex must be held.
func (e *Emulator) recordAttempt(q streamer.Request) {
	if _, ok := e.attempts[q.AttemptID]; !ok {
		e.attemptIDs = append(e.attemptIDs, q.AttemptID)
	}
	e.attempts[q.AttemptID] = q
	if len(e.attemptIDs) > maxResumableAttempts {
		delete(e.attempts, e.attemptIDs[0])
		e.attemptIDs = e.attemptIDs[1:]
	}
}

// startNext moves queued attempts into the batch while it has room and records the
// load. The mutex must be held.
func (e *Emulator) startNext() {
	for len(e.queue) > 0 && len(e.running) < e.o.MaxBatch {
		a := e.queue[0]
		e.queue = e.queue[1:]
		e.running[a] = true
		a.cached = e.cache.access(a.request.Prompt, e.o.Now())
		close(a.ready)
	}
	e.maxRunning = max(e.maxRunning, len(e.running))
	e.recordLoad()
}

// release removes the attempt from the batch or the queue and starts the next
// one. complete tells whether it was streamed to the end marker.
func (e *Emulator) release(a *attempt, complete bool) {
	a.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, a)
	for i, q := range e.queue {
		if q == a {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			break
		}
	}
	if complete {
		e.completed++
		e.completedSinceCold++
		e.warm = e.warm || e.completedSinceCold >= e.o.WarmAfter
	}
	e.startNext()
}
