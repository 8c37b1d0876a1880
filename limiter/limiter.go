package limiter

import (
	"container/list"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options are the settings of a limiter.
type Options struct {
	RetriesPerSuccess float64      // tokens that one successful request adds, such as 0.08; one token permits one retry
	Burst             float64      // greatest number of tokens in a budget
	InitialTokens     float64      // tokens in a new budget
	MaxKeys           int          // greatest number of services, and of workspaces, whose budgets are kept
	BaseDelay         clock.Millis // longest delay before the first retry, which is attempt 0
	MaxDelay          clock.Millis // longest delay before any retry
}

// Limiter holds the retry budgets of services and workspaces.
type Limiter struct {
	opts        Options
	byService   *budgetTable
	byWorkspace *budgetTable
}

// New returns a limiter. It panics if o.MaxKeys or o.BaseDelay is not positive, or
// if o.MaxDelay is less than o.BaseDelay.
func New(o Options) *Limiter {
	if o.MaxKeys < 1 || o.BaseDelay < 1 || o.MaxDelay < o.BaseDelay {
		panic("limiter: MaxKeys and BaseDelay must be positive, and MaxDelay at least BaseDelay")
	}
	return &Limiter{opts: o, byService: newBudgetTable(o), byWorkspace: newBudgetTable(o)}
}

// Succeeded adds the tokens of one successful request to both budgets.
func (l *Limiter) Succeeded(service, workspace string) {
	l.byService.credit(service)
	l.byWorkspace.credit(workspace)
}

// AllowRetry reports whether the budgets of the service and of the workspace permit
// a retry, and if so takes one token from each. A refused retry takes no token.
func (l *Limiter) AllowRetry(service, workspace string) bool {
	s, w := l.byService.budget(service), l.byWorkspace.budget(workspace)
	if s.tokens < 1 || w.tokens < 1 {
		return false
	}
	s.tokens--
	w.tokens--
	return true
}

// Backoff returns the delay before a retry; attempt counts from 0. The delay
// doubles with each attempt up to MaxDelay, and half of it is random ("equal
// jitter", Brooker 2015), so that callers whose requests failed at the same time
// do not retry at the same time.
func (l *Limiter) Backoff(attempt int, r *rand.Rand) clock.Millis {
	delay := l.opts.BaseDelay
	for range attempt {
		delay = min(2*delay, l.opts.MaxDelay)
	}
	half := delay / 2
	return half + clock.Millis(r.Int64N(int64(delay-half)+1))
}

// budget is the retry budget of one service or workspace.
type budget struct {
	key    string
	tokens float64
}

// budgetTable holds the most recently used budgets by key.
type budgetTable struct {
	opts       Options
	byLastUse  *list.List // of *budget, the most recently used first
	byKey      map[string]*list.Element
	hasEvicted bool // a budget has been evicted
}

func newBudgetTable(o Options) *budgetTable {
	return &budgetTable{opts: o, byLastUse: list.New(), byKey: map[string]*list.Element{}}
}

// credit adds the tokens of one successful request to the budget of a key.
func (t *budgetTable) credit(key string) {
	b := t.budget(key)
	b.tokens = min(b.tokens+t.opts.RetriesPerSuccess, t.opts.Burst)
}

// budget returns the budget of a key and marks it as used. A new budget evicts
// the least recently used one if the table is full. After the first eviction new
// budgets are empty, since a key could otherwise regain InitialTokens by eviction.
func (t *budgetTable) budget(key string) *budget {
	if e, ok := t.byKey[key]; ok {
		t.byLastUse.MoveToFront(e)
		return e.Value.(*budget)
	}
	if t.byLastUse.Len() >= t.opts.MaxKeys {
		last := t.byLastUse.Back()
		delete(t.byKey, t.byLastUse.Remove(last).(*budget).key)
		t.hasEvicted = true
	}
	b := &budget{key: key}
	if !t.hasEvicted {
		b.tokens = min(t.opts.InitialTokens, t.opts.Burst)
	}
	t.byKey[key] = t.byLastUse.PushFront(b)
	return b
}
