package connector

import (
	"context"
	"net"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// TestProcessEnded guards against an undetected restart of an engine, after which
// requests would rely on the state of the previous process; and against a restart
// that is assumed because this side, or the engine's idle timeout, closed one of several
// connections.
func TestProcessEnded(t *testing.T) {
	cases := map[string]struct {
		run  func(f *fixture)
		want int // calls of ProcessEnded
	}{
		"closed by this side":    {func(f *fixture) { f.dial(); f.local[0].Close() }, 0},
		"engine closes the last": {func(f *fixture) { f.dial(); f.closeByEngine(0) }, 1},
		"engine closes one of two": {func(f *fixture) {
			f.dial()
			f.dial()
			f.closeByEngine(0)
		}, 0},
		"new connection within the window": {func(f *fixture) {
			f.dial()
			f.dial()
			f.closeByEngine(0)
			f.dial()
		}, 1},
		"new connection after the window": {func(f *fixture) {
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
				t.Errorf("calls of ProcessEnded: got %d, want %d", f.ended, c.want)
			}
		})
	}
}

// fixture is a connector over in-memory connections and a manual clock.
type fixture struct {
	t             *testing.T
	c             *Connector
	clock         *clock.Manual
	ended         int        // calls of ProcessEnded
	local, remote []net.Conn // by order of dialling
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, clock: clock.NewManual(clock.Hour)}
	f.c = &Connector{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			f.remote = append(f.remote, remote)
			return local, nil
		},
		ProcessEnded: func(string) { f.ended++ },
		Now:          f.clock.Now,
	}
	return f
}

func (f *fixture) dial() {
	n, err := f.c.Dial(context.Background(), "tcp", "engine")
	if err != nil {
		f.t.Fatal(err)
	}
	f.local = append(f.local, n)
}

// closeByEngine closes the engine's end of a connection and reads the resulting
// error at the local end.
func (f *fixture) closeByEngine(i int) {
	f.remote[i].Close()
	if _, err := f.local[i].Read(make([]byte, 1)); err == nil {
		f.t.Fatal("read from a closed connection: got no error")
	}
	f.local[i].Close()
}
