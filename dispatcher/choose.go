package dispatcher

import (
	"cmp"
	"slices"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/stager"
)

const (
	// remoteEngineCost is the work in ms that an engine in another data centre
	// must save for a request without a body; remoteCostPerKB is added for each
	// KB of the body. Traffic between data centres is charged, and the load
	// reported from there is one second older.
	remoteEngineCost = 40
	remoteCostPerKB  = 4
	// remotePlainCost is the same cost for services without an engine.
	remotePlainCost = 40
	// coldReserve is the part, in requests per second, of the bound on a cold
	// endpoint that is left unused: the bound applies to arrivals, and the router
	// controls sends.
	coldReserve = 2
	// firstEventOverhead is the time in ms until a first event on an idle
	// endpoint besides prefill: network, setup and one decode step.
	firstEventOverhead = 30
	// openPenalty is the extra work in ms of an endpoint whose circuit is open;
	// it is chosen only if all others fail too.
	openPenalty = 35000
	// halfOpenPenalty is the extra work in ms of an endpoint that has failed
	// recently.
	halfOpenPenalty = 200
)

// choice is an endpoint reserved for one send. Times are in ms.
type choice struct {
	endpoint *cataloger.State
	ticket   breaker.Ticket
	work     float64      // estimated prefill time of the request
	ahead    float64      // time until the endpoint has done the work queued before it
	queued   float64      // the same time at an endpoint that is as fast as the others
	factor   float64      // of the endpoint's durations when it was chosen
	running  int          // requests there when it was chosen, including this one
	cached   float64      // prompt tokens that the endpoint's cache probably holds
	cold     bool         // the endpoint was cold when it was chosen
	due      clock.Millis // time at which the first event is expected
}

// expected returns the time in ms until the first event, or 0 if the service has
// no engine to predict it for.
func (c *choice) expected(q *criteria) clock.Millis {
	if !q.isEngine() {
		return 0
	}
	return clock.Millis(c.ahead+c.factor*c.work) + firstEventOverhead
}

// predicted is expected for an endpoint that is as fast as the others. A roll-out
// compares latencies with it: those of a slow version must not become expected.
func (c *choice) predicted(q *criteria) clock.Millis {
	if !q.isEngine() {
		return 0
	}
	return clock.Millis(c.queued+c.work) + firstEventOverhead
}

// criteria is what the choice of an endpoint depends on.
type criteria struct {
	service      string
	config       *matcher.Service // nil if the configuration has no such service
	session      string
	salt         string // varies the order of endpoints between requests
	model        string
	largerModels int // models on the route that are larger than model
	prompt       prompt
	eventGap     clock.Millis // maximum time between events of a timely stream; 0 if unlimited
	long         bool         // the prompt is long for the model, set by pick
	bodyBytes    int
	tried        map[string]bool // endpoints to which the request was sent already
	eligible     int             // endpoints that may serve the request, set by choose
	wait         clock.Millis    // if eligible is 0: time in ms until an endpoint may serve it; 0: unknown
}

// isEngine reports whether the service's endpoints are model engines.
func (q *criteria) isEngine() bool { return q.config != nil && q.config.CacheTokens > 0 }

// remoteCost returns the work in ms that an engine in another data centre must
// save.
func (q *criteria) remoteCost() float64 {
	return remoteEngineCost + remoteCostPerKB*float64(q.bodyBytes)/1024
}

// choose reserves the best endpoint for a send. It returns nil if none may serve
// the request now.
func (d *Dispatcher) choose(now clock.Millis, q *criteria) *choice {
	endpoints, rest := d.eligible(now, q)
	q.eligible = len(endpoints) + len(rest)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.reserve(now, q, endpoints); c != nil {
		return c
	}
	return d.reserve(now, q, rest)
}

// reserve reserves the best of the endpoints. It returns nil if none of them may serve
// the request now. The lock must be held.
func (d *Dispatcher) reserve(now clock.Millis, q *criteria, endpoints []*cataloger.State) *choice {
	for len(endpoints) > 0 {
		i, c := d.pick(now, q, endpoints)
		if i < 0 {
			return nil
		}
		e := endpoints[i]
		ticket, ok := d.breakers.Allow(now, e.ID)
		if ok && d.admitLimited(now, e) && d.admitCold(now, q, e) {
			c.endpoint, c.ticket, c.cold = e, ticket, e.ColdUntil > now
			endpointLoad := d.loadOf(e.ID)
			endpointLoad.work += c.work
			endpointLoad.running++
			if q.isEngine() {
				c.due = now + c.expected(q)
				endpointLoad.pending = append(endpointLoad.pending, c)
			}
			d.recordPrefix(now, e.ID, q)
			if q.largerModels > 0 {
				d.throttlerFor(q.service).RecordBase(now, c.work)
			}
			if q.long {
				d.throttlerFor(q.service).RecordLong(now, c.work)
			}
			return c
		}
		if ok {
			d.breakers.Cancel(ticket)
		}
		endpoints = append(endpoints[:i:i], endpoints[i+1:]...)
	}
	return nil
}

