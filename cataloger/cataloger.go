package cataloger

import (
	"math"
	"slices"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// expiryGrace is the time for which entries that disappeared during an outage of
// the store are kept after the store becomes available again. Live endpoints are
// listed again within about two seconds.
const expiryGrace = 2200 * clock.Millis(1)

// maxReportAge is the time before the return of the store from which a report that it has
// answered another instance counts. Instances of other data centres report about once a second.
const maxReportAge = 1500 * clock.Millis(1)

// noLoss is the time of the last loss of the store if this instance has had none.
const noLoss = clock.Millis(math.MinInt64)

// newVersionDelay is the time for which a new version waits for the roll-out
// that it belongs to, since entries and roll-outs arrive on separate watches.
const newVersionDelay = 1500 * clock.Millis(1)

// coldMargin is added to the announced remaining warm-up, which is as old as the
// entry's propagation through the store.
const coldMargin = 800 * clock.Millis(1)

// leavingAge is the time for which it is remembered that an endpoint leaves which is no
// longer listed.
const leavingAge = 10 * clock.Minute

// Endpoint is one entry of the store.
type Endpoint struct {
	ID         string
	Service    string
	Address    string // IP:PORT
	DataCentre string
	Version    string       // of its software
	Slots      int          // requests that run at the same time
	Draining   bool         // the endpoint is shutting down
	WarmupLeft clock.Millis // remaining warm-up when the entry was written
	Sequence   int64        // number of the endpoint's report; restarts with the process
	StartedAt  int64        // start of the process in Unix ms; 0 if unknown
}

// State is an endpoint with the state that this instance derives. Times are
// those of the instance's clock.
type State struct {
	Endpoint
	ColdUntil clock.Millis // end of the warm-up
	ListedAt  clock.Millis // time at which the entry was first seen
	ExpiresAt clock.Millis // 0 while the entry is listed; set while it is missing and may come back, see inGrace
}

// Snapshot is an immutable view of the endpoints that may receive requests.
type Snapshot struct {
	byService map[string][]*State // sorted by id
	all       []*State            // sorted by id
}

// Service returns the endpoints of a service.
func (s *Snapshot) Service(name string) []*State { return s.byService[name] }

// Endpoint returns an endpoint by its id, or nil.
func (s *Snapshot) Endpoint(id string) *State {
	position, ok := slices.BinarySearchFunc(s.all, id, func(e *State, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return s.all[position]
}

// Len returns the number of endpoints.
func (s *Snapshot) Len() int { return len(s.all) }

// Cataloger holds the endpoints. It is safe for concurrent use.
type Cataloger struct {
	mu              sync.Mutex
	entries         map[string]*State                  // by id
	ids             []string                           // of the entries, sorted
	firstSeen       map[string]map[string]clock.Millis // time of the first entry, by service and version
	loaded          bool                               // a full list has been received
	leaving         map[string]departure               // endpoints that have said that they leave, by id
	storeDown       bool                               // the store does not respond
	storeLostAt     clock.Millis                       // time at which it was last lost; noLoss: not known
	storeRegainedAt clock.Millis                       // time at which the store last became available again
	seenUpAt        clock.Millis                       // see StoreSeenUp; 0: no report counts
	hasMissing      bool                               // an entry may have ExpiresAt set
	snapshot        *Snapshot                          // nil if an entry has changed since it was built
}

// departure is an endpoint's statement that it leaves.
type departure struct {
	endpoint Endpoint // as it was listed when it said so
	at       clock.Millis
}

// New returns an empty Cataloger.
func New() *Cataloger {
	return &Cataloger{
		storeLostAt: noLoss,
		entries:     make(map[string]*State), firstSeen: make(map[string]map[string]clock.Millis),
		leaving: make(map[string]departure),
	}
}

// Snapshot returns the view at the given time, without the entries whose grace time is over.
func (c *Cataloger) Snapshot(now clock.Millis) *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireMissing(now)
	if c.snapshot == nil {
		c.snapshot = c.buildSnapshot()
	}
	return c.snapshot
}

// StoreLost records that the store does not respond.
func (c *Cataloger) StoreLost(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeDown {
		c.storeDown, c.storeLostAt, c.seenUpAt = true, now, 0
	}
}

// StoreSeenUp records the report of another instance that the store has answered it since
// the given time. If that is since before the loss, only this instance was cut off, and what
// is missing in the store has left: it gets no grace.
func (c *Cataloger) StoreSeenUp(now, since clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since <= c.storeLostAt {
		c.seenUpAt = now
	}
}

// StoreRegained records that the store responds again.
func (c *Cataloger) StoreRegained(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		c.storeDown, c.storeRegainedAt = false, now
	}
}

// StoreRegainedAt records the time at which the store became available again as
// observed by another instance. The latest time counts.
func (c *Cataloger) StoreRegainedAt(at clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at > c.storeRegainedAt && !c.storeDown {
		c.storeLostAt, c.seenUpAt = noLoss, 0 // the loss was not this instance's
	}
	c.storeRegainedAt = max(c.storeRegainedAt, at)
}

// inGrace reports whether missing entries may still come back. The lock must be held.
func (c *Cataloger) inGrace(now clock.Millis) bool {
	seenUp := c.seenUpAt != 0 && c.seenUpAt >= c.storeRegainedAt-maxReportAge
	return c.storeDown || !seenUp && now < c.storeRegainedAt+expiryGrace
}

// Replace replaces all entries by a full list from the store.
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
	c.snapshot = nil
}

