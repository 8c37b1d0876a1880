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

// Endpoint is one back end as the instance list names it, with what the fleet
// text says about it.
type Endpoint struct {
	ID         string
	Address    string // base URL
	DataCentre string
	Service    string // plain service that it runs, "" for a model engine
	Leaving    bool
	Out        bool // taken out, or in a data centre that is taken out
	Limit      int  // concurrent requests of a warm endpoint
}

// Want describes the request that needs an endpoint.
type Want struct {
	Class    string // version key or plain service
	Prompt   string
	Exclude  []string // endpoints that failed this request
	Deadline clock.Millis
}

// Slot is the right to send one request to an endpoint. It goes back with Release.
type Slot struct {
	Endpoint string
	Address  string
	Reason   string // of the choice, see picker
	ticket   breaker.Ticket
	work     permitter.Work
	permit   bool
	prefix   uint64
}

// Result tells how a request ended at an endpoint.
type Result struct {
	Failed bool // the endpoint failed; counts for the circuit breaker
	Lost   bool // the connection failed, so that the process may have ended
	Cold   bool // the endpoint refused because it is cold
	Late   bool // the first token came far later than usual
}

// Permits are the calls that bound the work at cold endpoints.
type Permits struct {
	Units  func(p permitter.Process) int
	Start  func(p permitter.Process, deadline clock.Millis) (permitter.Work, bool)
	Finish func(w permitter.Work, normal bool)
	Cold   func(p permitter.Process)
	Wanted func(p permitter.Process) // a request would have started here
}

// Options are the settings of a tracker. All fields must be set.
type Options struct {
	DataCentre  string
	DataCentres []string // all, in the order of the fleet text
	Distance    func(from, to string) float32
	Permits     Permits
	Random      *rand.Rand
	Breaker     breaker.Options
}

const (
	// prefixBytes is the part of a prompt that identifies its cached prefix.
	prefixBytes   = 256
	bytesPerToken = 4
	hintsPerRow   = 32
	// reportLag bounds the lag of a load report.
	reportLag = clock.Second
	// wantedRows is how many endpoints a request without a permit asks for.
	wantedRows = 2
)

// row is what the tracker knows of an endpoint beside the picker's table.
type row struct {
	Endpoint
	restart  string
	versions []string
	loadAt   clock.Millis
	warm     bool // as its last report says
	load     int  // requests that it has, as its last report says
	// trustFrom is the instant from which on a report names the process that
	// runs now; earlier ones may describe a process that has ended.
	trustFrom clock.Millis
}

// Tracker is the table of endpoints. It is safe for concurrent use.
type Tracker struct {
	o       Options
	mu      sync.Mutex
	picker  picker.Picker
	table   *picker.Table
	rows    []row
	index   map[string]int // endpoint id to row
	classes map[string]int // version key or plain service to picker version
	dcs     map[string]uint8
	breaker *breaker.Breaker
}

// New returns a tracker without endpoints.
func New(o Options) *Tracker {
	return &Tracker{
		o: o, picker: picker.Default(), breaker: breaker.New(o.Breaker, o.Random),
		table: picker.NewTable(0, nil, 1), index: map[string]int{}, classes: map[string]int{},
	}
}

// Adopt replaces the endpoints and the classes that they may serve. Loads,
// circuits and requests in flight are kept for endpoints that stay.
func (t *Tracker) Adopt(endpoints []Endpoint, classes, dataCentres []string, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dcs = map[string]uint8{}
	distance := make([][]float32, len(dataCentres))
	for i, from := range dataCentres {
		t.dcs[from] = uint8(i)
		for _, to := range dataCentres {
			distance[i] = append(distance[i], t.o.Distance(from, to))
		}
	}
	t.classes = map[string]int{}
	for i, c := range classes {
		t.classes[c] = i
	}
	old, oldRows, oldIndex := t.table, t.rows, t.index
	t.table = picker.NewTable(len(classes), distance, hintsPerRow*len(endpoints)+1)
	t.rows, t.index = nil, map[string]int{}
	for _, e := range endpoints {
		t.add(e, oldRows, oldIndex, now)
	}
	t.table.Adopt(old)
	for id := range oldIndex {
		if _, stays := t.index[id]; !stays {
			t.breaker.Forget(id)
		}
	}
}

