package permitter

import "rosemaryarch.example/rosemaryarch/clock"

// Holder keeps the permits of one member and counts its running requests at each
// endpoint process. It is not safe for concurrent use.
type Holder struct {
	member     string
	options    Options
	assignment Assignment
	sequence   uint64 // of the newest permit request for any process
	processes  map[Process]*processState
}

// processState is the state of one endpoint process at a holder.
type processState struct {
	requestSequence uint64       // of the newest permit request; 0 if no permit may be accepted
	requestedAt     clock.Millis // time of the newest permit request
	units           int          // of the newest permit
	expiresAt       clock.Millis // end of the newest permit
	running         int          // requests
	round           uint64       // of the newest permit
	finished        uint64       // requests that count towards a higher limit in this round
}

// RunningRequest is one request that runs at an endpoint process.
type RunningRequest struct {
	Process
	Deadline clock.Millis // by which the endpoint must have ended the request
	limited  bool         // the request started under a limited permit
	round    uint64       // of the permit
}

// NewHolder returns a holder without permits. The argument member names the instance
// with its incarnation.
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

// Ask returns the message to the granter of the endpoint that requests a permit of
// want units; 0 returns the permit. Only the answer to the newest permit request is
// accepted.
func (h *Holder) Ask(now clock.Millis, p Process, want int) PermitRequest {
	s := h.state(p)
	h.sequence++
	s.requestSequence, s.requestedAt = h.sequence, now
	if want == 0 || now >= s.expiresAt {
		s.units, s.expiresAt = 0, 0
	}
	return PermitRequest{
		Process: p, Holder: h.member, Epoch: h.assignment.Epoch, Sequence: s.requestSequence,
		Want: want, Held: s.units, Running: s.running,
		Round: s.round, Finished: s.finished,
	}
}

// Accept stores a permit that answers the newest permit request, and reports whether it is
// valid now.
func (h *Holder) Accept(now clock.Millis, m Permit) bool {
	s, ok := h.processes[m.Process]
	if !ok || m.Holder != h.member || m.Sequence != s.requestSequence || m.Epoch != h.assignment.Epoch {
		return false
	}
	s.requestSequence = 0
	s.units, s.expiresAt = m.Units, s.requestedAt+m.Lifetime
	if m.Round != s.round {
		s.round, s.finished = m.Round, 0
	}
	return now < s.expiresAt
}

// AvailableUnits returns the number of further requests that may start at the process
// now.
func (h *Holder) AvailableUnits(now clock.Millis, p Process) int {
	s, ok := h.processes[p]
	if !ok || now >= s.expiresAt {
		return 0
	}
	return max(s.units-s.running, 0)
}

// NeedsRenewal reports whether the permit should be renewed: there is none, or less
// than half of its lifetime is left.
func (h *Holder) NeedsRenewal(now clock.Millis, p Process) bool {
	s, ok := h.processes[p]
	return !ok || now >= s.expiresAt || 2*(s.expiresAt-now) < h.options.lifetime(s.units)
}

// Start reports whether a request may start at p and, if so, counts it until
// Finish is called. The process p is the one that was seen on the connection which
// will carry the request.
func (h *Holder) Start(now clock.Millis, p Process) (RunningRequest, bool) {
	if h.AvailableUnits(now, p) < 1 {
		return RunningRequest{}, false
	}
	s := h.processes[p]
	s.running++
	return RunningRequest{
		Process: p, Deadline: now + h.options.MaxRequestTime, limited: s.units != Unlimited, round: s.round,
	}, true
}

// Finish ends a request that Start has counted. The argument normal is false if it
// failed or was slow; it then does not count towards a higher limit.
func (h *Holder) Finish(r RunningRequest, normal bool) {
	s, ok := h.processes[r.Process]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	if normal && r.limited && r.round == s.round {
		s.finished++
	}
}

// MarkCold drops the permit for a process that shows a sign of being cold (a refusal
// or a late first token) or that a peer reports as cold. A permit that is in
// transit will not be accepted. The caller reports the sign to every peer.
func (h *Holder) MarkCold(p Process) {
	s := h.state(p)
	s.requestSequence, s.units, s.expiresAt = 0, 0, 0
}

// Tick drops the processes that have neither a permit nor running requests and for
// which the holder has requested no permit for Options.WarmLifetime.
func (h *Holder) Tick(now clock.Millis) {
	for p, s := range h.processes {
		if s.running == 0 && now >= s.expiresAt && now >= s.requestedAt+h.options.WarmLifetime {
			delete(h.processes, p)
		}
	}
}

func (h *Holder) state(p Process) *processState {
	s, ok := h.processes[p]
	if !ok {
		s = &processState{}
		h.processes[p] = s
	}
	return s
}