// eligible returns the endpoints that may serve the request: not evacuated, not
// tried yet, within the limits on cold endpoints, the limits and pauses that endpoints
// state, and of the version that the roll-out selects for the session. If there are none
// of that version, it returns the others, unless the roll-out excludes them.
// Without a roll-out, only versions that have been listed long enough are eligible. Those
// in rest may serve the request only if no other one may.
func (d *Dispatcher) eligible(now clock.Millis, q *criteria) (first, rest []*cataloger.State) {
	all := d.options.Catalog.Snapshot(now).Service(q.service)
	version := d.options.Stager.Choose(now, q.service, q.session)
	var preferred, fallback availability
	for _, e := range all {
		if q.tried[e.ID] || d.options.Evacuated(e.DataCentre) {
			continue
		}
		group := &preferred
		switch {
		case !version.HasOrder:
			if !d.options.Catalog.VersionEligible(now, q.service, e.Version) {
				continue
			}
		case (e.Version == version.Target) != version.UseTarget:
			group = &fallback
		}
		if !d.coldAllowed(now, q, e) {
			group.cold = true
			continue
		}
		group.add(e, max(d.limitWait(now, e), d.options.Pauser.Wait(now, e.ID, e.StartedAt)))
	}
	// That all endpoints of the old versions accept requests only later is no reason to
	// use the target.
	if len(preferred.list) == 0 && (preferred.wait == 0 || version.UseTarget) && !version.Strict {
		preferred = fallback
	}
	q.wait = 0
	if !preferred.cold {
		q.wait = preferred.wait
	}
	return splitForTest(preferred.list, version)
}

// splitForTest splits the endpoints of a target by whether they serve its full share
// while it is tested. All instances choose the same ones.
func splitForTest(list []*cataloger.State, version stager.Choice) (first, rest []*cataloger.State) {
	if len(list) == 0 || list[0].Version != version.Target {
		return list, nil
	}
	n := version.Endpoints(list[0].Slots)
	if n == 0 || n >= len(list) {
		return list, nil
	}
	slices.SortFunc(list, func(a, b *cataloger.State) int {
		return cmp.Compare(matcher.Hash(version.Target, a.ID), matcher.Hash(version.Target, b.ID))
	})
	return list[:n:n], list[n:]
}

// availability holds the endpoints of one version that may serve a request now.
type availability struct {
	list []*cataloger.State
	wait clock.Millis // least time until another one may, as it has stated itself; 0: there is none
	cold bool         // there are others, whose share for cold endpoints is used up
}

// add adds an endpoint that may serve the request after the given time.
func (a *availability) add(e *cataloger.State, wait clock.Millis) {
	switch {
	case wait == 0:
		a.list = append(a.list, e)
	case a.wait == 0 || wait < a.wait:
		a.wait = wait
	}
}

// pick returns the index of the endpoint that the balancer picks, with the work
// of the request there, or -1 and nil if list is empty. The lock must be held.
func (d *Dispatcher) pick(now clock.Millis, q *criteria, list []*cataloger.State) (int, *choice) {
	query := balancer.Query{RemoteCost: remotePlainCost}
	if !q.isEngine() {
		query.Prompt = d.options.Calibrator.PlainDuration(q.service)
	} else {
		query = balancer.Query{
			RemoteCost: q.remoteCost(), PrefixID: q.prompt.prefix,
			Prompt: d.prefillTime(q, q.prompt.tokens, 0), Shared: d.prefillTime(q, q.prompt.shared, 0),
		}
	}
	candidates := make([]balancer.Candidate, len(list))
	for i, e := range list {
		candidates[i] = d.candidate(now, q, e)
		candidates[i].Factor = costFactor(candidates[i].Factor, query, q.salt, e.ID)
	}
	d.applyPartition(now, q, &query, candidates)
	i := d.options.Balancer.Pick(query, candidates, q.salt)
	if i < 0 {
		return -1, nil
	}
	c := &choice{work: query.Prompt, ahead: candidates[i].Work}
	if candidates[i].Cached {
		c.cached = d.options.Balancer.HitCached * q.prompt.shared
		c.work = d.prefillTime(q, q.prompt.tokens, c.cached)
	}
	queued, _, delay := d.loadAt(now, list[i].ID, matcher.Hash("endpoint", list[i].ID))
	c.queued, c.factor, c.running = max(queued, delay), d.speed(now, list[i]).Factor, candidates[i].Running+1
	return i, c
}

// prefillTime returns the predicted prefill time in ms of so many tokens, of which
// some are cached, for the request's model. The lock must be held.
func (d *Dispatcher) prefillTime(q *criteria, tokens, cached float64) float64 {
	return d.forecaster.Predict(q.model, q.largerModels, tokens, cached)
}

