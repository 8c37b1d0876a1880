package reconciler

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

// updateRecord stores a new record if the desired placement or the stage of the
// return to service changes, or if an endpoint has seen a higher fencing number
// than the record's.
func (r *Reconciler) updateRecord(ctx context.Context, list []Endpoint,
	readable []*endpointState, shares map[string]float64) {
	now, record := r.options.Now(), r.options.Lease.Record()
	next, inputs := record, r.decidedInputs
	if r.options.Out() {
		next.Stage = 0
	} else {
		if placeable, ok := r.placeable(now, list, record); ok {
			if key := encodeInputs(placeable, shares); key != r.decidedInputs {
				next.Desired, inputs = placer.ComputePlacement(placeable, shares, r.previousPlacement(record)), key
			}
		}
		next.Stage = r.stage(now, record, readable)
	}
	r.options.SetGauge("placement_stage", float64(next.Stage))
	seen := r.highestNumber(readable)
	if next.Stage == record.Stage && equalPlacements(next.Desired, record.Desired) && seen <= record.FencingNumber {
		r.decidedInputs = inputs
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout.Duration())
	defer cancel()
	err := r.options.Lease.Change(ctx, func(placer.Record) placer.Record {
		next.FencingNumber = max(next.FencingNumber, seen)
		return next
	})
	if err != nil {
		r.nextRenewal = 0
		r.options.CountEvent("placement_change_failed")
		return
	}
	r.decidedInputs = inputs
	klog.Infof("reconciler: stored placement %s with number %d and stage %d",
		r.options.Lease.Key, r.options.Lease.Record().FencingNumber, next.Stage)
}

// stage returns the stage that the record should have. A first placement is not a
// return to service, so its record has passed all stages from the beginning.
func (r *Reconciler) stage(now clock.Millis, record placer.Record, readable []*endpointState) int {
	switch {
	case len(record.Desired) == 0:
		return len(r.options.Placer.Stages)
	case len(readable) == 0:
		return record.Stage
	}
	return r.placer.NextStage(now, record, placerEndpoints(readable))
}

// placeable returns the endpoints that can get versions, and whether a placement
// can be computed. A first placement waits until all endpoints have been read, so
// that it keeps their loaded versions.
func (r *Reconciler) placeable(now clock.Millis, list []Endpoint, record placer.Record) ([]placer.Endpoint, bool) {
	var placeable []placer.Endpoint
	for _, e := range list {
		s := r.states[e.ID]
		if now-s.readableAt >= r.options.UnreadableTimeout {
			continue
		}
		_, placed := record.Desired[e.ID]
		if !s.everRead && len(record.Desired) == 0 {
			return nil, false
		}
		if s.everRead || placed {
			placeable = append(placeable, s.endpoint)
		}
	}
	return placeable, len(placeable) > 0
}

// previousPlacement returns the placement that a new one keeps as far as possible:
// the desired one, and the loaded versions of endpoints that it does not contain.
func (r *Reconciler) previousPlacement(record placer.Record) map[string][]string {
	previous := make(map[string][]string, len(r.states))
	for id, s := range r.states {
		previous[id] = s.endpoint.Versions
	}
	maps.Copy(previous, record.Desired)
	return previous
}

// highestNumber returns the highest fencing number that the endpoints have seen.
// It may exceed the record's number, since some endpoints do not check who sends a
// command. The maximum of uint64 is ignored, since no number could follow it.
func (r *Reconciler) highestNumber(readable []*endpointState) uint64 {
	var n uint64
	for _, s := range readable {
		if s.fencingNumber < math.MaxUint64 {
			n = max(n, s.fencingNumber)
		}
	}
	return n
}

// encodeInputs returns a string that is equal for equal endpoints, slots and
// shares.
func encodeInputs(endpoints []placer.Endpoint, shares map[string]float64) string {
	var b strings.Builder
	for _, e := range endpoints {
		fmt.Fprintf(&b, "%s %d\n", e.ID, e.Slots)
	}
	for _, v := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(&b, "%s %g\n", v, shares[v])
	}
	return b.String()
}

func equalPlacements(a, b map[string][]string) bool { return maps.EqualFunc(a, b, slices.Equal) }

