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

// keptAttempts bounds the attempts that can be resumed.
const keptAttempts = 1024

// errCut ends a stream by cutting its connection.
var errCut = errors.New("engineemulator: connection cut")

// arrival is one generate call.
type arrival struct {
	at      clock.Millis
	version string
}

// work is one attempt that waits or runs.
type work struct {
	request streamer.Request
	faults  Faults
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{}
	cached  int  // bytes of the prompt found in the cache
	cold    bool // arrived while the engine was cold
}

// Emulator is one engine. It is safe for concurrent use.
type Emulator struct {
	mu       sync.Mutex
	o        Options
	faults   Faults
	random   *rand.Rand
	running  map[*work]bool
	queue    []*work
	attempts map[string]streamer.Request
	order    []string // attempt ids, oldest first
	cache    prefixCache
	versions map[string]clock.Millis // ready from this instant on
	reports  []engineclient.Load
	restarts int
	warm     bool
	finished int // since the engine became cold
	role     string
	fencing  uint64

	arrivals      []arrival
	maxCold       int
	refusedCold   int
	maxRunning    int
	completed     int
	staleCommands int
}

// New returns an engine.
func New(o Options) *Emulator {
	o = o.withDefaults()
	e := &Emulator{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 0)), warm: o.Warm,
		running: map[*work]bool{}, attempts: map[string]streamer.Request{},
		cache: prefixCache{capacity: o.CacheEntries}, versions: map[string]clock.Millis{},
	}
	for _, v := range o.Versions {
		e.versions[v] = 0
	}
	e.report()
	return e
}

// SetFaults replaces the injected failures. Down cuts the running streams.
func (e *Emulator) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Down {
		e.cutAll()
	}
}

// Faults returns the injected failures that remain.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// TurnCold makes the engine cold without any notice but its load report.
func (e *Emulator) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.becomeCold()
	e.report()
}

// becomeCold starts a cold period. The mutex is held.
func (e *Emulator) becomeCold() {
	e.warm, e.finished = false, 0
	for w := range e.running {
		w.cold = false
	}
	for _, w := range e.queue {
		w.cold = false
	}
}

// Restart cuts every stream, empties the cache, forgets the attempts and comes
// back cold under a new restart id.
func (e *Emulator) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAll()
	e.restarts++
	e.becomeCold()
	e.attempts, e.order = map[string]streamer.Request{}, nil
	e.cache.clear()
	e.report()
}

// MaxCold returns the most concurrent work that the engine saw while it was
// cold: attempts that arrived after it became cold, the refused ones included.
func (e *Emulator) MaxCold() int { return e.count(&e.maxCold) }

// RefusedCold returns the attempts that a cold engine did not take because it
// was at its limit.
func (e *Emulator) RefusedCold() int { return e.count(&e.refusedCold) }

// MaxRunning returns the most attempts that ran at once.
func (e *Emulator) MaxRunning() int { return e.count(&e.maxRunning) }

// Completed returns the attempts that were streamed to their end.
func (e *Emulator) Completed() int { return e.count(&e.completed) }

// StaleCommands returns the commands that ran under an old fencing number.
func (e *Emulator) StaleCommands() int { return e.count(&e.staleCommands) }

func (e *Emulator) count(n *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *n
}

