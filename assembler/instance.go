package assembler

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/admitter"
	"rosemaryarch.example/rosemaryarch/allocator"
	"rosemaryarch.example/rosemaryarch/archiver"
	"rosemaryarch.example/rosemaryarch/biller"
	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/claimer"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/commander"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/connector"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/follower"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/limiter"
	"rosemaryarch.example/rosemaryarch/linker"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/pinner"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/prober"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/reviser"
	"rosemaryarch.example/rosemaryarch/roller"
	"rosemaryarch.example/rosemaryarch/router"
	"rosemaryarch.example/rosemaryarch/spreader"
	"rosemaryarch.example/rosemaryarch/storer"
	"rosemaryarch.example/rosemaryarch/supervisor"
	"rosemaryarch.example/rosemaryarch/tracker"
)

// Options vary an instance for embedding and for demonstrations. Zero fields
// take the daemon's defaults.
type Options struct {
	Clock   clock.Clock
	Roller  func(instance string) roller.Roller
	Permits permitter.Options
	Timing  router.Timing
	// HalfLife is that of the quality counts.
	HalfLife clock.Millis
	// Listen and Dial open the connections; TCP if nil.
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed makes the random choices repeatable; 0 draws a seed.
	Seed uint64
}

// DefaultHalfLife is that of the quality counts: short against the daily pattern
// of the load, so that versions are compared at the same time of day.
const DefaultHalfLife = 2 * clock.Hour

const (
	maxCells       = 50_000
	tickInterval   = 50 * time.Millisecond
	initialService = 500 * clock.Millis(1)
	dialTimeout    = 2 * time.Second
)

// Instance is one entry instance. Start runs it, and Shutdown or Kill ends it.
type Instance struct {
	settings    loader.Settings
	options     Options
	keys        *loader.KeyRing
	clock       clock.Clock
	incarnation uint64
	attempts    atomic.Uint64
	done        chan struct{}
	closeOnce   sync.Once
	running     sync.WaitGroup

	meter          *meter.Meter
	store          storer.Store
	links          *linker.Linker
	gossip         *gossiper.Gossiper
	follower       *follower.Follower
	reviser        *reviser.Reviser
	allocator      *allocator.Allocator
	tracker        *tracker.Tracker
	prober         *prober.Prober
	rater          *rater.Rater
	supervisor     *supervisor.Supervisor
	archiver       *archiver.Archiver
	restored       atomic.Bool          // the stored counts have been merged
	commander      *commander.Commander // nil unless the settings ask for placement
	placing        atomic.Bool          // a step of the placement runs
	spreader       *spreader.Spreader
	committer      *committer.Committer
	ledger         *committer.Committer // of bills
	claimer        *claimer.Claimer
	biller         *biller.Biller
	pinner         *pinner.Pinner
	pinsDown       atomic.Int64    // instant until which pins are not read
	pinning        chan struct{}   // one element for each pin that is being committed
	deathsReported map[string]bool // members whose death the biller knows of

	incarnations map[string]uint64 // the newest seen of each member
	admitter     *admitter.Admitter
	router       *router.Router
	list         listclient.Client

	plain   *http.Client // towards plain services and the platform; no timeout of its own
	engines *http.Client // towards model engines
	policy  policy
	fleet   fleetTables
	drain   drainState

	callers *http.Server
	peers   *http.Server
}

// New builds an instance. Nothing runs before Start.
func New(s loader.Settings, o Options) (*Instance, error) {
	keys, err := loader.OpenKeys(s.KeysFile)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: s, options: o.withDefaults(s.Limits), keys: keys, done: make(chan struct{}),
		meter: meter.New(), deathsReported: map[string]bool{}, incarnations: map[string]uint64{},
	}
	i.plain = newHTTPClient(i.options.Dial)
	engines := &connector.Connector{DialContext: i.options.Dial, Ended: i.engineEnded, Now: i.options.Clock.Now}
	i.engines = newHTTPClient(engines.Dial)
	i.clock = i.options.Clock
	i.incarnation = uint64(i.clock.Now())
	i.store = i.counted(storer.NewHTTP(s.Store, i.plain))
	i.list = listclient.NewHTTP(s.List, i.plain)
	i.buildPolicy()
	if err := i.buildPeers(); err != nil {
		return nil, err
	}
	i.buildEndpoints()
	i.buildState()
	i.buildRouter()
	i.buildPlacement()
	return i, nil
}

