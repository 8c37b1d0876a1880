package assembler

import (
	"context"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/allocator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/commander"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/placer"
)

const (
	placementInterval = 500 * clock.Millis(1)
	placementLifetime = 6 * clock.Second
	placementMargin   = 200 * clock.Millis(1)
	placementRenew    = 1500 * clock.Millis(1)
	placementTimeout  = clock.Second
	commandTimeout    = 2 * clock.Second // a command may still take effect after its call has ended
	loadTimeout       = clock.Minute
	reportLag         = clock.Second
	settleTime        = 11 * clock.Second // bound of invariant I12
	absentTime        = 30 * clock.Second
	forbiddenPause    = 5 * clock.Minute
	stageTime         = 10 * clock.Second
	placementCalls    = 16 // open at once
)

// buildPlacement connects the commander if the settings ask for it.
func (i *Instance) buildPlacement() {
	if !i.settings.Placement {
		return
	}
	l := i.settings.Limits
	i.commander = commander.New(commander.Options{
		Lease: &placer.Lease{
			Get: i.store.Get, Put: i.store.Put, Now: i.clock.Now, Key: "placement/" + i.settings.DataCentre,
			Member: allocator.MemberName(i.settings.Instance, i.incarnation), Lifetime: placementLifetime,
			Margin: placementMargin,
		},
		// Two instances per data centre compete, so that the reads of the record
		// do not grow with the fleet.
		Compete: func() bool { return !i.drain.leaving() && i.follower.Watcher() && i.confirmed() == nil },
		Now:     i.clock.Now, Out: func() bool { return i.policy.current().out[i.settings.DataCentre] },
		Endpoints: i.commanded, Wanted: i.wantedVersions, LongestWork: i.longestWork,
		Load: func(ctx context.Context, address string) (engineclient.Load, error) {
			return i.engine(address).Load(ctx)
		},
		Command: func(ctx context.Context, address string, number uint64, action, version string) error {
			return i.engine(address).Command(ctx, number, action, version)
		},
		Event: i.meter.Event, Set: i.meter.Set, Each: each,
		Placer: placer.Options{
			CommandTimeout: commandTimeout, LoadTimeout: loadTimeout,
			Rate: float64(l.LoadsPerMinute) / clock.Minute.Duration().Seconds(), Burst: 1,
			Stages: []float64{0.25, 0.5}, StageTime: stageTime,
		},
		Keyed: i.keys.Keys().EndpointKey != "", RenewEvery: placementRenew, CallTimeout: placementTimeout,
		ReportLag: reportLag, Settle: settleTime, Absent: absentTime, ForbiddenPause: forbiddenPause,
	})
}

// each runs calls at the same time, up to a limit, and waits for them.
func each(n int, run func(k int)) {
	var g errgroup.Group
	g.SetLimit(placementCalls)
	for k := range n {
		g.Go(func() error {
			run(k)
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
}

// commanded returns the model engines of this data centre that may be commanded.
func (i *Instance) commanded() []commander.Endpoint {
	var all []commander.Endpoint
	for _, r := range i.tracker.Rows(i.clock.Now()) {
		if r.Service == "" && r.DataCentre == i.settings.DataCentre && !r.Out && !r.Leaving {
			all = append(all, commander.Endpoint{
				ID: r.ID, Address: r.Address, Slots: i.settings.Limits.VersionsPerEndpoint,
			})
		}
	}
	return all
}

// wantedVersions is empty while the configuration is not confirmed.
func (i *Instance) wantedVersions() map[string]float64 {
	if i.confirmed() != nil {
		return nil
	}
	return commander.Shares(i.policy.current().fleet)
}

// longestWork returns the longest deadline of a model service.
func (i *Instance) longestWork() clock.Millis {
	var longest clock.Millis
	for _, s := range i.policy.current().fleet.Services {
		if s.Kind == parser.KindModel {
			longest = max(longest, s.DeadlineMS)
		}
	}
	return longest
}

// tickPlacement starts a step of the placement unless one still runs.
func (i *Instance) tickPlacement(clock.Millis) {
	if i.commander == nil || !i.placing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.placing.Store(false)
		i.commander.Tick(context.Background())
	}()
}

// leavePlacement lets another instance command the endpoints.
func (i *Instance) leavePlacement(ctx context.Context) {
	if i.commander == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := i.commander.Leave(ctx); err != nil {
		klog.Warningf("assembler: the placement's lease is not released and will expire: %v", err)
	}
}