// distrust forgets which process runs, until a report shows it that cannot be
// older than now.
func (r *row) distrust(now clock.Millis) {
	r.restart, r.warm, r.trustFrom = "", false, now+reportLag
}

func (t *Tracker) add(e Endpoint, oldRows []row, oldIndex map[string]int, now clock.Millis) {
	dc, ok := t.dcs[e.DataCentre]
	if !ok {
		return // a data centre that the text does not list
	}
	r := row{Endpoint: e}
	if i, known := oldIndex[e.ID]; known && oldRows[i].Address == e.Address {
		r.restart, r.versions, r.loadAt = oldRows[i].restart, oldRows[i].versions, oldRows[i].loadAt
		r.warm, r.trustFrom = oldRows[i].warm, oldRows[i].trustFrom
		if oldRows[i].Out && !e.Out {
			r.distrust(now)
		}
	}
	if e.Service != "" {
		r.versions = []string{e.Service}
	}
	t.index[e.ID] = t.table.Add(e.ID, dc, int32(e.Limit), t.classIndices(r.versions))
	t.rows = append(t.rows, r)
}

func (t *Tracker) classIndices(names []string) []int {
	var found []int
	for _, n := range names {
		if i, ok := t.classes[n]; ok {
			found = append(found, i)
		}
	}
	return found
}

// Tick brings the states of all endpoints up to date.
func (t *Tracker) Tick(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.rows {
		t.refresh(i, now)
	}
}

func (t *Tracker) refresh(i int, now clock.Millis) {
	r := &t.rows[i]
	var state uint8
	if r.Out {
		state |= picker.StateOut
	}
	if r.Leaving {
		state |= picker.StateLeaving
	}
	if t.breaker.State(now, r.ID) == breaker.Open {
		state |= picker.StateOpen
	}
	if r.Service == "" {
		if units := t.units(r); units < r.Limit {
			state |= picker.StateCold
			t.table.Permit[i] = t.table.InFlight[i] + int32(units)
		}
	}
	t.table.State[i] = state
}

func (t *Tracker) units(r *row) int {
	if r.restart == "" {
		return 0
	}
	return t.o.Permits.Units(permitter.Process{Endpoint: r.ID, Restart: r.restart})
}

// Acquire chooses an endpoint for a request and counts the request there. The
// error is refuser.ErrNoEndpoint with the reason in its message.
func (t *Tracker) Acquire(w Want, now clock.Millis) (Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	class, ok := t.classes[w.Class]
	if !ok {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("no endpoint serves %s", w.Class)
	}
	for _, id := range w.Exclude {
		if i, known := t.index[id]; known {
			defer t.refresh(i, now)
			t.table.State[i] |= picker.StateOpen
		}
	}
	q, prefix := t.query(w, class, now)
	for range t.rows {
		i, reason := t.picker.Pick(t.table, &q, t.o.Random)
		if i < 0 {
			t.want(class)
			return Slot{}, refuser.ErrNoEndpoint.WithMessage("no endpoint for %s: %s", w.Class, reason)
		}
		t.refresh(i, now)
		if t.excluded(w, i) || t.table.State[i]&^picker.StateCold != 0 {
			t.table.State[i] |= picker.StateOpen
			continue
		}
		if s, taken := t.take(i, now, w.Deadline); taken {
			s.Reason, s.prefix = reason, prefix
			return s, nil
		}
	}
	return Slot{}, refuser.ErrNoEndpoint.WithMessage("no endpoint for %s has room", w.Class)
}

// AcquireAt counts a request at one endpoint, to go on with an attempt there.
func (t *Tracker) AcquireAt(id string, deadline, now clock.Millis) (Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[id]
	if !ok {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("endpoint %s has left", id)
	}
	t.refresh(i, now)
	if t.table.State[i]&^picker.StateCold != 0 {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("endpoint %s is %s", id, stateName(t.table.State[i]))
	}
	s, taken := t.take(i, now, deadline)
	if !taken {
		return Slot{}, refuser.ErrNoEndpoint.WithMessage("endpoint %s has no room", id)
	}
	return s, nil
}