// Received returns the generate calls that arrived after the given instant,
// refused ones included. Version limits the count to one version unless it is
// empty. Resumes are not counted.
func (e *Emulator) Received(version string, after clock.Millis) int {
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

// cutAll cuts every stream. The mutex is held.
func (e *Emulator) cutAll() {
	for w := range e.running {
		w.cancel()
	}
	for _, w := range e.queue {
		w.cancel()
	}
}

// report records the present load for later reports. The mutex is held.
func (e *Emulator) report() {
	now := e.o.Now()
	e.reportReady(now)
	l := engineclient.Load{
		AsOf: now, Running: len(e.running), Queued: len(e.queue), Warm: e.warm,
		RestartID: fmt.Sprintf("%s/%d", e.o.ID, e.restarts), Role: e.role, Versions: e.loaded(now),
	}
	if !e.o.IgnoreFencing {
		l.FencingNumber = e.fencing
	}
	e.reports = append(e.reports, l)
	e.visibleReport(now)
}

// reportReady adds the report of a version that became ready since the last
// report. The mutex is held.
func (e *Emulator) reportReady(now clock.Millis) {
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

// visibleReport drops the reports that a newer visible one replaces and returns
// the visible one. The mutex is held.
func (e *Emulator) visibleReport(now clock.Millis) engineclient.Load {
	e.reportReady(now)
	for len(e.reports) > 1 && e.reports[1].AsOf+e.o.LoadLag <= now {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

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

// isLoaded reports whether version is ready. The mutex is held.
func (e *Emulator) isLoaded(version string) bool {
	ready, ok := e.versions[version]
	return ok && ready <= e.o.Now()
}

// refusal returns an answer that promises that no work was done.
func refusal(status int, reason string) error {
	return &exchanger.StatusError{Status: status, Reason: reason, Run: refuser.RunNo}
}

// admit takes in an attempt. It returns errCut if the connection must be cut,
// or a refusal.
func (e *Emulator) admit(ctx context.Context, q streamer.Request, resumed bool) (*work, error) {
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
	if err := e.refuse(q); err != nil {
		return nil, err
	}
	w := &work{request: q, faults: e.takeFaults(), ready: make(chan struct{}), cold: !e.warm}
	w.ctx, w.cancel = context.WithCancel(ctx)
	e.keep(q)
	e.queue = append(e.queue, w)
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].request.Priority > e.queue[j].request.Priority })
	e.startNext()
	return w, nil
}

// refuse checks what the engine can take. The mutex is held.
func (e *Emulator) refuse(q streamer.Request) error {
	if !e.isLoaded(q.Version) {
		return refusal(http.StatusNotFound, engineclient.ReasonNotLoaded)
	}
	present := len(e.running) + len(e.queue)
	if !e.warm {
		e.maxCold = max(e.maxCold, e.coldWork()+1)
	}
	if !e.warm && present >= e.o.ColdLimit {
		e.refusedCold++
		if e.o.FailOverfull {
			e.cutAll()
			return errCut
		}
		return refusal(http.StatusServiceUnavailable, engineclient.ReasonCold)
	}
	if present >= e.o.MaxBatch+e.o.MaxQueue {
		return refusal(http.StatusTooManyRequests, engineclient.ReasonFull)
	}
	return nil
}

// coldWork returns the present attempts that arrived while the engine was cold.
// The mutex is held.
func (e *Emulator) coldWork() int {
	n := 0
	for w := range e.running {
		if w.cold {
			n++
		}
	}
	for _, w := range e.queue {
		if w.cold {
			n++
		}
	}
	return n
}

// takeFaults returns the faults of one stream. The mutex is held.
func (e *Emulator) takeFaults() Faults {
	f := e.faults
	if f.Times == 1 {
		e.faults = Faults{}
	}
	if f.Times > 1 {
		e.faults.Times--
	}
	return f
}

// keep remembers the attempt for resumes. The mutex is held.
func (e *Emulator) keep(q streamer.Request) {
	if _, ok := e.attempts[q.AttemptID]; !ok {
		e.order = append(e.order, q.AttemptID)
	}
	e.attempts[q.AttemptID] = q
	if len(e.order) > keptAttempts {
		delete(e.attempts, e.order[0])
		e.order = e.order[1:]
	}
}

// startNext moves waiting attempts into the batch. The mutex is held.
func (e *Emulator) startNext() {
	for len(e.queue) > 0 && len(e.running) < e.o.MaxBatch {
		w := e.queue[0]
		e.queue = e.queue[1:]
		e.running[w] = true
		w.cached = e.cache.use(w.request.Prompt, e.o.Now())
		close(w.ready)
	}
	e.maxRunning = max(e.maxRunning, len(e.running))
	e.report()
}

// release removes the attempt; whole tells that it reached its end.
func (e *Emulator) release(w *work, whole bool) {
	w.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, w)
	for i, q := range e.queue {
		if q == w {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			break
		}
	}
	if whole {
		e.completed++
		e.finished++
		e.warm = e.warm || e.finished >= e.o.WarmAfter
	}
	e.startNext()
}
