package reconciler

import (
	"context"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/placer"
)

// endpointState is the state of one endpoint in the present term.
type endpointState struct {
	endpoint       placer.Endpoint
	everRead       bool                    // read at least once in this term
	busy           bool                    // the last report showed running or queued requests
	fencingNumber  uint64                  // of the last report; 0 if the endpoint ignores numbers
	readableAt     clock.Millis            // time of the last read, or when the endpoint was first listed
	undesiredSince map[string]clock.Millis // since when each loaded version is not desired
	pausedUntil    clock.Millis            // no commands before this time
	refusalLogged  bool                    // the refusal of the command key has been logged
	loading        string                  // version of the last load command, until it is loaded
}

// readResult is the result of one read.
type readResult struct {
	load      engineclient.Load
	startedAt clock.Millis // time before the read
	err       error
}

// readBack reads the states of the listed endpoints and returns those of the endpoints
// that have answered.
func (r *Reconciler) readBack(ctx context.Context, list []Endpoint) []*endpointState {
	results := make([]readResult, len(list))
	r.options.ForEach(len(list), func(k int) {
		ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout.Duration())
		defer cancel()
		a := &results[k]
		a.startedAt = r.options.Now()
		a.load, a.err = r.options.Load(ctx, list[k].Address)
	})
	states := make(map[string]*endpointState, len(list))
	var readable []*endpointState
	for k, e := range list {
		s := r.states[e.ID]
		if s == nil {
			s = &endpointState{readableAt: r.options.Now(), undesiredSince: map[string]clock.Millis{}}
		}
		states[e.ID] = s
		s.endpoint.ID, s.endpoint.Slots = e.ID, e.Slots
		if results[k].err != nil {
			r.options.CountEvent("placement_read_failed")
			continue
		}
		s.update(results[k], r.options.ReportLag, r.options.Keyed)
		readable = append(readable, s)
	}
	r.states = states
	return readable
}

// update stores a report. The report may be as old as lag, so the state is
// considered current as of that much before the read.
func (s *endpointState) update(a readResult, lag clock.Millis, keyed bool) {
	s.everRead, s.readableAt = true, a.startedAt
	s.busy, s.fencingNumber = a.load.Running+a.load.Queued > 0, a.load.FencingNumber
	s.endpoint.Versions, s.endpoint.ReadAt = a.load.Versions, a.startedAt-lag
	s.endpoint.Fenced = keyed && a.load.FencingNumber > 0
	if slices.Contains(a.load.Versions, s.loading) {
		s.loading = ""
	}
}

// retained returns the loaded versions that are not desired but must not be
// unloaded yet, because requests may still run on them.
func (r *Reconciler) retained(
	now clock.Millis, s *endpointState, desired []string, shares map[string]float64,
) []string {
	var retained []string
	for v := range s.undesiredSince {
		if slices.Contains(desired, v) || !slices.Contains(s.endpoint.Versions, v) {
			delete(s.undesiredSince, v)
		}
	}
	for _, v := range s.endpoint.Versions {
		if slices.Contains(desired, v) {
			continue
		}
		if _, ok := s.undesiredSince[v]; !ok {
			s.undesiredSince[v] = now
		}
		if !r.requestsEnded(now, s, v, shares) {
			retained = append(retained, v)
		}
	}
	return retained
}

// requestsEnded reports whether no request for a version that is not desired can
// run at the endpoint any more.
func (r *Reconciler) requestsEnded(now clock.Millis, s *endpointState, version string, shares map[string]float64) bool {
	since := s.undesiredSince[version]
	if _, required := shares[version]; required {
		return !s.busy && s.endpoint.ReadAt >= since
	}
	if !s.busy && s.endpoint.ReadAt >= since+r.options.PropagationTime {
		return true
	}
	return now >= since+r.options.PropagationTime+r.options.MaxRequestTime()
}
