package permitter

import "rosemaryarch.example/rosemaryarch/clock"

// Holder keeps the permits of one member and counts its running requests at each
// endpoint process. It is not safe for concurrent use.
type Holder struct {
	member     string
	options    Options
	assignment Assignment
	sequence   uint64 // of the newest ask for any process
	processes  map[Process]*processState
}

// processState is the state of one endpoint process at a holder.
type processState struct {
	askSequence uint64       // of the newest ask; 0 if no permit may be accepted
	askedAt     clock.Millis // time of the newest ask
	units       int          // of the newest permit
	expiresAt   clock.Millis // end of the newest permit
	running     int          // requests
	round       uint64       // of the newest permit
	finished    uint64       // requests that count towards a higher limit in this round
}

// RunningRequest is one request that runs at an endpoint process.
type RunningRequest struct {
	Process
	Deadline clock.Millis // by which the endpoint must have ended the request
	limited  bool         // started under a limited permit
	round    uint64       // of the permit
}

// NewHolder returns a holder without permits. Member names the instance with
// its incarnation.
func NewHolder(member string, o Options) *Holder {
	return &Holder{member: member, options: o, processes: map[Process]*processState{}}
}

// Adopt replaces the assignment by a newer one, and ignores an older one. Permits
// of earlier epochs stay in use until they expire, but no further ones are
// accepted.
func (h *Holder) Adopt(a Assignment) {
	if a.newer(h.assignment) {
		h.assignment = a
	}
}

// Assignment returns the newest assignment that was adopted.
func (h *Holder) Assignment() Assignment { return h.assignment }

// Vote reports whether epoch is the newest one that the member has adopted.
func (h *Holder) Vote(epoch uint64) bool { return epoch == h.assignment.Epoch }

// Ask returns the message to the granter of the endpoint that asks for a permit of
// want units; 0 returns the permit. Only the answer to the newest ask is accepted.
func (h *Holder) Ask(now clock.Millis, p Process, want int) PermitRequest {
	t := h.state(p)
	h.sequence++
	t.askSequence, t.askedAt = h.sequence, now
	if want == 0 || now >= t.expiresAt {
		t.units, t.expiresAt = 0, 0
	}
	return PermitRequest{
		Process: p, Holder: h.member, Epoch: h.assignment.Epoch, Sequence: t.askSequence,
		Want: want, Held: t.units, Running: t.running,
		Round: t.round, Finished: t.finished,
	}
}

// Accept stores a permit that answers the newest ask, and reports whether it is
// valid now.
func (h *Holder) Accept(now clock.Millis, m Permit) bool {
	t, ok := h.processes[m.Process]
	if !ok || m.Holder != h.member || m.Sequence != t.askSequence || m.Epoch != h.assignment.Epoch {
		return false
	}
	t.askSequence = 0
	t.units, t.expiresAt = m.Units, t.askedAt+m.Lifetime
	if m.Round != t.round {
		t.round, t.finished = m.Round, 0
	}
	return now < t.expiresAt
}

// AvailableUnits returns the number of further requests that may start at the process now.
func (h *Holder) AvailableUnits(now clock.Millis, p Process) int {
	t, ok := h.processes[p]
	if !ok || now >= t.expiresAt {
		return 0
	}
	return max(t.units-t.running, 0)
}

// NeedsRenewal reports whether the permit should be renewed: there is none, or less than
// half of its lifetime is left.
func (h *Holder) NeedsRenewal(now clock.Millis, p Process) bool {
	t, ok := h.processes[p]
	return !ok || now >= t.expiresAt || 2*(t.expiresAt-now) < h.options.lifetime(t.units)
}

// Start reports whether a request may start at p and, if so, counts it until
// Finish is called. P is the process that was seen on the connection which will
// carry the request.
func (h *Holder) Start(now clock.Millis, p Process) (RunningRequest, bool) {
	if h.AvailableUnits(now, p) < 1 {
		return RunningRequest{}, false
	}
	t := h.processes[p]
	t.running++
	return RunningRequest{Process: p, Deadline: now + h.options.MaxRequestTime, limited: t.units != Unlimited, round: t.round}, true
}

// Finish ends a request that Start has counted. Normal is false if it failed or
// was slow; it then does not count towards a higher limit.
func (h *Holder) Finish(w RunningRequest, normal bool) {
	t, ok := h.processes[w.Process]
	if !ok || t.running == 0 {
		return
	}
	t.running--
	if normal && w.limited && w.round == t.round {
		t.finished++
	}
}

// MarkCold drops the permit for a process that shows a sign of being cold (a refusal
// or a late first token) or that a peer reports as cold. A permit that is in
// transit will not be accepted. The caller sends the sign to every peer.
func (h *Holder) MarkCold(p Process) {
	t := h.state(p)
	t.askSequence, t.units, t.expiresAt = 0, 0, 0
}

// Tick drops the processes without a permit and running requests for which the
// holder has not asked lately.
func (h *Holder) Tick(now clock.Millis) {
	for p, t := range h.processes {
		if t.running == 0 && now >= t.expiresAt && now >= t.askedAt+h.options.WarmLifetime {
			delete(h.processes, p)
		}
	}
}

func (h *Holder) state(p Process) *processState {
	t, ok := h.processes[p]
	if !ok {
		t = &processState{}
		h.processes[p] = t
	}
	return t
}
