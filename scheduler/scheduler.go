package scheduler

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// deviations is the number of mean absolute deviations by which a request may
// exceed its expected service time and still end before the deadline. With 0,
// a backlogged queue settles where half of the requests end too late.
const deviations = 3

// Item is one request that waits for a slot.
type Item struct {
	ID        string // unique among the waiting and running requests
	Workspace string
	Priority  int          // higher values are served first within the workspace
	Deadline  clock.Millis // the response must be complete by then
	Service   clock.Millis // expected service time; 0 takes the measured mean
}

// Options are the settings of a scheduler.
type Options struct {
	Slots          int                // requests that may run at the same time
	Weights        map[string]float64 // share of each workspace; 1 if not listed
	InitialService clock.Millis       // expected service time before the first measurement
}

// Scheduler holds the waiting and the running requests.
type Scheduler struct {
	slots      int
	weights    map[string]float64
	mean       average
	virtual    float64
	workspaces map[string]*workspace
	order      []*workspace // in order of first use, so that equal inputs give equal results
	running    map[string]run
	sequence   uint64
}

type workspace struct {
	name   string
	weight float64
	start  float64 // virtual start time of the next request
	mean   average // service time in ms
	queue  queue

	interval average // ms between starts while requests waited
	started  clock.Millis
}

type run struct {
	workspace *workspace
	began     clock.Millis
	expected  float64
}

// New returns a scheduler without requests. It panics if o has no slots or no
// initial service time.
func New(o Options) *Scheduler {
	if o.Slots < 1 || o.InitialService < 1 {
		panic("scheduler: slots and initial service time must be positive")
	}
	s := &Scheduler{
		slots: o.Slots, weights: map[string]float64{}, mean: average{value: float64(o.InitialService)},
		workspaces: map[string]*workspace{}, running: map[string]run{},
	}
	for k, w := range o.Weights {
		s.weights[k] = w
	}
	return s
}

// SetSlots changes how many requests may run at the same time. Requests that
// run already are not affected.
func (s *Scheduler) SetSlots(slots int) { s.slots = slots }

// Running returns the number of requests that run.
func (s *Scheduler) Running() int { return len(s.running) }

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int {
	var n int
	for _, w := range s.order {
		n += w.queue.len()
	}
	return n
}

// Enqueue adds a request to the queue of its workspace. It returns
// refuser.ErrDeadline if the deadline leaves no time for the work at all, and
// refuser.ErrQueueFull if the predicted wait exceeds the time that is left. In
// both cases the request was not run.
func (s *Scheduler) Enqueue(now clock.Millis, i Item) error {
	w := s.workspace(i.Workspace)
	left := float64(i.Deadline - now)
	if service := w.expected(i); left < service {
		return refuser.ErrDeadline.WithMessage("the deadline leaves %.0f ms, the work takes %.0f ms", left, service)
	}
	wait, slack := s.predict(w, i), left-w.needed(i)
	if wait > max(slack, 0) {
		over := clock.Millis(math.Ceil(wait - slack))
		return refuser.ErrQueueFull.WithRetryAfter(over).
			WithMessage("predicted wait %.0f ms exceeds the %.0f ms that are left", wait, slack)
	}
	if w.queue.len() == 0 {
		w.start = max(w.start, s.virtual)
	}
	s.sequence++
	w.queue.push(entry{item: i, sequence: s.sequence})
	return nil
}

// Predict returns the wait that is expected for a request that arrives now.
func (s *Scheduler) Predict(i Item) clock.Millis {
	return clock.Millis(math.Ceil(s.predict(s.workspace(i.Workspace), i)))
}

// Next takes the request that starts now. It reports false if no slot is free
// or nothing waits. Expired requests have been removed because they can no
// longer end in time; they were not run.
func (s *Scheduler) Next(now clock.Millis) (next Item, expired []Item, ok bool) {
	for len(s.running) < s.slots {
		w := s.first()
		if w == nil {
			return Item{}, expired, false
		}
		i := w.queue.pop()
		left := float64(i.Deadline - now)
		if left < w.expected(i) || left < w.needed(i) && s.Waiting() > 0 {
			expired = append(expired, i)
			continue
		}
		w.measure(now)
		service := w.expected(i)
		s.virtual = max(s.virtual, w.start)
		w.start += service / w.weight
		s.running[i.ID] = run{workspace: w, began: now, expected: service}
		return i, expired, true
	}
	return Item{}, nil, false
}

// Done frees the slot of a request and learns from its service time. A request
// that failed gives its time back to the workspace but teaches nothing about
// the service time. Unknown ids are ignored.
func (s *Scheduler) Done(now clock.Millis, id string, succeeded bool) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	took := float64(now - r.began)
	r.workspace.start += (took - r.expected) / r.workspace.weight
	if succeeded {
		r.workspace.mean.add(took)
		s.mean.add(took)
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (s *Scheduler) Cancel(workspace, id string) bool {
	w, ok := s.workspaces[workspace]
	return ok && w.queue.remove(id)
}

func (s *Scheduler) workspace(name string) *workspace {
	w, ok := s.workspaces[name]
	if !ok {
		weight := s.weights[name]
		if weight <= 0 {
			weight = 1
		}
		w = &workspace{name: name, weight: weight, start: s.virtual, mean: s.mean.fresh()}
		s.workspaces[name] = w
		s.order = append(s.order, w)
	}
	return w
}

// first returns the workspace with the lowest virtual start time among those
// that have waiting requests, or nil.
func (s *Scheduler) first() *workspace {
	var best *workspace
	for _, w := range s.order {
		if w.queue.len() == 0 {
			continue
		}
		if best == nil || w.start < best.start || w.start == best.start && w.name < best.name {
			best = w
		}
	}
	return best
}

// predict returns the expected wait in ms: the work that starts before the
// request, and one mean service time until slots come free, over all slots.
func (s *Scheduler) predict(w *workspace, i Item) float64 {
	if len(s.running) < s.slots && s.Waiting() == 0 {
		return 0
	}
	own := float64(w.queue.before(i.Priority))
	start := w.start
	if w.queue.len() == 0 {
		start = max(start, s.virtual)
	}
	start += own * w.mean.value / w.weight
	ahead := own * w.mean.value
	for _, v := range s.order {
		if v == w || v.queue.len() == 0 || v.start > start {
			continue
		}
		turns := math.Floor((start-v.start)*v.weight/v.mean.value) + 1
		ahead += min(turns, float64(v.queue.len())) * v.mean.value
	}
	shared := (ahead + s.mean.value) / float64(s.slots)
	if !w.interval.measured {
		return shared
	}
	// The measured rate includes requests of other workspaces that arrive later
	// and start earlier.
	return max(shared, own*w.interval.value)
}

// measure learns how fast the requests of a workspace start while others of it
// wait. It forgets the rate when none waits: the rate of another time tells
// nothing.
func (w *workspace) measure(now clock.Millis) {
	if w.started > 0 {
		w.interval.add(float64(now - w.started))
	}
	w.started = now
	if w.queue.len() == 0 {
		w.started, w.interval = 0, average{}
	}
}

func (w *workspace) expected(i Item) float64 {
	if i.Service > 0 {
		return float64(i.Service)
	}
	return w.mean.value
}

// needed returns the time that the request needs before its deadline while
// others wait for the slot.
func (w *workspace) needed(i Item) float64 {
	return w.expected(i) + deviations*w.mean.deviation
}
