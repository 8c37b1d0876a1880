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

// The schedule of a roll-out. A bad version may serve about a tenth of all
// requests until the roll-out ends, so the initial share is smaller. The larger
// shares follow in the second half, in which a session may change to the target.
const (
	initialShare   = 0.08
	middleShare    = 0.3
	exchangeTime   = 700 * clock.Millis(1)  // at the start, without the target, until all instances have the session uses
	halfwayMargin  = 700 * clock.Millis(1)  // after the first half, for instances that saw the roll-out at other times
	middleTime     = 2500 * clock.Millis(1) // duration of middleShare
	completeTime   = 1500 * clock.Millis(1) // duration of the full share before the roll-out may complete
	deadlineMargin = 2500 * clock.Millis(1) // time left at which it completes even with requests on the old version
)

// Rollout is an operator's request to roll out a version of a service.
type Rollout struct {
	Service  string
	Target   string       // version
	Duration clock.Millis // time in which the roll-out must end
	Phase    Phase        // as stored; empty if none is stored yet
}

// Verdict is the result of a roll-out, to be stored with it.
type Verdict struct {
	Service string
	Target  string
	Phase   Phase
	New     Evidence
	Old     Evidence
}

// rolloutState is the state of one roll-out on this instance.
type rolloutState struct {
	rollout Rollout
	start   clock.Millis      // time at which any instance first saw the roll-out
	stopped bool              // the target was judged bad
	report  Report            // evidence of this instance
	peers   map[string]Report // evidence of other instances, by instance and process
}

// Options are the settings of a Stager.
type Options struct {
	// SessionAge is the time after a session's last request during which the next
	// one must use the same version, including a margin for the duration of the
	// request.
	SessionAge clock.Millis
}

// Stager holds the roll-outs of all services. It is safe for concurrent use.
type Stager struct {
	options  Options
	mu       sync.Mutex
	rollouts map[string]*rolloutState // by service
	uses     map[uint64]lastUse       // by hash of service and session
}

// New returns a Stager without roll-outs.
func New(o Options) *Stager {
	return &Stager{options: o, rollouts: make(map[string]*rolloutState), uses: make(map[uint64]lastUse)}
}

// Set adds a roll-out or updates its phase. Another target, or an empty phase
// after the last roll-out has finished, starts a new one.
func (s *Stager) Set(now clock.Millis, o Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[o.Service]
	if r == nil || r.rollout.Target != o.Target || r.finished() && o.Phase == "" {
		r = &rolloutState{start: now, peers: make(map[string]Report)}
		r.report = Report{Service: o.Service, Target: o.Target}
		s.rollouts[o.Service] = r
	}
	r.rollout = o
}

func (r *rolloutState) finished() bool {
	return r.rollout.Phase == Completed || r.rollout.Phase == RolledBack
}

// Remove ends a service's roll-out, which has been deleted.
func (s *Stager) Remove(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rollouts, service)
}

// Services returns the services that have a roll-out, in progress or finished.
func (s *Stager) Services() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.rollouts))
	for name := range s.rollouts {
		names = append(names, name)
	}
	return names
}

// Choice tells which version serves a request.
type Choice struct {
	HasOrder  bool   // the service has a roll-out, in progress or finished
	Target    string // version of the roll-out
	UseTarget bool   // the target serves the request; otherwise any other version does
	Strict    bool   // UseTarget must be followed, even if that leaves no endpoint
}

// Choose returns the version for a request of a session. As the share grows,
// sessions only move to the target, never back.
func (s *Stager) Choose(now clock.Millis, service, session string) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[service]
	if r == nil {
		return Choice{}
	}
	choice := Choice{HasOrder: true, Target: r.rollout.Target}
	switch {
	case r.rollout.Phase == Completed:
		choice.UseTarget = true
	case r.rollout.Phase == RolledBack || r.stopped:
		choice.Strict = true
	default:
		share := r.targetShare(now)
		choice.UseTarget = matcher.Fraction(service, session) < share
		if choice.UseTarget && share <= initialShare {
			choice.UseTarget = !s.mustKeepVersion(now, service, session, r.rollout.Target)
		}
	}
	return choice
}

