package calibrator

import (
	"math"
	"slices"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// shortHalfLife is the half-life of the samples in an endpoint's factor.
	shortHalfLife = 3 * clock.Second
	// longHalfLife is the half-life of the samples in its long-term value.
	longHalfLife = 60 * clock.Second
	// sampledAge is the time within which minSamples samples must have arrived for
	// an endpoint to count as sampled.
	sampledAge = 60 * clock.Second
	minSamples = 3
	// minEndpoints and minSampled are the numbers of a service's endpoints, and of
	// sampled ones, from which speeds can be compared.
	minEndpoints = 3
	minSampled   = 2
	// minFactor and maxFactor bound the factor, so that no endpoint attracts or
	// repels all requests because of a few samples.
	minFactor = 0.4
	maxFactor = 4
	// refreshInterval is the time for which computed factors are reused. A request
	// reads those of all endpoints of its service.
	refreshInterval = 100 * clock.Millis(1)
	// failureSpan is the time after a failure during which an endpoint's samples
	// below the mean do not count: it may respond fast because it fails.
	failureSpan = 5 * clock.Second
)

// Options are the settings of a Calibrator.
type Options struct {
	// Plain is the mean duration in ms of a plain request until it is known.
	Plain float64
}

// Endpoint identifies an endpoint.
type Endpoint struct {
	Key       uint64 // hash of the id
	ID        string
	Service   string
	StartedAt int64 // start of the process in Unix ms; 0 if unknown
	Slots     int   // 0 if unknown
	Local     bool  // in the data centre of this instance, in which samples are shared
}

// Speed is what is known of an endpoint.
type Speed struct {
	Factor float64 // its durations relative to those of the service's median endpoint
	Limit  int     // requests that it serves well at the same time; 0 if unknown
	// Confidence, 0 to 1, is that in a Limit below the slots; 0 if the slots count.
	Confidence float64
	Samples    int // that the factor rests on
}

// Calibrator holds the speeds of all endpoints. It is safe for concurrent use.
type Calibrator struct {
	options Options

	mu        sync.Mutex
	endpoints map[uint64]*endpoint
	services  map[string]*service
	baselines map[baselineKey]*baseline
}

// endpoint is the state of one endpoint. Samples of neighbours may arrive before
// this instance knows which service it belongs to.
type endpoint struct {
	Endpoint
	short, long    average
	knee           knee
	slow           bool                     // reported as slow
	recent         [minSamples]clock.Millis // instants of the latest samples
	newSum         float64                  // own samples since they were last shared
	newCount       int
	longReportedAt clock.Millis // when the neighbours were last told the long-term value
	adoptedAt      clock.Millis // when a neighbour's long-term value was taken over
	adopted        bool         // adoptedAt is set
	failedAt       clock.Millis
	failed         bool // failedAt is set
	speed          Speed
}

// service holds the endpoints of one service.
type service struct {
	endpoints   []*endpoint
	refreshedAt clock.Millis
	fresh       bool // refreshedAt is set
}

// maxBaselines bounds the baselines: on some routes clients name the models.
const maxBaselines = 1024

// source tells what a baseline averages.
type source uint8

const (
	firstEvents source = iota
	paces
	plainResponses
)

type baselineKey struct {
	source  source
	service string
	kind    string
}

// New returns a Calibrator without samples. It panics if Options.Plain is not positive.
func New(o Options) *Calibrator {
	if o.Plain <= 0 {
		panic("calibrator: Options.Plain must be positive")
	}
	return &Calibrator{
		options: o, endpoints: make(map[uint64]*endpoint), services: make(map[string]*service),
		baselines: make(map[baselineKey]*baseline),
	}
}

// Speed returns what is known of an endpoint.
func (c *Calibrator) Speed(now clock.Millis, e Endpoint) Speed {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.register(e)
	c.refresh(now, c.services[e.Service])
	return p.speed
}

// RecordFirst records the time to a first event and its prediction. The kind tells
// requests apart whose predictions have errors of their own.
func (c *Calibrator) RecordFirst(now clock.Millis, e Endpoint, kind string, running int, ms, predicted float64) {
	if predicted <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(now, c.current(e), baselineKey{firstEvents, e.Service, kind}, 0, running, ms/predicted)
}

// RecordPace records the pace of a stream in ms per event while an endpoint had a
// number of running requests.
func (c *Calibrator) RecordPace(now clock.Millis, e Endpoint, kind string, running int, msPerEvent float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(now, c.current(e), baselineKey{paces, e.Service, kind}, float64(running), running, msPerEvent)
}