// placerEndpoints returns the states of the endpoints as placer.Endpoint values.
func placerEndpoints(states []*endpointState) []placer.Endpoint {
	all := make([]placer.Endpoint, 0, len(states))
	for _, s := range states {
		all = append(all, s.endpoint)
	}
	return all
}

// sendCommands computes and sends the next commands under the stored record, in which
// each endpoint also keeps the versions that must not be unloaded yet.
func (r *Reconciler) sendCommands(ctx context.Context, readable []*endpointState, shares map[string]float64) {
	now, record := r.options.Now(), r.options.Lease.Record()
	record.Desired = maps.Clone(record.Desired)
	if record.Desired == nil {
		return
	}
	stored := r.options.Lease.Record().Desired
	var usable []*endpointState
	for _, s := range readable {
		if retained := r.retained(now, s, stored[s.endpoint.ID], shares); len(retained) > 0 {
			record.Desired[s.endpoint.ID] = append(slices.Clone(stored[s.endpoint.ID]), retained...)
		}
		if now >= s.pausedUntil {
			usable = append(usable, s)
		}
	}
	commands := r.placer.Tick(now, record, placerEndpoints(usable))
	errs := make([]error, len(commands))
	r.options.ForEach(len(commands), func(k int) { errs[k] = r.send(ctx, commands[k]) })
	for k, m := range commands {
		r.recordOutcome(m, errs[k])
	}
	r.options.SetGauge("placement_loads_waiting", float64(r.countDelayedLoads(now, usable, stored)))
}

// errNotSent is returned for a command that was dropped because the lease had ended
// or the endpoint was no longer listed.
var errNotSent = errors.New("reconciler: lease has ended or endpoint is out of service")

// send sends a command if the lease is still held and the endpoint still listed.
func (r *Reconciler) send(ctx context.Context, m placer.Command) error {
	var address string
	for _, e := range r.options.Endpoints() { // read again: it may have been taken out of service
		if e.ID == m.Endpoint {
			address = e.Address
		}
	}
	if address == "" || r.leaving.Load() || !r.options.Lease.Held() {
		return errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout.Duration())
	defer cancel()
	action := engineclient.ActionLoad
	if m.Kind == placer.Unload {
		action = engineclient.ActionUnload
	}
	return r.options.Command(ctx, address, m.Number, action, m.Version)
}

// recordOutcome counts the outcome of a command and stops commands to an endpoint
// that refuses the command key.
func (r *Reconciler) recordOutcome(m placer.Command, err error) {
	s := r.states[m.Endpoint]
	if m.Kind == placer.Load {
		s.loading = m.Version
	}
	reason := "failed"
	switch {
	case err == nil:
		s.refusalLogged = false
		r.options.CountEvent("placement_command_sent")
		klog.Infof("reconciler: %s %s at %s under number %d", m.Kind, m.Version, m.Endpoint, m.Number)
		return
	case errors.Is(err, errNotSent):
		reason = "dropped"
	case errors.Is(err, engineclient.ErrForbidden):
		reason = "forbidden"
		s.pausedUntil = r.options.Now() + r.options.ForbiddenPause
		if !s.refusalLogged {
			s.refusalLogged = true
			klog.Errorf("reconciler: %s refuses the command key, check endpoint_key in the keys file", m.Endpoint)
		}
	case errors.Is(err, engineclient.ErrFenced):
		reason = "fenced"
	case errors.Is(err, engineclient.ErrNoWeights):
		reason = "no_weights"
	}
	r.options.CountEvent("placement_command_" + reason)
	if reason != "dropped" && reason != "forbidden" {
		klog.Warningf("reconciler: %s %s at %s: %v", m.Kind, m.Version, m.Endpoint, err)
	}
}

// countDelayedLoads returns the number of loads that the weight-store budget delays.
func (r *Reconciler) countDelayedLoads(now clock.Millis, states []*endpointState, desired map[string][]string) int {
	n := 0
	for _, s := range states {
		free := s.endpoint.Slots - len(s.endpoint.Versions)
		for _, v := range desired[s.endpoint.ID] {
			if free > 0 && v != s.loading && !slices.Contains(s.endpoint.Versions, v) && r.placer.LoadWait(now, v) != 0 {
				n++
				free--
			}
		}
	}
	return n
}
