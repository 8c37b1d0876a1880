package commander

import (
	"context"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/placer"
)

// state is what the commander knows of one endpoint.
type state struct {
	endpoint  placer.Endpoint
	known     bool // read at least once in this term
	busy      bool // the last report showed work
	number    uint64
	okAt      clock.Millis            // last read, or when the endpoint was first listed
	unwanted  map[string]clock.Millis // loaded versions since when they are not desired
	forbidden clock.Millis            // no commands before this instant
	denied    bool                    // the refused key has been logged
	loading   string                  // version of the last load command
}

// answer is the outcome of one read.
type answer struct {
	load  engineclient.Load
	asked clock.Millis
	err   error
}

// read reads the listed endpoints back and returns the states of those that
// have answered.
func (c *Commander) read(ctx context.Context, list []Endpoint) []*state {
	answers := make([]answer, len(list))
	c.o.Each(len(list), func(k int) {
		ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout.Duration())
		defer cancel()
		a := &answers[k]
		a.asked = c.o.Now()
		a.load, a.err = c.o.Load(ctx, list[k].Address)
	})
	listed := make(map[string]*state, len(list))
	var readable []*state
	for k, e := range list {
		s := c.states[e.ID]
		if s == nil {
			s = &state{okAt: c.o.Now(), unwanted: map[string]clock.Millis{}}
		}
		listed[e.ID] = s
		s.endpoint.ID, s.endpoint.Slots = e.ID, e.Slots
		if answers[k].err != nil {
			c.o.Event("placement_read_failed")
			continue
		}
		s.adopt(answers[k], c.o.ReportLag, c.o.Keyed)
		readable = append(readable, s)
	}
	c.states = listed
	return readable
}

// adopt takes over a report. It may be as old as lag, so it counts as read that
// much earlier.
func (s *state) adopt(a answer, lag clock.Millis, keyed bool) {
	s.known, s.okAt = true, a.asked
	s.busy, s.number = a.load.Running+a.load.Queued > 0, a.load.FencingNumber
	s.endpoint.Versions, s.endpoint.Read = a.load.Versions, a.asked-lag
	s.endpoint.Fenced = keyed && a.load.FencingNumber > 0
	if slices.Contains(a.load.Versions, s.loading) {
		s.loading = ""
	}
}

// kept returns the loaded versions that are not desired but must stay for now,
// because work may still run on them.
func (c *Commander) kept(now clock.Millis, s *state, desired []string, shares map[string]float64) []string {
	var kept []string
	for v := range s.unwanted {
		if slices.Contains(desired, v) || !slices.Contains(s.endpoint.Versions, v) {
			delete(s.unwanted, v)
		}
	}
	for _, v := range s.endpoint.Versions {
		if slices.Contains(desired, v) {
			continue
		}
		if _, ok := s.unwanted[v]; !ok {
			s.unwanted[v] = now
		}
		if !c.ended(now, s, v, shares) {
			kept = append(kept, v)
		}
	}
	return kept
}

// ended reports whether no work of a version that is not desired can run at the
// endpoint.
func (c *Commander) ended(now clock.Millis, s *state, version string, shares map[string]float64) bool {
	since := s.unwanted[version]
	if _, wanted := shares[version]; wanted {
		return !s.busy && s.endpoint.Read >= since
	}
	if !s.busy && s.endpoint.Read >= since+c.o.Settle {
		return true
	}
	return now >= since+c.o.Settle+c.o.LongestWork()
}
