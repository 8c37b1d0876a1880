package launcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/capper"
	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/dispatcher"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/pauser"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/relayer"
	"rosemaryarch.example/rosemaryarch/reserver"
	"rosemaryarch.example/rosemaryarch/retainer"
	"rosemaryarch.example/rosemaryarch/settler"
	"rosemaryarch.example/rosemaryarch/slowstarter"
	"rosemaryarch.example/rosemaryarch/spooler"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// configWait is the long-poll wait of the watch of the configuration, the
	// primary kind. A revoked key must stop working within seconds, so the
	// confirmation must not get much older than this.
	configWait = 1000 * clock.Millis(1)
	// defaultWait is the long-poll wait of the other watches, which return early
	// on a change.
	defaultWait = 12 * clock.Second
	// endpointSpacing is the least time between two watch calls that return changes
	// of endpoints, which batches them: while many endpoints start, each of them
	// changes about once a second. It is a small part of the two seconds after
	// which a draining endpoint must receive no requests.
	endpointSpacing = 300 * clock.Millis(1)
	// keyAgeMargin is subtracted from the revocation bound: the store's watches may
	// miss changes for a second, during which an empty result confirms nothing.
	keyAgeMargin = 1150 * clock.Millis(1)
	// dialTimeout bounds the time to connect to an endpoint. The longest network
	// latency within the deployment is a few ms.
	dialTimeout = 400 * clock.Millis(1)
	// taskInterval is the time between two runs of the periodic tasks.
	taskInterval = 200 * clock.Millis(1)
	// sweepInterval is the time between two removals of the dispatcher's expired
	// state.
	sweepInterval = 2 * clock.Second
	// idleTimeout is the time after which an idle client connection is closed. It
	// exceeds what any configuration of the deployments requires.
	idleTimeout = 5 * time.Minute
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 30 * time.Second
	// maxHeaderBytes is the size of the largest header that is read. The limit in
	// the configuration is checked later.
	maxHeaderBytes = 256 << 10
	// memoryLimitShare is the part of the process's memory limit that is set as the
	// soft limit of the Go runtime. The rest is for kernel buffers.
	memoryLimitShare = 0.7
	// responseMemoryShare is the part that may be held for responses that are not complete,
	// and defaultResponseMemory that number of bytes in a process without a limit.
	responseMemoryShare   = 0.125
	defaultResponseMemory = 64 << 20
	// spoolMemoryShare is the part that may be held for callers that read slowly, and
	// defaultSpoolMemory that number of bytes in a process without a limit.
	spoolMemoryShare   = 0.125
	defaultSpoolMemory = 16 << 20
	// bodyMemoryShare is the part that may be held for the bodies of requests, and
	// defaultBodyMemory that number of bytes in a process without a limit. A body that grows
	// takes up to twice its size.
	bodyMemoryShare   = 0.2
	defaultBodyMemory = 256 << 20
	// plainDuration is the assumed mean duration in ms of a plain request until some
	// have been observed.
	plainDuration = 30
	// acceptStreamsFor is the time after SIGTERM during which new streams are accepted.
	// A stream that a client sends later than 3 s after SIGTERM must not be cut.
	acceptStreamsFor = 3*clock.Second - signalMargin
	// signalMargin is the time that a signal may take to be handled by a busy process.
	signalMargin = 250 * clock.Millis(1)
	// exitMargin is the time between the shutdown deadline and the end of the
	// grace period.
	exitMargin = 300 * clock.Millis(1)
	// answerMargin is the time between the last responses and the shutdown deadline.
	answerMargin = 200 * clock.Millis(1)
	// lingerShare is the part of the grace period during which new requests are
	// still served, for clients with a cached directory response.
	lingerShare = 0.8
	// MetricsPort is the TCP port of the metrics. It must match the port in
	// deploy/system.toml.
	MetricsPort = "9464"
)

