package breaker

import (
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// State is the state of one endpoint's circuit.
type State string

// The three states.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half_open"
)

// Options are the settings of a breaker.
type Options struct {
	Window       clock.Millis // length of the sliding window
	MinRequests  int          // results in the window before the rate counts
	ErrorRate    float64      // share of errors at which the circuit opens, in (0, 1]
	Consecutive  int          // errors in a row that open the circuit, whatever the window holds
	OpenFor      clock.Millis // length of the first opening; it doubles up to OpenMax
	OpenMax      clock.Millis
	Probes       int          // most probes at the same time
	Successes    int          // probes that must succeed in a row to close
	ProbeTimeout clock.Millis // a probe without a result no longer counts as running
	MaxShare     float64      // share of the endpoints that may be open, in (0, 1]
}

// Ticket is permission for one request. It goes back with the result.
type Ticket struct {
	Endpoint   string
	generation uint64
}

// Breaker holds the circuits by endpoint.
type Breaker struct {
	options  Options
	random   *rand.Rand
	circuits map[string]*circuit
}

type circuit struct {
	state      State
	generation uint64 // increases with each change of state
	window     window
	failures   int            // in a row
	until      clock.Millis   // end of the opening
	openings   int            // openings since the circuit was last closed
	probes     []clock.Millis // start of each running probe
	successes  int
}

// New returns a breaker whose circuits are closed. It panics if an option is
// not positive.
func New(o Options, r *rand.Rand) *Breaker {
	spans := min(o.Window, o.OpenFor, o.OpenMax, o.ProbeTimeout)
	counts := min(o.MinRequests, o.Consecutive, o.Probes, o.Successes)
	if spans < 1 || counts < 1 || min(o.ErrorRate, o.MaxShare) <= 0 {
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
	if c.state == Open && now >= c.until {
		return HalfOpen
	}
	return c.state
}

// Allow reports whether a request may go to the endpoint. A request that is
// allowed must be reported with its ticket.
func (b *Breaker) Allow(now clock.Millis, endpoint string) (Ticket, bool) {
	c := b.circuit(endpoint)
	if c.state == Open && now >= c.until {
		c.enter(HalfOpen)
	}
	t := Ticket{Endpoint: endpoint, generation: c.generation}
	switch c.state {
	case Open:
		return Ticket{}, false
	case HalfOpen:
		c.dropLostProbes(now - b.options.ProbeTimeout)
		if len(c.probes) >= b.options.Probes {
			return Ticket{}, false
		}
		c.probes = append(c.probes, now)
	}
	return t, true
}

// Report records the result of a request. Results of requests that started
// before the circuit last changed its state are ignored: they describe the
// endpoint as it was.
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
	rate := total >= b.options.MinRequests && float64(failed) >= b.options.ErrorRate*float64(total)
	if !rate && c.failures < b.options.Consecutive {
		return
	}
	if float64(b.notClosed()+1) <= b.options.MaxShare*float64(len(b.circuits)) {
		b.open(now, c)
	}
}

// Forget drops the circuit of an endpoint that has left.
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
	if c.successes >= b.options.Successes {
		c.enter(Closed)
		c.openings = 0
	}
}

func (b *Breaker) open(now clock.Millis, c *circuit) {
	c.enter(Open)
	d := b.options.OpenFor
	for range c.openings {
		d = min(2*d, b.options.OpenMax)
	}
	c.openings++
	half := d / 2
	c.until = now + half + clock.Millis(b.random.Int64N(int64(d-half)+1))
}

func (b *Breaker) circuit(endpoint string) *circuit {
	c, ok := b.circuits[endpoint]
	if !ok {
		c = &circuit{state: Closed}
		b.circuits[endpoint] = c
	}
	return c
}

func (c *circuit) enter(s State) {
	c.state = s
	c.generation++
	c.window = window{}
	c.failures = 0
	c.probes = nil
	c.successes = 0
}

// dropLostProbes forgets the probes that started before the limit.
func (c *circuit) dropLostProbes(limit clock.Millis) {
	kept := c.probes[:0]
	for _, p := range c.probes {
		if p >= limit {
			kept = append(kept, p)
		}
	}
	c.probes = kept
}
