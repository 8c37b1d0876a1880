package stager

import "rosemaryarch.example/rosemaryarch/clock"

// Source identifies the sender of reports.
type Source struct {
	Instance   string // and its process, since counts restart with it
	DataCentre string
}

// Sums returns the sums of the reports of all instances in this data centre. In
// a large fleet a data centre sends to the others through a few instances in
// turn, so that an instance's own report arrives there only every few seconds.
func (s *Stager) Sums(now clock.Millis) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Report
	for _, r := range s.rollouts {
		if r.finished() {
			continue
		}
		sum := r.report
		sum.Elapsed, sum.Stopped = int64(r.elapsed(now)), r.stopped
		sum.Doubtful, sum.Stage = r.doubtful, r.currentStage(now)
		routes := r.routes
		r.copyLatencies(now, &s.target, &s.old)
		for _, p := range r.peers {
			if p.dataCentre != s.options.DataCentre {
				continue
			}
			sum.New, sum.Old = sum.New.add(p.New), sum.Old.add(p.Old)
			sum.OldInFlight += p.OldInFlight
			sum.NewSent, sum.OldSent = sum.NewSent+p.NewSent, sum.OldSent+p.OldSent
			routes.merge(p.Routes)
			sum.Doubtful = sum.Doubtful || p.doubts(now)
			s.target.merge(p.NewLatencies)
			s.old.merge(p.OldLatencies)
		}
		sum.NewLatencies, sum.OldLatencies = s.target.list(), s.old.list()
		sum.Routes = routes.list()
		list = append(list, sum)
	}
	return list
}

// MergeSums replaces the sums of another data centre, which count instead of the
// reports of its instances.
func (s *Stager) MergeSums(now clock.Millis, dataCentre string, sums []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range sums {
		if r := s.adopt(now, &m); r != nil {
			r.centres[dataCentre] = peerReport{Report: m, receivedAt: now, dataCentre: dataCentre}
		}
	}
}

// adopt applies what a received report says about the roll-out itself. It returns
// nil if the report is about no active roll-out.
func (s *Stager) adopt(now clock.Millis, m *Report) *rolloutState {
	r := s.rollouts[m.Service]
	if r == nil || r.rollout.Target != m.Target || r.finished() {
		return nil
	}
	if lead := clock.Millis(m.Elapsed) - (now - r.start); lead > 0 {
		r.start -= lead
	}
	m.Elapsed = 0
	r.stopped = r.stopped || m.Stopped
	if m.Stage >= fullStage && r.stage < fullStage {
		r.fullSince = r.elapsed(now)
	}
	r.stage = max(r.stage, min(m.Stage, fullStage))
	return r
}

// others calls yield with the evidence of all other instances, each once, until
// yield returns false: the sums of data centres, and the reports of instances of
// other data centres only where there is no sum.
func (r *rolloutState) others(yield func(peerReport) bool) {
	for _, p := range r.centres {
		if !yield(p) {
			return
		}
	}
	for _, p := range r.peers {
		if _, summed := r.centres[p.dataCentre]; !summed && !yield(p) {
			return
		}
	}
}

// doubts reports whether the sender has doubts about the target and still runs.
func (p peerReport) doubts(now clock.Millis) bool {
	return p.Doubtful && now-p.receivedAt < silentTime
}