// Launcher is one instance with all its parts.
type Launcher struct {
	path     string
	settings *platform.Settings

	clock           clock.Clock
	bounds          atomic.Pointer[platform.Bounds]
	table           atomic.Pointer[matcher.Table]    // current configuration; nil: none yet
	tableAt         atomic.Pointer[watcher.Position] // at which the store has shown it
	evacuated       atomic.Pointer[map[string]bool]  // evacuated data centres
	endpointsListed atomic.Bool                      // the endpoints have been listed once
	endpointsAt     atomic.Int64                     // instant of the last change of an endpoint, in ms
	storeUpSince    atomic.Int64                     // instant in ms since which the store answers; 0: it does not
	stopping        atomic.Bool
	logger          *logger.Logger
	meter           *meter.Meter
	store           *platform.Store
	catalog         *cataloger.Cataloger
	budget          *budgeter.Budgeter
	stager          *stager.Stager
	quarantine      *quarantiner.Quarantiner
	capper          *capper.Capper
	calibrator      *calibrator.Calibrator
	storedHolds     atomic.Pointer[string] // held parts that the store is known to hold
	storingHolds    atomic.Bool            // they are being written
	settler         settler.Settler        // of the eras of the store
	recordingEra    atomic.Bool            // the era is being written
	heartbeater     *heartbeater.Heartbeater
	watcher         *watcher.Watcher
	kinds           []watcher.Kind                // the followed kinds
	retainers       map[string]*retainer.Retainer // by kind
	republish       chan struct{}                 // receives when this instance's object may be missing in the store
	hub             *relayer.Hub
	startedAt       clock.Millis
	spooler         *spooler.Spooler
	loadsKnown      atomic.Bool // neighbours have reported their loads since the start
	dispatcher      *dispatcher.Dispatcher
	servers         []*http.Server

	mu          sync.Mutex
	rollouts    map[string]storedRollout // by service
	noFeedSince clock.Millis             // instant since which no neighbour offers a feed; 0: one does
	directUntil clock.Millis             // after a feed failure, end of the time for reading the store directly
	avoidedAt   map[string]clock.Millis  // instant at which a neighbour's feed ended, by name
	dueAt       map[string]clock.Millis  // instant of this instance's next turn, by task
	done        chan struct{}            // closed when serve returns
}

// New returns an instance with the settings at path, which writes its log to out.
// It opens the address for heartbeats.
func New(path string, out io.Writer) (*Launcher, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	l := &Launcher{
		path:     path,
		settings: s,

		clock:   clock.Boot(),
		meter:   meter.New(),
		catalog: cataloger.New(),
		budget: budgeter.New(budgeter.Options{
			Window: s.Bounds.RetryWindow(), Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
		}),
		quarantine: quarantiner.New(),
		capper:     capper.New(),
		calibrator: calibrator.New(calibrator.Options{Plain: plainDuration}),
		rollouts:   make(map[string]storedRollout),
		dueAt:      make(map[string]clock.Millis),
		avoidedAt:  make(map[string]clock.Millis),
		done:       make(chan struct{}),
	}
	l.stager = stager.New(stager.Options{
		SessionAge: s.Bounds.SessionAge(), DataCentre: s.DataCentre,
		Exposure: stager.Exposure{Fraction: s.Bounds.ExposureFraction, Slack: s.Bounds.ExposureSlack},
		Plain:    l.isPlain,
	})
	l.startedAt = l.clock.Now()
	l.bounds.Store(&s.Bounds)
	l.evacuated.Store(&map[string]bool{})
	l.logger = logger.New(out, s.Instance, time.Now)
	l.store = platform.NewStore(s.Store.Address, l.meter.CountStoreCall)
	l.kinds, l.retainers = l.newKinds()
	l.republish = make(chan struct{}, 1)
	l.hub = relayer.NewHub(l.clock, l.kindNames())
	l.heartbeater, err = heartbeater.New(heartbeater.Options{
		Clock: l.clock, Self: l.self(), Fill: l.fillMessage, OnMessage: l.receiveMessage, OnAliveChange: l.memberChanged,
		OnError: l.heartbeatFailed,
	})
	if err != nil {
		return nil, err
	}
	l.watcher = watcher.New(watcher.Options{
		Clock: l.clock, Source: l.store.Source(), Kinds: l.kinds,
		StoreLost: l.storeLost, StoreRegained: l.storeRegained,
		Role: l.role, Follow: l.follow, DirectChanged: l.setReadingStore, Confirmed: l.hub.Confirm, FeedEnded: l.feedEnded,
		Backoff: l.backoff, EraChanged: l.eraChanged,
		Current: l.current,
	})
	l.spooler = spooler.New(l.spoolMemory())
	l.dispatcher = dispatcher.New(l.dispatcherOptions())
	return l, nil
}

