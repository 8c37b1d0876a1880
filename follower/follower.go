package follower

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/reviser"
	"rosemaryarch.example/rosemaryarch/storer"
)

const (
	// FreshFor is the age up to which a confirmation or an outage observation
	// permits new work.
	FreshFor = 3 * clock.Second

	pollInterval = clock.Second
	maxPolls     = 8                      // open store calls, for a store that answers slowly
	unanswered   = clock.Second           // an open poll of this age is an outage observation
	lateAge      = 1500 * clock.Millis(1) // a confirmation of this age makes others poll too
	hintInterval = 700 * clock.Millis(1)  // between two hints of fresher evidence
	revisionFan  = 4                      // members of the data centre told of a new revision
	// evidenceFan is smaller, because the acks of gossip carry the confirmation
	// too: with 4, all control took 5.2 KB/s at 370 instances, of an aim of 5.
	evidenceFan    = 2
	repairAge      = 1200 * clock.Millis(1) // outage observations of this age are asked for
	repairInterval = 400 * clock.Millis(1)
	maxAsks        = 3                     // open questions to peers
	askTimeout     = 2 * clock.Second      // frees the slot of a question without an answer
	bodyRetry      = 300 * clock.Millis(1) // before the same revision is asked for again
	reachAsks      = 2                     // members asked in each other data centre before a write
	censusRate     = 2                     // questions per tick while bootstrapping
	censusAge      = 30 * clock.Second     // age up to which an answer counts
	watchersEach   = 2                     // per data centre
	backupPolls    = 2                     // expected pollers per data centre beside the watchers
)

// Reasons of Fresh.
const (
	ReasonNoConfiguration = "no_configuration"     // no revision is held
	ReasonNewerKnown      = "newer_revision_known" // the body of a newer revision is missing
	ReasonMinority        = "minority"             // too few members are reachable
	ReasonSilent          = "data_centre_silent"   // a reachable data centre gave no evidence
	ReasonNoMajority      = "no_majority_agrees"   // still bootstrapping
	ReasonConfirmed       = "confirmed"            // fresh by confirmation
	ReasonOutage          = "store_outage"         // fresh by the outage rule
)

// Follower is the copy of one instance. Its rules are driven by Tick and by
// the methods that report events, all with the present instant; effects go
// through function fields, which are set before the first call and are called
// without locks held. It is safe for concurrent use.
type Follower struct {
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// Hint sends a one-way message of kind "revision".
	Hint func(address string, body []byte)
	// Ask makes a call of kind "revision_get" and later calls done.
	Ask func(address string, body []byte, done func(now clock.Millis, answer []byte, err error))
	// Version and Get read the fleet object and later call done.
	Version func(done func(now clock.Millis, version uint64, err error))
	Get     func(done func(now clock.Millis, o storer.Object, err error))
	// Adopted is called once for each adopted revision, in increasing order.
	Adopted func(o reviser.Object)

	self       string
	dataCentre string
	ctx        context.Context // of store calls and questions; ends with Run
	cancel     context.CancelFunc

	mu      sync.Mutex
	rand    *rand.Rand
	effects []func() // run after the mutex is released

	held    reviser.Object
	value   []byte
	version uint64 // of the store, 0 if unknown
	highest uint64 // highest revision heard of

	confirmed clock.Millis            // 0: never
	outages   map[string]clock.Millis // by data centre
	proven    bool                    // confirmed once, or a majority agreed

	members    []gossiper.Member
	view       view
	polls      []clock.Millis // start of each open store call
	nextPoll   clock.Millis
	repairs    int
	nextRepair clock.Millis
	asks       []ask
	census     map[string]answered
	order      []string // members still to be asked while bootstrapping

	hinted       clock.Millis // instant of the last hint
	told         clock.Millis // confirmation that it carried
	toldDown     map[string]clock.Millis
	toldRevision uint64
	adopting     sync.Mutex
	newest       uint64 // last revision handed to Adopted
}

