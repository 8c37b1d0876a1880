package tracker

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/picker"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Endpoint is one back end as described by the instance list and the
// configuration.
type Endpoint struct {
	ID         string
	Address    string // base URL
	DataCentre string
	Service    string // plain service that it serves, "" for a model engine
	Leaving    bool   // the instance list announces that it leaves
	Out        bool   // an operator took it or its data centre out of service
	Limit      int    // concurrency limit while it is warm
}

// Requirement describes what a request requires of an endpoint.
type Requirement struct {
	Class    string       // version key or plain service that the endpoint must serve
	Prompt   string       // prompt whose prefix the endpoint should have in its cache, or ""
	Exclude  []string     // IDs of endpoints that failed this request
	Deadline clock.Millis // instant by which the request must have ended
}

// Slot is the right to send one request to an endpoint. It must be returned with
// Release.
type Slot struct {
	Endpoint   string
	Address    string
	Reason     string // reason for the choice, one of package picker
	ticket     breaker.Ticket
	running    permitter.RunningRequest // set if hasPermit
	hasPermit  bool
	prefixHash uint64 // hash of the prompt prefix, 0 if there is none
}

// Result is the outcome of a request at an endpoint.
type Result struct {
	Failed         bool // the endpoint failed the request, which its circuit breaker counts
	ConnectionLost bool // the connection was lost, so the process may have ended
	Cold           bool // the endpoint refused the request because it is cold
	Late           bool // the first token arrived much later than usual
}

// Permits are the functions that limit the concurrent requests at cold endpoints.
type Permits struct {
	// AvailableUnits returns how many more requests this instance may start at a
	// process.
	AvailableUnits func(p permitter.Process) int
	// Start takes a unit for a request. It reports false if there is none.
	Start func(p permitter.Process, deadline clock.Millis) (permitter.RunningRequest, bool)
	// Finish returns the unit. Normal means that the request counts towards a
	// higher limit.
	Finish func(r permitter.RunningRequest, normal bool)
	// MarkCold reports that a process turned out to be cold.
	MarkCold func(p permitter.Process)
	// RecordDemand reports that a request could have started at a process if this
	// instance had had a unit.
	RecordDemand func(p permitter.Process)
}

// Options are the settings of a tracker. All fields must be set.
type Options struct {
	DataCentre  string                        // data centre of this instance
	DataCentres []string                      // all data centres in the order of the configuration
	Distance    func(from, to string) float32 // one-way distance between data centres in ms
	Permits     Permits
	Random      *rand.Rand
	Breaker     breaker.Options
}

const (
	// prefixBytes is the length of the prompt prefix that identifies a cache entry.
	prefixBytes = 256
	// bytesPerToken is the assumed mean length of a token.
	bytesPerToken = 4
	// hintsPerEndpoint is the number of hints on cached prefixes per endpoint.
	hintsPerEndpoint = 32
	// maxReportLag is an upper bound of the time between the measurement of a load
	// report and its receipt.
	maxReportLag = clock.Second
	// demandSamples is the number of endpoints for which a request that found no
	// permit reports demand.
	demandSamples = 2
)

// row is the state of an endpoint that is not in the picker's table.
type row struct {
	Endpoint
	restartID    string       // identifies the process that runs at the endpoint; "" if it is not known
	versions     []string     // loaded versions, or the plain service
	reportedAt   clock.Millis // instant at which the last load report was received
	reportedWarm bool         // whether that report says that the endpoint is warm
	reportedLoad int          // running and queued requests according to that report
	// identityValidFrom is the instant from which load reports identify the process
	// that runs now. Reports received before may describe a process that has ended.
	identityValidFrom clock.Millis
}

// Tracker holds the state of all endpoints. It is safe for concurrent use.
type Tracker struct {
	opts            Options
	mu              sync.Mutex
	picker          picker.Picker
	table           *picker.Table
	rows            []row
	rowIndex        map[string]int   // index in rows and table by endpoint ID
	classIndex      map[string]int   // version index in table by version key or plain service
	dataCentreIndex map[string]uint8 // index in table by name
	breaker         *breaker.Breaker
}