func (o Options) withDefaults(l loader.Limits) Options {
	if o.Clock.Now == nil {
		o.Clock = clock.System()
	}
	if o.Roller == nil {
		o.Roller = roller.Default
	}
	if o.Permits == (permitter.Options{}) {
		o.Permits = permitter.DefaultOptions()
		o.Permits.Work = l.LongestRequestMS
		o.Permits.StepWork = 1 // requests count only once the engine reports that it is warm
	}
	if o.Timing == (router.Timing{}) {
		o.Timing = router.DefaultTiming()
	}
	if o.HalfLife == 0 {
		o.HalfLife = DefaultHalfLife
	}
	if o.Listen == nil {
		// Keep-alive probes would use a part of the control traffic's budget, and
		// gossip detects dead peers.
		quiet := net.ListenConfig{KeepAlive: -1}
		o.Listen = func(network, address string) (net.Listener, error) {
			return quiet.Listen(context.Background(), network, address)
		}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return o
}

// newHTTPClient returns a client with enough idle connections for the endpoints
// of one instance.
func newHTTPClient(dial func(context.Context, string, string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second,
	}}
}

// seeded returns a generator whose sequence differs between instances and runs.
func (i *Instance) seeded(stream uint64) *mathrand.Rand {
	if i.options.Seed != 0 {
		return mathrand.New(mathrand.NewPCG(i.options.Seed, xxhash.Sum64String(i.settings.Instance)+stream))
	}
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), stream))
}

func (i *Instance) buildPolicy() {
	i.rater = rater.New(i.settings.Instance, i.incarnation, i.options.HalfLife, maxCells)
	i.archiver = archiver.New(i.store, i.rater)
	i.supervisor = supervisor.New(i.store, i.rater, i.options.Roller(i.settings.Instance))
	i.admitter = admitter.New(admitter.Options{
		Now: i.clock.Now, MaxQueued: i.settings.Limits.MaxQueued, InitialSlots: minSlots, InitialService: initialService,
	})
}

func (i *Instance) buildEndpoints() {
	i.tracker = tracker.New(tracker.Options{
		DataCentre: i.settings.DataCentre, Distance: i.distance, Random: i.seeded(1),
		Permits: tracker.Permits{
			Units: i.allocator.Units, Start: i.allocator.Start, Finish: i.allocator.Finish,
			Cold: i.allocator.Cold, Wanted: i.allocator.Wanted,
		},
		Breaker: breaker.Options{
			Window: clock.Second, MinRequests: 10, ErrorRate: 0.5, Consecutive: 5, OpenFor: clock.Second,
			OpenMax: 4 * clock.Second, Probes: 1, Successes: 3, ProbeTimeout: 2 * clock.Second, MaxShare: 0.5,
		},
	})
	i.prober = prober.New(prober.Options{
		Engine: i.engine, Report: i.tracker.Report, Cached: i.tracker.Cached, Now: i.clock.Now,
		Every: probeInterval, Timeout: probeTimeout,
	})
}

func (i *Instance) buildRouter() {
	i.router = router.New(router.Options{
		Now: i.clock.Now, View: i.view, Ready: i.ready, Confirmed: i.confirmed, Engine: i.engine, Rate: i.rate,
		Pinned: i.pinned, Pin: i.pin, Bill: i.bill, Once: i.once, Send: i.send, AttemptID: i.attemptID,
		Admit: i.admitter, Tracker: i.tracker, Rater: i.rater, Planner: planner.Default(),
		Limiter: limiter.New(limiter.Options{
			Share: 0.08, Burst: 10, Initial: 2, Keys: 512, Base: 20, Max: clock.Second,
		}),
		Meter: i.meter, Random: i.seeded(2), Timing: i.options.Timing,
	}, i.done)
}

func (i *Instance) engine(address string) engineclient.Client {
	return engineclient.NewHTTP(address, i.keys.Keys().EndpointKey, i.engines)
}

// engineEnded forgets which process runs at an engine's address.
func (i *Instance) engineEnded(address string) { i.tracker.Distrust("http://"+address, i.clock.Now()) }

// attemptID returns an id that no attempt of any instance has or will have.
func (i *Instance) attemptID() string {
	return fmt.Sprintf("%s/%d/%d", i.settings.Instance, i.incarnation, i.attempts.Add(1))
}