type ask struct {
	to       string
	at       clock.Millis
	revision uint64 // that the peer is known to hold
}

type answered struct {
	at       clock.Millis
	revision uint64
}

// New returns a follower that holds nothing.
func New(self gossiper.Member, r *rand.Rand) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		ctx:        ctx,
		cancel:     cancel,
		self:       self.ID,
		dataCentre: self.DataCentre,
		rand:       r,
		outages:    map[string]clock.Millis{},
		toldDown:   map[string]clock.Millis{},
		census:     map[string]answered{},
	}
}

// Held returns the adopted object; its revision is 0 if there is none.
func (f *Follower) Held() reviser.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// Fresh reports whether the instance may give new work, and the rule that
// decided. It does not allocate.
func (f *Follower) Fresh(now clock.Millis) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh(now)
}

func (f *Follower) fresh(now clock.Millis) (bool, string) {
	switch {
	case f.held.Revision == 0:
		return false, ReasonNoConfiguration
	case f.confirmed != 0 && now-f.confirmed < FreshFor:
		return true, ReasonConfirmed
	case f.highest > f.held.Revision:
		return false, ReasonNewerKnown
	case !f.proven:
		return false, ReasonNoMajority
	case 2*f.view.alive <= f.view.known:
		return false, ReasonMinority
	}
	for _, dc := range f.view.reachable {
		at, ok := f.outages[dc]
		if !ok || now-at >= FreshFor {
			return false, ReasonSilent
		}
	}
	return true, ReasonOutage
}

// Age returns the age of the confirmation, and false if there is none.
func (f *Follower) Age(now clock.Millis) (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.confirmed, f.confirmed != 0
}

// Watcher reports whether this instance polls and watches the store.
func (f *Follower) Watcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.watcher
}

// Accepted adopts an object that this instance wrote; the write began at asked.
func (f *Follower) Accepted(now clock.Millis, value []byte, version uint64, asked clock.Millis) {
	f.mu.Lock()
	if f.adopt(now, value, version) {
		f.hint(now, true)
	}
	if f.version == version {
		f.confirm(asked)
	}
	f.unlock()
}

// Watched adopts an object that a watch delivered. A watch is no confirmation,
// because a frozen one cannot be told from a quiet one.
func (f *Follower) Watched(now clock.Millis, o storer.Object) {
	f.mu.Lock()
	if f.adopt(now, o.Value, o.Version) {
		f.hint(now, f.view.watcher)
	}
	f.unlock()
}

// unlock releases the mutex and runs the effects collected under it.
func (f *Follower) unlock() {
	effects := f.effects
	f.effects = nil
	f.mu.Unlock()
	for _, e := range effects {
		e()
	}
}

// adopt takes the object if its revision is higher than the held one. It
// reports whether it did.
func (f *Follower) adopt(now clock.Millis, value []byte, version uint64) bool {
	o, err := reviser.Decode(value)
	if err != nil {
		return false
	}
	if o.Revision == f.held.Revision && f.version == 0 {
		f.version = version
	}
	if o.Revision <= f.held.Revision {
		return false
	}
	f.held, f.value, f.version = o, value, version
	f.highest = max(f.highest, o.Revision)
	f.hinted = now
	f.effects = append(f.effects, f.announce)
	return true
}

// announce hands the newest object to Adopted, in order and once.
func (f *Follower) announce() {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	o := f.Held()
	if f.Adopted != nil && o.Revision > f.newest {
		f.newest = o.Revision
		f.Adopted(o)
	}
}

// confirm raises the confirmation to the instant at.
func (f *Follower) confirm(at clock.Millis) {
	if at > f.confirmed && f.held.Revision > 0 {
		f.confirmed = at
		f.proven = true
	}
}

// outage raises the outage observation of a data centre.
func (f *Follower) outage(dataCentre string, at clock.Millis) {
	if at > f.outages[dataCentre] {
		f.outages[dataCentre] = at
	}
}
