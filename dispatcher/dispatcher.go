package dispatcher

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/capper"
	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/durationestimator"
	"rosemaryarch.example/rosemaryarch/forecaster"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/pauser"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/reserver"
	"rosemaryarch.example/rosemaryarch/shedder"
	"rosemaryarch.example/rosemaryarch/slowstarter"
	"rosemaryarch.example/rosemaryarch/spooler"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/surgedetector"
	"rosemaryarch.example/rosemaryarch/throttler"
)

// HeaderNames holds the header names of the HTTP interface.
type HeaderNames struct {
	ID          string // id of the client's attempt; endpoints return it
	Deadline    string // time in ms for which the sender waits
	Key         string // the client's key; never forwarded
	Workspace   string // set by the router
	Target      string // id of the endpoint that is addressed
	NotExecuted string // set by an endpoint that has not executed the request
	Signature   string // the endpoint's signature of its response
	Leaving     string // set to 1 by an endpoint that is about to stop
	Limit       string // requests per second that an endpoint accepts from all instances
	Prefix      string // parts of the prompt as ID:TOKENS, separated by commas
	Tokens      string // prompt tokens and maximum output tokens
	LengthHint  string // expected output tokens
	Model       string
	Confidence  string // of the model in its answer, 0 to 100
	Priority    string // 0 (highest) to 9
	Session     string // id of the client's session
	LastEvent   string // id of the last event received, to resume a stream
	// Reserved headers are set by the router only; those of a client are removed.
	Reserved []string
}

// Options holds the components that a Dispatcher uses and its sources of data
// about other instances.
type Options struct {
	Clock       clock.Clock
	DataCentre  string
	Names       HeaderNames
	Bounds      func() Bounds
	Table       func() *matcher.Table
	Confirmed   func() clock.Millis          // time up to which the configuration is known to be current
	Evacuated   func(dataCentre string) bool // whether a data centre must not receive requests
	Catalog     *cataloger.Cataloger
	Stager      *stager.Stager
	Budget      *budgeter.Budgeter
	SlowStarter *slowstarter.SlowStarter
	Capper      *capper.Capper
	Pauser      *pauser.Pauser
	Forwarder   *forwarder.Forwarder
	Balancer    balancer.Balancer
	Cascader    cascader.Cascader
	Calibrator  *calibrator.Calibrator
	Quarantine  *quarantiner.Quarantiner
	// TakesTrials reports whether this instance is the one that sends requests which
	// the quarantine lets through to learn whether a part still crashes endpoints.
	TakesTrials func() bool
	Breaker     breaker.Options
	// Bodies bounds what is held for the bodies of requests; nil: no bound.
	Bodies *reserver.Reserver
	// Spooler counts what is held for callers that read slowly.
	Spooler *spooler.Spooler
	Meter   *meter.Meter
	Logger  *logger.Logger
	// Members returns the number of instances that share the retry budget.
	Members func() int
	// ColdSenders returns how many instances may send to cold endpoints of this data
	// centre, and the position of this one among them.
	ColdSenders func() (count, position int)
	// Sharers returns the instances that divide the rate limits of the endpoints of a
	// data centre.
	Sharers func(dataCentre string) capper.Instances
	// PeerRates returns the rates of other instances for a service, and
	// PeerRetries their use of the retry budget for it.
	PeerRates   func(service string) throttler.PeerRates
	PeerRetries func(service string) budgeter.PeerCounts
	// Ready returns the number of instances that serve requests.
	Ready func() int
	// PeerReady reports whether another instance serves requests.
	PeerReady func() bool
	// PeerLoad returns the load of other instances on an endpoint, given by its
	// hash: work in ms, running requests, and the delay in ms that they have
	// observed.
	PeerLoad func(endpoint uint64) (work float64, running int, delay float64)
	// PeerDemand returns the demand of other instances for a service; nil: none.
	PeerDemand func(service string) shedder.Demand
	// Neighbours returns the number of instances in this data centre, and whether
	// enough of them have reported their loads since the start of this one; nil: it is
	// the only one.
	Neighbours func() (instances int, reported bool)
}

// Bounds holds the guarantees of the deployment that apply to requests.
type Bounds struct {
	KeyAge          clock.Millis // age of the last confirmation up to which keys are accepted
	WarmupOvershoot float64      // factor by which the rate to a cold endpoint may exceed its limit
	WarmupSlack     float64      // requests per second allowed in addition
}

// Dispatcher is an http.Handler that is safe for concurrent use.
type Dispatcher struct {
	options Options
	handler http.Handler                 // calls serve
	stop    atomic.Pointer[stopSchedule] // nil: the process does not stop
	active  atomic.Int64                 // requests in progress

	durations *durationestimator.Estimator // of complete streams, by route

	mu         sync.Mutex
	loads      map[string]*load           // by endpoint
	prefixSent map[prefixKey]clock.Millis // last send of a prompt prefix to an endpoint
	forecaster *forecaster.Forecaster
	partitions map[string]*partition           // by service
	throttlers map[string]*throttler.Throttler // by service
	surges     *surgedetector.Detector
	shedder    *shedder.Shedder
	breakers   *breaker.Breaker
}

