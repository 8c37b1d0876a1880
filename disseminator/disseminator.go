package disseminator

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/follower"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/supervisor"
)

// KindCounts is the kind of the messages that carry counts and records.
const KindCounts = "counts"

const (
	// Interval is the time between two rounds.
	Interval = clock.Second
	// fanOut is the number of peers that one round sends to.
	fanOut = 2
	// maxCountBytesLargeFleet bounds the counts in one message of a large fleet,
	// whose control traffic has a budget, and maxCountBytesSmallFleet those in a
	// small one.
	maxCountBytesLargeFleet = 1200
	maxCountBytesSmallFleet = 16 << 10
	largeFleetPeers         = 32 // from this number of peers on, a fleet is large
	// changeHistoryRounds is the number of past rounds whose changes are sent to a
	// peer's new process. That process has read older counts from their copy in the
	// store.
	changeHistoryRounds = 120
	// resyncMessages is the number of messages to a peer after which it is sent all
	// counts again if its digest still differs, because it missed a message or the
	// copy.
	resyncMessages = 300
)

// message is the body of an envelope of kind KindCounts.
type message struct {
	Counts  []byte              `cbor:"counts,omitempty"`
	Records []supervisor.Record `cbor:"records,omitempty"`
}

// peerCursor is how far the counts were sent to a peer's process.
type peerCursor struct {
	incarnation       uint64
	lastChange        uint64 // sequence number of the last change of the counts that was sent
	messagesDiffering int    // messages since the digests were last equal
}

// Disseminator sends an instance's counts and records to its peers and merges theirs.
// It is safe for concurrent use.
type Disseminator struct {
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// Send sends a one-way message; see messenger.Messenger.Send.
	Send func(address, kind string, body []byte) error

	estimator  *estimator.Estimator
	supervisor *supervisor.Supervisor
	self       string

	mu            sync.Mutex
	random        *rand.Rand
	cursors       map[string]peerCursor
	recentChanges []uint64 // results of Estimator.LastChange at the last rounds, the newest last
}

// New returns a disseminator for the instance with the id self.
func New(self string, e *estimator.Estimator, s *supervisor.Supervisor, random *rand.Rand) *Disseminator {
	return &Disseminator{self: self, estimator: e, supervisor: s, random: random, cursors: map[string]peerCursor{}}
}

// Connect sets Send to that of m and registers the message handler with m.
func (d *Disseminator) Connect(m *messenger.Messenger, c clock.Clock) {
	d.Send = m.Send
	m.Handle(KindCounts, func(_ context.Context, e messenger.Envelope) ([]byte, error) {
		return nil, d.Receive(c.Now(), e.Body)
	})
}

// Receive merges the counts and records of a message.
// The error states why the message or its counts are malformed.
func (d *Disseminator) Receive(now clock.Millis, encoded []byte) error {
	var m message
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return errors.Wrap(err, "disseminator: decode message")
	}
	d.supervisor.Merge(m.Records)
	if len(m.Counts) == 0 {
		return nil
	}
	_, err := d.estimator.Merge(m.Counts, now)
	return err
}

// Tick runs one round, every Interval. With allPeers, it sends to every active
// peer instead of fanOut random ones, so that the records arrive at once.
func (d *Disseminator) Tick(allPeers bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recentChanges = append(d.recentChanges, d.estimator.LastChange())
	if len(d.recentChanges) > changeHistoryRounds {
		d.recentChanges = d.recentChanges[1:]
	}
	peers := d.activePeers()
	maxCountBytes := maxCountBytesSmallFleet
	if len(peers) >= largeFleetPeers {
		maxCountBytes = maxCountBytesLargeFleet
	}
	d.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !allPeers {
		peers = peers[:min(len(peers), fanOut)]
	}
	for _, p := range peers {
		if err := d.sendTo(p, maxCountBytes); err != nil {
			return err
		}
	}
	return nil
}

// activePeers returns the alive and leaving members without this instance.
func (d *Disseminator) activePeers() []gossiper.Member {
	var found []gossiper.Member
	for _, m := range d.Members() {
		if m.ID != d.self && (m.State == gossiper.Alive || m.State == gossiper.Leaving) {
			found = append(found, m)
		}
	}
	return found
}

// sendTo sends a peer the records and, in at most maxCountBytes, the counts that
// it may lack.
func (d *Disseminator) sendTo(p gossiper.Member, maxCountBytes int) error {
	cursor := d.cursors[p.ID]
	if cursor.incarnation != p.Incarnation {
		cursor = peerCursor{incarnation: p.Incarnation, lastChange: d.recentChanges[0]}
	}
	if cursor.messagesDiffering++; follower.CountsDigest(p.Digest) == d.estimator.Digest() {
		cursor.messagesDiffering = 0
	}
	if cursor.messagesDiffering > resyncMessages {
		cursor.lastChange, cursor.messagesDiffering = 0, 0
	}
	counts, nextChange, err := d.estimator.Snapshot(cursor.lastChange, maxCountBytes)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(message{Counts: counts, Records: d.supervisor.Records()})
	if err != nil {
		return errors.Wrap(err, "disseminator: encode message")
	}
	if err := d.Send(p.Address, KindCounts, encoded); err != nil {
		return nil //nolint:nilerr // the cursor is unchanged, so the next message repeats the counts
	}
	cursor.lastChange = nextChange
	d.cursors[p.ID] = cursor
	return nil
}