// candidate returns an endpoint with the load of all instances on it. The lock
// must be held.
func (d *Dispatcher) candidate(now clock.Millis, q *criteria, e *cataloger.State) balancer.Candidate {
	c := balancer.Candidate{ID: e.ID, Slots: e.Slots, Local: e.DataCentre == d.options.DataCentre}
	known := d.calibrated(e)
	speed := d.options.Calibrator.Speed(now, known)
	c.Factor = speed.Factor
	if speed.Limit > 0 {
		c.Slots = speed.Limit
	}
	work, running, delay := d.loadAt(now, e.ID, known.Key)
	c.Work, c.Running = max(speed.Factor*work, delay), running
	if q.prompt.prefix != "" {
		sentAt, ok := d.prefixSent[prefixKey{e.ID, q.model, q.prompt.prefix}]
		c.Cached = ok && now-sentAt < prefixCacheAge
	}
	switch d.breakers.State(now, e.ID) {
	case breaker.Open:
		c.Penalty += openPenalty
	case breaker.HalfOpen:
		c.Penalty += halfOpenPenalty
	}
	return c
}

// loadAt returns the load of all instances on an endpoint, given by its id and the hash
// of the id: work in ms, running requests and delay in ms. The lock must be held.
func (d *Dispatcher) loadAt(now clock.Millis, id string, key uint64) (work float64, running int, delay float64) {
	work, running, delay = d.options.PeerLoad(key)
	if l := d.loads[id]; l != nil {
		work += l.work
		running += l.running
		delay = max(delay, l.expectedDelay(now))
	}
	return work, running, delay
}

// loadOf returns the load record of an endpoint, which it creates if necessary.
// The lock must be held.
func (d *Dispatcher) loadOf(id string) *load {
	l := d.loads[id]
	if l == nil {
		l = &load{}
		d.loads[id] = l
	}
	return l
}

// recordPrefix records that the request's shared prefix is sent to an endpoint.
// The lock must be held.
func (d *Dispatcher) recordPrefix(now clock.Millis, endpoint string, q *criteria) {
	if q.prompt.prefix != "" {
		d.prefixSent[prefixKey{endpoint, q.model, q.prompt.prefix}] = now
	}
}

// recordReceived records that bytes have arrived from an endpoint.
func (d *Dispatcher) recordReceived(now clock.Millis, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadOf(endpoint).lastReceived = now
}

// lastReceived returns the time at which bytes last arrived from an endpoint.
func (d *Dispatcher) lastReceived(endpoint string) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadOf(endpoint).lastReceived
}

// recordFirstEvent subtracts the prefill work of a send from the endpoint's
// load. took is the time from the send to the first event. If the endpoint had no
// other work, it is also a sample of the model's prefill time.
func (d *Dispatcher) recordFirstEvent(now clock.Millis, c *choice, q *criteria, took clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(c.endpoint.ID)
	l.removePending(c)
	l.excessDelay, l.delayAt = max(0, float64(took)-c.factor*c.work-firstEventOverhead), now
	d.calibrateFirst(now, c, q, took)
	l.work = max(0, l.work-c.work)
	if c.ahead == 0 && took > 0 && c.work > 0 {
		d.forecaster.Record(q.model, q.prompt.tokens, c.cached, float64(took))
	}
	c.work = 0
}

// release ends the reservation of an endpoint that was used and reports the result
// to its circuit breaker.
func (d *Dispatcher) release(now clock.Millis, c *choice, succeeded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLoad(c)
	d.breakers.Report(now, c.ticket, succeeded)
}

// cancel ends the reservation of an endpoint that was not used.
func (d *Dispatcher) cancel(c *choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLoad(c)
	d.breakers.Cancel(c.ticket)
}

// removeLoad removes a reservation from the load of its endpoint. The lock is
// held.
func (d *Dispatcher) removeLoad(c *choice) {
	l := d.loadOf(c.endpoint.ID)
	l.removePending(c)
	l.work = max(0, l.work-c.work)
	l.running = max(0, l.running-1)
}

// pressure returns the least and the mean work in ms queued at the endpoints of
// the service. The least includes penalties and the cost of another data centre.
func (d *Dispatcher) pressure(now clock.Millis, q *criteria) (least, mean float64) {
	list := d.options.Catalog.Snapshot(now).Service(q.service)
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
		if !c.Local {
			work += q.remoteCost()
		}
		if count++; count == 1 || work < least {
			least = work
		}
	}
	return least, mean / float64(max(1, count))
}

// markCold treats an endpoint as cold until the given time.
func (d *Dispatcher) markCold(id string, until clock.Millis) {
	d.options.Catalog.MarkCold(until, func(e *cataloger.State) bool { return e.ID == id })
}