// elapsed returns the time since any instance first saw the roll-out.
func (r *rolloutState) elapsed(now clock.Millis) clock.Millis {
	e := now - r.start
	for _, m := range r.peers {
		e = max(e, clock.Millis(m.Elapsed))
	}
	return e
}

// targetShare returns the share of the sessions that the target serves.
func (r *rolloutState) targetShare(now clock.Millis) float64 {
	halfway := r.rollout.Duration/2 + halfwayMargin
	switch e := r.elapsed(now); {
	case e < exchangeTime:
		return 0
	case e < halfway:
		return initialShare
	case e < halfway+middleTime:
		return middleShare
	default:
		return 1
	}
}

// Begin counts a request that starts on a version. The returned function records
// its end: whether the result counts as evidence, whether it is a failure, and
// its latency, or 0 if that is unknown.
func (s *Stager) Begin(service, version string) func(counts, failed bool, latency clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[service]
	if r == nil || r.finished() {
		return func(bool, bool, clock.Millis) {}
	}
	old := version != r.rollout.Target
	if old {
		r.report.OldInFlight++
	}
	return func(counts, failed bool, latency clock.Millis) {
		s.mu.Lock()
		defer s.mu.Unlock()
		evidence := &r.report.New
		if old {
			r.report.OldInFlight--
			evidence = &r.report.Old
		}
		if counts {
			evidence.record(failed, latency)
		}
	}
}

// record adds one response. The latency of a failure is ignored.
func (e *Evidence) record(failed bool, latency clock.Millis) {
	e.Served++
	if failed {
		e.Failures++
		return
	}
	if latency > 0 {
		l := math.Log(float64(latency))
		e.Timed++
		e.LogSum += l
		e.LogSquares += l * l
	}
}

// Reports returns the evidence of this instance about the active roll-outs.
func (s *Stager) Reports(now clock.Millis) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []Report
	for _, r := range s.rollouts {
		if r.finished() {
			continue
		}
		report := r.report
		report.Elapsed, report.Stopped = int64(r.elapsed(now)), r.stopped
		reports = append(reports, report)
	}
	return reports
}

// Merge replaces the reports of another instance. key identifies the instance
// and its process, since counts restart with the process.
func (s *Stager) Merge(now clock.Millis, key string, reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range reports {
		r := s.rollouts[m.Service]
		if r == nil || r.rollout.Target != m.Target || r.finished() {
			continue
		}
		if lead := clock.Millis(m.Elapsed) - (now - r.start); lead > 0 {
			r.start -= lead
		}
		m.Elapsed = 0
		r.peers[key] = m
		r.stopped = r.stopped || m.Stopped
	}
}

// Decide returns the roll-outs that end now, by evidence or by time. A version
// that is judged bad receives no requests from then on, even if the verdict
// cannot be stored.
func (s *Stager) Decide(now clock.Millis) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	var verdicts []Verdict
	for _, r := range s.rollouts {
		if r.finished() {
			continue
		}
		target, old, oldInFlight := r.report.New, r.report.Old, r.report.OldInFlight
		for _, m := range r.peers {
			target, old = target.add(m.New), old.add(m.Old)
			oldInFlight += m.OldInFlight
		}
		v := Verdict{Service: r.rollout.Service, Target: r.rollout.Target, New: target, Old: old}
		switch {
		case r.stopped || isWorse(target, old):
			r.stopped = true
			v.Phase = RolledBack
		case r.mayComplete(now, oldInFlight):
			v.Phase = Completed
		default:
			continue
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// mayComplete reports whether the roll-out may complete: the full share has been
// served long enough, and no requests run on the old version or the end of the
// roll-out is near.
func (r *rolloutState) mayComplete(now clock.Millis, oldInFlight int) bool {
	elapsed := r.elapsed(now)
	fullShareFrom := r.rollout.Duration/2 + halfwayMargin + middleTime
	if elapsed < fullShareFrom+completeTime {
		return false
	}
	return oldInFlight == 0 || elapsed >= r.rollout.Duration-deadlineMargin
}
