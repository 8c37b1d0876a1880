package surgedetector

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options are the settings of a Detector.
type Options struct {
	// Short and Long are the averaging times in ms of the current and of the
	// usual rate of a workspace.
	Short, Long clock.Millis
	// Growth is the ratio of a workspace's current share of all work to its
	// earlier share above which the workspace surges.
	Growth float64
	// Share is the minimum current share of a workspace that can surge: the rates
	// of small workspaces vary widely on one instance.
	Share float64
}

// Default returns the settings of the platform deployment. An instance receives
// about five requests per second from ten or more workspaces; a workspace with a
// quarter of them sends seven or eight within Short.
func Default() Options {
	return Options{Short: 6 * clock.Second, Long: clock.Minute, Growth: 1.8, Share: 0.25}
}

// Detector holds the rates of workspaces on one instance. It is not safe for
// concurrent use.
type Detector struct {
	options    Options
	start      clock.Millis // time of the first request
	total      rates        // of all workspaces
	workspaces map[string]*rates
}

// rates holds exponentially decaying sums of work.
type rates struct {
	short, long float64
	at          clock.Millis // time of the last update
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

// New returns a Detector without data. It panics unless 0 < Short < Long.
func New(o Options) *Detector {
	if o.Short <= 0 || o.Long <= o.Short {
		panic("surgedetector: options must satisfy 0 < Short < Long")
	}
	return &Detector{options: o, workspaces: make(map[string]*rates)}
}

// Add adds the work of a request and reports whether its workspace surges. The
// unit of work does not matter.
func (d *Detector) Add(now clock.Millis, workspace string, work float64) bool {
	if d.start == 0 {
		d.start = now
	}
	r := d.workspaces[workspace]
	if r == nil {
		r = &rates{at: now}
		d.workspaces[workspace] = r
	}
	d.total.add(now, work, d.options)
	r.add(now, work, d.options)
	if now-d.start < d.options.Short || r.short < d.options.Share*d.total.short {
		return false
	}
	// Comparing the share of the current work with the share of earlier work
	// cancels out the growth of all workspaces and the time since the start.
	usualShare := (r.long - r.short) / max(1e-9, d.total.long-d.total.short)
	return r.short/d.total.short > d.options.Growth*max(0, usualShare)
}

// Sweep removes workspaces without recent requests.
func (d *Detector) Sweep(now clock.Millis) {
	for name, r := range d.workspaces {
		if now-r.at > 2*d.options.Long {
			delete(d.workspaces, name)
		}
	}
}
