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
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/connector"
	"rosemaryarch.example/rosemaryarch/disseminator"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/follower"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/limiter"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/pinner"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/prober"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/reconciler"
	"rosemaryarch.example/rosemaryarch/router"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/supervisor"
	"rosemaryarch.example/rosemaryarch/tracker"
)

// Options replace the defaults of an instance where it is embedded, for example
// in a test. Zero fields take the defaults of the daemon.
type Options struct {
	Clock    clock.Clock
	Promoter func(instance string) promoter.Promoter
	Permits  permitter.Options
	Timing   router.Timing
	// QualityHalfLife is the time in which a quality count loses half of its weight.
	QualityHalfLife clock.Millis
	// Listen and Dial open listeners and connections; they use TCP if nil.
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed seeds the random choices; 0 takes a random seed.
	Seed uint64
}

// DefaultQualityHalfLife is the default of Options.QualityHalfLife. It is short
// compared to the daily cycle of the load, so that versions are compared at the
// same time of day.
const DefaultQualityHalfLife = 2 * clock.Hour

const (
	maxEstimatorCells  = 50_000
	tickInterval       = 50 * time.Millisecond
	initialServiceTime = 500 * clock.Millis(1)
	dialTimeout        = 2 * time.Second
)

// Instance is one instance of the router. Start runs it, and Shutdown or Kill
// ends it.
type Instance struct {
	settings    loader.Settings
	options     Options
	keys        *loader.KeyRing
	clock       clock.Clock
	incarnation uint64
	attempts    atomic.Uint64 // counter for attempt ids; it also selects the backups of bills in turn
	done        chan struct{} // closed when the instance stops
	closeOnce   sync.Once
	goroutines  sync.WaitGroup

	meter               *meter.Meter
	store               storeclient.Store
	messenger           *messenger.Messenger
	gossip              *gossiper.Gossiper
	follower            *follower.Follower
	configWriter        *configwriter.Writer
	allocator           *allocator.Allocator
	tracker             *tracker.Tracker
	prober              *prober.Prober
	estimator           *estimator.Estimator
	supervisor          *supervisor.Supervisor
	archiver            *archiver.Archiver
	countsRestored      atomic.Bool            // the stored quality counts have been merged, or are being merged
	reconciler          *reconciler.Reconciler // nil unless the settings enable placement
	placementRunning    atomic.Bool            // a step of the placement is in progress
	disseminator        *disseminator.Disseminator
	committer           *committer.Committer
	billCommitter       *committer.Committer // commits bills
	claimer             *claimer.Claimer
	biller              *biller.Biller
	pinner              *pinner.Pinner
	pinReadsPausedUntil atomic.Int64    // instant until which stored session pins are not read
	pinCommits          chan struct{}   // semaphore: one element for each session pin that is being committed
	reportedDeaths      map[string]bool // member names whose death was reported to the biller

	newestIncarnations map[string]uint64 // newest known incarnation of each instance, by id
	admitter           *admitter.Admitter
	router             *router.Router
	instanceList       listclient.Client

	plainClient   *http.Client // for the platform; it has no timeout of its own
	serviceClient *http.Client // for plain services; each request has its own connection
	engineClient  *http.Client // for model engines
	config        configState
	fleet         fleetState
	drain         drainState

	callerServer *http.Server
	peerServer   *http.Server
}

// New builds an instance. It starts no goroutine and opens no connection before
// Start.
func New(s loader.Settings, o Options) (*Instance, error) {
	keys, err := loader.OpenKeys(s.KeysFile)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: s, options: o.withDefaults(s.Limits), keys: keys, done: make(chan struct{}),
		meter: meter.New(), reportedDeaths: map[string]bool{}, newestIncarnations: map[string]uint64{},
	}
	i.plainClient = newHTTPClient(i.options.Dial)
	i.serviceClient = newServiceClient(i.options.Dial)
	engines := &connector.Connector{
		DialContext: i.options.Dial, ProcessEnded: i.forgetEngineProcess, Now: i.options.Clock.Now,
	}
	i.engineClient = newHTTPClient(engines.Dial)
	i.clock = i.options.Clock
	i.incarnation = uint64(i.clock.Now())
	i.store = i.countStoreCalls(storeclient.NewHTTP(s.Store, i.plainClient))
	i.instanceList = listclient.NewHTTP(s.InstanceList, i.plainClient)
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
	if o.Promoter == nil {
		o.Promoter = promoter.Default
	}
	if o.Permits == (permitter.Options{}) {
		o.Permits = permitter.DefaultOptions()
		o.Permits.MaxRequestTime = l.MaxRequestMS
		o.Permits.FinishedPerUnit = 1 // requests are counted only after the engine has reported that it is warm
	}
	if o.Timing == (router.Timing{}) {
		o.Timing = router.DefaultTiming()
	}
	if o.QualityHalfLife == 0 {
		o.QualityHalfLife = DefaultQualityHalfLife
	}
	if o.Listen == nil {
		// TCP keep-alive is off: its probes would count against the budget of
		// control traffic, and gossip detects dead peers already.
		listenConfig := net.ListenConfig{KeepAlive: -1}
		o.Listen = func(network, address string) (net.Listener, error) {
			return listenConfig.Listen(context.Background(), network, address)
		}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return o
}