// prefixKey identifies a shared prompt prefix that was sent to a model on an
// endpoint.
type prefixKey struct {
	endpoint, model, prefix string
}

// load is the load that this instance puts on one endpoint, and the delay that
// it observes there. Work is the estimated prefill time in ms of prompts whose
// first event is outstanding; for plain requests it is their assumed duration.
type load struct {
	work         float64      // ms
	running      int          // requests
	lastReceived clock.Millis // time at which bytes last arrived from the endpoint
	excessDelay  float64      // ms by which the latest first event exceeded its expected time
	delayAt      clock.Millis // time of that event
	pending      []*choice    // sends whose first event is outstanding
}

// delayHalfLife is the time in ms after which an observed delay counts half.
const delayHalfLife = 500

// expectedDelay returns the delay in ms to expect at the endpoint: the last one
// observed, decayed exponentially, or the time by which a pending send is
// overdue, whichever is longer. Only the latter detects an endpoint that hangs.
func (l *load) expectedDelay(now clock.Millis) float64 {
	delay := l.excessDelay * math.Exp2(-float64(now-l.delayAt)/delayHalfLife)
	for _, c := range l.pending {
		delay = max(delay, float64(now-c.due))
	}
	return delay
}

func (l *load) removePending(c *choice) {
	l.pending = slices.DeleteFunc(l.pending, func(p *choice) bool { return p == c })
}

// New returns a Dispatcher without state.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		options:   o,
		durations: durationestimator.New(),
		loads:     make(map[string]*load), prefixSent: make(map[prefixKey]clock.Millis),
		forecaster: forecaster.New(forecaster.Default()), partitions: make(map[string]*partition),
		throttlers: make(map[string]*throttler.Throttler),
		surges:     surgedetector.New(surgedetector.Default()),
		breakers:   breaker.New(o.Breaker, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	d.shedder = shedder.New(shedder.Options{Others: d.peerDemand, Changed: d.roomChanged})
	d.handler = completer.Handler(http.HandlerFunc(d.serve))
	return d
}

// observeSurge adds the prompt tokens of a request to the rates of its workspace
// and reports whether the workspace sends far more than usual.
func (d *Dispatcher) observeSurge(now clock.Millis, workspace string, tokens float64) bool {
	if workspace == "" {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.surges.Add(now, workspace, tokens)
}

// Active returns the number of requests in progress.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Drain makes responses close their connections, since the process stops. Streams that are
// admitted from streamsUntil on are refused. Other requests get their final response by
// responsesBy, or are refused.
func (d *Dispatcher) Drain(streamsUntil, responsesBy clock.Millis) {
	d.stop.Store(&stopSchedule{streamsUntil: streamsUntil, responsesBy: responsesBy})
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if the
// response is not complete, so that the client does not take it for complete.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	d.handler.ServeHTTP(w, r)
}

func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{dispatcher: d, writer: w, request: r, start: d.options.Clock.Now()}
	if d.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// minReportedDelay is the delay in ms above which an endpoint is reported to
// other instances even if this one runs nothing there.
const minReportedDelay = 30

// Loads calls each with the load of this instance on every endpoint that runs
// its requests or is delayed: work in ms, running requests and delay in ms.
func (d *Dispatcher) Loads(each func(endpoint string, work float64, running int, delay float64)) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.loads {
		if delay := l.expectedDelay(now); l.running > 0 || delay > minReportedDelay {
			each(id, l.work, l.running, delay)
		}
	}
}

// prefixCacheAge is the time for which a prompt prefix is assumed to be in the
// cache of an endpoint to which it was sent. Caches evict the least recently
// used prefix.
const prefixCacheAge = 25 * clock.Second

// Sweep removes expired records and the state of endpoints that are no longer
// listed.
func (d *Dispatcher) Sweep() {
	now := d.options.Clock.Now()
	s := d.options.Catalog.Snapshot(now)
	d.mu.Lock()
	for id, l := range d.loads {
		if s.Endpoint(id) == nil && l.running == 0 {
			delete(d.loads, id)
			d.breakers.Forget(id)
			d.options.SlowStarter.Forget(id)
		}
	}
	d.options.Capper.Sweep(now)
	d.options.Pauser.Sweep(now)
	d.options.Calibrator.Sweep(now, func(id string) bool { return s.Endpoint(id) != nil })
	for k, at := range d.prefixSent {
		if now-at > prefixCacheAge {
			delete(d.prefixSent, k)
		}
	}
	d.surges.Sweep(now)
	d.durations.Sweep(now)
	for service, p := range d.partitions {
		d.updatePartition(now, service, p)
	}
	d.shedder.Sweep(now)
	d.mu.Unlock()
	addresses := make(map[string]bool, s.Len())
	s.Each(func(e *cataloger.State) { addresses[e.Address] = true })
	d.options.Forwarder.Sweep(func(address string) bool { return addresses[address] })
}
