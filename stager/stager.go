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
	Slow    Slowness // of the measure that speaks most against the target

	LoadedServed int // responses of the target to requests of the full share
	LoadedFailed int // of these, failures
}

// rolloutState is the state of one roll-out on this instance.
type rolloutState struct {
	rollout Rollout
	plain   bool                  // the service has no engines
	start   clock.Millis          // time at which any instance first saw the roll-out
	stopped bool                  // the target was judged bad
	report  Report                // evidence of this instance, without latencies
	peers   map[string]peerReport // of instances, by Source.Instance
	centres map[string]peerReport // sums of other data centres, by name

	routes       routeTable                // responses on this instance
	excused      endSet                    // ends of endpoints that say nothing about a version
	newLatencies latencyTable              // of ended requests on this instance
	oldLatencies latencyTable              // the same for all other versions
	running      map[*Observation]struct{} // requests in progress on this instance

	exposure Exposure
	demand   demand
	fullTime clock.Millis // how long before the deadline the full share may begin
	load     float64      // requests of the service in progress, on average; 0 if unknown
	loaded   int          // responses to requests of the full share
	urgent   bool         // requests of the full share have ended here since the last urgent report

	stage      stage
	fullSince  clock.Millis // elapsed time at which the full share began
	doubtful   bool         // by the evidence of all instances
	undecided  bool         // failures nearly suffice to judge the target bad
	clearFrom  clock.Millis // elapsed time since which no instance doubts
	enough     bool         // the target has served enough to judge it
	enoughFrom clock.Millis // elapsed time since which enough is set
}

// peerReport is the last report of another instance.
type peerReport struct {
	Report

	receivedAt clock.Millis
	dataCentre string
}

// Options are the settings of a Stager.
type Options struct {
	// SessionAge is the time after a session's last request during which the next
	// one must use the same version, including a margin for the duration of the
	// request.
	SessionAge clock.Millis
	DataCentre string // of this instance
	Exposure   Exposure
	// Plain reports whether a service has no engines, so that the time that a response
	// takes hardly depends on the number of requests at its endpoint; nil: all have.
	Plain func(service string) bool
}

// Stager holds the roll-outs of all services. It is safe for concurrent use.
type Stager struct {
	options  Options
	mu       sync.Mutex
	rollouts map[string]*rolloutState // by service
	uses     map[uint64]lastUse       // by hash of service and session

	target, old latencyTable // for temporary use under the lock
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
		r = &rolloutState{
			start: now, peers: make(map[string]peerReport), centres: make(map[string]peerReport),
			running: make(map[*Observation]struct{}), exposure: s.options.Exposure,
		}
		r.report = Report{Service: o.Service, Target: o.Target}
		r.fullTime = r.exposure.fullTime(o.Duration, 0, 0, 0)
		s.rollouts[o.Service] = r
	}
	r.rollout, r.plain = o, s.isPlain(o.Service)
}

func (s *Stager) isPlain(service string) bool {
	return s.options.Plain != nil && s.options.Plain(service)
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

	load float64 // requests of the service in progress while the full share is tested; otherwise 0
}

// Endpoints returns the number of the target's endpoints of a plain service that serve
// the full share until its end, given the requests that one can run at the same time, or
// 0 for all. On few endpoints, a version that fails under load shows it within the few
// requests that it may get before the verdict. Engines take longer the more they run,
// which would look like a slow version.
func (c Choice) Endpoints(slots int) int {
	if c.load <= 0 || slots <= 0 {
		return 0
	}
	return max(1, int(math.Ceil(c.load/(testedLoad*float64(slots)))))
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
		if choice.UseTarget && share <= s.options.Exposure.initialShare() {
			choice.UseTarget = !s.mustKeepVersion(now, service, session, r.rollout.Target)
		}
		if r.stage == fullStage {
			choice.load = r.load
		}
	}
	return choice
}

// elapsed returns the time since any instance first saw the roll-out.
func (r *rolloutState) elapsed(now clock.Millis) clock.Millis { return now - r.start }

// record adds the end of one request. The latency of a failure is ignored.
func (e *Evidence) record(outcome Outcome, latency clock.Millis) {
	if outcome == Ignored {
		return
	}
	e.Served++
	if outcome != Served {
		e.Failures++
		if outcome == Broken {
			e.Breaks++
		}
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
		r.copyLatencies(now, &s.target, &s.old)
		report.NewLatencies, report.OldLatencies = s.target.list(), s.old.list()
		report.Routes = r.routes.list()
		report.Doubtful, report.Stage = r.doubtful, r.currentStage(now)
		reports = append(reports, report)
	}
	return reports
}

// TakeUrgent reports whether requests of a full share have ended on this instance since
// the last call. The full share lasts for about as long as two reports to other data
// centres are apart, too long to wait. Failures alone must not be reported sooner, which
// would let the target look worse than it is.
func (s *Stager) TakeUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	urgent := false
	for _, r := range s.rollouts {
		urgent = urgent || r.urgent && !r.finished()
		r.urgent = false
	}
	return urgent
}

// Merge replaces the reports of another instance.
func (s *Stager) Merge(now clock.Millis, source Source, reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range reports {
		if r := s.adopt(now, &m); r != nil {
			r.peers[source.Instance] = peerReport{Report: m, receivedAt: now, dataCentre: source.DataCentre}
		}
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
		t := r.sums(now, &s.target, &s.old)
		elapsed := r.elapsed(now)
		r.plain = s.isPlain(r.rollout.Service)
		r.assess(now, t)
		v := Verdict{
			Service: r.rollout.Service, Target: r.rollout.Target, New: t.target, Old: t.old, Slow: t.slowest(),
		}
		v.LoadedServed, v.LoadedFailed = t.routes.loaded()
		switch {
		case r.stopped || t.isWorse(r.requiredEvidence(elapsed)):
			r.stopped = true
			v.Phase = RolledBack
		case r.mayComplete(now, t.oldInFlight):
			v.Phase = Completed
		default:
			continue
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}