// newHTTPClient returns a client that keeps enough idle connections for the
// endpoints that one instance uses.
func newHTTPClient(dial func(context.Context, string, string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second,
	}}
}

// newServiceClient returns a client that reuses no connection. Answers of plain
// services carry no id, so that a late copy of an answer could not be told from the
// answer to the next call on its connection.
func newServiceClient(dial func(context.Context, string, string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true},
		// A redirect is the service's answer to the call; following it would be another call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newRandom returns a random generator for one purpose, identified by stream. With
// Options.Seed its sequence depends on the seed, the instance id and the stream
// only; without, it differs in each run.
func (i *Instance) newRandom(stream uint64) *mathrand.Rand {
	if i.options.Seed != 0 {
		return mathrand.New(mathrand.NewPCG(i.options.Seed, xxhash.Sum64String(i.settings.Instance)+stream))
	}
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), stream))
}

func (i *Instance) buildPolicy() {
	i.estimator = estimator.New(i.settings.Instance, i.incarnation, i.options.QualityHalfLife, maxEstimatorCells)
	i.archiver = archiver.New(i.store, i.estimator)
	i.supervisor = supervisor.New(i.store, i.estimator, i.options.Promoter(i.settings.Instance))
	i.admitter = admitter.New(admitter.Options{
		Now: i.clock.Now, MaxQueued: i.settings.Limits.MaxQueued, InitialSlots: minSlots,
		InitialServiceTime: initialServiceTime,
	})
}

func (i *Instance) buildEndpoints() {
	i.tracker = tracker.New(tracker.Options{
		DataCentre: i.settings.DataCentre, Distance: i.distance, Random: i.newRandom(1),
		Permits: tracker.Permits{
			AvailableUnits: i.allocator.AvailableUnits, Start: i.allocator.Start, Finish: i.allocator.Finish,
			MarkCold: i.allocator.MarkCold, RecordDemand: i.allocator.RecordDemand,
		},
		Breaker: breaker.Options{
			Window: clock.Second, MinRequests: 10, ErrorRate: 0.5, ConsecutiveErrors: 5, OpenFor: clock.Second,
			OpenMax: 4 * clock.Second, MaxProbes: 1, ProbeSuccesses: 3, ProbeTimeout: 2 * clock.Second, MaxOpenShare: 0.5,
		},
	})
	i.prober = prober.New(prober.Options{
		Engine: i.newEngineClient, OnLoad: i.tracker.Report, OnCacheEvents: i.tracker.RecordCacheEvents, Now: i.clock.Now,
		Interval: probeInterval, Timeout: probeTimeout,
	})
}

func (i *Instance) buildRouter() {
	i.router = router.New(router.Options{
		Now: i.clock.Now, Config: i.configSnapshot, CheckReady: i.checkReady, ConfigConfirmed: i.checkConfirmed,
		Engine: i.newEngineClient, RateAnswer: i.rateAnswer,
		PinnedVersion: i.pinnedVersion, PinVersion: i.pinVersion, AddBill: i.addBill, RunAtMostOnce: i.runAtMostOnce,
		SendCall: i.sendCall, AttemptID: i.attemptID,
		Admitter: i.admitter, Tracker: i.tracker, Estimator: i.estimator, Planner: planner.Default(),
		Limiter: limiter.New(limiter.Options{
			RetriesPerSuccess: 0.08, Burst: 10, InitialTokens: 2, MaxKeys: 512, BaseDelay: 20, MaxDelay: clock.Second,
		}),
		Meter: i.meter, Random: i.newRandom(2), Timing: i.options.Timing,
	}, i.done)
}

func (i *Instance) newEngineClient(address string) engineclient.Client {
	return engineclient.NewHTTP(address, i.keys.Keys().EndpointKey, i.engineClient)
}

// forgetEngineProcess discards what is known of the process at an engine's
// address. It is called when a connection shows that the process has ended.
func (i *Instance) forgetEngineProcess(address string) {
	i.tracker.ForgetProcess("http://"+address, i.clock.Now())
}

