package relayer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// connectTimeout bounds the time to connect to a neighbour.
	connectTimeout = 700 * clock.Millis(1)
)

// confirmationMargin is added to the largest age of a confirmation, because the
// reader dates a confirmation to the start of the call that yielded it.
const confirmationMargin = 500 * clock.Millis(1)

// Path is the URL path of the feed on an instance's peer address.
const Path = "/v1/feed"

// packedQuery is the query parameter with which a follower asks for compressed
// changes. Readers of builds that do not know it send plain ones.
const packedQuery = "packed"

// Sink receives the content of a feed. Instants are given by the local clock.
type Sink struct {
	Replace       func(kind string, list []watcher.Object) // all objects of a kind
	Change        func(kind string, o watcher.Object)      // one changed or deleted object
	Confirm       func(at clock.Millis)                    // instant up to which the reader has read the store
	StoreRegained func(at clock.Millis)                    // instant at which the store answered the reader again
	Era           func(era int64) bool                     // of the store; it returns false if a later one is known
}

// Follow passes a neighbour's feed to s until the feed ends, at the latest when
// its confirmation has not advanced for staleAfter. The error is the reason for
// the end and never nil; it matches ErrStale or ErrClosed in these two cases.
func Follow(ctx context.Context, c clock.Clock, address string, staleAfter clock.Millis, s Sink) error {
	begin := c.Now()
	connect, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	//nolint:bodyclose // the library closes the response body
	conn, _, err := websocket.Dial(connect, "ws://"+address+Path+"?"+packedQuery+"=1", &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	cancel()
	if err != nil {
		return errors.Wrapf(err, "feed of %s", address)
	}
	defer func() { _ = conn.CloseNow() }() // fails if the connection is closed already
	conn.SetReadLimit(maxMessageBytes)
	f := &follower{clock: c, conn: conn, sink: s, startedAt: begin, advancedAt: begin, staleAfter: staleAfter}
	for {
		if err := f.receive(ctx); err != nil {
			return errors.Wrapf(err, "feed of %s", address)
		}
	}
}

// follower reads one feed. It converts the reader's instants to the local clock
// with a lower bound of the offset between the clocks: the reader receives a
// ping no earlier than this instance sends it, and accepts the connection no
// earlier than this instance starts to connect. A delayed message can therefore
// only make a confirmation look older.
type follower struct {
	clock       clock.Clock
	conn        *websocket.Conn
	sink        Sink
	staleAfter  clock.Millis
	startedAt   clock.Millis // instant before connecting
	clockOffset clock.Millis // lower bound of local time minus reader time
	offsetKnown bool
	pingedAt    clock.Millis // instant of the last ping

	confirmed  clock.Millis // last confirmation passed to the sink
	advancedAt clock.Millis // instant at which confirmed last increased
}

// Errors that end a feed.
var (
	// ErrStale means that the reader has stopped confirming its state.
	ErrStale = errors.New("relayer: the feed's confirmation is stale")
	// ErrClosed means that the neighbour no longer reads the store, because
	// another instance does. Its feed is complete up to the last confirmation.
	ErrClosed = errors.New("relayer: the neighbour no longer reads the store")
)

// pingInterval is the time between two measurements of the clock offset. The
// clocks drift by less than a millisecond in this time.
const pingInterval = 5 * clock.Second

func (f *follower) updateClockOffset(m *Message) {
	if m.PingSentAt != 0 {
		f.clockOffset, f.offsetKnown = m.PingSentAt-m.PingReceivedAt, true
		return
	}
	if !f.offsetKnown {
		f.clockOffset, f.offsetKnown = f.startedAt-m.Now, true
	}
}

func (f *follower) ping(ctx context.Context) error {
	now := f.clock.Now()
	if now-f.pingedAt < pingInterval {
		return nil
	}
	f.pingedAt = now
	data, err := cbor.Marshal(ping{Now: now})
	if err != nil {
		return err
	}
	return f.conn.Write(ctx, websocket.MessageBinary, data)
}

func (f *follower) receive(ctx context.Context) error {
	remaining := f.advancedAt + f.staleAfter - f.clock.Now()
	if remaining <= 0 {
		return ErrStale
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	if err := f.ping(ctx); err != nil {
		return err
	}
	_, data, err := f.conn.Read(ctx)
	if websocket.CloseStatus(err) == websocket.StatusGoingAway {
		return ErrClosed
	}
	if err != nil {
		return err
	}
	m, changes, err := decode(data)
	if err != nil {
		return err
	}
	f.updateClockOffset(m)
	if len(m.FullKinds) > 0 && f.isStale(m.Confirmed+f.clockOffset) {
		return ErrStale // a state of before, from a reader that was suspended or cut off
	}
	s := f.sink
	if m.Era != 0 && !s.Era(m.Era) {
		return ErrStale // the reader has not noticed yet that the store has come back
	}
	if m.SinceRegained >= 0 {
		s.StoreRegained(f.clock.Now() - m.SinceRegained)
	}
	s.apply(m.FullKinds, changes)
	if at := m.Confirmed + f.clockOffset; at > f.confirmed {
		f.advancedAt = f.clock.Now()
		if f.confirmed == 0 {
			// A reader that lost the store before this feed began sends one
			// old confirmation, which does not show that it still reads.
			f.advancedAt = min(f.advancedAt, at)
		}
		f.confirmed = at
	}
	if f.isStale(f.confirmed) {
		return ErrStale
	}
	s.Confirm(f.confirmed)
	return nil
}

// apply passes the changes on, those of full kinds as lists.
func (s Sink) apply(fullKinds []string, changes []Change) {
	lists := make(map[string][]watcher.Object, len(fullKinds))
	for _, kind := range fullKinds {
		lists[kind] = nil
	}
	for _, x := range changes {
		if list, ok := lists[x.Kind]; ok {
			lists[x.Kind] = append(list, x.object())
			continue
		}
		s.Change(x.Kind, x.object())
	}
	for _, kind := range fullKinds {
		s.Replace(kind, lists[kind])
	}
}

// isStale reports whether a confirmation by the local clock is too old to be used.
func (f *follower) isStale(confirmed clock.Millis) bool {
	return f.clock.Now()-confirmed > f.staleAfter+confirmationMargin
}
