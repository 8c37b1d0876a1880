package permitter

import "rosemaryarch.example/rosemaryarch/clock"

// Holder keeps the permits of one member and counts its running requests. It is
// not safe for concurrent use.
type Holder struct {
	member     string
	options    Options
	assignment Assignment
	sequence   uint64
	processes  map[Process]*tenure
}

// tenure is what a holder knows about one process.
type tenure struct {
	sequence uint64 // of the newest ask; 0 if no grant may be accepted
	asked    clock.Millis
	units    int          // of the newest permit
	until    clock.Millis // end of the newest permit
	running  int
	round    uint64 // of the newest permit
	finished uint64 // in this round
}

// Work is one request that runs at a process.
type Work struct {
	Process
	Deadline clock.Millis // the endpoint must have ended the request by then
	limited  bool
	round    uint64
}

// NewHolder returns a holder without permits. Member names the instance with
// its incarnation.
func NewHolder(member string, o Options) *Holder {
	return &Holder{member: member, options: o, processes: map[Process]*tenure{}}
}

// Adopt takes over a newer assignment. Permits of earlier epochs stay in use
// until they run out, but no further one is accepted.
func (h *Holder) Adopt(a Assignment) {
	if a.newer(h.assignment) {
		h.assignment = a
	}
}

// Assignment returns the newest assignment that was adopted.
func (h *Holder) Assignment() Assignment { return h.assignment }

// Vote reports whether the member confirms that it knows of no later epoch.
func (h *Holder) Vote(epoch uint64) bool { return epoch == h.assignment.Epoch }

// Ask returns the message to the granter of the endpoint. A want of 0 gives the
// permit back. Only the answer to the newest ask is accepted.
func (h *Holder) Ask(now clock.Millis, p Process, want int) Ask {
	t := h.tenure(p)
	h.sequence++
	t.sequence, t.asked = h.sequence, now
	if want == 0 || now >= t.until {
		t.units, t.until = 0, 0
	}
	return Ask{
		Process: p, Holder: h.member, Epoch: h.assignment.Epoch, Sequence: t.sequence,
		Want: want, Held: t.units, Running: t.running,
		Round: t.round, Finished: t.finished,
	}
}

// Accept takes a permit and reports whether it is in use from now on.
func (h *Holder) Accept(now clock.Millis, m Permit) bool {
	t, ok := h.processes[m.Process]
	if !ok || m.Holder != h.member || m.Sequence != t.sequence || m.Epoch != h.assignment.Epoch {
		return false
	}
	t.sequence = 0
	t.units, t.until = m.Units, t.asked+m.Lifetime
	if m.Round != t.round {
		t.round, t.finished = m.Round, 0
	}
	return now < t.until
}

// Units returns how many further requests may start at the process now.
func (h *Holder) Units(now clock.Millis, p Process) int {
	t, ok := h.processes[p]
	if !ok || now >= t.until {
		return 0
	}
	return max(t.units-t.running, 0)
}

// Renew reports whether less than half of the permit's lifetime is left.
func (h *Holder) Renew(now clock.Millis, p Process) bool {
	t, ok := h.processes[p]
	return !ok || now >= t.until || 2*(t.until-now) < h.options.lifetime(t.units)
}

// Start reports whether a request may start, and counts it until Finish is
// called. P names the process
// that was seen on the connection which will carry the request.
func (h *Holder) Start(now clock.Millis, p Process) (Work, bool) {
	if h.Units(now, p) < 1 {
		return Work{}, false
	}
	t := h.processes[p]
	t.running++
	return Work{Process: p, Deadline: now + h.options.Work, limited: t.units != Unlimited, round: t.round}, true
}

// Finish ends a request that Start has counted. Normal is false if it failed or
// was slow; it then earns no higher limit.
func (h *Holder) Finish(w Work, normal bool) {
	t, ok := h.processes[w.Process]
	if !ok || t.running == 0 {
		return
	}
	t.running--
	if normal && w.limited && w.round == t.round {
		t.finished++
	}
}

// Cold drops the permit for a process that shows a sign of being cold (a
// refusal, a late first token) or that a peer reports as cold. A grant that is
// under way is not accepted. The sign is to be sent to every peer.
func (h *Holder) Cold(p Process) {
	t := h.tenure(p)
	t.sequence, t.units, t.until = 0, 0, 0
}

// Tick forgets processes without permit and running requests, except those
// that were asked for lately.
func (h *Holder) Tick(now clock.Millis) {
	for p, t := range h.processes {
		if t.running == 0 && now >= t.until && now >= t.asked+h.options.WarmLifetime {
			delete(h.processes, p)
		}
	}
}

func (h *Holder) tenure(p Process) *tenure {
	t, ok := h.processes[p]
	if !ok {
		t = &tenure{}
		h.processes[p] = t
	}
	return t
}
