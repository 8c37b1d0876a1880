package durationestimator

import (
	"math"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	meanGain      = 1.0 / 8 // weight of a new duration in the mean
	deviationGain = 1.0 / 4 // weight of a new deviation in the mean deviation
	// deviations is the number of mean deviations above the mean up to which a duration is
	// expected: 95% of normally distributed ones are shorter.
	deviations = 2
	// maxAge is the time after the last duration of a kind at which its estimate expires.
	maxAge = 5 * clock.Minute
)

// estimate is the state of one kind of task, in ms.
type estimate struct {
	mean      float64
	deviation float64
	at        clock.Millis // of the last duration
}

// Estimator holds the estimates by kind of task. It is safe for concurrent use. Use New to
// create one.
type Estimator struct {
	mu    sync.Mutex
	kinds map[string]*estimate
}

// New returns an Estimator without estimates.
func New() *Estimator { return &Estimator{kinds: make(map[string]*estimate)} }

// Record adds the duration of a task that has ended now. Negative ones are ignored.
func (e *Estimator) Record(now clock.Millis, kind string, took clock.Millis) {
	if took < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kinds[kind]
	if k == nil {
		e.kinds[kind] = &estimate{mean: float64(took), deviation: float64(took) / 2, at: now}
		return
	}
	difference := float64(took) - k.mean
	k.deviation += deviationGain * (math.Abs(difference) - k.deviation)
	k.mean += meanGain * difference
	k.at = now
}

// Upper returns a duration that few tasks of the kind exceed, or 0 if none has ended within
// maxAge.
func (e *Estimator) Upper(now clock.Millis, kind string) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kinds[kind]
	if k == nil || now-k.at > maxAge {
		return 0
	}
	return clock.Millis(k.mean + deviations*k.deviation)
}

// Sweep removes the estimates that have expired.
func (e *Estimator) Sweep(now clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for kind, k := range e.kinds {
		if now-k.at > maxAge {
			delete(e.kinds, kind)
		}
	}
}