// New returns a tracker without endpoints.
func New(o Options) *Tracker {
	return &Tracker{
		opts: o, picker: picker.Default(), breaker: breaker.New(o.Breaker, o.Random),
		table: picker.NewTable(0, nil, 1), rowIndex: map[string]int{}, classIndex: map[string]int{},
	}
}

// SetEndpoints replaces the set of endpoints, the classes (version keys and plain
// services) that they may serve, and the data centres. Endpoints that are in both
// the old and the new set keep their loads, circuit breakers and requests in
// flight.
func (t *Tracker) SetEndpoints(endpoints []Endpoint, classes, dataCentres []string, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dataCentreIndex = map[string]uint8{}
	distance := make([][]float32, len(dataCentres))
	for i, from := range dataCentres {
		t.dataCentreIndex[from] = uint8(i)
		for _, to := range dataCentres {
			distance[i] = append(distance[i], t.opts.Distance(from, to))
		}
	}
	t.classIndex = map[string]int{}
	for i, c := range classes {
		t.classIndex[c] = i
	}
	old, oldRows, oldIndex := t.table, t.rows, t.rowIndex
	t.table = picker.NewTable(len(classes), distance, hintsPerEndpoint*len(endpoints)+1)
	t.rows, t.rowIndex = nil, map[string]int{}
	for _, e := range endpoints {
		t.addRow(e, oldRows, oldIndex, now)
	}
	t.table.CopyState(old)
	for id := range oldIndex {
		if _, stays := t.rowIndex[id]; !stays {
			t.breaker.Forget(id)
		}
	}
}

// forgetProcess discards the identity of the process that runs at the endpoint
// until a load report arrives that was certainly measured after now.
func (r *row) forgetProcess(now clock.Millis) {
	r.restartID, r.reportedWarm, r.identityValidFrom = "", false, now+maxReportLag
}

// addRow adds an endpoint with the state that it had in the old rows. The process
// identity is discarded if the endpoint returns to service, since its process may
// have been replaced meanwhile.
func (t *Tracker) addRow(e Endpoint, oldRows []row, oldIndex map[string]int, now clock.Millis) {
	dc, ok := t.dataCentreIndex[e.DataCentre]
	if !ok {
		return // the configuration does not list the data centre
	}
	r := row{Endpoint: e}
	if i, known := oldIndex[e.ID]; known && oldRows[i].Address == e.Address {
		r.restartID, r.versions, r.reportedAt = oldRows[i].restartID, oldRows[i].versions, oldRows[i].reportedAt
		r.reportedWarm, r.identityValidFrom = oldRows[i].reportedWarm, oldRows[i].identityValidFrom
		if oldRows[i].Out && !e.Out {
			r.forgetProcess(now)
		}
	}
	if e.Service != "" {
		r.versions = []string{e.Service}
	}
	t.rowIndex[e.ID] = t.table.Add(e.ID, dc, int32(e.Limit), t.classIndices(r.versions))
	t.rows = append(t.rows, r)
}

// classIndices returns the indices of the classes that the configuration lists.
func (t *Tracker) classIndices(names []string) []int {
	var indices []int
	for _, n := range names {
		if i, ok := t.classIndex[n]; ok {
			indices = append(indices, i)
		}
	}
	return indices
}

// Tick updates the states of all endpoints. It must be called regularly, since
// circuit breakers and permits change with time.
func (t *Tracker) Tick(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.rows {
		t.updateState(i, now)
	}
}

