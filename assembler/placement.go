package assembler

import (
	"context"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/allocator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/placer"
	"rosemaryarch.example/rosemaryarch/reconciler"
)

const (
	placementInterval      = 500 * clock.Millis(1)
	placementLeaseLifetime = 6 * clock.Second
	placementLeaseMargin   = 200 * clock.Millis(1) // for the difference between the rates of two clocks
	placementRenewInterval = 1500 * clock.Millis(1)
	placementCallTimeout   = clock.Second
	// commandTimeout is longer than a call, since a command may still take effect
	// after its call has ended.
	commandTimeout = 2 * clock.Second
	loadTimeout    = clock.Minute // time after which a command without visible effect may be sent again
	maxReportAge   = clock.Second // largest age of an endpoint's load report when it is read
	// propagationTime is the upper bound of the time until a new configuration is
	// active on all instances (invariant I12).
	propagationTime   = 11 * clock.Second
	unreadableTimeout = 30 * clock.Second // time without a load report after which an endpoint gets no versions
	forbiddenPause    = 5 * clock.Minute  // time without commands after an endpoint has refused the command key
	minStageTime      = 10 * clock.Second // shortest time of each stage of a return to service
	maxPlacementCalls = 16                // concurrent calls to endpoints
)

// buildPlacement creates the control loop that loads and unloads model versions
// on the endpoints of this data centre, if the settings enable it.
func (i *Instance) buildPlacement() {
	if !i.settings.Placement {
		return
	}
	l := i.settings.Limits
	i.reconciler = reconciler.New(reconciler.Options{
		Lease: &placer.Lease{
			Get: i.store.Get, Put: i.store.Put, Now: i.clock.Now, Key: "placement/" + i.settings.DataCentre,
			Member: allocator.MemberName(i.settings.Instance, i.incarnation), Lifetime: placementLeaseLifetime,
			Margin: placementLeaseMargin,
		},
		// Only the two instances per data centre that watch the store compete for
		// the lease, so that the number of reads does not grow with the fleet.
		MayTakeLease: func() bool { return !i.drain.started() && i.follower.IsWatcher() && i.checkConfirmed() == nil },
		Now:          i.clock.Now, Out: func() bool { return i.config.current().dataCentresOut[i.settings.DataCentre] },
		Endpoints: i.placementEndpoints, RequiredShares: i.requiredShares, MaxRequestTime: i.maxRequestTime,
		Load: func(ctx context.Context, address string) (engineclient.Load, error) {
			return i.newEngineClient(address).Load(ctx)
		},
		Command: func(ctx context.Context, address string, number uint64, action, version string) error {
			return i.newEngineClient(address).Command(ctx, number, action, version)
		},
		CountEvent: i.meter.CountEvent, SetGauge: i.meter.SetGauge, ForEach: forEachConcurrently,
		Placer: placer.Options{
			CommandTimeout: commandTimeout, LoadTimeout: loadTimeout,
			Rate: float64(l.LoadsPerMinute) / clock.Minute.Duration().Seconds(), Burst: 1,
			Stages: []float64{0.25, 0.5}, StageTime: minStageTime,
		},
		Keyed: i.keys.Keys().EndpointKey != "", RenewEvery: placementRenewInterval, CallTimeout: placementCallTimeout,
		ReportLag: maxReportAge, PropagationTime: propagationTime, UnreadableTimeout: unreadableTimeout,
		ForbiddenPause: forbiddenPause,
	})
}

// forEachConcurrently calls run for each k below n, with a limit on the number of
// concurrent calls, and waits until all have returned.
func forEachConcurrently(n int, run func(k int)) {
	var g errgroup.Group
	g.SetLimit(maxPlacementCalls)
	for k := range n {
		g.Go(func() error {
			run(k)
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
}

// placementEndpoints returns the model engines of this data centre to which
// placement commands may be sent.
func (i *Instance) placementEndpoints() []reconciler.Endpoint {
	var all []reconciler.Endpoint
	for _, r := range i.tracker.EndpointStates(i.clock.Now()) {
		if r.Service == "" && r.DataCentre == i.settings.DataCentre && !r.Out && !r.Leaving {
			all = append(all, reconciler.Endpoint{
				ID: r.ID, Address: r.Address, Slots: i.settings.Limits.VersionsPerEndpoint,
			})
		}
	}
	return all
}

// requiredShares returns the traffic share of each version that must be loaded.
// It is empty while the configuration is not confirmed.
func (i *Instance) requiredShares() map[string]float64 {
	if i.checkConfirmed() != nil {
		return nil
	}
	return reconciler.Shares(i.config.current().fleet)
}

// maxRequestTime returns the longest time that a request to a model service may
// run after its arrival.
func (i *Instance) maxRequestTime() clock.Millis {
	var longest clock.Millis
	for _, s := range i.config.current().fleet.Services {
		if s.Kind == parser.KindModel {
			longest = max(longest, s.DeadlineMS)
		}
	}
	return longest
}

// tickPlacement starts a step of the placement unless one is still in progress.
func (i *Instance) tickPlacement(clock.Millis) {
	if i.reconciler == nil || !i.placementRunning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.placementRunning.Store(false)
		i.reconciler.Tick(context.Background())
	}()
}

// leavePlacement releases the lease, so that another instance can take over the
// placement without waiting for its expiry.
func (i *Instance) leavePlacement(ctx context.Context) {
	if i.reconciler == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := i.reconciler.Leave(ctx); err != nil {
		klog.Warningf("assembler: cannot release the placement lease, it will expire: %v", err)
	}
}
