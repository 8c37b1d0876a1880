package spreader

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/follower"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/linker"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/supervisor"
)

// KindCounts is the kind of the messages.
const KindCounts = "counts"

const (
	// Interval is the time between two rounds.
	Interval = clock.Second
	// fanOut is the number of peers that one round sends to.
	fanOut = 2
	// smallBodyBytes bounds the counts in one message of a large fleet, whose
	// control traffic has a budget, and largeBodyBytes those in a small one.
	smallBodyBytes = 1200
	largeBodyBytes = 16 << 10
	smallFleet     = 32 // members
	// recentRounds is how far back a peer's new process is sent the changes. It
	// has read the older counts from their copy in the store.
	recentRounds = 120
	// resyncRounds is after how many turns a peer that still has other counts is
	// sent everything again, because it missed a message or the copy.
	resyncRounds = 300
)

// body is the content of a message.
type body struct {
	Counts  []byte              `cbor:"counts,omitempty"`
	Records []supervisor.Record `cbor:"records,omitempty"`
}

// cursor is how far a peer's process has been sent the counts.
type cursor struct {
	incarnation uint64
	sent        uint64
	differs     int // turns since the counts were last equal
}

// Spreader spreads counts and records. It is safe for concurrent use.
type Spreader struct {
	// Members returns the membership; see gossiper.Gossiper.Members.
	Members func() []gossiper.Member
	// Send sends a one-way message; see linker.Linker.Send.
	Send func(address, kind string, body []byte) error

	rater      *rater.Rater
	supervisor *supervisor.Supervisor
	self       string

	mu      sync.Mutex
	random  *rand.Rand
	cursors map[string]cursor
	recent  []uint64 // positions of the counts at the last rounds, the newest last
}

// New returns a spreader for the instance named self.
func New(self string, r *rater.Rater, s *supervisor.Supervisor, random *rand.Rand) *Spreader {
	return &Spreader{self: self, rater: r, supervisor: s, random: random, cursors: map[string]cursor{}}
}

// Connect lets the spreader send through l and registers its handler.
func (s *Spreader) Connect(l *linker.Linker, c clock.Clock) {
	s.Send = l.Send
	l.Handle(KindCounts, func(_ context.Context, e linker.Envelope) ([]byte, error) {
		return nil, s.Receive(c.Now(), e.Body)
	})
}

// Receive adopts a message.
func (s *Spreader) Receive(now clock.Millis, message []byte) error {
	var b body
	if err := cbor.Unmarshal(message, &b); err != nil {
		return errors.Wrap(err, "spreader: decode message")
	}
	s.supervisor.Merge(b.Records)
	if len(b.Counts) == 0 {
		return nil
	}
	_, err := s.rater.Merge(b.Counts, now)
	return err
}

// Tick runs one round. With all set, the records go to every live peer at once.
func (s *Spreader) Tick(all bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, s.rater.Position())
	if len(s.recent) > recentRounds {
		s.recent = s.recent[1:]
	}
	peers := s.peers()
	limit := largeBodyBytes
	if len(peers) >= smallFleet {
		limit = smallBodyBytes
	}
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !all {
		peers = peers[:min(len(peers), fanOut)]
	}
	for _, p := range peers {
		if err := s.send(p, limit); err != nil {
			return err
		}
	}
	return nil
}

// peers returns the members that take part, without this instance.
func (s *Spreader) peers() []gossiper.Member {
	var found []gossiper.Member
	for _, m := range s.Members() {
		if m.ID != s.self && (m.State == gossiper.Alive || m.State == gossiper.Leaving) {
			found = append(found, m)
		}
	}
	return found
}

// send sends a peer what it may lack.
func (s *Spreader) send(p gossiper.Member, limit int) error {
	c := s.cursors[p.ID]
	if c.incarnation != p.Incarnation {
		c = cursor{incarnation: p.Incarnation, sent: s.recent[0]}
	}
	if c.differs++; follower.Counts(p.Digest) == s.rater.Digest() {
		c.differs = 0
	}
	if c.differs > resyncRounds {
		c.sent, c.differs = 0, 0
	}
	counts, next, err := s.rater.Snapshot(c.sent, limit)
	if err != nil {
		return err
	}
	message, err := cbor.Marshal(body{Counts: counts, Records: s.supervisor.Records()})
	if err != nil {
		return errors.Wrap(err, "spreader: encode message")
	}
	if err := s.Send(p.Address, KindCounts, message); err != nil {
		return nil //nolint:nilerr // the cursor stays, so the next turn repeats it
	}
	c.sent = next
	s.cursors[p.ID] = c
	return nil
}
