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
	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/recorder"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/surger"
	"rosemaryarch.example/rosemaryarch/throttler"
	"rosemaryarch.example/rosemaryarch/warmer"
)

// Names are the header names of the interface in use.
type Names struct {
	ID         string // of the client's attempt; endpoints repeat it
	Deadline   string // ms that the sender waits
	Key        string // the client's key; never passed on
	Workspace  string // set by the router
	Target     string // id of the endpoint that is meant
	NotRun     string // the endpoint states that it did not run the request
	Signature  string // the endpoint's mark on its answer
	Prefix     string // parts of the prompt as ID:TOKENS, comma separated
	Tokens     string // prompt tokens, most output tokens
	LengthHint string // expected output tokens
	Model      string
	Confidence string // of the model in its answer, 0 to 100
	Priority   string // 0 to 9, 0 first
	Session    string
	LastEvent  string
	// Reserved are set by the router only; a client's are dropped.
	Reserved []string
}

// Options are the parts that a dispatcher works with.
type Options struct {
	Clock      clock.Clock
	DataCentre string
	Names      Names
	Bounds     func() Bounds
	Table      func() *matcher.Table
	Confirmed  func() clock.Millis // instant up to which the configuration is known
	Evacuated  func(dataCentre string) bool
	Catalog    *cataloger.Cataloger
	Stager     *stager.Stager
	Budget     *budgeter.Budgeter
	Warmer     *warmer.Warmer
	Forwarder  *forwarder.Forwarder
	Balancer   balancer.Balancer
	Cascader   cascader.Cascader
	Breaker    breaker.Options
	Meter      *meter.Meter
	Recorder   *recorder.Recorder
	// Members returns the number of instances that share the retry budget.
	Members func() int
	// Senders returns how many instances may send to cold endpoints of this
	// data centre, and this one's position among them.
	Senders func() (count, position int)
	// PeerRates returns the rates of other instances for a service, and
	// PeerRepeats their counts of the retry budget.
	PeerRates   func(service string) throttler.Others
	PeerRepeats func(service string) budgeter.Others
	// Ready returns the number of instances that serve.
	Ready func() int
	// OthersReady reports whether another instance serves.
	OthersReady func() bool
	// PeerLoad returns the work of other instances on an endpoint and the delay
	// in ms that they have seen there.
	PeerLoad func(endpoint uint64) (work float64, running int, delay float64)
}

// Bounds are the promises of the deployment that requests depend on.
type Bounds struct {
	KeyAge    clock.Millis // age of the confirmation up to which keys are honoured
	ColdOver  float64      // factor on a cold endpoint's rate
	ColdSlack float64      // requests per second besides
}

// Dispatcher is an http.Handler, safe for concurrent use.
type Dispatcher struct {
	options  Options
	draining atomic.Bool
	leaving  atomic.Bool // refuses new streams
	active   atomic.Int64

	mu       sync.Mutex
	loads    map[string]*load
	sent     map[subjectKey]clock.Millis
	paces    map[string]*pace
	limits   map[string]*throttler.Throttler // by service
	surges   *surger.Surger
	breakers *breaker.Breaker
}

type subjectKey struct {
	endpoint, model, subject string
}

// load is the work of this instance on one endpoint.
type load struct {
	work    float64 // ms of prompts whose first event has not arrived
	running int
	heard   clock.Millis // last bytes from the endpoint
	delay   float64      // ms that the last first event came later than its own work explains
	delayed clock.Millis // instant of that event
	pending []*choice    // sends whose first event has not arrived
}

// delayHalf is the time in ms after which half of an observed delay counts.
const delayHalf = 500

// waiting returns the delay that is still to be expected: what was seen last, or
// what a send has waited beyond the time at which its first event was due. An
// endpoint that hangs shows only the latter.
func (l *load) waiting(now clock.Millis) float64 {
	delay := l.delay * math.Exp2(-float64(now-l.delayed)/delayHalf)
	for _, c := range l.pending {
		delay = max(delay, float64(now-c.due))
	}
	return delay
}

func (l *load) noLongerPending(c *choice) {
	l.pending = slices.DeleteFunc(l.pending, func(p *choice) bool { return p == c })
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		loads:   make(map[string]*load), sent: make(map[subjectKey]clock.Millis), paces: make(map[string]*pace),
		limits:   make(map[string]*throttler.Throttler),
		surges:   surger.New(surger.Default()),
		breakers: breaker.New(o.Breaker, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// surge notes the work of a request, in tokens, and reports whether its workspace
// asks for far more than usual.
func (d *Dispatcher) surge(now clock.Millis, workspace string, tokens float64) bool {
	if workspace == "" {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.surges.Add(now, workspace, tokens)
}

// Active returns the number of requests in progress.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Drain makes answers close their connections.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Leave refuses new streams, which would outlive the process.
func (d *Dispatcher) Leave() { d.leaving.Store(true) }

// ServeHTTP answers one request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	x := &exchange{dispatcher: d, writer: w, request: r, start: d.options.Clock.Now()}
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// minDelay is the delay in ms from which other instances are told of it.
const minDelay = 30

// Loads returns the work of this instance by endpoint, and the delays that it
// has seen.
func (d *Dispatcher) Loads(each func(endpoint string, work float64, running int, delay float64)) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.loads {
		if delay := l.waiting(now); l.running > 0 || delay > minDelay {
			each(id, l.work, l.running, delay)
		}
	}
}

// subjectKept is how long a subject counts as held by the cache of an endpoint
// to which it was sent. Caches drop what was not used for longest.
const subjectKept = 25 * clock.Second

// Sweep drops what is too old and the state of endpoints that have left.
func (d *Dispatcher) Sweep() {
	s := d.options.Catalog.Snapshot()
	now := d.options.Clock.Now()
	d.mu.Lock()
	for id, l := range d.loads {
		if s.Endpoint(id) == nil && l.running == 0 {
			delete(d.loads, id)
			d.breakers.Forget(id)
			d.options.Warmer.Forget(id)
		}
	}
	for k, at := range d.sent {
		if now-at > subjectKept {
			delete(d.sent, k)
		}
	}
	d.surges.Sweep(now)
	d.mu.Unlock()
	addresses := make(map[string]bool, s.Len())
	s.Each(func(e *cataloger.State) { addresses[e.Address] = true })
	d.options.Forwarder.Sweep(func(address string) bool { return addresses[address] })
}