func (t *Tracker) excluded(w Want, i int) bool {
	for _, id := range w.Exclude {
		if t.rows[i].ID == id {
			return true
		}
	}
	return false
}

func (t *Tracker) query(w Want, class int, now clock.Millis) (picker.Query, uint64) {
	q := picker.Query{
		Version: class, DataCentre: t.dcs[t.o.DataCentre], Now: now, Prompt: int32(len(w.Prompt) / bytesPerToken),
	}
	if w.Prompt == "" {
		return q, 0
	}
	prefix := xxhash.Sum64String(engineclient.PrefixKey(w.Prompt))
	q.Prefix = []uint64{prefix}
	q.Tokens = []int32{int32(min(len(w.Prompt), prefixBytes) / bytesPerToken)}
	return q, prefix
}

// want tells the permits where a request would have started: at a few random
// endpoints, so that one request does not take up the units of all of them.
func (t *Tracker) want(class int) {
	left := wantedRows
	start := t.o.Random.IntN(max(len(t.rows), 1))
	for k := range t.rows {
		i := (start + k) % len(t.rows)
		r := &t.rows[i]
		usable := !r.Out && !r.Leaving && r.Service == "" && r.restart != ""
		if !usable || t.table.State[i]&picker.StateCold == 0 || !t.table.Serves(i, class) {
			continue
		}
		t.o.Permits.Wanted(permitter.Process{Endpoint: r.ID, Restart: r.restart})
		if left--; left == 0 {
			return
		}
	}
}

// take counts a request at row i, unless its circuit or permit forbids it.
func (t *Tracker) take(i int, now, deadline clock.Millis) (Slot, bool) {
	r := &t.rows[i]
	s := Slot{Endpoint: r.ID, Address: r.Address}
	var ok bool
	if r.Service == "" {
		p := permitter.Process{Endpoint: r.ID, Restart: r.restart}
		if s.work, s.permit = t.o.Permits.Start(p, deadline); !s.permit {
			t.table.State[i] |= picker.StateOpen // until the next tick
			return s, false
		}
	}
	// The circuit comes last: a ticket cannot be given back without a result.
	if s.ticket, ok = t.breaker.Allow(now, r.ID); !ok {
		if s.permit {
			t.o.Permits.Finish(s.work, false)
		}
		t.table.State[i] |= picker.StateOpen
		return s, false
	}
	t.table.Sent(i)
	return s, true
}

// Release gives a slot back with its outcome.
func (t *Tracker) Release(s Slot, r Result, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Report(now, s.ticket, !r.Failed)
	i, ok := t.index[s.Endpoint]
	if !ok {
		i = -1
	}
	if s.permit {
		t.finish(s, r, i)
	}
	if !ok {
		return
	}
	t.table.Done(i)
	if r.Lost && s.permit && t.rows[i].restart == s.work.Restart {
		t.rows[i].distrust(now)
	}
	if s.prefix != 0 && !r.Failed {
		t.table.Cached(s.prefix, i, now)
	}
	t.refresh(i, now)
}

// finish tells the permits how a request ended at row i, or -1 if the endpoint
// has left. Requests earn a higher limit only once the endpoint itself says that
// it is warm; before that it would refuse what exceeds its cold limit.
func (t *Tracker) finish(s Slot, r Result, i int) {
	warm := i >= 0 && t.rows[i].warm && t.rows[i].restart == s.work.Restart
	t.o.Permits.Finish(s.work, warm && !r.Failed && !r.Cold && !r.Late)
	if r.Cold || r.Late && i >= 0 && t.idle(i) {
		t.o.Permits.Cold(s.work.Process)
	}
}

// Busy reports whether an endpoint has so much work that its queue may explain a
// late first token.
func (t *Tracker) Busy(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[id]
	return ok && !t.idle(i)
}

// idle reports whether an endpoint has so little work that its queue does not
// explain a late first token.
func (t *Tracker) idle(i int) bool {
	const idleShare = 4
	limit := t.table.Limit[i]
	return t.rows[i].load*idleShare < int(limit) && t.table.InFlight[i]*idleShare < limit
}
