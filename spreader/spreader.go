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
	// maxBodyBytes bounds the counts in one message.
	maxBodyBytes = 1200
	// maxIdle is the number of turns with nothing to send after which a peer with
	// other counts is sent everything again, because a message was lost.
	maxIdle = 3
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
	idle        int // turns with nothing to send although the counts differ
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
	peers := s.peers()
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !all {
		peers = peers[:min(len(peers), fanOut)]
	}
	for _, p := range peers {
		if err := s.send(p); err != nil {
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
func (s *Spreader) send(p gossiper.Member) error {
	c := s.cursors[p.ID]
	if c.incarnation != p.Incarnation {
		c = cursor{incarnation: p.Incarnation}
	}
	if c.idle > maxIdle {
		c.sent, c.idle = 0, 0
	}
	counts, next, err := s.rater.Snapshot(c.sent, maxBodyBytes)
	if err != nil {
		return err
	}
	if counts == nil && follower.Counts(p.Digest) != s.rater.Digest() {
		c.idle++
	} else {
		c.idle = 0
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
