package dispatcher

import (
	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/throttler"
	"rosemaryarch.example/rosemaryarch/warmer"
)

const (
	// engineDistance is the work in ms that an engine in another data centre
	// must save for a request without a body, and bodyDistance is added for each
	// KB: bytes between data centres are priced, and what is known of the work
	// there is a second older.
	engineDistance = 40
	bodyDistance   = 4
	// plainDistance is the same for services without an engine.
	plainDistance = 40
	// plainWork is the assumed time of one plain request.
	plainWork = 30
	// coldReserve is kept below the bound on cold endpoints, which counts
	// arrivals and not sends.
	coldReserve = 2
	// startOverhead is the time in ms of a first event that no queue explains:
	// the way to the endpoint, its setup and one step.
	startOverhead = 30
	// openPenalty keeps work from an endpoint that fails unless all do.
	openPenalty = 35000
	// halfOpenPenalty keeps work from an endpoint that has failed lately.
	halfOpenPenalty = 200
)

// choice is an endpoint that is reserved for one send.
type choice struct {
	endpoint *cataloger.State
	ticket   breaker.Ticket
	work     float64 // ms that the send adds
	ahead    float64 // ms of work before it
	cold     bool
	due      clock.Millis // instant at which the first event is expected
}

// search is what a send needs.
type search struct {
	service string
	settled *matcher.Service // nil if the configuration has no such service
	session string
	salt    string
	model   string
	below   int // larger models on the route
	prompt  prompt
	body    int // bytes
	tried   map[string]bool
	usable  int // endpoints that may take the request, set by choose
}

// engine reports whether the service's endpoints are model engines.
func (q *search) engine() bool { return q.settled != nil && q.settled.CacheTokens > 0 }

// distance returns the work in ms that an engine in another data centre must
// save.
func (q *search) distance() float64 { return engineDistance + bodyDistance*float64(q.body)/1024 }

// choose reserves the endpoint for a send; nil tells that none may take it
// now.
func (d *Dispatcher) choose(now clock.Millis, q *search) *choice {
	list := d.eligible(now, q)
	q.usable = len(list)
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(list) > 0 {
		i, c := d.pick(now, q, list)
		if i < 0 {
			return nil
		}
		e := list[i]
		ticket, ok := d.breakers.Allow(now, e.ID)
		if ok && d.admitCold(now, q, e) {
			c.endpoint, c.ticket, c.cold = e, ticket, e.ColdUntil > now
			l := d.load(e.ID)
			l.work += c.work
			l.running++
			if q.engine() {
				c.due = now + clock.Millis(c.ahead+c.work) + startOverhead
				l.pending = append(l.pending, c)
			}
			d.markSent(now, e.ID, q)
			if q.below > 0 {
				d.limit(q.service).Base(now, c.work)
			}
			return c
		}
		if ok {
			d.breakers.Report(now, ticket, true)
		}
		list = append(list[:i:i], list[i+1:]...)
	}
	return nil
}

// eligible returns the endpoints that the store's state and the roll-out allow.
func (d *Dispatcher) eligible(now clock.Millis, q *search) []*cataloger.State {
	all := d.options.Catalog.Snapshot().Service(q.service)
	c := d.options.Stager.Choose(now, q.service, q.session)
	var list, other []*cataloger.State
	for _, e := range all {
		if q.tried[e.ID] || d.options.Evacuated(e.DataCentre) || !d.coldAllowed(now, q, e) {
			continue
		}
		switch {
		case !c.Known:
			if d.options.Catalog.Settled(now, q.service, e.Version) {
				list = append(list, e)
			}
		case (e.Version == c.Target) == c.Fresh:
			list = append(list, e)
		default:
			other = append(other, e)
		}
	}
	if len(list) == 0 && !c.Only {
		return other
	}
	return list
}

// coldAllowed reports whether this instance may send to a cold endpoint at all
// and has some of its share left.
func (d *Dispatcher) coldAllowed(now clock.Millis, q *search, e *cataloger.State) bool {
	if e.ColdUntil <= now || q.settled == nil || q.settled.WarmupRate <= 0 {
		return true
	}
	return e.DataCentre == d.options.DataCentre && !d.options.Warmer.Full(now, e.ID, d.coldShare(q))
}

func (d *Dispatcher) coldShare(q *search) int {
	b := d.options.Bounds()
	senders, position := d.options.Senders()
	total := q.settled.WarmupRate*b.ColdOver + b.ColdSlack - coldReserve
	return warmer.Share(total, senders, position)
}

func (d *Dispatcher) admitCold(now clock.Millis, q *search, e *cataloger.State) bool {
	if q.settled == nil || q.settled.WarmupRate <= 0 {
		return true
	}
	if e.ColdUntil > now {
		return d.options.Warmer.Allow(now, e.ID, d.coldShare(q))
	}
	d.options.Warmer.Note(now, e.ID)
	return true
}

