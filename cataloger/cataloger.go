package cataloger

import (
	"slices"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// lapseGrace is how long after the store's return an entry that vanished
// meanwhile still names an endpoint. Live endpoints are listed again within
// about two seconds.
const lapseGrace = 2200 * clock.Millis(1)

// versionHold is how long a version that was never listed before waits for the
// roll-out that explains it, since the two arrive on separate watches.
const versionHold = 1500 * clock.Millis(1)

// coldMargin is added to the announced time of an endpoint's warm-up, which is
// as old as the entry's way through the store.
const coldMargin = 800 * clock.Millis(1)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID         string
	Service    string
	Address    string // IP:PORT
	DataCentre string
	Version    string // of its software
	Slots      int
	Draining   bool
	WarmupLeft clock.Millis // when the entry was written
	Sequence   int64        // count of its reports; starts anew with the process
	Born       int64        // Unix millisecond of the process's start; 0: unknown
}

// State is an endpoint with what the instance concludes about it.
type State struct {
	Endpoint
	ColdUntil clock.Millis // instant; the endpoint bears few requests before it
	Listed    clock.Millis // instant at which the entry was first seen
	Gone      clock.Millis // instant at which a vanished entry ends; 0: listed
}

// Snapshot is an immutable view.
type Snapshot struct {
	byService map[string][]*State // in the order of their ids
	all       []*State            // in the order of their ids
}

// Service returns the listed endpoints of a service that are not leaving.
func (s *Snapshot) Service(name string) []*State { return s.byService[name] }

// Endpoint returns an endpoint that is not leaving, nil if there is none.
func (s *Snapshot) Endpoint(id string) *State {
	at, ok := slices.BinarySearchFunc(s.all, id, func(e *State, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return s.all[at]
}

// Len returns the number of endpoints that may take work.
func (s *Snapshot) Len() int { return len(s.all) }

// Cataloger is safe for concurrent use.
type Cataloger struct {
	mu       sync.Mutex
	entries  map[string]*State
	ids      []string                           // of the entries, in order
	versions map[string]map[string]clock.Millis // first sight, by service and version
	loaded   bool
	away     bool         // the store does not answer
	back     clock.Millis // instant of the store's return
	view     *Snapshot    // nil: an entry has changed since
}

// New returns an empty catalogue.
func New() *Cataloger {
	return &Cataloger{entries: make(map[string]*State), versions: make(map[string]map[string]clock.Millis)}
}

// Snapshot returns the present view.
func (c *Cataloger) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		c.view = c.build()
	}
	return c.view
}

// StoreLost notes that the store no longer answers.
func (c *Cataloger) StoreLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = true
}

// StoreRegained notes that the store answers again.
func (c *Cataloger) StoreRegained(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		c.away, c.back = false, now
	}
}

// StoreReturned notes that the store came back at an instant, as another
// instance saw it.
func (c *Cataloger) StoreReturned(at clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.back = max(c.back, at)
}

// Replace takes a full list of the store.
func (c *Cataloger) Replace(now clock.Millis, list []Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		c.put(now, e)
	}
	for id, s := range c.entries {
		if !seen[id] {
			c.remove(now, s)
		}
	}
	c.loaded = true
	c.view = nil
}

// Put takes one changed entry.
func (c *Cataloger) Put(now clock.Millis, e Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(now, e)
	c.view = nil
}

// Remove takes the end of an entry.
func (c *Cataloger) Remove(now clock.Millis, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.entries[id]; s != nil {
		c.remove(now, s)
		c.view = nil
	}
}

func (c *Cataloger) put(now clock.Millis, e Endpoint) {
	s := &State{Endpoint: e, Listed: now}
	old := c.entries[e.ID]
	if e.WarmupLeft > 0 {
		s.ColdUntil = now + e.WarmupLeft + coldMargin
	}
	if old != nil && !restarted(old.Endpoint, e) {
		s.Listed = old.Listed
		s.ColdUntil = max(s.ColdUntil, old.ColdUntil)
	}
	c.entries[e.ID] = s
	if old == nil {
		at, _ := slices.BinarySearch(c.ids, e.ID)
		c.ids = slices.Insert(c.ids, at, e.ID)
	}
	if c.versions[e.Service] == nil {
		c.versions[e.Service] = make(map[string]clock.Millis)
	}
	if _, ok := c.versions[e.Service][e.Version]; !ok {
		first := now
		if !c.loaded {
			first = now - versionHold
		}
		c.versions[e.Service][e.Version] = first
	}
}

func restarted(old, e Endpoint) bool {
	return old.Born != e.Born || old.Sequence > e.Sequence || old.Address != e.Address
}

// remove ends an entry now, or after lapseGrace if it may have lapsed while
// the store was away. A draining endpoint has said itself that it leaves.
func (c *Cataloger) remove(now clock.Millis, s *State) {
	if s.Draining || !c.away && now >= c.back+lapseGrace {
		c.drop(s.ID)
		return
	}
	if s.Gone != 0 {
		return
	}
	lapsed := *s
	lapsed.Gone = c.back + lapseGrace
	c.entries[s.ID] = &lapsed
}

// Expire ends the entries whose grace is over. It reports whether any ended.
func (c *Cataloger) Expire(now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		return false
	}
	ended := false
	for id, s := range c.entries {
		if s.Gone != 0 && now >= c.back+lapseGrace {
			c.drop(id)
			ended = true
		}
	}
	if ended {
		c.view = nil
	}
	return ended
}

// Chill marks the endpoints for which of returns true as cold until an
// instant. It returns their number.
func (c *Cataloger) Chill(until clock.Millis, of func(*State) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for id, s := range c.entries {
		if s.ColdUntil < until && of(s) {
			chilled := *s
			chilled.ColdUntil = until
			c.entries[id] = &chilled
			count++
		}
	}
	if count > 0 {
		c.view = nil
	}
	return count
}

// Settled reports whether a version of a service has been listed long enough
// to take work without a roll-out that names it.
func (c *Cataloger) Settled(now clock.Millis, service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, ok := c.versions[service][version]
	return ok && now >= first+versionHold
}

// build returns the view of the present entries. It is called when a view is
// asked for and not with each change: while a large fleet starts, thousands of
// entries change before the first request.
func (c *Cataloger) build() *Snapshot {
	v := &Snapshot{byService: make(map[string][]*State), all: make([]*State, 0, len(c.ids))}
	for _, id := range c.ids {
		s := c.entries[id]
		if s.Draining {
			continue
		}
		v.all = append(v.all, s)
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	return v
}

// drop forgets an entry.
func (c *Cataloger) drop(id string) {
	delete(c.entries, id)
	if at, ok := slices.BinarySearch(c.ids, id); ok {
		c.ids = slices.Delete(c.ids, at, at+1)
	}
}

// Each calls f with each endpoint that may take work.
func (s *Snapshot) Each(f func(*State)) {
	for _, e := range s.all {
		f(e)
	}
}
