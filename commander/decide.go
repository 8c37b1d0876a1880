package commander

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/placer"
)

// decide brings the record up to date: desired placement, stage of the data
// centre's return, and a number that is not below what the endpoints have seen.
func (c *Commander) decide(ctx context.Context, list []Endpoint, readable []*state, shares map[string]float64) {
	now, r := c.o.Now(), c.o.Lease.Record()
	next, inputs := r, c.decided
	if c.o.Out() {
		next.Stage = 0
	} else {
		if present, ok := c.present(now, list, r); ok {
			if key := fingerprint(present, shares); key != c.decided {
				next.Desired, inputs = placer.Desire(present, shares, c.former(r)), key
			}
		}
		next.Stage = c.stage(now, r, readable)
	}
	c.o.Set("placement_stage", float64(next.Stage))
	seen := c.highest(readable)
	if next.Stage == r.Stage && samePlacement(next.Desired, r.Desired) && seen <= r.Number {
		c.decided = inputs
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout.Duration())
	defer cancel()
	err := c.o.Lease.Change(ctx, func(placer.Record) placer.Record {
		next.Number = max(next.Number, seen)
		return next
	})
	if err != nil {
		c.renew = 0
		c.o.Event("placement_change_failed")
		return
	}
	c.decided = inputs
	klog.Infof("commander: placement of %s has number %d and stage %d",
		c.o.Lease.Key, c.o.Lease.Record().Number, next.Stage)
}

// stage returns the stage that the record should have. A first placement is no
// return, so its record has the last stage from the beginning.
func (c *Commander) stage(now clock.Millis, r placer.Record, readable []*state) int {
	switch {
	case len(r.Desired) == 0:
		return len(c.o.Placer.Stages)
	case len(readable) == 0:
		return r.Stage
	}
	return c.placer.Stage(now, r, rows(readable))
}

// present returns the endpoints that can be given versions. A first placement
// waits until all of them have been read, so that it keeps what is loaded.
func (c *Commander) present(now clock.Millis, list []Endpoint, r placer.Record) ([]placer.Endpoint, bool) {
	var present []placer.Endpoint
	for _, e := range list {
		s := c.states[e.ID]
		if now-s.okAt >= c.o.Absent {
			continue
		}
		_, placed := r.Desired[e.ID]
		if !s.known && len(r.Desired) == 0 {
			return nil, false
		}
		if s.known || placed {
			present = append(present, s.endpoint)
		}
	}
	return present, len(present) > 0
}

// former returns the placement that a new one keeps as far as possible: the
// desired one, and what is loaded at the endpoints that it does not name.
func (c *Commander) former(r placer.Record) map[string][]string {
	former := make(map[string][]string, len(c.states))
	for id, s := range c.states {
		former[id] = s.endpoint.Versions
	}
	maps.Copy(former, r.Desired)
	return former
}

// highest returns the highest fencing number that the endpoints have seen. An
// endpoint that does not check who sends may have a higher one than the record.
func (c *Commander) highest(readable []*state) uint64 {
	var n uint64
	for _, s := range readable {
		if s.number < math.MaxUint64 {
			n = max(n, s.number)
		}
	}
	return n
}

func fingerprint(endpoints []placer.Endpoint, shares map[string]float64) string {
	var b strings.Builder
	for _, e := range endpoints {
		fmt.Fprintf(&b, "%s %d\n", e.ID, e.Slots)
	}
	for _, v := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(&b, "%s %g\n", v, shares[v])
	}
	return b.String()
}

func samePlacement(a, b map[string][]string) bool { return maps.EqualFunc(a, b, slices.Equal) }

func rows(states []*state) []placer.Endpoint {
	all := make([]placer.Endpoint, 0, len(states))
	for _, s := range states {
		all = append(all, s.endpoint)
	}
	return all
}

// command sends the next commands under the stored record.
func (c *Commander) command(ctx context.Context, readable []*state, shares map[string]float64) {
	now, r := c.o.Now(), c.o.Lease.Record()
	r.Desired = maps.Clone(r.Desired)
	if r.Desired == nil {
		return
	}
	stored := c.o.Lease.Record().Desired
	var usable []*state
	for _, s := range readable {
		if kept := c.kept(now, s, stored[s.endpoint.ID], shares); len(kept) > 0 {
			r.Desired[s.endpoint.ID] = append(slices.Clone(stored[s.endpoint.ID]), kept...)
		}
		if now >= s.forbidden {
			usable = append(usable, s)
		}
	}
	commands := c.placer.Tick(now, r, rows(usable))
	errs := make([]error, len(commands))
	c.o.Each(len(commands), func(k int) { errs[k] = c.send(ctx, commands[k]) })
	for k, m := range commands {
		c.note(m, errs[k])
	}
	c.o.Set("placement_loads_waiting", float64(c.waiting(now, usable, stored)))
}

// errNotSent tells that a command was dropped because the lease had ended.
var errNotSent = errors.New("commander: the lease has ended")

func (c *Commander) send(ctx context.Context, m placer.Command) error {
	var address string
	for _, e := range c.o.Endpoints() { // read again: it may be out by now
		if e.ID == m.Endpoint {
			address = e.Address
		}
	}
	if address == "" || c.leaving.Load() || !c.o.Lease.Held() {
		return errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout.Duration())
	defer cancel()
	action := engineclient.ActionLoad
	if m.Kind == placer.Unload {
		action = engineclient.ActionUnload
	}
	return c.o.Command(ctx, address, m.Number, action, m.Version)
}

// note counts the outcome of a command.
func (c *Commander) note(m placer.Command, err error) {
	s := c.states[m.Endpoint]
	if m.Kind == placer.Load {
		s.loading = m.Version
	}
	reason := "failed"
	switch {
	case err == nil:
		s.denied = false
		c.o.Event("placement_command_sent")
		klog.Infof("commander: %s %s at %s under number %d", m.Kind, m.Version, m.Endpoint, m.Number)
		return
	case errors.Is(err, errNotSent):
		reason = "dropped"
	case errors.Is(err, engineclient.ErrForbidden):
		reason = "forbidden"
		s.forbidden = c.o.Now() + c.o.ForbiddenPause
		if !s.denied {
			s.denied = true
			klog.Errorf("commander: %s refuses the command key, check endpoint_key in the keys file", m.Endpoint)
		}
	case errors.Is(err, engineclient.ErrFenced):
		reason = "fenced"
	case errors.Is(err, engineclient.ErrNoWeights):
		reason = "no_weights"
	}
	c.o.Event("placement_command_" + reason)
	if reason != "dropped" && reason != "forbidden" {
		klog.Warningf("commander: %s %s at %s: %v", m.Kind, m.Version, m.Endpoint, err)
	}
}

// waiting returns the loads that the weight-store budget delays.
func (c *Commander) waiting(now clock.Millis, states []*state, desired map[string][]string) int {
	n := 0
	for _, s := range states {
		free := s.endpoint.Slots - len(s.endpoint.Versions)
		for _, v := range desired[s.endpoint.ID] {
			if free > 0 && v != s.loading && !slices.Contains(s.endpoint.Versions, v) && c.placer.LoadWait(now, v) != 0 {
				n++
				free--
			}
		}
	}
	return n
}
