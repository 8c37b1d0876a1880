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
	// positionHistoryRounds is the number of past rounds whose changes are sent to
	// a peer's new process. It has read older counts from their copy in the store.
	positionHistoryRounds = 120
	// resyncTurns is the number of messages to a peer after which it is sent all
	// counts again if its digest still differs, because it missed a message or the
	// copy.
	resyncTurns = 300
)

// message is the body of an envelope of kind KindCounts.
type message struct {
	Counts  []byte              `cbor:"counts,omitempty"`
	Records []supervisor.Record `cbor:"records,omitempty"`
}

// peerCursor is how far the counts were sent to a peer's process.
type peerCursor struct {
	incarnation    uint64
	position       uint64 // change number up to which the counts were sent
	turnsDiffering int    // messages since the digests were last equal
}

// Disseminator sends an instance's counts and records to its peers and merges theirs.
// It is safe for concurrent use.
type Disseminator struct {
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// Send sends a one-way message; see linker.Linker.Send.
	Send func(address, kind string, body []byte) error

	rater      *estimator.Estimator
	supervisor *supervisor.Supervisor
	self       string

	mu              sync.Mutex
	random          *rand.Rand
	cursors         map[string]peerCursor
	recentPositions []uint64 // change numbers of the counts at the last rounds, the newest last
}

// New returns a spreader for the instance with the id self.
func New(self string, r *estimator.Estimator, s *supervisor.Supervisor, random *rand.Rand) *Disseminator {
	return &Disseminator{self: self, rater: r, supervisor: s, random: random, cursors: map[string]peerCursor{}}
}

// Connect sets Send to that of l and registers the message handler with l.
func (s *Disseminator) Connect(l *messenger.Messenger, c clock.Clock) {
	s.Send = l.Send
	l.Handle(KindCounts, func(_ context.Context, e messenger.Envelope) ([]byte, error) {
		return nil, s.Receive(c.Now(), e.Body)
	})
}

// Receive merges the counts and records of a message.
// The error states why the message or its counts are malformed.
func (s *Disseminator) Receive(now clock.Millis, encoded []byte) error {
	var b message
	if err := cbor.Unmarshal(encoded, &b); err != nil {
		return errors.Wrap(err, "spreader: decode message")
	}
	s.supervisor.Merge(b.Records)
	if len(b.Counts) == 0 {
		return nil
	}
	_, err := s.rater.Merge(b.Counts, now)
	return err
}

// Tick runs one round, every Interval. With allPeers, it sends to every active
// peer instead of fanOut random ones, so that the records arrive at once.
func (s *Disseminator) Tick(allPeers bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentPositions = append(s.recentPositions, s.rater.LastChange())
	if len(s.recentPositions) > positionHistoryRounds {
		s.recentPositions = s.recentPositions[1:]
	}
	peers := s.activePeers()
	maxCountBytes := maxCountBytesSmallFleet
	if len(peers) >= largeFleetPeers {
		maxCountBytes = maxCountBytesLargeFleet
	}
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !allPeers {
		peers = peers[:min(len(peers), fanOut)]
	}
	for _, p := range peers {
		if err := s.sendTo(p, maxCountBytes); err != nil {
			return err
		}
	}
	return nil
}

// activePeers returns the alive and leaving members without this instance.
func (s *Disseminator) activePeers() []gossiper.Member {
	var found []gossiper.Member
	for _, m := range s.Members() {
		if m.ID != s.self && (m.State == gossiper.Alive || m.State == gossiper.Leaving) {
			found = append(found, m)
		}
	}
	return found
}

// sendTo sends a peer the records and, in at most maxCountBytes, the counts that
// it may lack.
func (s *Disseminator) sendTo(p gossiper.Member, maxCountBytes int) error {
	cursor := s.cursors[p.ID]
	if cursor.incarnation != p.Incarnation {
		cursor = peerCursor{incarnation: p.Incarnation, position: s.recentPositions[0]}
	}
	if cursor.turnsDiffering++; follower.CountsDigest(p.Digest) == s.rater.Digest() {
		cursor.turnsDiffering = 0
	}
	if cursor.turnsDiffering > resyncTurns {
		cursor.position, cursor.turnsDiffering = 0, 0
	}
	counts, nextPosition, err := s.rater.Snapshot(cursor.position, maxCountBytes)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(message{Counts: counts, Records: s.supervisor.Records()})
	if err != nil {
		return errors.Wrap(err, "spreader: encode message")
	}
	if err := s.Send(p.Address, KindCounts, encoded); err != nil {
		return nil //nolint:nilerr // the cursor is unchanged, so the next message repeats the counts
	}
	cursor.position = nextPosition
	s.cursors[p.ID] = cursor
	return nil
}
