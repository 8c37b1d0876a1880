package stager

import (
	"math"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Phase is the state of a roll-out.
type Phase string

// The phases of a roll-out.
const (
	Active     Phase = "active"
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

// The course of a roll-out. The bound on the exposure of a bad version is a
// share of about a tenth of all requests until the order's end, so the first
// share stays below it, and the rest follows in the second half, in which a
// session may change to the new version.
const (
	firstShare  = 0.08
	secondShare = 0.3
	markSpan    = 700 * clock.Millis(1)  // without the target, until all instances know the sessions in progress
	halfMargin  = 700 * clock.Millis(1)  // past the half, for instances that saw the order at other times
	secondSpan  = 2500 * clock.Millis(1) // with secondShare
	settleSpan  = 1500 * clock.Millis(1) // with all requests, before the end
	endMargin   = 2500 * clock.Millis(1) // before the order's end, whatever still runs on the former version
)

// Order is a request of the operator to move a service to a version.
type Order struct {
	Service  string
	Target   string // version
	Duration clock.Millis
	Phase    Phase // as last written; empty before the first write
}

// Verdict is an end of a roll-out that is to be written.
type Verdict struct {
	Service string
	Target  string
	Phase   Phase
	New     Evidence
	Old     Evidence
}

type rollout struct {
	order   Order
	since   clock.Millis
	stopped bool
	own     Report
	members map[string]Report
}

// Options are the settings of a stager.
type Options struct {
	// SessionAge is the time after a session's last request during which the
	// next one must stay on its version, with a margin for the request itself.
	SessionAge clock.Millis
}

// Stager is safe for concurrent use.
type Stager struct {
	options  Options
	mu       sync.Mutex
	rollouts map[string]*rollout // by service
	uses     map[uint64]use      // by session
}

// New returns a stager without roll-outs.
func New(o Options) *Stager {
	return &Stager{options: o, rollouts: make(map[string]*rollout), uses: make(map[uint64]use)}
}

// Set takes an order, or a changed phase of one.
func (s *Stager) Set(now clock.Millis, o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[o.Service]
	if r == nil || r.order.Target != o.Target || r.finished() && o.Phase == "" {
		r = &rollout{since: now, members: make(map[string]Report)}
		r.own = Report{Service: o.Service, Target: o.Target}
		s.rollouts[o.Service] = r
	}
	r.order = o
}

func (r *rollout) finished() bool { return r.order.Phase == Completed || r.order.Phase == RolledBack }

// Remove ends the roll-out of a service whose order is gone.
func (s *Stager) Remove(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rollouts, service)
}

// Services returns the services with an order.
func (s *Stager) Services() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.rollouts))
	for name := range s.rollouts {
		list = append(list, name)
	}
	return list
}

// Choice tells which version a request takes.
type Choice struct {
	Known  bool   // there is an order for the service
	Target string // its version
	Fresh  bool   // the request takes the target, otherwise any other version
	Only   bool   // no other choice is allowed where no such endpoint is ready
}

// Choose returns the version for a session. A growing share moves sessions to
// the target only.
func (s *Stager) Choose(now clock.Millis, service, session string) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[service]
	if r == nil {
		return Choice{}
	}
	c := Choice{Known: true, Target: r.order.Target}
	switch {
	case r.order.Phase == Completed:
		c.Fresh = true
	case r.order.Phase == RolledBack || r.stopped:
		c.Only = true
	default:
		share := r.share(now)
		c.Fresh = matcher.Fraction(service, session) < share
		if c.Fresh && share <= firstShare {
			c.Fresh = !s.bound(now, service, session, r.order.Target)
		}
	}
	return c
}

func (r *rollout) elapsed(now clock.Millis) clock.Millis {
	e := now - r.since
	for _, m := range r.members {
		e = max(e, clock.Millis(m.Elapsed))
	}
	return e
}

func (r *rollout) share(now clock.Millis) float64 {
	half := r.order.Duration/2 + halfMargin
	switch e := r.elapsed(now); {
	case e < markSpan:
		return 0
	case e < half:
		return firstShare
	case e < half+secondSpan:
		return secondShare
	default:
		return 1
	}
}

// Begin counts a request that starts on a version. The returned function ends
// it and takes the result; latency is 0 if it is unknown.
func (s *Stager) Begin(service, version string) func(counts, failed bool, latency clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[service]
	if r == nil || r.finished() {
		return func(bool, bool, clock.Millis) {}
	}
	old := version != r.order.Target
	if old {
		r.own.OldBusy++
	}
	return func(counts, failed bool, latency clock.Millis) {
		s.mu.Lock()
		defer s.mu.Unlock()
		e := &r.own.New
		if old {
			r.own.OldBusy--
			e = &r.own.Old
		}
		if counts {
			e.record(failed, latency)
		}
	}
}

func (e *Evidence) record(failed bool, latency clock.Millis) {
	e.Served++
	if failed {
		e.Bad++
		return
	}
	if latency > 0 {
		l := math.Log(float64(latency))
		e.Timed++
		e.LogSum += l
		e.LogSquares += l * l
	}
}

// Reports returns what this instance has seen of the running roll-outs.
func (s *Stager) Reports(now clock.Millis) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Report
	for _, r := range s.rollouts {
		if r.finished() {
			continue
		}
		own := r.own
		own.Elapsed, own.Stopped = int64(r.elapsed(now)), r.stopped
		list = append(list, own)
	}
	return list
}

// Merge takes the reports of another instance. key names the instance and its
// process, since counts start anew with a process.
func (s *Stager) Merge(now clock.Millis, key string, reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range reports {
		r := s.rollouts[m.Service]
		if r == nil || r.order.Target != m.Target || r.finished() {
			continue
		}
		if ahead := clock.Millis(m.Elapsed) - (now - r.since); ahead > 0 {
			r.since -= ahead
		}
		m.Elapsed = 0
		r.members[key] = m
		r.stopped = r.stopped || m.Stopped
	}
}

// Decide returns the ends of roll-outs that the evidence and the time call
// for. A version that is judged bad gets nothing from that moment on, whether
// or not the end can be written.
func (s *Stager) Decide(now clock.Millis) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Verdict
	for _, r := range s.rollouts {
		if r.finished() {
			continue
		}
		fresh, old, busy := r.own.New, r.own.Old, r.own.OldBusy
		for _, m := range r.members {
			fresh, old = fresh.plus(m.New), old.plus(m.Old)
			busy += m.OldBusy
		}
		v := Verdict{Service: r.order.Service, Target: r.order.Target, New: fresh, Old: old}
		switch {
		case r.stopped || bad(fresh, old):
			r.stopped = true
			v.Phase = RolledBack
		case r.done(now, busy):
			v.Phase = Completed
		default:
			continue
		}
		list = append(list, v)
	}
	return list
}

func (r *rollout) done(now clock.Millis, oldBusy int) bool {
	e := r.elapsed(now)
	full := r.order.Duration/2 + halfMargin + secondSpan
	if e < full+settleSpan {
		return false
	}
	return oldBusy == 0 || e >= r.order.Duration-endMargin
}
