package claimer

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// attempt is one try by this instance to execute a call. The fields below done
// are guarded by the table's mutex until done is closed.
type attempt struct {
	id             string // "<instance>/<incarnation>/<number>"
	recordKey      string // of the call
	bodyHash       []byte // of the call's request body
	started        clock.Millis
	answered       chan struct{} // closed when the answer is known
	done           chan struct{} // closed when the fields below no longer change
	finished       bool          // done is closed
	dispatched     bool          // may have been sent
	outcomeUnknown bool          // dispatched, and the answer was not received or could not be committed
	answer         Answer        // valid if answerKnown
	answerKnown    bool
	runErr         error // error returned by the run
}

// table holds the attempts of this instance that may still be sent or whose
// outcome is not committed. An attempt of this incarnation that is not in the
// table and whose number is above forgottenUpTo is either committed or abandoned.
type table struct {
	mu            sync.Mutex
	counter       uint64 // number of the newest attempt
	forgottenUpTo uint64 // absent attempts up to this number may have been sent
	unknownCount  int    // attempts in byID whose outcome is unknown
	byID          map[string]*attempt
	byRecordKey   map[string]*attempt // dispatched attempts, by record key
}

func newTable() table {
	return table{byID: map[string]*attempt{}, byRecordKey: map[string]*attempt{}}
}

// begin adds a new attempt to the table.
func (c *Claimer) begin(recordKey string, bodyHash []byte) *attempt {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter++
	a := &attempt{
		id:        fmt.Sprintf("%s/%d/%d", c.instance, c.incarnation, t.counter),
		recordKey: recordKey, bodyHash: bodyHash, started: c.clock.Now(),
		answered: make(chan struct{}), done: make(chan struct{}),
	}
	t.byID[a.id] = a
	return a
}

// forgetUnknown removes the attempts whose outcome is unknown, to bound memory.
// From then on, State reports every absent attempt up to the present counter as
// Dispatched.
func (t *table) forgetUnknown() {
	for id, a := range t.byID {
		if a.outcomeUnknown {
			t.drop(id, a)
		}
	}
	t.forgottenUpTo, t.unknownCount = t.counter, 0
}

func (t *table) drop(id string, a *attempt) {
	delete(t.byID, id)
	if t.byRecordKey[a.recordKey] == a {
		delete(t.byRecordKey, a.recordKey)
	}
}

// dispatch marks the attempt as dispatched if it may still be sent. This is the only
// step that allows a run, and it succeeds at most once.
func (c *Claimer) dispatch(a *attempt) bool {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[a.id] != a || a.dispatched || c.clock.Now()-a.started >= c.DispatchWindow {
		return false
	}
	a.dispatched = true
	t.byRecordKey[a.recordKey] = a
	return true
}

// abandon removes an attempt that was not dispatched, so that it can never be sent.
func (c *Claimer) abandon(a *attempt) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.dispatched {
		t.drop(a.id, a)
		a.finish()
	}
}

// markNotSent removes an attempt whose run proved that nothing was sent.
func (c *Claimer) markNotSent(a *attempt, err error) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(a.id, a)
	a.runErr = err
	a.finish()
}

// markUnknown records that the outcome of a dispatched attempt is unknown.
func (c *Claimer) markUnknown(a *attempt, err error) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcomeUnknown = true
	a.runErr = err
	a.finish()
	if t.unknownCount++; t.unknownCount > c.MaxUnknownOutcomes {
		t.forgetUnknown()
	}
}

// setAnswer records the answer of a dispatched attempt.
func (c *Claimer) setAnswer(a *attempt, answer Answer) {
	t := &c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	a.answer, a.answerKnown = answer, true
	close(a.answered)
}

// removeCommitted removes an attempt whose outcome is committed.
func (c *Claimer) removeCommitted(a *attempt) {
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

// dispatchedFor returns the attempt that this instance has dispatched for a
// record key.
func (c *Claimer) dispatchedFor(recordKey string) (*attempt, bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	a, ok := c.table.byRecordKey[recordKey]
	return a, ok
}

// State returns the state of an attempt made by this instance: Running,
// Dispatched or Abandoned. It serves QueryAttempt of other instances.
func (c *Claimer) State(id string) State {
	instance, incarnation, number, ok := parseAttemptID(id)
	if !ok || instance != c.instance || incarnation != c.incarnation {
		return Dispatched // made by an earlier process of the instance, whose state is lost
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	a, ok := c.table.byID[id]
	switch {
	case !ok && number > c.table.forgottenUpTo && number <= c.table.counter:
		return Abandoned
	case !ok || a.outcomeUnknown:
		return Dispatched
	default:
		return Running
	}
}

// parseAttemptID splits an attempt id. The instance may contain slashes.
func parseAttemptID(id string) (instance string, incarnation, number uint64, ok bool) {
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
