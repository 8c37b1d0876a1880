package permitter

import "rosemaryarch.example/rosemaryarch/clock"

// ledger is a granter's record of one endpoint process: its limit, and the permits
// and running requests of each holder.
type ledger struct {
	limit           int // concurrent requests while the process is not warm
	warm            bool
	coldSeen        bool   // a sign of cold was seen
	round           uint64 // of Permit.Round
	finishedAtLimit int    // requests of the round that finished at the present limit
	accounts        map[string]*account
	finished        map[string]uint64 // newest Finished of each holder in the round
	reported        map[string]bool   // members that reported under the present epoch
	lastUsed        clock.Millis      // time of the newest permit request or sign of cold
}

// account holds the running requests and the permit units of one holder.
type account struct {
	sequence uint64       // of the holder's newest permit request
	running  int          // requests reported by the newest permit request
	held     int          // units reported by the newest permit request
	granted  int          // units of the answer to the newest permit request
	endsBy   clock.Millis // by then all requests of the holder have ended
}

func newLedger(o Options, round uint64) *ledger {
	return &ledger{
		limit: o.ColdLimit, round: round, accounts: map[string]*account{},
		finished: map[string]uint64{}, reported: map[string]bool{},
	}
}

// outstanding returns the maximum number of requests that the holder may have
// running.
func (a *account) outstanding() int { return max(a.running, a.held, a.granted) }

// currentLimit returns the limit of the process, or Unlimited if it is warm.
func (l *ledger) currentLimit() int {
	if l.warm {
		return Unlimited
	}
	return l.limit
}

// report records the holder's state. It reports false for a permit request that
// arrives after a later one.
func (l *ledger) report(now clock.Millis, q PermitRequest, o Options) bool {
	a, ok := l.accounts[q.Holder]
	if !ok {
		a = &account{}
		l.accounts[q.Holder] = a
	}
	if q.Sequence <= a.sequence {
		return false
	}
	l.lastUsed = now
	l.reported[q.Holder] = true
	end := now + o.MaxRequestTime + 2*o.Margin
	if q.Held > 0 {
		end += o.lifetime(q.Held)
	}
	*a = account{sequence: q.Sequence, running: q.Running, held: q.Held, endsBy: end}
	l.raiseLimit(q, o)
	return true
}

// raiseLimit raises the limit according to the finished requests that the holder
// reports, and marks the process as warm if the holder holds an unlimited permit
// and there was no sign of cold.
func (l *ledger) raiseLimit(q PermitRequest, o Options) {
	if q.Held == Unlimited && !l.coldSeen {
		l.warm = true
	}
	before := l.finished[q.Holder]
	if l.warm || q.Round != l.round || q.Finished <= before {
		return
	}
	l.finished[q.Holder] = q.Finished
	l.finishedAtLimit += int(q.Finished - before)
	for l.finishedAtLimit >= o.FinishedPerUnit*l.limit && !l.warm {
		l.finishedAtLimit -= o.FinishedPerUnit * l.limit
		l.limit = min(2*l.limit, o.WarmLimit)
		l.warm = l.limit >= o.WarmLimit
	}
}

// grant determines the units for the holder and records them. For a warm process
// they are Unlimited, otherwise at most the free units and at most an equal share
// of the limit, which is at least 1.
func (l *ledger) grant(now clock.Millis, q PermitRequest, o Options) int {
	units := 0
	switch {
	case q.Want == 0:
	case l.warm:
		units = Unlimited
	default:
		free := max(l.limit-l.outstandingElsewhere(now, q.Holder), 0)
		fairShare := max(l.limit/l.activeHolders(now, q.Holder), 1)
		units = min(q.Want, free, fairShare)
	}
	a := l.accounts[q.Holder]
	a.granted = units
	if units > 0 {
		a.endsBy = max(a.endsBy, now+o.lifetime(units)+o.MaxRequestTime+2*o.Margin)
	}
	return units
}

// outstandingElsewhere returns the maximum number of requests that holders other
// than the given one may have running. It deletes the accounts that have ended.
func (l *ledger) outstandingElsewhere(now clock.Millis, holder string) int {
	var sum int
	for h, a := range l.accounts {
		if now >= a.endsBy {
			delete(l.accounts, h)
			continue
		}
		if h != holder {
			sum += a.outstanding()
		}
	}
	return sum
}

// activeHolders returns the number of holders with outstanding requests, including
// the requesting one.
func (l *ledger) activeHolders(now clock.Millis, holder string) int {
	n := 1
	for h, a := range l.accounts {
		if h != holder && now < a.endsBy && a.outstanding() > 0 {
			n++
		}
	}
	return n
}

// resetToCold lowers the limit to that of a cold process and begins a new round.
// Outstanding permits remain counted.
func (l *ledger) resetToCold(o Options, round uint64) {
	l.round = round
	l.limit, l.warm, l.coldSeen, l.finishedAtLimit = o.ColdLimit, false, true, 0
	clear(l.finished)
}