// updateState sets the state of row i in the picker's table. An endpoint counts
// as cold if the permitted units are fewer than its concurrency limit.
func (t *Tracker) updateState(i int, now clock.Millis) {
	r := &t.rows[i]
	var state uint8
	if r.Out {
		state |= picker.StateOut
	}
	if r.Leaving {
		state |= picker.StateLeaving
	}
	if t.breaker.State(now, r.ID) == breaker.Open {
		state |= picker.StateBreakerOpen
	}
	if r.Service == "" {
		if permitted := t.permittedUnits(r); permitted < r.Limit {
			state |= picker.StateCold
			t.table.Permit[i] = t.table.InFlight[i] + int32(permitted)
		}
	}
	t.table.State[i] = state
}

// permittedUnits returns how many more requests this instance may start at the
// endpoint, 0 if its process is not known.
func (t *Tracker) permittedUnits(r *row) int {
	if r.restartID == "" {
		return 0
	}
	return t.opts.Permits.AvailableUnits(permitter.Process{Endpoint: r.ID, Restart: r.restartID})
}

// Acquire chooses an endpoint for a request and reserves a slot there. The error
// is refuser.ErrNoEndpoint with the reason in its message. Endpoints that cannot
// be used are marked with picker.StateBreakerOpen, so that they are not chosen
// again: the excluded ones until Acquire returns, others until their state is next
// updated.
func (t *Tracker) Acquire(requirement Requirement, now clock.Millis) (Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	class, ok := t.classIndex[requirement.Class]
	if !ok {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("no endpoint serves %s", requirement.Class)
	}
	for _, id := range requirement.Exclude {
		if i, known := t.rowIndex[id]; known {
			defer t.updateState(i, now)
			t.table.State[i] |= picker.StateBreakerOpen
		}
	}
	q, prefixHash := t.query(requirement, class, now)
	for range t.rows {
		i, reason := t.picker.Pick(t.table, &q, t.opts.Random)
		if i < 0 {
			t.reportDemand(class)
			return Slot{}, refuser.ErrNoEndpoint.WithMessage("no endpoint for %s: %s", requirement.Class, reason)
		}
		t.updateState(i, now)
		if t.excluded(requirement, i) || t.table.State[i]&^picker.StateCold != 0 {
			t.table.State[i] |= picker.StateBreakerOpen
			continue
		}
		if s, reserved := t.reserve(i, now, requirement.Deadline); reserved {
			s.Reason, s.prefixHash = reason, prefixHash
			return s, nil
		}
	}
	return Slot{}, refuser.ErrNoEndpoint.WithMessage("no endpoint for %s has free capacity", requirement.Class)
}

// AcquireAt reserves a slot at the given endpoint, so that an attempt can be
// resumed there.
func (t *Tracker) AcquireAt(id string, deadline, now clock.Millis) (Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.rowIndex[id]
	if !ok {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("endpoint %s is no longer listed", id)
	}
	t.updateState(i, now)
	if t.table.State[i]&^picker.StateCold != 0 {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("endpoint %s is %s", id, stateName(t.table.State[i]))
	}
	s, reserved := t.reserve(i, now, deadline)
	if !reserved {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("endpoint %s has no free capacity", id)
	}
	return s, nil
}

// excluded reports whether the requirement excludes row i.
func (t *Tracker) excluded(requirement Requirement, i int) bool {
	for _, id := range requirement.Exclude {
		if t.rows[i].ID == id {
			return true
		}
	}
	return false
}

// query returns the picker's query for a request, and the hash of the prompt
// prefix, which is 0 without a prompt.
func (t *Tracker) query(requirement Requirement, class int, now clock.Millis) (picker.Query, uint64) {
	q := picker.Query{
		Version: class, DataCentre: t.dataCentreIndex[t.opts.DataCentre], Now: now,
		Prompt: int32(len(requirement.Prompt) / bytesPerToken),
	}
	if requirement.Prompt == "" {
		return q, 0
	}
	prefixHash := xxhash.Sum64String(engineclient.PrefixKey(requirement.Prompt))
	q.Prefix = []uint64{prefixHash}
	q.Tokens = []int32{int32(min(len(requirement.Prompt), prefixBytes) / bytesPerToken)}
	return q, prefixHash
}