// attemptID returns an attempt id that is unique over all instances and their
// restarts.
func (i *Instance) attemptID() string {
	return fmt.Sprintf("%s/%d/%d", i.settings.Instance, i.incarnation, i.attempts.Add(1))
}

// newID returns a random request id.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Start opens the listeners and runs the instance. It returns once the instance
// accepts connections, which may be before it is ready for new requests.
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
	i.peerServer = &http.Server{Handler: i.messenger, ReadHeaderTimeout: 5 * time.Second, TLSConfig: i.peerServerTLS()}
	i.callerServer = &http.Server{Handler: i.newServer().Handler(), ReadHeaderTimeout: 5 * time.Second}
	i.spawn(func() { i.servePeers(peers) })
	i.spawn(func() { logServeError("callers", i.callerServer.Serve(callers)) })
	i.spawn(func() { i.follower.Run(i.store, i.clock, i.done) })
	i.spawn(func() { i.allocator.Run(i.done) })
	i.spawn(i.runBills)
	i.spawn(i.runPeriodicTasks)
	klog.Infof("assembler: instance %s listens on %s, peers on %s",
		i.settings.Instance, i.settings.Listen, i.settings.PeerListen)
	return nil
}

func (i *Instance) servePeers(l net.Listener) {
	if i.peerServer.TLSConfig != nil {
		logServeError("peers", i.peerServer.ServeTLS(l, "", ""))
		return
	}
	logServeError("peers", i.peerServer.Serve(l))
}

func logServeError(clients string, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("assembler: the server for %s failed: %v", clients, err)
	}
}

func (i *Instance) spawn(run func()) {
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
		run()
	}()
}

// runPeriodicTasks runs the tasks that are due at each tick, until the instance
// stops. Tasks that wait for the network start their own goroutine.
func (i *Instance) runPeriodicTasks() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	tasks := i.periodicTasks()
	for {
		select {
		case <-t.C:
			now := i.clock.Now()
			for k := range tasks {
				tasks[k].tick(now)
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
	i.biller.Run(ctx, billRunInterval)
}

// periodicTask is a function that runs at an interval.
type periodicTask struct {
	interval clock.Millis
	next     clock.Millis
	run      func(now clock.Millis)
}

func (t *periodicTask) tick(now clock.Millis) {
	if now < t.next {
		return
	}
	t.next = now + t.interval
	t.run(now)
}

// periodicTasks returns the tasks of runPeriodicTasks in the order in which they
// run within a tick. The shortest interval is tickInterval.
func (i *Instance) periodicTasks() []periodicTask {
	return []periodicTask{
		{interval: 50, run: i.tickGossip},
		{interval: clock.Second, run: i.tickRollOuts},
		{interval: 200, run: func(clock.Millis) { i.refreshSnapshot() }},
		{interval: 50, run: func(now clock.Millis) { i.tracker.Tick(now) }},
		{interval: 50, run: func(clock.Millis) { i.admitter.Tick() }},
		{interval: 100, run: i.tickProbes},
		{interval: 250, run: i.tickSlots},
		{interval: disseminator.Interval, run: func(clock.Millis) { i.tickDissemination(false) }},
		{interval: listInterval, run: i.tickList},
		{interval: clock.Second, run: i.tickRecords},
		{interval: clock.Second, run: i.tickRestore},
		{interval: archiveInterval, run: i.tickArchive},
		{interval: placementInterval, run: i.tickPlacement},
		{interval: clock.Second, run: i.tickPeers},
		{interval: clock.Second, run: i.tickDeadMembers},
		{interval: clock.Second, run: i.tickMeter},
		{interval: loader.KeysReloadInterval, run: i.tickKeys},
	}
}

func (i *Instance) tickKeys(clock.Millis) {
	if err := i.keys.Reload(); err != nil {
		klog.Warningf("assembler: cannot reload the keys file: %v", err)
	}
}

// Kill ends the instance at once, like a crash: it closes the connections of
// running streams and does not announce that it leaves.
func (i *Instance) Kill() {
	// The callers' connections are closed first: an answer must not complete when
	// its bill can no longer be copied to a backup. A crash ends both at once.
	if i.callerServer != nil {
		_ = i.callerServer.Close()
	}
	i.closeOnce.Do(func() { close(i.done) })
	if i.reconciler != nil {
		i.reconciler.Close()
	}
	if i.peerServer != nil {
		_ = i.peerServer.Close()
	}
	i.messenger.Close()
	i.claimer.Close()
	i.goroutines.Wait()
}