// RecordPlain records the duration of a complete plain response in ms. Those that
// waited for a slot say nothing about the speed.
func (c *Calibrator) RecordPlain(now clock.Millis, e Endpoint, running int, ms float64) {
	if e.Slots > 0 && running > e.Slots {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(now, c.current(e), baselineKey{plainResponses, e.Service, ""}, 0, running, ms)
}

// RecordFailure records a failure, a refusal or a response that broke off.
func (c *Calibrator) RecordFailure(now clock.Millis, e Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.current(e); p != nil {
		p.failedAt, p.failed = now, true
	}
}

// PlainDuration returns the mean duration in ms of a plain request on an endpoint of
// a service that is not slow.
func (c *Calibrator) PlainDuration(service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.baselines[baselineKey{plainResponses, service, ""}]; b != nil && b.count >= minBaseline {
		return b.value
	}
	return c.options.Plain
}

// record records a value of an endpoint, which is compared with the baseline at a
// point. The lock is held.
func (c *Calibrator) record(now clock.Millis, p *endpoint, key baselineKey, point float64, running int, value float64) {
	b := c.baseline(key)
	if p == nil || b == nil || !(value > 0 && value <= math.MaxInt32) { // the last is true for NaN
		return
	}
	expected := b.at(point)
	if value < minRatio*expected || p.failing(now) && (value < expected || expected == 0) {
		return
	}
	if ratio := value / expected; expected > 0 {
		p.knee.add(now, running, min(maxRatio, ratio))
	}
	// What too many requests slow down says nothing about the endpoint itself.
	if p.knee.limit > 0 && running > p.knee.limit {
		return
	}
	// The mean duration of a plain service is that of endpoints that are not slow.
	if c.refresh(now, c.services[p.Service]); key.source != plainResponses || p.speed.Factor < notSlow {
		b.add(point, value)
	}
	if expected == 0 {
		return
	}
	ratio := min(maxRatio, value/expected)
	p.add(now, ratio, 1)
	if p.Local {
		p.newSum += ratio
		p.newCount++
	}
}

// failing reports whether a request has failed recently, so that fast responses say
// nothing.
func (p *endpoint) failing(now clock.Millis) bool { return p.failed && now-p.failedAt < failureSpan }

// baseline returns a baseline, or nil if there are too many. The lock is held.
func (c *Calibrator) baseline(key baselineKey) *baseline {
	b := c.baselines[key]
	if b == nil && len(c.baselines) < maxBaselines {
		b = &baseline{}
		c.baselines[key] = b
	}
	return b
}

// add adds samples with a sum.
func (p *endpoint) add(now clock.Millis, sum float64, count int) {
	p.short.add(now, shortHalfLife, sum, count)
	p.long.add(now, longHalfLife, sum, count)
	for range min(count, minSamples) {
		copy(p.recent[1:], p.recent[:])
		p.recent[0] = now
	}
}

// observed reports whether enough samples have arrived within sampledAge.
func (p *endpoint) observed(now clock.Millis) bool {
	return p.recent[minSamples-1] > 0 && now-p.recent[minSamples-1] <= sampledAge
}

// sampled reports whether the endpoint has samples, of which a neighbour's long-term
// value stands for several.
func (p *endpoint) sampled(now clock.Millis) bool {
	return p.observed(now) || p.adopted && now-p.adoptedAt <= sampledAge
}

// current returns the state of an endpoint, or nil if its process has restarted since the
// request was sent. The lock is held.
func (c *Calibrator) current(e Endpoint) *endpoint {
	if p := c.endpoints[e.Key]; p != nil && p.Service == e.Service && p.StartedAt > e.StartedAt {
		return nil
	}
	return c.register(e)
}

// register returns the state of an endpoint, which is empty if its process has
// restarted. The lock is held.
func (c *Calibrator) register(e Endpoint) *endpoint {
	p := c.endpoints[e.Key]
	if p != nil && p.StartedAt == e.StartedAt && p.Service == e.Service && p.Service != "" {
		p.Slots, p.Local = e.Slots, e.Local
		return p
	}
	if p == nil || p.Service != "" {
		c.remove(p)
		p = &endpoint{}
		c.endpoints[e.Key] = p
	}
	p.Endpoint, p.speed = e, Speed{Factor: 1, Limit: e.Slots}
	s := c.services[e.Service]
	if s == nil {
		s = &service{}
		c.services[e.Service] = s
	}
	s.endpoints = append(s.endpoints, p)
	s.fresh = false
	return p
}

// remove removes an endpoint from its service. The lock is held.
func (c *Calibrator) remove(p *endpoint) {
	if p == nil || p.Service == "" {
		return
	}
	s := c.services[p.Service]
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == p })
	s.fresh = false
}

// Sweep removes the endpoints for which listed returns false. Those that only
// neighbours have named are kept as long as their samples are recent.
func (c *Calibrator) Sweep(now clock.Millis, listed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.endpoints {
		if p.Service != "" && !listed(p.ID) || p.Service == "" && now-p.long.at > sampledAge {
			c.remove(p)
			delete(c.endpoints, key)
		}
	}
}
