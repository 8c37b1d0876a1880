package assembler

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/archiver"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/prober"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/tracker"
)

const (
	listInterval  = clock.Second
	listTimeout   = time.Second
	probeInterval = 500 * clock.Millis(1)
	probeTimeout  = 400 * clock.Millis(1)
	peerTimeout   = 500 * time.Millisecond
	recordTimeout = time.Second

	// Estimated one-way network delays in milliseconds: between data centres of
	// different regions, between data centres of one region, and within a data
	// centre.
	crossRegionMillis = 15
	sameRegionMillis  = 1
	sameCentreMillis  = 0.1
)

// fleetState holds what the instance knows of the other instances and of the
// endpoints.
type fleetState struct {
	mu              sync.Mutex
	members         []listclient.Member // from the last successful read of the instance list
	listReadRunning bool                // a read of the instance list is in progress
	entries         entryCache
	serverTLS       *tls.Config // for connections from peers; nil without TLS
}

func (i *Instance) peerServerTLS() *tls.Config { return i.fleet.serverTLS }

// distance estimates the one-way network delay between two data centres in
// milliseconds.
func (i *Instance) distance(from, to string) float32 {
	if from == to {
		return sameCentreMillis
	}
	f := i.config.current().fleet
	a, _ := f.DataCentre(from)
	b, _ := f.DataCentre(to)
	if a.Region == b.Region {
		return sameRegionMillis
	}
	return crossRegionMillis
}

// tickList starts a read of the instance list unless one is in progress. If the
// read fails, the previous list stays in use.
func (i *Instance) tickList(clock.Millis) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if i.fleet.listReadRunning {
		return
	}
	i.fleet.listReadRunning = true
	go i.readList()
}

func (i *Instance) readList() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	members, err := i.instanceList.List(ctx)
	i.fleet.mu.Lock()
	i.fleet.listReadRunning = false
	if err == nil {
		i.fleet.members = members
	}
	i.fleet.mu.Unlock()
	if err != nil {
		i.meter.CountEvent("instance_list_failed")
		return
	}
	i.seedMembers(members)
	i.refreshEndpoints()
}

// seedMembers passes the live instances of the list to the gossip protocol. The
// list gives their peer addresses.
func (i *Instance) seedMembers(members []listclient.Member) {
	var seeds []gossiper.Member
	for _, m := range members {
		if m.Kind == listclient.KindInstance && m.ID != i.settings.Instance && m.State == listclient.StateLive {
			region := ""
			if d, ok := i.config.current().fleet.DataCentre(m.DataCentre); ok {
				region = d.Region
			}
			seeds = append(seeds, gossiper.Member{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: region})
		}
	}
	i.gossip.Seed(i.clock.Now(), seeds)
}

// refreshEndpoints updates the endpoint table from the instance list and the
// configuration.
func (i *Instance) refreshEndpoints() {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	c := i.config.current()
	var endpoints []tracker.Endpoint
	for _, m := range i.fleet.members {
		if m.Kind == listclient.KindInstance {
			continue
		}
		endpoints = append(endpoints, tracker.Endpoint{
			ID: m.ID, Address: "http://" + m.Address, DataCentre: m.DataCentre, Service: m.Service,
			Leaving: m.State == listclient.StateLeaving, Out: c.dataCentresOut[m.DataCentre] || c.endpointsOut[m.ID],
			Limit: endpointLimit(c.fleet, m),
		})
	}
	classes := c.fleet.VersionKeys()
	for _, s := range c.fleet.Services {
		if s.Kind == parser.KindPlain {
			classes = append(classes, s.Name)
		}
	}
	var centres []string
	for _, d := range c.fleet.DataCentres {
		centres = append(centres, d.Name)
	}
	now := i.clock.Now()
	i.tracker.SetEndpoints(endpoints, classes, centres, now)
	i.tracker.Tick(now)
}

// endpointLimit returns the maximum number of concurrent requests of a warm
// endpoint. A model engine may run any model, so it gets the highest limit of all.
func endpointLimit(f *parser.Fleet, m listclient.Member) int {
	if s, ok := f.Service(m.Service); ok {
		return s.MaxConcurrent
	}
	limit := 0
	for _, model := range f.Models {
		limit = max(limit, model.MaxConcurrent)
	}
	return limit
}

func (i *Instance) tickProbes(now clock.Millis) {
	var targets []prober.Target
	for _, r := range i.tracker.EndpointStates(now) {
		if r.Service == "" {
			targets = append(targets, prober.Target{ID: r.ID, Address: r.Address})
		}
	}
	i.prober.Tick(targets, now)
}

