package follower

import (
	"context"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

const (
	// MaxEvidenceAge is the age below which a confirmation or an outage observation
	// permits the dispatch of new requests.
	MaxEvidenceAge = 3 * clock.Second

	pollInterval        = clock.Second
	maxOpenPolls        = 8                      // concurrent polls of the store; above 1 in case it answers slowly
	unansweredPollAge   = clock.Second           // an open poll of this age is an outage observation
	lateConfirmationAge = 1500 * clock.Millis(1) // from this age on, other members poll too
	hintInterval        = 700 * clock.Millis(1)  // between two hints of fresher evidence
	revisionFanOut      = 4                      // hints of a new revision within the data centre
	// evidenceFanOut is smaller than revisionFanOut, because gossip acks carry the
	// confirmation too: with 4, the control traffic of one of 370 instances was
	// 5.2 KB/s, above the target of 5 KB/s.
	evidenceFanOut          = 2
	repairEvidenceAge       = 1200 * clock.Millis(1) // from this age on, evidence is queried
	repairInterval          = 400 * clock.Millis(1)
	maxOpenQueries          = 3                     // to peers
	queryTimeout            = 2 * clock.Second      // after it an unanswered query is no longer open
	bodyRetryInterval       = 300 * clock.Millis(1) // before another peer is queried for the same revision
	reachabilityQueries     = 2                     // in each other data centre before a write
	bootstrapQueriesPerTick = 2                     // until the first confirmation or the agreement of a majority
	maxBootstrapAnswerAge   = 30 * clock.Second     // below this age an answer counts towards a majority
	watchersPerDataCentre   = 2
	backupPollers           = 2 // expected pollers per data centre in addition to the watchers
)

// Reasons that Fresh returns.
const (
	ReasonNoConfiguration  = "no_configuration"     // no revision was adopted
	ReasonNewerKnown       = "newer_revision_known" // the body of a newer revision is missing
	ReasonMinority         = "minority"             // at most half of the known members are alive
	ReasonNoOutageEvidence = "data_centre_silent"   // a data centre with an alive member gave no evidence
	ReasonNoMajority       = "no_majority_agrees"   // still bootstrapping
	ReasonConfirmed        = "confirmed"            // fresh by confirmation
	ReasonOutage           = "store_outage"         // fresh by the outage rule
)

// Follower holds one instance's replica of the fleet object and the evidence of
// its freshness. It is a state machine without I/O or clock: Tick and the
// methods that handle events take the current instant, and all output goes
// through the function fields, which are set before the first call and are
// called without locks held. It is safe for concurrent use.
type Follower struct {
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// SendHint sends a one-way message of kind "revision".
	SendHint func(address string, body []byte)
	// SendQuery starts a call of kind "revision_get", which calls done when it ends.
	SendQuery func(address string, body []byte, done func(now clock.Millis, answer []byte, err error))
	// ReadVersion and ReadObject start a read of the fleet object's version in the
	// store and of the object; they call done when it ends.
	ReadVersion func(done func(now clock.Millis, version uint64, err error))
	ReadObject  func(done func(now clock.Millis, o storeclient.Object, err error))
	// OnAdopt is called once for each adopted revision, in increasing order.
	OnAdopt func(o configwriter.Object)

	self       string
	dataCentre string
	ctx        context.Context // of store calls and queries; cancelled when Run returns
	cancel     context.CancelFunc

	mu      sync.Mutex
	rand    *rand.Rand
	effects []func() // run after the mutex is released

	current      configwriter.Object
	currentValue []byte // encoded form of current
	storeVersion uint64 // version of current in the store, 0 if unknown
	highestKnown uint64 // highest revision that any peer or the store has reported

	confirmedAt  clock.Millis            // instant of the newest confirmation, 0 if none
	outageSeenAt map[string]clock.Millis // newest outage observation by data centre
	bootstrapped bool                    // confirmed once, or a majority agreed

	members          []gossiper.Member
	view             view
	openPolls        []clock.Millis // start of each open poll
	nextPoll         clock.Millis
	repairCount      int // repair queries due so far; its parity selects the data centre
	nextRepair       clock.Millis
	openQueries      []openQuery
	bootstrapAnswers map[string]bootstrapAnswer // newest answer by member id
	bootstrapQueue   []string                   // ids of members still to be queried while bootstrapping

	lastHintAt         clock.Millis            // instant of the last hint or adoption
	hintedConfirmation clock.Millis            // confirmedAt at the last hint
	hintedOutages      map[string]clock.Millis // outageSeenAt at the last hint
	hintedRevision     uint64
	notifyMu           sync.Mutex // serialises calls of OnAdopt
	notifiedRevision   uint64     // last revision passed to OnAdopt
}

type openQuery struct {
	peer     string // id
	sentAt   clock.Millis
	revision uint64 // that the peer is expected to have
}

type bootstrapAnswer struct {
	sentAt   clock.Millis // of the query
	revision uint64
}

// New returns a follower without an object for the instance self.
func New(self gossiper.Member, r *rand.Rand) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		ctx:              ctx,
		cancel:           cancel,
		self:             self.ID,
		dataCentre:       self.DataCentre,
		rand:             r,
		outageSeenAt:     map[string]clock.Millis{},
		hintedOutages:    map[string]clock.Millis{},
		bootstrapAnswers: map[string]bootstrapAnswer{},
	}
}

