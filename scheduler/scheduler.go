package scheduler

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// deadlineDeviations is the number of mean absolute deviations by which a request
// may exceed its expected service time and still complete before its deadline.
// With 0, a queue under overload settles at a length at which half of the
// requests complete too late.
const deadlineDeviations = 3

// Request is one request that waits for a slot.
type Request struct {
	ID          string // unique among the waiting and running requests
	Workspace   string
	Priority    int          // higher values start first within the workspace
	Deadline    clock.Millis // instant by which the response must be complete
	ServiceTime clock.Millis // expected service time; 0 stands for the measured mean of the workspace
}

// Options are the settings of a scheduler.
type Options struct {
	Slots              int                // greatest number of running requests
	Weights            map[string]float64 // relative share of each workspace; 1 if it is not listed or not positive
	InitialServiceTime clock.Millis       // expected service time until the first request has completed
}

// Scheduler holds the waiting and the running requests of one pool of slots.
type Scheduler struct {
	slots        int
	weights      map[string]float64
	serviceTime  average // ms, over all workspaces
	virtualTime  float64 // highest virtual start time of a started request, in ms of service per unit of weight
	workspaces   map[string]*workspace
	byFirstUse   []*workspace // the workspaces in a fixed order, so that equal inputs give equal results
	running      map[string]runningRequest
	lastSequence uint64 // sequence number of the last queued request
}

// workspace is the state of one workspace.
type workspace struct {
	name        string
	weight      float64
	nextStart   float64 // virtual start time of the next request
	serviceTime average // ms
	queue       queue

	startInterval average      // ms between consecutive starts while requests wait
	lastStart     clock.Millis // instant of the last start with requests left in the queue; 0 if there is none
}

type runningRequest struct {
	workspace       *workspace
	startedAt       clock.Millis
	expectedService float64 // service time in ms that was charged to the workspace at the start
}

// New returns a scheduler without requests. It panics if o has no slots or no
// initial service time.
func New(o Options) *Scheduler {
	if o.Slots < 1 || o.InitialServiceTime < 1 {
		panic("scheduler: slots and initial service time must be positive")
	}
	s := &Scheduler{
		slots: o.Slots, weights: map[string]float64{}, serviceTime: average{mean: float64(o.InitialServiceTime)},
		workspaces: map[string]*workspace{}, running: map[string]runningRequest{},
	}
	for k, w := range o.Weights {
		s.weights[k] = w
	}
	return s
}

// SetSlots changes the greatest number of running requests. Requests that run
// already are not affected.
func (s *Scheduler) SetSlots(slots int) { s.slots = slots }

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return len(s.running) }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	var n int
	for _, w := range s.byFirstUse {
		n += w.queue.len()
	}
	return n
}

// Enqueue adds a request to the queue of its workspace. It returns
// refuser.ErrDeadline if the expected service time exceeds the time until the
// deadline, and refuser.ErrQueueFull if the predicted wait exceeds the time that
// the service leaves. In both cases the request does not run.
func (s *Scheduler) Enqueue(now clock.Millis, request Request) error {
	w := s.workspace(request.Workspace)
	remaining := float64(request.Deadline - now)
	if service := w.expectedService(request); remaining < service {
		return refuser.ErrDeadline.
			WithMessage("%.0f ms remain until the deadline, the expected service time is %.0f ms", remaining, service)
	}
	wait, slack := s.predictWait(w, request), remaining-w.requiredTime(request)
	if wait > max(slack, 0) {
		excess := clock.Millis(math.Ceil(wait - slack))
		return refuser.ErrQueueFull.WithRetryAfter(excess).
			WithMessage("the predicted wait of %.0f ms exceeds the %.0f ms that remain for it", wait, slack)
	}
	if w.queue.len() == 0 {
		w.nextStart = max(w.nextStart, s.virtualTime)
	}
	s.lastSequence++
	w.queue.push(entry{request: request, sequence: s.lastSequence})
	return nil
}

// Predict returns the expected wait of a request that arrives now.
func (s *Scheduler) Predict(request Request) clock.Millis {
	return clock.Millis(math.Ceil(s.predictWait(s.workspace(request.Workspace), request)))
}

