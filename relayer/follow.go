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
	// connectTimeout bounds the connection to a neighbour.
	connectTimeout = 700 * clock.Millis(1)
)

// listMargin is added to the bound for the age of a confirmation itself, which
// starts with the call that brought it.
const listMargin = 500 * clock.Millis(1)

// Path is the path of the feed on an instance's address for neighbours.
const Path = "/v1/feed"

// Sink takes what a feed brings.
type Sink struct {
	Replace  func(kind string, list []watcher.Object)
	Change   func(kind string, o watcher.Object)
	Confirm  func(at clock.Millis)
	Returned func(at clock.Millis)
}

// Follow takes a neighbour's feed until it ends, at the latest when its
// confirmation has not advanced for stale. It returns the reason.
func Follow(ctx context.Context, c clock.Clock, address string, stale clock.Millis, s Sink) error {
	begin := c.Now()
	connect, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	//nolint:bodyclose // the library closes the answer's body
	conn, _, err := websocket.Dial(connect, "ws://"+address+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	cancel()
	if err != nil {
		return errors.Wrapf(err, "feed of %s", address)
	}
	defer func() { _ = conn.CloseNow() }() // it is closed either way
	conn.SetReadLimit(maxMessage)
	f := &follower{clock: c, conn: conn, sink: s, begin: begin, advanced: begin, stale: stale}
	for {
		if err := f.next(ctx); err != nil {
			return errors.Wrapf(err, "feed of %s", address)
		}
	}
}

// follower reads one feed. The reader's instants are moved to this clock by a
// lower bound of the difference between the clocks: what the reader's clock
// shows after it has got something from here is not earlier than the instant
// at which it was sent. So a message that waits on its way never makes a
// confirmation look younger.
type follower struct {
	clock  clock.Clock
	conn   *websocket.Conn
	sink   Sink
	stale  clock.Millis
	begin  clock.Millis // before the connection was made
	ahead  clock.Millis // of this clock, at least
	known  bool
	pinged clock.Millis

	confirmed clock.Millis // as last told to the sink
	advanced  clock.Millis // instant at which that grew
}

// Sentinels of the end of a feed.
var (
	// ErrStale tells that the reader does not confirm its state any more.
	ErrStale = errors.New("relayer: the feed is not confirmed")
	// ErrClosed tells that the neighbour no longer reads the store, because
	// another instance does. What it sent is complete up to the last
	// confirmation.
	ErrClosed = errors.New("relayer: the neighbour no longer reads the store")
)

// pingInterval is the time between two comparisons of the clocks, within which
// they drift by less than a millisecond.
const pingInterval = 5 * clock.Second

func (f *follower) compare(m *Message) {
	if m.Echo != 0 {
		f.ahead, f.known = m.Echo-m.Seen, true
		return
	}
	if !f.known {
		f.ahead, f.known = f.begin-m.Now, true
	}
}

func (f *follower) ping(ctx context.Context) error {
	now := f.clock.Now()
	if now-f.pinged < pingInterval {
		return nil
	}
	f.pinged = now
	data, err := cbor.Marshal(ping{Now: now})
	if err != nil {
		return err
	}
	return f.conn.Write(ctx, websocket.MessageBinary, data)
}

func (f *follower) next(ctx context.Context) error {
	left := f.advanced + f.stale - f.clock.Now()
	if left <= 0 {
		return ErrStale
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
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
	f.compare(m)
	s := f.sink
	if m.Returned >= 0 {
		s.Returned(f.clock.Now() - m.Returned)
	}
	full := make(map[string][]watcher.Object, len(m.Full))
	for _, kind := range m.Full {
		full[kind] = nil
	}
	for _, x := range changes {
		if list, ok := full[x.Kind]; ok {
			full[x.Kind] = append(list, x.object())
			continue
		}
		s.Change(x.Kind, x.object())
	}
	for _, kind := range m.Full {
		s.Replace(kind, full[kind])
	}
	if at := m.Confirmed + f.ahead; at > f.confirmed {
		f.advanced = f.clock.Now()
		if f.confirmed == 0 {
			// A reader that was cut off before this feed began sends one old
			// confirmation, which is no sign that it reads on.
			f.advanced = min(f.advanced, at)
		}
		f.confirmed = at
	}
	if f.clock.Now()-f.confirmed > f.stale+listMargin {
		return ErrStale
	}
	s.Confirm(f.confirmed)
	return nil
}