func (l *Launcher) dispatcherOptions() dispatcher.Options {
	return dispatcher.Options{
		Clock: l.clock, DataCentre: l.settings.DataCentre, Names: platform.HeaderNames(), Bounds: l.dispatcherBounds,
		Table: l.table.Load, Confirmed: l.watcher.Confirmed,
		Evacuated: func(dataCentre string) bool { return (*l.evacuated.Load())[dataCentre] },
		Catalog:   l.catalog, Stager: l.stager,
		Budget: l.budget, SlowStarter: slowstarter.New(), Quarantine: l.quarantine, Capper: l.capper,
		Calibrator:  l.calibrator,
		Pauser:      pauser.New(),
		TakesTrials: func() bool { return l.memberPosition() == 0 },
		Forwarder: forwarder.New(forwarder.Options{
			Clock: l.clock, DialTimeout: dialTimeout, IDHeader: platform.HeaderNames().ID, Memory: l.responseMemory(),
			OnOpen:  func(string) { l.meter.CountEvent("endpoint_connection_opened") },
			OnStray: func(string) { l.meter.CountDrop(refuser.DropStrayBytes) },
		}),
		Balancer: balancer.Default(), Cascader: cascader.Default(),
		Breaker: breaker.Options{
			Window: 5 * clock.Second, MinRequests: 6, ErrorRate: 0.45, ConsecutiveErrors: 3, OpenFor: 700,
			OpenMax: 4 * clock.Second, MaxProbes: 1, ProbeSuccesses: 2, ProbeTimeout: 3 * clock.Second, MaxOpenShare: 0.5,
		},
		Bodies: l.bodyMemory(), Spooler: l.spooler,
		Meter: l.meter, Logger: l.logger, Members: l.heartbeater.KnownCount, ColdSenders: l.coldSenders,
		Sharers:  l.sharers,
		PeerLoad: l.heartbeater.Load, PeerDemand: l.peerDemand, Neighbours: l.neighbours,
		PeerReady: l.peerReady, Ready: l.readyCount, PeerRates: l.peerRates, PeerRetries: l.peerRetries,
	}
}

func (l *Launcher) dispatcherBounds() dispatcher.Bounds {
	b := l.bounds.Load()
	return dispatcher.Bounds{
		KeyAge: max(configWait, b.Revoke()-keyAgeMargin), WarmupOvershoot: b.WarmupOvershoot, WarmupSlack: b.WarmupSlack,
	}
}

// coldSenders returns the number of known instances in this data centre, each of
// which may send to its cold endpoints, and this one's position among them by
// name.
func (l *Launcher) coldSenders() (count, position int) {
	names := l.heartbeater.InstancesIn(l.settings.DataCentre)
	for i, n := range names {
		if n == l.settings.Instance {
			position = i
		}
	}
	return len(names), position
}

// sharers returns the instances that divide the rate limits of the endpoints of a
// data centre: those that are known there, since most requests to its endpoints
// come from them, or all if there are none.
func (l *Launcher) sharers(dataCentre string) capper.Instances {
	in := capper.Instances{Self: l.settings.Instance, Names: l.heartbeater.InstancesIn(dataCentre)}
	if len(in.Names) == 0 {
		in.Names = l.heartbeater.Instances()
	}
	in.Others = l.heartbeater.KnownCount() - len(in.Names)
	return in
}

// Run serves until SIGTERM or SIGINT and returns when the last request has ended
// or the grace period is almost over. SIGHUP reloads the settings. The error is
// that of an address that cannot be opened or of a server that fails.
func (l *Launcher) Run() error {
	runtime.GOMAXPROCS(max(1, l.settings.Limits.Cores))
	if mb := l.settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryLimitShare))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return l.serve(signals)
}

// responseMemory returns the bound on what is held for responses that are not complete.
func (l *Launcher) responseMemory() *reserver.Reserver {
	bytes := int64(defaultResponseMemory)
	if mb := l.settings.Limits.MemoryMB; mb > 0 {
		bytes = int64(float64(mb<<20) * responseMemoryShare)
	}
	return reserver.New(bytes, func() { l.meter.CountDrop(refuser.DropNoMemory) })
}

