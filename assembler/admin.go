package assembler

import (
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/reviser"
	"rosemaryarch.example/rosemaryarch/server"
)

func (i *Instance) newServer() *server.Server {
	return &server.Server{
		Now: i.clock.Now, Chat: i.router.Chat, Call: i.router.Call, Entries: i.entries, Ready: i.ready,
		Workspace: func(key string) (string, bool) {
			w, ok := i.policy.current().fleet.KeyOwner(key)
			if !ok {
				return "", false
			}
			return w.Name, true
		},
		Operator: func(key string) bool { return i.keys.Keys().Operator(key) },
		Deadline: func(service string) (clock.Millis, bool) {
			s, ok := i.policy.current().fleet.Service(service)
			if !ok {
				return 0, false
			}
			return min(s.DeadlineMS, i.options.Permits.Work), true
		},
		NewID: newID, Admin: i.administrator(), Meter: i.meter, MaxBodyBytes: i.settings.Limits.MaxBodyBytes,
	}
}

// administrator returns the operators' calls on this instance.
func (i *Instance) administrator() administrator.Administrator {
	return administrator.Administrator{
		Apply: func(ctx context.Context, c administrator.ApplyCall) (administrator.Change, error) {
			o, err := i.reviser.Apply(ctx, c.Text, c.From, c.ChangeID)
			return change(c.ChangeID, o, err)
		},
		SetDataCentre: func(ctx context.Context, c administrator.SetCall) (administrator.Change, error) {
			o, err := i.reviser.SetDataCentre(ctx, c.Name, c.Out, c.ChangeID)
			return change(c.ChangeID, o, err)
		},
		SetEndpoint: func(ctx context.Context, c administrator.SetCall) (administrator.Change, error) {
			o, err := i.reviser.SetEndpoint(ctx, c.Name, c.Out, c.ChangeID)
			return change(c.ChangeID, o, err)
		},
		RotateSessionKey: func(ctx context.Context, c administrator.RotateCall) (administrator.Change, error) {
			o, err := i.reviser.RotateSessionKey(ctx, c.ChangeID)
			return change(c.ChangeID, o, err)
		},
		Outcome: i.outcome,
		Config: func(context.Context, administrator.Empty) (administrator.Config, error) {
			o := i.policy.current().object
			return administrator.Config{
				Revision: o.Revision, Text: o.Text,
				DataCentresOut: orEmpty(o.DataCentresOut), EndpointsOut: orEmpty(o.EndpointsOut),
			}, nil
		},
		Status: func(context.Context, administrator.Empty) (administrator.Status, error) { return i.status(), nil },
	}
}

// change turns the outcome of a write into its answer. The revision is that of
// the change, which a later write may have passed.
func change(id string, o reviser.Object, err error) (administrator.Change, error) {
	if err != nil {
		return administrator.Change{}, err
	}
	revision := o.Revision
	if c, ok := o.Change(id); ok {
		revision = c.Revision
	}
	return administrator.Change{ID: id, Outcome: administrator.OutcomeAccepted, Revision: revision}, nil
}

// orEmpty makes a list that JSON shows as [] instead of null.
func orEmpty(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}

func (i *Instance) outcome(ctx context.Context, c administrator.OutcomeCall) (administrator.Change, error) {
	found, err := i.reviser.Outcome(ctx, c.ChangeID)
	switch {
	case err == nil:
		return administrator.Change{ID: c.ChangeID, Outcome: administrator.OutcomeAccepted, Revision: found.Revision}, nil
	case errors.Is(err, refuser.ErrChangeUnknown):
		return administrator.Change{}, err
	case errors.Is(err, reviser.ErrNotRecorded):
		return administrator.Change{ID: c.ChangeID, Outcome: administrator.OutcomeNotFound}, nil
	default:
		return administrator.Change{}, refuser.ErrChangeUnknown.WithMessage("%v", err)
	}
}

// status describes the fleet as this instance sees it.
func (i *Instance) status() administrator.Status {
	now := i.clock.Now()
	c := i.policy.current()
	fresh, reason := i.follower.Fresh(now)
	s := administrator.Status{
		Instance: i.settings.Instance, Revision: c.object.Revision, Fresh: fresh, FreshReason: reason,
		Instances: []administrator.InstanceStatus{}, DataCentres: []administrator.DataCentreStatus{},
		Endpoints: []administrator.EndpointStatus{},
	}
	live := map[string]int{}
	for _, m := range i.gossip.Members() {
		revision := c.object.Revision
		if m.ID != i.settings.Instance {
			revision = binary.BigEndian.Uint64(m.Digest[:])
		}
		s.Instances = append(s.Instances, administrator.InstanceStatus{
			ID: m.ID, DataCentre: m.DataCentre, State: memberState(m.State), Incarnation: m.Process(), Revision: revision,
		})
		if m.State == gossiper.Alive {
			live[m.DataCentre]++
		}
	}
	endpoints := map[string]int{}
	for _, r := range i.tracker.Rows(now) {
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
			Name: d.Name, Region: d.Region, Out: c.out[d.Name], Instances: live[d.Name], Endpoints: endpoints[d.Name],
		})
	}
	s.Versions = i.versionStatus()
	return s
}

func (i *Instance) versionStatus() []administrator.VersionStatus {
	f := i.policy.current().fleet
	stopped := i.supervisor.Stopped(f)
	shares, reasons := i.supervisor.Shares()
	all := []administrator.VersionStatus{}
	for _, m := range f.Models {
		for _, v := range m.Versions {
			var e rater.Estimate
			for _, bucket := range i.rater.Totals(func(k rater.Key) bool { return k.Version == v.Key }, 0, i.clock.Now()) {
				e = e.Plus(bucket)
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
