package claimer

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// attempt is one try at a call by this instance. Fields below done are guarded
// by the table's mutex until done is closed.
type attempt struct {
	id       string
	place    string // record key of the call
	bodyHash []byte
	started  clock.Millis
	heard    chan struct{} // closed when the answer is known
	done     chan struct{} // closed when no result will be added
	finished bool
	sent     bool   // dispatched
	lost     bool   // dispatched, and the result is not known
	answer   Answer // valid if known
	known    bool
	err      error // of the run
}

// table holds the attempts of this instance that may still be sent or whose
// outcome is not committed. An attempt of this incarnation above floor that is
// not in the table is either committed or abandoned.
type table struct {
	mu      sync.Mutex
	counter uint64
	floor   uint64 // absent attempts up to this number may have been sent
	lost    int    // attempts in byID with a lost result
	byID    map[string]*attempt
	byPlace map[string]*attempt // dispatched attempts, by record key
}

func newTable() table {
	return table{byID: map[string]*attempt{}, byPlace: map[string]*attempt{}}
}

// begin enters a new attempt.
func (c *Claimer) begin(place string, bodyHash []byte) *attempt {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter++
	a := &attempt{
		id:    fmt.Sprintf("%s/%d/%d", c.instance, c.incarnation, t.counter),
		place: place, bodyHash: bodyHash, started: c.clock.Now(),
		heard: make(chan struct{}), done: make(chan struct{}),
	}
	t.byID[a.id] = a
	return a
}

// forget removes the attempts with a lost result. From then on State vouches
// for no absent attempt up to the present counter.
func (t *table) forget() {
	for id, a := range t.byID {
		if a.lost {
			t.drop(id, a)
		}
	}
	t.floor, t.lost = t.counter, 0
}

func (t *table) drop(id string, a *attempt) {
	delete(t.byID, id)
	if t.byPlace[a.place] == a {
		delete(t.byPlace, a.place)
	}
}

// dispatch marks the attempt as sent if it may still be sent. This is the only
// step that allows a run, and it succeeds at most once.
func (c *Claimer) dispatch(a *attempt) bool {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[a.id] != a || a.sent || c.clock.Now()-a.started >= c.Window {
		return false
	}
	a.sent = true
	t.byPlace[a.place] = a
	return true
}

// abandon removes an attempt that was not sent, after which it never will be.
func (c *Claimer) abandon(a *attempt) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.sent {
		t.drop(a.id, a)
		a.finish()
	}
}

// unsend removes an attempt whose run proved that nothing was sent.
func (c *Claimer) unsend(a *attempt, err error) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(a.id, a)
	a.err = err
	a.finish()
}

// lose marks that the result of a sent attempt is not known.
func (c *Claimer) lose(a *attempt, err error) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	a.lost = true
	a.err = err
	a.finish()
	if t.lost++; t.lost > c.MaxLost {
		t.forget()
	}
}

// learn stores the result of a sent attempt.
func (c *Claimer) learn(a *attempt, answer Answer) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	a.answer, a.known = answer, true
	close(a.heard)
}

// settled removes an attempt whose outcome is committed.
func (c *Claimer) settled(a *attempt) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(a.id, a)
	a.finish()
}

func (a *attempt) finish() {
	if !a.finished {
		a.finished = true
		close(a.done)
	}
}

// sentAt returns the attempt that this instance has sent for a record key.
func (c *Claimer) sentAt(place string) (*attempt, bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	a, ok := c.table.byPlace[place]
	return a, ok
}

// State tells what this instance knows of an attempt that bears its name:
// Running, Dispatched or Abandoned. It answers AskAttempt of other instances.
func (c *Claimer) State(id string) State {
	instance, incarnation, number, ok := split(id)
	if !ok || instance != c.instance || incarnation != c.incarnation {
		return Dispatched // made by an earlier run of the instance, whose memory is gone
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	a, ok := c.table.byID[id]
	switch {
	case !ok && number > c.table.floor && number <= c.table.counter:
		return Abandoned
	case !ok || a.lost:
		return Dispatched
	default:
		return Running
	}
}

// split parses an attempt id. The instance may contain slashes.
func split(id string) (instance string, incarnation, number uint64, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, 0, false
	}
	j := strings.LastIndexByte(id[:i], '/')
	if j < 0 {
		return "", 0, 0, false
	}
	incarnation, err1 := strconv.ParseUint(id[j+1:i], 10, 64)
	number, err2 := strconv.ParseUint(id[i+1:], 10, 64)
	return id[:j], incarnation, number, err1 == nil && err2 == nil
}
