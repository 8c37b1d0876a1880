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
	"rosemaryarch.example/rosemaryarch/storer"
	"rosemaryarch.example/rosemaryarch/tracker"
)

const (
	listInterval  = clock.Second
	listTimeout   = time.Second
	probeInterval = 500 * clock.Millis(1)
	probeTimeout  = 400 * clock.Millis(1)
	peerTimeout   = 500 * time.Millisecond
	recordTimeout = time.Second

	// regionDistance and centreDistance are milliseconds between two data
	// centres of different regions and of one region.
	regionDistance = 15
	centreDistance = 1
	localDistance  = 0.1
)

// fleetTables are what the instance knows of the fleet's machines.
type fleetTables struct {
	mu        sync.Mutex
	members   []listclient.Member
	reading   bool // a read of the instance list is open
	entries   entries
	serverTLS *tls.Config
}

func (i *Instance) peerServerTLS() *tls.Config { return i.fleet.serverTLS }

// distance estimates the milliseconds between two data centres.
func (i *Instance) distance(from, to string) float32 {
	if from == to {
		return localDistance
	}
	f := i.policy.current().fleet
	a, _ := f.DataCentre(from)
	b, _ := f.DataCentre(to)
	if a.Region == b.Region {
		return centreDistance
	}
	return regionDistance
}

// tickList reads the instance list. If it cannot be read, the last one stays.
func (i *Instance) tickList(clock.Millis) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if i.fleet.reading {
		return
	}
	i.fleet.reading = true
	go i.readList()
}

func (i *Instance) readList() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	members, err := i.list.List(ctx)
	i.fleet.mu.Lock()
	i.fleet.reading = false
	if err == nil {
		i.fleet.members = members
	}
	i.fleet.mu.Unlock()
	if err != nil {
		i.meter.Event("instance_list_failed")
		return
	}
	i.seedMembers(members)
	i.refreshEndpoints()
}

// seedMembers tells the membership of the listed entry instances. Their list
// address is the one for peers.
func (i *Instance) seedMembers(members []listclient.Member) {
	var seeds []gossiper.Member
	for _, m := range members {
		if m.Kind == listclient.KindEntry && m.ID != i.settings.Instance && m.State == listclient.StateLive {
			region := ""
			if d, ok := i.policy.current().fleet.DataCentre(m.DataCentre); ok {
				region = d.Region
			}
			seeds = append(seeds, gossiper.Member{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: region})
		}
	}
	i.gossip.Seed(i.clock.Now(), seeds)
}

// refreshEndpoints passes list and configuration to the table of endpoints.
func (i *Instance) refreshEndpoints() {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	c := i.policy.current()
	var endpoints []tracker.Endpoint
	for _, m := range i.fleet.members {
		if m.Kind == listclient.KindEntry {
			continue
		}
		endpoints = append(endpoints, tracker.Endpoint{
			ID: m.ID, Address: "http://" + m.Address, DataCentre: m.DataCentre, Service: m.Service,
			Leaving: m.State == listclient.StateLeaving, Out: c.out[m.DataCentre] || c.endpointsOut[m.ID],
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
	i.tracker.Adopt(endpoints, classes, centres, now)
	i.tracker.Tick(now)
}

// endpointLimit returns how many requests a warm endpoint runs at once.
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
	for _, r := range i.tracker.Rows(now) {
		if r.Service == "" {
			targets = append(targets, prober.Target{ID: r.ID, Address: r.Address})
		}
	}
	i.prober.Tick(targets, now)
}

const (
	minSlots    = 4
	slotsFactor = 2 // lets one instance use capacity that others leave unused
)

// tickSlots sets how many requests this instance runs at once in each pool: its
// part of what the pool's endpoints can run.
func (i *Instance) tickSlots(now clock.Millis) {
	capacity := map[string]int{}
	f := i.policy.current().fleet
	for _, m := range f.Models {
		capacity[m.Name] = 0
	}
	for _, r := range i.tracker.Rows(now) {
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
		part := int(slotsFactor * float64(n) / float64(max(instances, 1)))
		slots[pool] = min(max(part, minSlots), i.settings.Limits.MaxInFlight)
	}
	i.admitter.SetSlots(slots)
}

// tickRecords merges the roll-out records with the stored ones. One instance
// per data centre reads the store, so that its calls do not grow with the fleet.
func (i *Instance) tickRecords(clock.Millis) {
	if !i.follower.Watcher() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		err := i.supervisor.Sync(ctx)
		if err != nil && !errors.IsAny(err, storer.ErrConflict, storer.ErrUnavailable, storer.ErrUnknown) {
			klog.Errorf("assembler: roll-out records: %v", err)
		}
	}()
}

// archiveInterval is how often the counts are saved.
const archiveInterval = clock.Minute

// tickRestore merges the stored counts once.
func (i *Instance) tickRestore(now clock.Millis) {
	if i.restored.Swap(true) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := i.archiver.Load(ctx, now); err != nil {
			i.restored.Store(false) // tried again at the next tick
		}
	}()
}

// tickArchive saves the counts from one instance of the fleet.
func (i *Instance) tickArchive(now clock.Millis) {
	if i.writer(archiver.Key).ID != i.settings.Instance || !i.restored.Load() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := i.archiver.Save(ctx, now); err != nil {
			i.meter.Event("counts_not_saved")
		}
	}()
}

func (i *Instance) tickMeter(now clock.Millis) {
	i.meter.Set("revision", float64(i.policy.current().object.Revision))
	alive := 0
	for _, m := range i.gossip.Members() {
		if m.State == gossiper.Alive {
			alive++
		}
	}
	i.meter.Set("members_alive", float64(alive))
	running, waiting := i.admitter.Load()
	i.meter.Set("requests_running", float64(running))
	i.meter.Set("requests_waiting", float64(waiting))
	states := map[string]int{}
	for _, r := range i.tracker.Rows(now) {
		states[r.State]++
	}
	for _, s := range tracker.States() {
		i.meter.Set("endpoints_"+s, float64(states[s]))
	}
}

// counted wraps a store so that its calls are counted by outcome.
func (i *Instance) counted(s storer.Store) storer.Store {
	note := func(operation string, err error) {
		outcome := "ok"
		for name, sentinel := range map[string]error{
			"conflict": storer.ErrConflict, "unknown": storer.ErrUnknown, "unavailable": storer.ErrUnavailable,
			"not_found": storer.ErrNotFound,
		} {
			if errors.Is(err, sentinel) {
				outcome = name
			}
		}
		i.meter.StoreCall(operation, outcome)
	}
	c := s
	c.Get = func(ctx context.Context, key string) (storer.Object, error) {
		o, err := s.Get(ctx, key)
		note("get", err)
		return o, err
	}
	c.Version = func(ctx context.Context, key string) (uint64, error) {
		v, err := s.Version(ctx, key)
		note("version", err)
		return v, err
	}
	c.Put = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		v, err := s.Put(ctx, key, value, expect)
		note("put", err)
		return v, err
	}
	c.Watch = func(ctx context.Context, prefix string, from uint64) ([]storer.Object, uint64, error) {
		o, next, err := s.Watch(ctx, prefix, from)
		note("watch", err)
		return o, next, err
	}
	return c
}