// bodyMemory returns the bound on what is held for the bodies of requests.
func (l *Launcher) bodyMemory() *reserver.Reserver {
	bytes := int64(defaultBodyMemory)
	if mb := l.settings.Limits.MemoryMB; mb > 0 {
		bytes = int64(float64(mb<<20) * bodyMemoryShare)
	}
	return reserver.New(bytes, func() { l.meter.CountEvent("body_memory_short") })
}

// spoolMemory returns the bound on what is held for callers that read slowly.
func (l *Launcher) spoolMemory() int64 {
	if mb := l.settings.Limits.MemoryMB; mb > 0 {
		return int64(float64(mb<<20) * spoolMemoryShare)
	}
	return defaultSpoolMemory
}

// serve runs all parts until a stop signal arrives or a server fails.
func (l *Launcher) serve(signals chan os.Signal) error {
	defer close(l.done)
	defer l.logger.Close(logFlushTimeout)
	failed := make(chan error, 4)
	if err := l.listen(failed); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.logger.LogUnlimited("started", logger.Text("front", l.settings.Listen.Front), logger.Text("settings", l.path),
		logger.Text("data_centre", l.settings.DataCentre))
	var tasks sync.WaitGroup
	tasks.Go(func() { l.watcher.Run(ctx) })
	tasks.Go(func() { l.heartbeater.Run(ctx) })
	tasks.Go(func() { l.runPeriodicTasks(ctx) })
	tasks.Go(func() { l.maintainMembership(ctx) })
	err := l.wait(signals, failed)
	cancel()
	tasks.Wait()
	l.logger.LogUnlimited("stopped", logger.Number("active", l.dispatcher.Active()))
	return err
}

// logFlushTimeout bounds the time to write the last log lines.
const logFlushTimeout = 100 * clock.Millis(1)

func (l *Launcher) wait(signals chan os.Signal, failed chan error) error {
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				l.reload("signal")
				continue
			}
			l.drain(signals)
			return nil
		}
	}
}

// drain gives clients time to move to other instances, completes the requests in
// progress and returns before the platform kills the process.
func (l *Launcher) drain(signals chan os.Signal) {
	begin := l.clock.Now()
	grace := l.bounds.Load().Grace()
	l.logger.LogUnlimited("stopping", logger.Number("active", l.dispatcher.Active()), logger.Number("grace_ms", grace))
	l.stopping.Store(true)
	l.heartbeater.SetReady(false, true)
	l.dispatcher.Drain(begin+acceptStreamsFor, begin+grace-exitMargin-answerMargin)
	l.heartbeater.Announce()
	linger := clock.Millis(float64(grace) * lingerShare)
	for left := linger; left > 0; left = linger - (l.clock.Now() - begin) {
		select {
		case s := <-signals:
			l.logger.LogUnlimited("signal_ignored", logger.Text("signal", s.String()))
		case <-time.After(left.Duration()):
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), (grace - exitMargin - (l.clock.Now() - begin)).Duration())
	defer cancel()
	var closing sync.WaitGroup
	for _, s := range l.servers {
		closing.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				l.logger.LogUnlimited("requests_cut", logger.Text("address", s.Addr), logger.Text("error", err.Error()))
			}
		})
	}
	closing.Wait()
}

// listen opens the addresses in the settings and starts their servers. A server
// that ends unexpectedly sends its error to failed.
func (l *Launcher) listen(failed chan error) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, l.serveReady)
	directory := http.NewServeMux()
	directory.HandleFunc("GET "+platform.DirectoryPath, l.serveDirectory)
	feed := http.NewServeMux()
	feed.Handle("GET "+relayer.Path, l.hub)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", l.metricsHandler())
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{l.settings.Listen.Front, l.dispatcher}, {l.settings.Listen.Ready, ready},
		{l.settings.Listen.Directory, directory}, {l.settings.PeerAddress(), feed},
		{net.JoinHostPort(l.settings.IP, MetricsPort), metrics},
	} {
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		server := &http.Server{
			Addr: s.address, Handler: s.handler, IdleTimeout: idleTimeout, ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: l.serverLog(),
		}
		l.servers = append(l.servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "serve %s", server.Addr)
			}
		}()
	}
	return nil
}