// Current returns the adopted object; its revision is 0 if there is none.
func (f *Follower) Current() configwriter.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Fresh reports whether the instance may dispatch new requests, and the Reason
// constant of the rule that decided. It does not allocate.
func (f *Follower) Fresh(now clock.Millis) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh(now)
}

func (f *Follower) fresh(now clock.Millis) (bool, string) {
	switch {
	case f.current.Revision == 0:
		return false, ReasonNoConfiguration
	case f.confirmedAt != 0 && now-f.confirmedAt < MaxEvidenceAge:
		return true, ReasonConfirmed
	case f.highestKnown > f.current.Revision:
		return false, ReasonNewerKnown
	case !f.bootstrapped:
		return false, ReasonNoMajority
	case 2*f.view.aliveCount <= f.view.knownCount:
		return false, ReasonMinority
	}
	for _, dc := range f.view.aliveDataCentres {
		at, ok := f.outageSeenAt[dc]
		if !ok || now-at >= MaxEvidenceAge {
			return false, ReasonNoOutageEvidence
		}
	}
	return true, ReasonOutage
}

// ConfirmationAge returns the age of the newest confirmation in milliseconds, and
// false if there is none.
func (f *Follower) ConfirmationAge(now clock.Millis) (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.confirmedAt, f.confirmedAt != 0
}

// IsWatcher reports whether this instance polls and watches the store.
func (f *Follower) IsWatcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.isWatcher
}

// HandleWrite adopts an object that this instance wrote to the store; the write
// began at startedAt.
func (f *Follower) HandleWrite(now clock.Millis, value []byte, version uint64, startedAt clock.Millis) {
	f.mu.Lock()
	if f.adopt(now, value, version) {
		f.sendHints(now, true)
	}
	if f.storeVersion == version {
		f.confirm(startedAt)
	}
	f.unlock()
}

// HandleWatch adopts an object that a watch delivered. It confirms nothing, because
// a stalled watch cannot be told from one without changes.
func (f *Follower) HandleWatch(now clock.Millis, o storeclient.Object) {
	f.mu.Lock()
	if f.adopt(now, o.Value, o.Version) {
		f.sendHints(now, f.view.isWatcher)
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

// adopt replaces the current object by the encoded one if that has a higher
// revision, and reports whether it did.
func (f *Follower) adopt(now clock.Millis, value []byte, version uint64) bool {
	o, err := configwriter.Decode(value)
	if err != nil {
		return false
	}
	if o.Revision == f.current.Revision && f.storeVersion == 0 {
		f.storeVersion = version
	}
	if o.Revision <= f.current.Revision {
		return false
	}
	f.current, f.currentValue, f.storeVersion = o, value, version
	f.highestKnown = max(f.highestKnown, o.Revision)
	f.lastHintAt = now
	f.effects = append(f.effects, f.notifyAdopted)
	return true
}

// notifyAdopted passes the current object to OnAdopt unless it was passed before,
// so that the revisions passed increase.
func (f *Follower) notifyAdopted() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	o := f.Current()
	if f.OnAdopt != nil && o.Revision > f.notifiedRevision {
		f.notifiedRevision = o.Revision
		f.OnAdopt(o)
	}
}

// confirm records a confirmation at the instant at.
func (f *Follower) confirm(at clock.Millis) {
	if at > f.confirmedAt && f.current.Revision > 0 {
		f.confirmedAt = at
		f.bootstrapped = true
	}
}

// observeOutage records an outage observation of a data centre at the instant at.
func (f *Follower) observeOutage(dataCentre string, at clock.Millis) {
	if at > f.outageSeenAt[dataCentre] {
		f.outageSeenAt[dataCentre] = at
	}
}
