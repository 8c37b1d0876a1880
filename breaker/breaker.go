package breaker

import (
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// State is the state of one endpoint's circuit.
type State string

// The states of a circuit.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half_open"
)

// Options are the settings of a Breaker.
type Options struct {
	Window            clock.Millis // length of the sliding window
	MinRequests       int          // results in the window before the rate counts
	ErrorRate         float64      // share of errors at which the circuit opens, in (0, 1]
	ConsecutiveErrors int          // errors in a row that open the circuit, whatever the window holds
	OpenFor           clock.Millis // duration of the first opening; it doubles with each further one up to OpenMax
	OpenMax           clock.Millis
	MaxProbes         int          // maximum number of concurrent probes
	ProbeSuccesses    int          // consecutive successful probes that close the circuit
	ProbeTimeout      clock.Millis // age at which a probe without a result no longer counts as running
	MaxOpenShare      float64      // share of the circuits that may be open or half open, in (0, 1]
}

// Ticket is the permission for one request. It is returned with the result.
type Ticket struct {
	Endpoint   string
	generation uint64
}

// Breaker holds a circuit for each endpoint that has been used.
type Breaker struct {
	options  Options
	random   *rand.Rand
	circuits map[string]*circuit // by endpoint
}

type circuit struct {
	state      State
	generation uint64 // increases with each change of state
	window     window
	failures   int            // in a row
	openUntil  clock.Millis   // end of the opening
	openings   int            // openings since the circuit was last closed
	probes     []clock.Millis // start of each running probe
	successes  int            // of probes, in a row
}

// New returns a Breaker whose circuits are closed. It panics if an option is not
// positive.
func New(o Options, r *rand.Rand) *Breaker {
	spans := min(o.Window, o.OpenFor, o.OpenMax, o.ProbeTimeout)
	counts := min(o.MinRequests, o.ConsecutiveErrors, o.MaxProbes, o.ProbeSuccesses)
	if spans < 1 || counts < 1 || min(o.ErrorRate, o.MaxOpenShare) <= 0 {
		panic("breaker: every option must be positive")
	}
	return &Breaker{options: o, random: r, circuits: map[string]*circuit{}}
}

// State returns the state of an endpoint's circuit.
func (b *Breaker) State(now clock.Millis, endpoint string) State {
	c, ok := b.circuits[endpoint]
	if !ok {
		return Closed
	}
	if c.state == Open && now >= c.openUntil {
		return HalfOpen
	}
	return c.state
}

// Allow reports whether a request may be sent to the endpoint. The result of an
// allowed request must be reported with its ticket, or the ticket cancelled.
func (b *Breaker) Allow(now clock.Millis, endpoint string) (Ticket, bool) {
	c := b.circuit(endpoint)
	if c.state == Open && now >= c.openUntil {
		c.enter(HalfOpen)
	}
	t := Ticket{Endpoint: endpoint, generation: c.generation}
	switch c.state {
	case Open:
		return Ticket{}, false
	case HalfOpen:
		c.dropLostProbes(now - b.options.ProbeTimeout)
		if len(c.probes) >= b.options.MaxProbes {
			return Ticket{}, false
		}
		c.probes = append(c.probes, now)
	}
	return t, true
}

// Report records the result of a request. Results of requests that started
// before the circuit last changed its state are ignored, because they describe
// the earlier condition of the endpoint.
func (b *Breaker) Report(now clock.Millis, t Ticket, succeeded bool) {
	c, ok := b.circuits[t.Endpoint]
	if !ok || c.generation != t.generation {
		return
	}
	if c.state == HalfOpen {
		b.reportProbe(now, c, succeeded)
		return
	}
	c.window.add(now, b.options.Window, succeeded)
	c.failures++
	if succeeded {
		c.failures = 0
	}
	total, failed := c.window.sum()
	rateExceeded := total >= b.options.MinRequests && float64(failed) >= b.options.ErrorRate*float64(total)
	if !rateExceeded && c.failures < b.options.ConsecutiveErrors {
		return
	}
	if float64(b.notClosed()+1) <= b.options.MaxOpenShare*float64(len(b.circuits)) {
		b.open(now, c)
	}
}

// Cancel returns the ticket of a request that was not sent. It says nothing about
// the endpoint.
func (b *Breaker) Cancel(t Ticket) {
	c, ok := b.circuits[t.Endpoint]
	if ok && c.generation == t.generation && len(c.probes) > 0 {
		c.probes = c.probes[:len(c.probes)-1]
	}
}

// Forget removes the circuit of an endpoint that is no longer listed.
func (b *Breaker) Forget(endpoint string) { delete(b.circuits, endpoint) }

// notClosed returns the number of circuits that are open or half open.
func (b *Breaker) notClosed() int {
	var n int
	for _, c := range b.circuits {
		if c.state != Closed {
			n++
		}
	}
	return n
}

func (b *Breaker) reportProbe(now clock.Millis, c *circuit, succeeded bool) {
	if len(c.probes) > 0 {
		c.probes = c.probes[1:]
	}
	if !succeeded {
		b.open(now, c)
		return
	}
	c.successes++
	if c.successes >= b.options.ProbeSuccesses {
		c.enter(Closed)
		c.openings = 0
	}
}

// open opens the circuit for half to all of its duration, chosen at random.
func (b *Breaker) open(now clock.Millis, c *circuit) {
	c.enter(Open)
	duration := b.options.OpenFor
	for range c.openings {
		duration = min(2*duration, b.options.OpenMax)
	}
	c.openings++
	half := duration / 2
	c.openUntil = now + half + clock.Millis(b.random.Int64N(int64(duration-half)+1))
}

func (b *Breaker) circuit(endpoint string) *circuit {
	c, ok := b.circuits[endpoint]
	if !ok {
		c = &circuit{state: Closed}
		b.circuits[endpoint] = c
	}
	return c
}

// enter changes the state and resets the counts.
func (c *circuit) enter(s State) {
	c.state = s
	c.generation++
	c.window = window{}
	c.failures = 0
	c.probes = nil
	c.successes = 0
}

// dropLostProbes removes the probes that started before the limit.
func (c *circuit) dropLostProbes(limit clock.Millis) {
	running := c.probes[:0]
	for _, p := range c.probes {
		if p >= limit {
			running = append(running, p)
		}
	}
	c.probes = running
}