// newID returns a random request id.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Start opens the listeners and runs the systems. It returns once the instance
// accepts connections; it may not be ready for new work yet.
func (i *Instance) Start() error {
	peers, err := i.options.Listen("tcp", i.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	callers, err := i.options.Listen("tcp", i.settings.Listen)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "listen for callers")
	}
	i.peers = &http.Server{Handler: i.links, ReadHeaderTimeout: 5 * time.Second, TLSConfig: i.peerServerTLS()}
	i.callers = &http.Server{Handler: i.newServer().Handler(), ReadHeaderTimeout: 5 * time.Second}
	i.spawn(func() { i.servePeers(peers) })
	i.spawn(func() { reportServe("callers", i.callers.Serve(callers)) })
	i.spawn(func() { i.follower.Run(i.store, i.clock, i.done) })
	i.spawn(func() { i.allocator.Run(i.done) })
	i.spawn(i.runBills)
	i.spawn(i.runSystems)
	klog.Infof("assembler: instance %s listens on %s, peers on %s",
		i.settings.Instance, i.settings.Listen, i.settings.PeerListen)
	return nil
}

func (i *Instance) servePeers(l net.Listener) {
	if i.peers.TLSConfig != nil {
		reportServe("peers", i.peers.ServeTLS(l, "", ""))
		return
	}
	reportServe("peers", i.peers.Serve(l))
}

func reportServe(who string, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("assembler: serving %s ended: %v", who, err)
	}
}

func (i *Instance) spawn(run func()) {
	i.running.Add(1)
	go func() {
		defer i.running.Done()
		run()
	}()
}

// runSystems ticks every system until the instance stops.
func (i *Instance) runSystems() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	systems := i.systems()
	for {
		select {
		case <-t.C:
			now := i.clock.Now()
			for k := range systems {
				systems[k].tick(now)
			}
		case <-i.done:
			return
		}
	}
}

// runBills commits bills until the instance stops.
func (i *Instance) runBills() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-i.done
		cancel()
	}()
	i.biller.Run(ctx, billInterval)
}

// system is a step that runs every so often.
type system struct {
	every clock.Millis
	next  clock.Millis
	run   func(now clock.Millis)
}

func (s *system) tick(now clock.Millis) {
	if now < s.next {
		return
	}
	s.next = now + s.every
	s.run(now)
}

// systems returns what runs on the tick, in order.
func (i *Instance) systems() []system {
	return []system{
		{every: 50, run: i.tickGossip},
		{every: clock.Second, run: i.tickRollOuts},
		{every: 200, run: func(clock.Millis) { i.refreshView() }},
		{every: 50, run: func(now clock.Millis) { i.tracker.Tick(now) }},
		{every: 50, run: func(clock.Millis) { i.admitter.Tick() }},
		{every: 100, run: i.tickProbes},
		{every: 250, run: i.tickSlots},
		{every: spreader.Interval, run: func(clock.Millis) { i.tickSpread(false) }},
		{every: listInterval, run: i.tickList},
		{every: clock.Second, run: i.tickRecords},
		{every: clock.Second, run: i.tickRestore},
		{every: archiveInterval, run: i.tickArchive},
		{every: placementInterval, run: i.tickPlacement},
		{every: clock.Second, run: i.tickPeers},
		{every: clock.Second, run: i.tickDeaths},
		{every: clock.Second, run: i.tickMeter},
		{every: loader.KeysReloadInterval, run: i.tickKeys},
	}
}

func (i *Instance) tickKeys(clock.Millis) {
	if err := i.keys.Reload(); err != nil {
		klog.Warningf("assembler: keys file: %v", err)
	}
}

// Kill ends the instance at once, as a crash would: streams are cut and nothing
// is announced.
func (i *Instance) Kill() {
	// Callers go first: an answer must not end after its bill could no longer be
	// given to a backup, which a real crash does not let happen either.
	if i.callers != nil {
		_ = i.callers.Close()
	}
	i.closeOnce.Do(func() { close(i.done) })
	if i.commander != nil {
		i.commander.Close()
	}
	if i.peers != nil {
		_ = i.peers.Close()
	}
	i.links.Close()
	i.claimer.Close()
	i.running.Wait()
}