// Next removes the request that starts now from its queue and returns it. It
// reports false if no slot is free or no request waits. The expired requests were
// removed from the queues since they can no longer complete before their
// deadline; they do not run.
func (s *Scheduler) Next(now clock.Millis) (next Request, expired []Request, ok bool) {
	for len(s.running) < s.slots {
		w := s.nextWorkspace()
		if w == nil {
			return Request{}, expired, false
		}
		request := w.queue.pop()
		remaining := float64(request.Deadline - now)
		if remaining < w.expectedService(request) || remaining < w.requiredTime(request) && s.Waiting() > 0 {
			expired = append(expired, request)
			continue
		}
		w.recordStart(now)
		service := w.expectedService(request)
		s.virtualTime = max(s.virtualTime, w.nextStart)
		w.nextStart += service / w.weight
		s.running[request.ID] = runningRequest{workspace: w, startedAt: now, expectedService: service}
		return request, expired, true
	}
	return Request{}, nil, false
}

// Done frees the slot of a request and charges the workspace with the measured
// service time instead of the expected one. The measured time enters the average
// service times only if the request succeeded. Unknown IDs are ignored.
func (s *Scheduler) Done(now clock.Millis, id string, succeeded bool) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	elapsed := float64(now - r.startedAt)
	r.workspace.nextStart += (elapsed - r.expectedService) / r.workspace.weight
	if succeeded {
		r.workspace.serviceTime.add(elapsed)
		s.serviceTime.add(elapsed)
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (s *Scheduler) Cancel(workspace, id string) bool {
	w, ok := s.workspaces[workspace]
	return ok && w.queue.remove(id)
}

// workspace returns the state of a workspace, which it creates if necessary.
func (s *Scheduler) workspace(name string) *workspace {
	w, ok := s.workspaces[name]
	if !ok {
		weight := s.weights[name]
		if weight <= 0 {
			weight = 1
		}
		w = &workspace{name: name, weight: weight, nextStart: s.virtualTime, serviceTime: s.serviceTime.withoutSamples()}
		s.workspaces[name] = w
		s.byFirstUse = append(s.byFirstUse, w)
	}
	return w
}

// nextWorkspace returns the workspace with the lowest virtual start time among
// those that have waiting requests, or nil if there is none.
func (s *Scheduler) nextWorkspace() *workspace {
	var best *workspace
	for _, w := range s.byFirstUse {
		if w.queue.len() == 0 {
			continue
		}
		if best == nil || w.nextStart < best.nextStart || w.nextStart == best.nextStart && w.name < best.name {
			best = w
		}
	}
	return best
}

// predictWait returns the expected wait in ms: the service times of the requests
// that start before, and one mean service time until a slot becomes free, divided
// by the number of slots.
func (s *Scheduler) predictWait(w *workspace, request Request) float64 {
	if len(s.running) < s.slots && s.Waiting() == 0 {
		return 0
	}
	ownAhead := float64(w.queue.countAhead(request.Priority))
	virtualStart := w.nextStart
	if w.queue.len() == 0 {
		virtualStart = max(virtualStart, s.virtualTime)
	}
	virtualStart += ownAhead * w.serviceTime.mean / w.weight
	workAhead := ownAhead * w.serviceTime.mean
	for _, other := range s.byFirstUse {
		if other == w || other.queue.len() == 0 || other.nextStart > virtualStart {
			continue
		}
		startsBefore := math.Floor((virtualStart-other.nextStart)*other.weight/other.serviceTime.mean) + 1
		workAhead += min(startsBefore, float64(other.queue.len())) * other.serviceTime.mean
	}
	byShares := (workAhead + s.serviceTime.mean) / float64(s.slots)
	if !w.startInterval.hasSample {
		return byShares
	}
	// The measured interval between starts also accounts for requests of other
	// workspaces that arrive later and start earlier.
	return max(byShares, ownAhead*w.startInterval.mean)
}

// recordStart updates the mean interval between the starts of a workspace's
// requests. The interval is measured only while requests of the workspace wait
// and is discarded when the queue is empty, since it does not apply to a later
// backlog.
func (w *workspace) recordStart(now clock.Millis) {
	if w.lastStart > 0 {
		w.startInterval.add(float64(now - w.lastStart))
	}
	w.lastStart = now
	if w.queue.len() == 0 {
		w.lastStart, w.startInterval = 0, average{}
	}
}

// expectedService returns the expected service time of a request in ms.
func (w *workspace) expectedService(request Request) float64 {
	if request.ServiceTime > 0 {
		return float64(request.ServiceTime)
	}
	return w.serviceTime.mean
}

// requiredTime returns the time in ms that must remain until the deadline when
// the request starts while others wait: the expected service time and a margin
// for its variation.
func (w *workspace) requiredTime(request Request) float64 {
	return w.expectedService(request) + deadlineDeviations*w.serviceTime.deviation
}
