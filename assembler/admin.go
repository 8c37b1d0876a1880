package assembler

import (
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/server"
)

// newServer returns the HTTP server for callers and operators.
func (i *Instance) newServer() *server.Server {
	return &server.Server{
		Now: i.clock.Now, Chat: i.router.Chat, Call: i.router.Call, Entries: i.entries, CheckReady: i.checkReady,
		WorkspaceByKey: func(key string) (string, bool) {
			w, ok := i.config.current().fleet.KeyOwner(key)
			if !ok {
				return "", false
			}
			return w.Name, true
		},
		IsOperatorKey: func(key string) bool { return i.keys.Keys().IsOperatorKey(key) },
		ServiceTimeout: func(service string) (clock.Millis, bool) {
			s, ok := i.config.current().fleet.Service(service)
			if !ok {
				return 0, false
			}
			return min(s.DeadlineMS, i.options.Permits.MaxRequestTime), true
		},
		NewID: newID, Admin: i.administrator(), Meter: i.meter, MaxBodyBytes: i.settings.Limits.MaxBodyBytes,
	}
}

// administrator returns the implementation of the operators' calls.
func (i *Instance) administrator() administrator.Administrator {
	return administrator.Administrator{
		Apply: func(ctx context.Context, c administrator.ApplyCall) (administrator.Change, error) {
			o, err := i.configWriter.Apply(ctx, c.Text, c.FromRevision, c.ChangeID)
			return changeResult(c.ChangeID, o, err)
		},
		SetDataCentre: func(ctx context.Context, c administrator.SetOutCall) (administrator.Change, error) {
			o, err := i.configWriter.SetDataCentre(ctx, c.Name, c.Out, c.ChangeID)
			return changeResult(c.ChangeID, o, err)
		},
		SetEndpoint: func(ctx context.Context, c administrator.SetOutCall) (administrator.Change, error) {
			o, err := i.configWriter.SetEndpoint(ctx, c.Name, c.Out, c.ChangeID)
			return changeResult(c.ChangeID, o, err)
		},
		RotateSessionKey: func(ctx context.Context, c administrator.RotateCall) (administrator.Change, error) {
			o, err := i.configWriter.RotateSessionKey(ctx, c.ChangeID)
			return changeResult(c.ChangeID, o, err)
		},
		Outcome: i.outcome,
		Config: func(context.Context, administrator.Empty) (administrator.Config, error) {
			o := i.config.current().object
			return administrator.Config{
				Revision: o.Revision, Text: o.Text,
				DataCentresOut: nonNil(o.DataCentresOut), EndpointsOut: nonNil(o.EndpointsOut),
			}, nil
		},
		Status: func(context.Context, administrator.Empty) (administrator.Status, error) { return i.status(), nil },
	}
}

// changeResult converts the result of a write into the answer. The answer has the
// revision that the change with the given id made; the object may already have a
// later one.
func changeResult(id string, o configwriter.Object, err error) (administrator.Change, error) {
	if err != nil {
		return administrator.Change{}, err
	}
	revision := o.Revision
	if c, ok := o.Change(id); ok {
		revision = c.Revision
	}
	return administrator.Change{ID: id, Outcome: administrator.OutcomeAccepted, Revision: revision}, nil
}

// nonNil replaces nil by an empty list, which JSON encodes as [] instead of null.
func nonNil(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}

// outcome returns the outcome of an earlier change of the configuration.
func (i *Instance) outcome(ctx context.Context, c administrator.OutcomeCall) (administrator.Change, error) {
	found, err := i.configWriter.Outcome(ctx, c.ChangeID)
	switch {
	case err == nil:
		return administrator.Change{ID: c.ChangeID, Outcome: administrator.OutcomeAccepted, Revision: found.Revision}, nil
	case errors.Is(err, refuser.ErrChangeUnknown):
		return administrator.Change{}, err
	case errors.Is(err, configwriter.ErrNotRecorded):
		return administrator.Change{ID: c.ChangeID, Outcome: administrator.OutcomeNotFound}, nil
	default:
		return administrator.Change{}, refuser.ErrChangeUnknown.WithMessage("%v", err)
	}
}

// status returns the state of the fleet as this instance knows it.
func (i *Instance) status() administrator.Status {
	now := i.clock.Now()
	c := i.config.current()
	fresh, reason := i.follower.Fresh(now)
	s := administrator.Status{
		Instance: i.settings.Instance, Revision: c.object.Revision, Fresh: fresh, FreshReason: reason,
		Instances: []administrator.InstanceStatus{}, DataCentres: []administrator.DataCentreStatus{},
		Endpoints: []administrator.EndpointStatus{},
	}
	alive := map[string]int{}
	for _, m := range i.gossip.Members() {
		revision := c.object.Revision
		if m.ID != i.settings.Instance {
			revision = binary.BigEndian.Uint64(m.Digest[:])
		}
		s.Instances = append(s.Instances, administrator.InstanceStatus{
			ID: m.ID, DataCentre: m.DataCentre, State: memberState(m.State), Incarnation: m.Process(), Revision: revision,
		})
		if m.State == gossiper.Alive {
			alive[m.DataCentre]++
		}
	}
	endpoints := map[string]int{}
	for _, r := range i.tracker.EndpointStates(now) {
		kind := "model"
		if r.Service != "" {
			kind = r.Service
		}
		s.Endpoints = append(s.Endpoints, administrator.EndpointStatus{
			ID: r.ID, DataCentre: r.DataCentre, Kind: kind, State: r.State, InFlight: r.InFlight, Limit: r.Limit,
			LoadAge: r.LoadAge,
		})
		endpoints[r.DataCentre]++
	}
	for _, d := range c.fleet.DataCentres {
		s.DataCentres = append(s.DataCentres, administrator.DataCentreStatus{
			Name: d.Name, Region: d.Region, Out: c.dataCentresOut[d.Name], Instances: alive[d.Name],
			Endpoints: endpoints[d.Name],
		})
	}
	s.Versions = i.versionStatus()
	return s
}

// versionStatus returns the roll-out state and the quality of each model version.
func (i *Instance) versionStatus() []administrator.VersionStatus {
	f := i.config.current().fleet
	stopped := i.supervisor.Stopped(f)
	shares, reasons := i.supervisor.Shares()
	all := []administrator.VersionStatus{}
	for _, m := range f.Models {
		for _, v := range m.Versions {
			var e estimator.Estimate
			for _, bucket := range i.estimator.Totals(
				func(k estimator.Key) bool { return k.Version == v.Key }, 0, i.clock.Now(),
			) {
				e = e.Add(bucket)
			}
			all = append(all, administrator.VersionStatus{
				Key: v.Key, State: v.State, Stopped: stopped[v.Key], Share: shares[v.Key], ShareReason: reasons[v.Key],
				Ratings: int(e.Rated), Quality: e.Mean(), Errors: int(e.Errors),
			})
		}
	}
	return all
}

func memberState(s uint8) string {
	names := map[uint8]string{
		gossiper.Alive: "alive", gossiper.Suspect: "suspect", gossiper.Leaving: "leaving", gossiper.Dead: "dead",
	}
	return names[s]
}
