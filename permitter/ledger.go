package permitter

import "rosemaryarch.example/rosemaryarch/clock"

// ledger is what a granter knows about one process.
type ledger struct {
	limit    int
	warm     bool
	doubted  bool // a cold sign was seen
	round    uint64
	step     int // requests of the round finished at the present limit
	accounts map[string]*account
	finished map[string]uint64 // newest Finished of each holder in the round
	reported map[string]bool   // members that reported under the present epoch
	used     clock.Millis
}

// account is the share of one holder.
type account struct {
	sequence uint64
	running  int
	held     int
	granted  int
	until    clock.Millis // nothing of the holder runs afterwards
}

func newLedger(o Options, round uint64) *ledger {
	return &ledger{
		limit: o.ColdLimit, round: round, accounts: map[string]*account{},
		finished: map[string]uint64{}, reported: map[string]bool{},
	}
}

// out returns the most requests that the holder may have running.
func (a *account) out() int { return max(a.running, a.held, a.granted) }

func (l *ledger) bound() int {
	if l.warm {
		return Unlimited
	}
	return l.limit
}

// report takes over the holder's state. It reports false for an ask that was
// overtaken by a later one.
func (l *ledger) report(now clock.Millis, q Ask, o Options) bool {
	a, ok := l.accounts[q.Holder]
	if !ok {
		a = &account{}
		l.accounts[q.Holder] = a
	}
	if q.Sequence <= a.sequence {
		return false
	}
	l.used = now
	l.reported[q.Holder] = true
	end := now + o.Work + 2*o.Margin
	if q.Held > 0 {
		end += o.lifetime(q.Held)
	}
	*a = account{sequence: q.Sequence, running: q.Running, held: q.Held, until: end}
	l.learn(q, o)
	return true
}

// learn raises the limit for requests that have finished.
func (l *ledger) learn(q Ask, o Options) {
	if q.Held == Unlimited && !l.doubted {
		l.warm = true
	}
	before := l.finished[q.Holder]
	if l.warm || q.Round != l.round || q.Finished <= before {
		return
	}
	l.finished[q.Holder] = q.Finished
	l.step += int(q.Finished - before)
	for l.step >= o.StepWork*l.limit && !l.warm {
		l.step -= o.StepWork * l.limit
		l.limit = min(2*l.limit, o.WarmLimit)
		l.warm = l.limit >= o.WarmLimit
	}
}

// grant decides the units for the holder and records them.
func (l *ledger) grant(now clock.Millis, q Ask, o Options) int {
	units := 0
	switch {
	case q.Want == 0:
	case l.warm:
		units = Unlimited
	default:
		free := max(l.limit-l.others(now, q.Holder), 0)
		fair := max(l.limit/l.interested(now, q.Holder), 1)
		units = min(q.Want, free, fair)
	}
	a := l.accounts[q.Holder]
	a.granted = units
	if units > 0 {
		a.until = max(a.until, now+o.lifetime(units)+o.Work+2*o.Margin)
	}
	return units
}

// others returns what is out at holders other than the given one, and forgets
// the accounts that have ended.
func (l *ledger) others(now clock.Millis, holder string) int {
	var sum int
	for h, a := range l.accounts {
		if now >= a.until {
			delete(l.accounts, h)
			continue
		}
		if h != holder {
			sum += a.out()
		}
	}
	return sum
}

// interested returns the number of holders that have something out, with the
// asking one.
func (l *ledger) interested(now clock.Millis, holder string) int {
	n := 1
	for h, a := range l.accounts {
		if h != holder && now < a.until && a.out() > 0 {
			n++
		}
	}
	return n
}

// cool drops the process to the cold limit. Permits that are out stay counted.
func (l *ledger) cool(o Options, round uint64) {
	l.round = round
	l.limit, l.warm, l.doubted, l.step = o.ColdLimit, false, true, 0
	clear(l.finished)
}
