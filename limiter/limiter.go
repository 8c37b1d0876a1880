package limiter

import (
	"container/list"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options are the settings of a limiter.
type Options struct {
	Share   float64      // retries earned by one successful request, such as 0.08
	Burst   float64      // most retries that a budget holds
	Initial float64      // retries that a new budget holds
	Keys    int          // most services and most workspaces that are remembered
	Base    clock.Millis // pause before the first retry
	Max     clock.Millis // longest pause
}

// Limiter holds the budgets.
type Limiter struct {
	options    Options
	services   *table
	workspaces *table
}

// New returns a limiter. It panics if the options allow no key or no backoff.
func New(o Options) *Limiter {
	if o.Keys < 1 || o.Base < 1 || o.Max < o.Base {
		panic("limiter: keys and backoff must be positive")
	}
	return &Limiter{options: o, services: newTable(o), workspaces: newTable(o)}
}

// Succeeded records one successful request.
func (l *Limiter) Succeeded(service, workspace string) {
	l.services.earn(service)
	l.workspaces.earn(workspace)
}

// Retry reports whether a retry is within the budget of the service and of the
// workspace, and if so draws on both. A refused retry draws on neither.
func (l *Limiter) Retry(service, workspace string) bool {
	s, w := l.services.budget(service), l.workspaces.budget(workspace)
	if s.tokens < 1 || w.tokens < 1 {
		return false
	}
	s.tokens--
	w.tokens--
	return true
}

// Backoff returns the pause before a retry; attempt counts from 0. The pause
// doubles with each attempt up to Max, and half of it is random ("equal
// jitter", Brooker 2015), so that callers that failed together do not return
// together.
func (l *Limiter) Backoff(attempt int, r *rand.Rand) clock.Millis {
	d := l.options.Base
	for range attempt {
		d = min(2*d, l.options.Max)
	}
	half := d / 2
	return half + clock.Millis(r.Int64N(int64(d-half)+1))
}

// budget is the number of retries that one key may spend.
type budget struct {
	key    string
	tokens float64
}

// table holds the budgets that were used last.
type table struct {
	options Options
	order   *list.List // of *budget, the last used first
	byKey   map[string]*list.Element
	evicted bool
}

func newTable(o Options) *table {
	return &table{options: o, order: list.New(), byKey: map[string]*list.Element{}}
}

func (t *table) earn(key string) {
	b := t.budget(key)
	b.tokens = min(b.tokens+t.options.Share, t.options.Burst)
}

// budget returns the budget of a key. Once a budget has been evicted, new ones
// start empty: otherwise a key would regain Initial by being forgotten.
func (t *table) budget(key string) *budget {
	if e, ok := t.byKey[key]; ok {
		t.order.MoveToFront(e)
		return e.Value.(*budget)
	}
	if t.order.Len() >= t.options.Keys {
		last := t.order.Back()
		delete(t.byKey, t.order.Remove(last).(*budget).key)
		t.evicted = true
	}
	b := &budget{key: key}
	if !t.evicted {
		b.tokens = min(t.options.Initial, t.options.Burst)
	}
	t.byKey[key] = t.order.PushFront(b)
	return b
}