// Put adds or replaces one entry.
func (c *Cataloger) Put(now clock.Millis, e Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(now, e)
	c.snapshot = nil
}

// Remove removes an entry that the store no longer lists.
func (c *Cataloger) Remove(now clock.Millis, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.entries[id]; s != nil {
		c.remove(now, s)
		c.snapshot = nil
	}
}

// MarkLeaving records that an endpoint has said that it leaves. Its process receives no
// further requests, whatever the store lists. It reports whether that is new.
func (c *Cataloger) MarkLeaving(now clock.Millis, e Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.leaving[e.ID]; ok && !restarted(known.endpoint, e) {
		return false
	}
	c.leaving[e.ID] = departure{e, now}
	c.snapshot = nil
	return true
}

// hasLeft reports whether the process of an entry has said that it leaves. The lock
// must be held.
func (c *Cataloger) hasLeft(e Endpoint) bool {
	d, ok := c.leaving[e.ID]
	return ok && !restarted(d.endpoint, e)
}

// put adds or replaces an entry. A restarted endpoint does not inherit the state
// of its predecessor. Versions that are listed before the first full list is
// complete do not wait for a roll-out. The lock must be held.
func (c *Cataloger) put(now clock.Millis, e Endpoint) {
	s := &State{Endpoint: e, ListedAt: now}
	previous := c.entries[e.ID]
	if e.WarmupLeft > 0 {
		s.ColdUntil = now + e.WarmupLeft + coldMargin
	}
	if previous != nil && !restarted(previous.Endpoint, e) {
		s.ListedAt = previous.ListedAt
		s.ColdUntil = max(s.ColdUntil, previous.ColdUntil)
	}
	c.entries[e.ID] = s
	if previous == nil {
		position, _ := slices.BinarySearch(c.ids, e.ID)
		c.ids = slices.Insert(c.ids, position, e.ID)
	}
	if c.firstSeen[e.Service] == nil {
		c.firstSeen[e.Service] = make(map[string]clock.Millis)
	}
	if _, ok := c.firstSeen[e.Service][e.Version]; !ok {
		firstSeen := now
		if !c.loaded {
			firstSeen = now - newVersionDelay
		}
		c.firstSeen[e.Service][e.Version] = firstSeen
	}
}

// restarted reports whether next was written by another process than previous.
func restarted(previous, next Endpoint) bool {
	return previous.StartedAt != next.StartedAt || previous.Sequence > next.Sequence || previous.Address != next.Address
}

// remove deletes an entry, or lets it expire after expiryGrace if it may have
// disappeared because of an outage of the store. A draining endpoint has
// announced its end itself. The lock must be held.
func (c *Cataloger) remove(now clock.Millis, s *State) {
	if s.Draining || !c.inGrace(now) {
		c.deleteEntry(s.ID)
		return
	}
	if s.ExpiresAt != 0 {
		return
	}
	expiring := *s
	expiring.ExpiresAt = c.storeRegainedAt + expiryGrace
	c.entries[s.ID] = &expiring
	c.hasMissing = true
}

// Expire deletes the entries whose grace time is over, and old statements of endpoints that
// have left.
func (c *Cataloger) Expire(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, d := range c.leaving {
		if s := c.entries[id]; now-d.at > leavingAge && (s == nil || !c.hasLeft(s.Endpoint)) {
			delete(c.leaving, id)
		}
	}
	c.expireMissing(now)
}

// expireMissing deletes the entries whose grace time is over. The lock must be held.
func (c *Cataloger) expireMissing(now clock.Millis) {
	if !c.hasMissing || c.inGrace(now) {
		return
	}
	c.hasMissing = false
	for id, s := range c.entries {
		if s.ExpiresAt != 0 {
			c.deleteEntry(id)
			c.snapshot = nil
		}
	}
}

// MarkCold marks the endpoints that match as cold until the given time, unless
// they are cold for longer. It returns the number of changed endpoints.
func (c *Cataloger) MarkCold(until clock.Millis, match func(*State) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for id, s := range c.entries {
		if s.ColdUntil < until && match(s) {
			cold := *s
			cold.ColdUntil = until
			c.entries[id] = &cold
			count++
		}
	}
	if count > 0 {
		c.snapshot = nil
	}
	return count
}

// VersionEligible reports whether a version of a service has been listed long
// enough to receive requests without a roll-out that names it.
func (c *Cataloger) VersionEligible(now clock.Millis, service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	firstSeen, ok := c.firstSeen[service][version]
	return ok && now >= firstSeen+newVersionDelay
}

// buildSnapshot returns a snapshot of the current entries. It is called on
// demand rather than with each change: while a large fleet starts, thousands of
// entries change before the first request.
func (c *Cataloger) buildSnapshot() *Snapshot {
	snapshot := &Snapshot{byService: make(map[string][]*State), all: make([]*State, 0, len(c.ids))}
	for _, id := range c.ids {
		s := c.entries[id]
		if s.Draining || c.hasLeft(s.Endpoint) {
			continue
		}
		snapshot.all = append(snapshot.all, s)
		snapshot.byService[s.Service] = append(snapshot.byService[s.Service], s)
	}
	return snapshot
}

func (c *Cataloger) deleteEntry(id string) {
	delete(c.entries, id)
	if position, ok := slices.BinarySearch(c.ids, id); ok {
		c.ids = slices.Delete(c.ids, position, position+1)
	}
}

// Each calls f with each endpoint.
func (s *Snapshot) Each(f func(*State)) {
	for _, e := range s.all {
		f(e)
	}
}
