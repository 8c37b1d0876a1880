package connector

import (
	"context"
	"net"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// TestEnded guards against requests that are sent to a restarted engine as if it
// were the process before, and against an engine that is distrusted because this
// side, or the engine's idle timeout, closed one of several connections.
func TestEnded(t *testing.T) {
	cases := map[string]struct {
		run  func(f *fixture)
		want int // calls of Ended
	}{
		"open and close here":    {func(f *fixture) { f.dial(); f.own[0].Close() }, 0},
		"engine closes the last": {func(f *fixture) { f.dial(); f.closeByEngine(0) }, 1},
		"engine closes one of two": {func(f *fixture) {
			f.dial()
			f.dial()
			f.closeByEngine(0)
		}, 0},
		"new connection right after a close": {func(f *fixture) {
			f.dial()
			f.dial()
			f.closeByEngine(0)
			f.dial()
		}, 1},
		"new connection long after a close": {func(f *fixture) {
			f.dial()
			f.dial()
			f.closeByEngine(0)
			f.clock.Advance(2 * closeWindow)
			f.dial()
		}, 0},
		"restart": {func(f *fixture) {
			f.dial()
			f.dial()
			f.closeByEngine(0)
			f.closeByEngine(1)
			f.dial()
		}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c.run(f)
			if f.ended != c.want {
				t.Errorf("calls of Ended: got %d, want %d", f.ended, c.want)
			}
		})
	}
}

type fixture struct {
	t        *testing.T
	c        *Connector
	clock    *clock.Manual
	ended    int
	own, far []net.Conn
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, clock: clock.NewManual(clock.Hour)}
	f.c = &Connector{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			f.far = append(f.far, far)
			return near, nil
		},
		Ended: func(string) { f.ended++ },
		Now:   f.clock.Now,
	}
	return f
}

func (f *fixture) dial() {
	n, err := f.c.Dial(context.Background(), "tcp", "engine")
	if err != nil {
		f.t.Fatal(err)
	}
	f.own = append(f.own, n)
}

// closeByEngine ends a connection from the far side and lets the near one notice.
func (f *fixture) closeByEngine(i int) {
	f.far[i].Close()
	if _, err := f.own[i].Read(make([]byte, 1)); err == nil {
		f.t.Fatal("read from a closed connection: got no error")
	}
	f.own[i].Close()
}