const (
	minSlots        = 4
	slotsOvercommit = 2 // above 1, so that an instance can use capacity that others leave idle
)

// tickSlots sets the maximum number of concurrent requests of this instance in
// each pool: the capacity of the pool's endpoints, divided by the number of alive
// instances and multiplied by slotsOvercommit.
func (i *Instance) tickSlots(now clock.Millis) {
	capacity := map[string]int{}
	f := i.config.current().fleet
	for _, m := range f.Models {
		capacity[m.Name] = 0
	}
	for _, r := range i.tracker.EndpointStates(now) {
		if r.State != tracker.StateServing && r.State != tracker.StateCold {
			continue
		}
		for _, pool := range r.Pools {
			capacity[pool] += r.Limit
		}
	}
	instances := 0
	for _, m := range i.gossip.Members() {
		if m.State == gossiper.Alive {
			instances++
		}
	}
	slots := map[string]int{}
	for pool, n := range capacity {
		share := int(slotsOvercommit * float64(n) / float64(max(instances, 1)))
		slots[pool] = min(max(share, minSlots), i.settings.Limits.MaxInFlight)
	}
	i.admitter.SetSlots(slots)
}

// tickRecords merges the roll-out records with the stored ones. Only the instances
// that watch the store do so, two per data centre, so that the number of store
// calls does not grow with the fleet.
func (i *Instance) tickRecords(clock.Millis) {
	if !i.follower.IsWatcher() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		err := i.supervisor.Sync(ctx)
		if err != nil && !errors.IsAny(err, storeclient.ErrConflict, storeclient.ErrUnavailable, storeclient.ErrUnknown) {
			klog.Errorf("assembler: cannot synchronise the roll-out records: %v", err)
		}
	}()
}

// archiveInterval is the interval at which the quality counts are saved.
const archiveInterval = clock.Minute

// tickRestore merges the stored quality counts once after the start.
func (i *Instance) tickRestore(now clock.Millis) {
	if i.countsRestored.Swap(true) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := i.archiver.Load(ctx, now); err != nil {
			i.countsRestored.Store(false) // retry at the next tick
		}
	}()
}

// tickArchive saves the quality counts of the fleet if this instance is the
// preferred writer of their object.
func (i *Instance) tickArchive(now clock.Millis) {
	if i.preferredWriter(archiver.Key).ID != i.settings.Instance || !i.countsRestored.Load() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := i.archiver.Save(ctx, now); err != nil {
			i.meter.CountEvent("counts_not_saved")
		}
	}()
}

// tickMeter sets the gauges.
func (i *Instance) tickMeter(now clock.Millis) {
	i.meter.SetGauge("revision", float64(i.config.current().object.Revision))
	alive := 0
	for _, m := range i.gossip.Members() {
		if m.State == gossiper.Alive {
			alive++
		}
	}
	i.meter.SetGauge("members_alive", float64(alive))
	running, waiting := i.admitter.Load()
	i.meter.SetGauge("requests_running", float64(running))
	i.meter.SetGauge("requests_waiting", float64(waiting))
	states := map[string]int{}
	for _, r := range i.tracker.EndpointStates(now) {
		states[r.State]++
	}
	for _, s := range tracker.States() {
		i.meter.SetGauge("endpoints_"+s, float64(states[s]))
	}
}

// countStoreCalls wraps a store so that its calls are counted by operation and
// outcome.
func (i *Instance) countStoreCalls(s storeclient.Store) storeclient.Store {
	count := func(operation string, err error) {
		outcome := "ok"
		for name, sentinel := range map[string]error{
			"conflict": storeclient.ErrConflict, "unknown": storeclient.ErrUnknown, "unavailable": storeclient.ErrUnavailable,
			"not_found": storeclient.ErrNotFound,
		} {
			if errors.Is(err, sentinel) {
				outcome = name
			}
		}
		i.meter.CountStoreCall(operation, outcome)
	}
	c := s
	c.Get = func(ctx context.Context, key string) (storeclient.Object, error) {
		o, err := s.Get(ctx, key)
		count("get", err)
		return o, err
	}
	c.Version = func(ctx context.Context, key string) (uint64, error) {
		v, err := s.Version(ctx, key)
		count("version", err)
		return v, err
	}
	c.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		v, err := s.Put(ctx, key, value, expect)
		count("put", err)
		return v, err
	}
	c.Watch = func(ctx context.Context, prefix string, from uint64) ([]storeclient.Object, uint64, error) {
		o, next, err := s.Watch(ctx, prefix, from)
		count("watch", err)
		return o, next, err
	}
	return c
}