func (d *Dispatcher) pick(now clock.Millis, q *search, list []*cataloger.State) (int, *choice) {
	engine := q.engine()
	query := balancer.Query{Distance: plainDistance, Prompt: plainWork}
	perToken := 0.0
	if engine {
		perToken = d.perToken(q.model, q.below)
		query = balancer.Query{
			Distance: q.distance(), Subject: q.prompt.subject,
			Prompt: q.prompt.tokens * perToken, Shared: q.prompt.shared * perToken,
		}
	}
	candidates := make([]balancer.Candidate, len(list))
	for i, e := range list {
		candidates[i] = d.candidate(now, q, e)
	}
	i := d.options.Balancer.Pick(query, candidates, q.salt)
	if i < 0 {
		return -1, nil
	}
	work := query.Prompt
	if candidates[i].Cached {
		work -= d.options.Balancer.HitCached * query.Shared
	}
	return i, &choice{work: work, ahead: candidates[i].Work}
}

func (d *Dispatcher) candidate(now clock.Millis, q *search, e *cataloger.State) balancer.Candidate {
	c := balancer.Candidate{ID: e.ID, Slots: e.Slots, Near: e.DataCentre == d.options.DataCentre}
	work, running, delay := d.options.PeerLoad(matcher.Hash("endpoint", e.ID))
	if l := d.loads[e.ID]; l != nil {
		work += l.work
		running += l.running
		delay = max(delay, l.waiting(now))
	}
	c.Work, c.Running = max(work, delay), running
	if q.prompt.subject != "" {
		at, ok := d.sent[subjectKey{e.ID, q.model, q.prompt.subject}]
		c.Cached = ok && now-at < subjectKept
	}
	switch d.breakers.State(now, e.ID) {
	case breaker.Open:
		c.Penalty += openPenalty
	case breaker.HalfOpen:
		c.Penalty += halfOpenPenalty
	}
	return c
}

func (d *Dispatcher) load(id string) *load {
	l := d.loads[id]
	if l == nil {
		l = &load{}
		d.loads[id] = l
	}
	return l
}

func (d *Dispatcher) markSent(now clock.Millis, endpoint string, q *search) {
	if q.prompt.subject != "" {
		d.sent[subjectKey{endpoint, q.model, q.prompt.subject}] = now
	}
}

// heard notes bytes from an endpoint.
func (d *Dispatcher) heard(now clock.Millis, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load(endpoint).heard = now
}

// lastHeard returns when bytes last came from an endpoint.
func (d *Dispatcher) lastHeard(endpoint string) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.load(endpoint).heard
}

// started takes the prompt of a choice off the endpoint's work. It also learns
// the model's pace if the endpoint had nothing else to do.
func (d *Dispatcher) started(now clock.Millis, c *choice, q *search, took clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.load(c.endpoint.ID)
	l.noLongerPending(c)
	l.delay, l.delayed = max(0, float64(took)-c.work-startOverhead), now
	l.work = max(0, l.work-c.work)
	if c.ahead == 0 && took > 0 && c.work > 0 {
		tokens := c.work / d.perToken(q.model, q.below)
		d.learnPace(q.model, tokens, float64(took))
	}
	c.work = 0
}

// ended returns a choice.
func (d *Dispatcher) ended(now clock.Millis, c *choice, succeeded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.load(c.endpoint.ID)
	l.noLongerPending(c)
	l.work = max(0, l.work-c.work)
	l.running = max(0, l.running-1)
	d.breakers.Report(now, c.ticket, succeeded)
}

// pressure returns the least and the mean work that waits at the endpoints of
// the service, the least with the distance of its data centre.
func (d *Dispatcher) pressure(now clock.Millis, q *search) (least, mean float64) {
	list := d.options.Catalog.Snapshot().Service(q.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, e := range list {
		if d.options.Evacuated(e.DataCentre) {
			continue
		}
		c := d.candidate(now, q, e)
		mean += c.Work
		work := c.Work + c.Penalty
		if !c.Near {
			work += q.distance()
		}
		if count++; count == 1 || work < least {
			least = work
		}
	}
	return least, mean / float64(max(1, count))
}

// chill treats an endpoint as cold until an instant.
func (d *Dispatcher) chill(id string, until clock.Millis) {
	d.options.Catalog.Chill(until, func(e *cataloger.State) bool { return e.ID == id })
}

const (
	// throttleSpan averages the demand for larger models; it is longer than
	// the clumps of arrivals and shorter than a burst.
	throttleSpan = 3 * clock.Second
	// throttleShare is the part of an engine's time that prompts may take. At
	// the deployments' usual load it is about 0.4.
	throttleShare = 0.48
)

// limit returns the throttler of a service. The lock is held.
func (d *Dispatcher) limit(service string) *throttler.Throttler {
	t := d.limits[service]
	if t == nil {
		t = throttler.New(throttler.Options{Span: throttleSpan, Share: throttleShare})
		d.limits[service] = t
	}
	return t
}

// larger notes that a request of a rank asks for a larger model, which has a
// work in ms, and returns the part of such requests for which there is room.
func (d *Dispatcher) larger(now clock.Millis, q *search, rank int, work float64) float64 {
	instances := d.options.Ready()
	others := d.options.PeerRates(q.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.limit(q.service)
	t.Demand(now, rank, work)
	return t.Factor(now, rank, others, q.usable, instances)
}

// Rates returns the work of this instance by service, in ms per ms, for the
// services of which some may be held back.
func (d *Dispatcher) Rates(each func(service string, base, demand float64)) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, t := range d.limits {
		base, demand := t.Rates(now)
		each(service, base, demand)
	}
}
