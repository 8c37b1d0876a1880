package surger

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options are the settings of a surger.
type Options struct {
	// Short and Long are the times in ms over which the present and the usual
	// rate of a workspace are averaged.
	Short, Long clock.Millis
	// Growth is the ratio of the two rates from which a workspace surges, beyond
	// the growth of all workspaces together.
	Growth float64
	// Share is the part of all present work that it must have: the rates of small
	// workspaces vary much on one instance.
	Share float64
}

// Default returns the settings of the platform deployment. An instance sees some
// five requests a second of ten or more workspaces; a workspace with a quarter of
// them has seven or eight in Short.
func Default() Options {
	return Options{Short: 6 * clock.Second, Long: clock.Minute, Growth: 1.8, Share: 0.25}
}

// Surger holds the rates of workspaces on one instance. It is not safe for
// concurrent use.
type Surger struct {
	options    Options
	begin      clock.Millis // instant of the first request
	all        rates
	workspaces map[string]*rates
}

// rates are exponential sums of work.
type rates struct {
	short, long float64
	at          clock.Millis
}

func (r *rates) add(now clock.Millis, work float64, o Options) {
	r.decay(now, o)
	r.short += work
	r.long += work
}

func (r *rates) decay(now clock.Millis, o Options) {
	age := float64(now - r.at)
	r.short *= math.Exp(-age / float64(o.Short))
	r.long *= math.Exp(-age / float64(o.Long))
	r.at = now
}

// New returns a surger that has seen nothing. It panics unless 0 < Short < Long.
func New(o Options) *Surger {
	if o.Short <= 0 || o.Long <= o.Short {
		panic("surger: spans must be positive and the long one longer")
	}
	return &Surger{options: o, workspaces: make(map[string]*rates)}
}

// Add notes work of a request and reports whether its workspace surges.
func (s *Surger) Add(now clock.Millis, workspace string, work float64) bool {
	if s.begin == 0 {
		s.begin = now
	}
	r := s.workspaces[workspace]
	if r == nil {
		r = &rates{at: now}
		s.workspaces[workspace] = r
	}
	s.all.add(now, work, s.options)
	r.add(now, work, s.options)
	if now-s.begin < s.options.Short || r.short < s.options.Share*s.all.short {
		return false
	}
	// The share of the present work against the share of the usual work: growth
	// of all workspaces cancels out, and so does the time since the start.
	usual := (r.long - r.short) / max(1e-9, s.all.long-s.all.short)
	return r.short/s.all.short > s.options.Growth*max(0, usual)
}

// Sweep drops the workspaces that have asked for nothing for long.
func (s *Surger) Sweep(now clock.Millis) {
	for name, r := range s.workspaces {
		if now-r.at > 2*s.options.Long {
			delete(s.workspaces, name)
		}
	}
}
