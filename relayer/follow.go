package relayer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// connectTimeout bounds the connection to a neighbour.
	connectTimeout = 700 * clock.Millis(1)
	// quietTimeout ends a feed that has brought nothing: a reader that is well
	// confirms every second and a half.
	quietTimeout = 2600 * clock.Millis(1)
)

// Path is the path of the feed on an instance's address for neighbours.
const Path = "/v1/feed"

// Sink takes what a feed brings.
type Sink struct {
	Replace  func(kind string, list []watcher.Object)
	Change   func(kind string, o watcher.Object)
	Confirm  func(at clock.Millis)
	Returned func(at clock.Millis)
}

// Follow takes a neighbour's feed until it ends. It returns the reason.
func Follow(ctx context.Context, c clock.Clock, address string, s Sink) error {
	connect, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	conn, _, err := websocket.Dial(connect, "ws://"+address+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	cancel()
	if err != nil {
		return errors.Wrapf(err, "feed of %s", address)
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxMessage)
	for {
		if err := next(ctx, c, conn, s); err != nil {
			return errors.Wrapf(err, "feed of %s", address)
		}
	}
}

func next(ctx context.Context, c clock.Clock, conn *websocket.Conn, s Sink) error {
	ctx, cancel := context.WithTimeout(ctx, quietTimeout.Duration())
	defer cancel()
	begin := c.Now()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	m, err := decode(data)
	if err != nil {
		return err
	}
	if m.Returned >= 0 {
		s.Returned(c.Now() - m.Returned)
	}
	full := make(map[string][]watcher.Object, len(m.Full))
	for _, kind := range m.Full {
		full[kind] = nil
	}
	for _, x := range m.Changes {
		if list, ok := full[x.Kind]; ok {
			full[x.Kind] = append(list, x.object())
			continue
		}
		s.Change(x.Kind, x.object())
	}
	for _, kind := range m.Full {
		s.Replace(kind, full[kind])
	}
	// The message may have waited in the connection since the read before.
	s.Confirm(begin - m.Age)
	return nil
}