// reportDemand reports to Permits the cold endpoints at which a request of the
// class could have started. It reports only demandSamples of them, from a random
// row on, so that one request does not claim the units of all endpoints.
func (t *Tracker) reportDemand(class int) {
	remaining := demandSamples
	start := t.opts.Random.IntN(max(len(t.rows), 1))
	for k := range t.rows {
		i := (start + k) % len(t.rows)
		r := &t.rows[i]
		usable := !r.Out && !r.Leaving && r.Service == "" && r.restartID != ""
		if !usable || t.table.State[i]&picker.StateCold == 0 || !t.table.Serves(i, class) {
			continue
		}
		t.opts.Permits.RecordDemand(permitter.Process{Endpoint: r.ID, Restart: r.restartID})
		if remaining--; remaining == 0 {
			return
		}
	}
}

// reserve reserves a slot at row i, unless its permits or its circuit breaker
// forbid it.
func (t *Tracker) reserve(i int, now, deadline clock.Millis) (Slot, bool) {
	r := &t.rows[i]
	s := Slot{Endpoint: r.ID, Address: r.Address}
	var ok bool
	if r.Service == "" {
		p := permitter.Process{Endpoint: r.ID, Restart: r.restartID}
		if s.running, s.hasPermit = t.opts.Permits.Start(p, deadline); !s.hasPermit {
			t.table.State[i] |= picker.StateBreakerOpen // until the next tick
			return s, false
		}
	}
	// The circuit breaker is checked last, since its ticket cannot be returned without
	// a result.
	if s.ticket, ok = t.breaker.Allow(now, r.ID); !ok {
		if s.hasPermit {
			t.opts.Permits.Finish(s.running, false)
		}
		t.table.State[i] |= picker.StateBreakerOpen
		return s, false
	}
	t.table.Sent(i)
	return s, true
}

// Release returns a slot with the outcome of its request.
func (t *Tracker) Release(s Slot, r Result, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Report(now, s.ticket, !r.Failed)
	i, ok := t.rowIndex[s.Endpoint]
	if !ok {
		i = -1
	}
	if s.hasPermit {
		t.finishRequest(s, r, i)
	}
	if !ok {
		return
	}
	t.table.Done(i)
	if r.ConnectionLost && s.hasPermit && t.rows[i].restartID == s.running.Restart {
		t.rows[i].forgetProcess(now)
	}
	if s.prefixHash != 0 && !r.Failed {
		t.table.RecordCached(s.prefixHash, i, now)
	}
	t.updateState(i, now)
}

// finishRequest reports the end of a request to Permits. The index i is the row
// of the endpoint, or -1 if it is no longer listed. A request counts towards a higher
// limit only if the endpoint reports that it is warm; before that it would refuse
// requests in excess of its cold limit.
func (t *Tracker) finishRequest(s Slot, r Result, i int) {
	warm := i >= 0 && t.rows[i].reportedWarm && t.rows[i].restartID == s.running.Restart
	t.opts.Permits.Finish(s.running, warm && !r.Failed && !r.Cold && !r.Late)
	if r.Cold || r.Late && i >= 0 && t.lightlyLoaded(i) {
		t.opts.Permits.MarkCold(s.running.Process)
	}
}

// Busy reports whether the load of an endpoint is so high that its queue may
// explain a late first token.
func (t *Tracker) Busy(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.rowIndex[id]
	return ok && !t.lightlyLoaded(i)
}

// lightlyLoaded reports whether the load of an endpoint is less than 1/loadDivisor
// of its limit, so that its queue does not explain a late first token.
func (t *Tracker) lightlyLoaded(i int) bool {
	const loadDivisor = 4
	limit := t.table.Limit[i]
	return t.rows[i].reportedLoad*loadDivisor < int(limit) && t.table.InFlight[i]*loadDivisor < limit
}
