package launcher

import (
	"fmt"
	"io"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/relayer"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// Guards against an instance that receives a change too late after its feed has
// failed. It may follow only a feed that was announced since the failure, and
// otherwise reads the store at its turn. First seen in a randomised fault test
// (thekkedath-tabs-grown, scale-2, seed 924566556581).
func TestRole(t *testing.T) {
	s := newSite(t)
	p := freePorts(t, 4)
	l, err := New(s.settings("edge-5", "127.0.0.1", p), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	now := l.startedAt + clock.Minute
	members := func(feeding string, age clock.Millis) []heartbeater.Member {
		var list []heartbeater.Member
		for i := range 8 {
			name := fmt.Sprint("edge-", i)
			list = append(list, heartbeater.Member{
				Name: name, DataCentre: "a", PeerAddress: "beat-" + name, Feeds: name == feeding, Age: int64(age),
			})
		}
		return list
	}
	turn := l.readTurn(4) // edge-2 is avoided
	tests := map[string]struct {
		feeding string
		failed  string
		after   clock.Millis // time since the end of the feed
		age     clock.Millis // time since the neighbours' last messages
		want    watcher.Role
		err     error // nil: relayer.ErrStale
	}{
		"neighbour feeds":           {"edge-2", "", 0, 100, watcher.Role{Feed: "beat-edge-2"}, nil},
		"no feed, not its turn":     {"", "", 0, 100, watcher.Role{}, nil},
		"feed failed":               {"edge-2", "beat-edge-2", 1, 100, watcher.Role{}, nil},
		"feed failed, its turn":     {"edge-2", "beat-edge-2", turn, 1000, watcher.Role{Direct: true}, nil},
		"other feed before failure": {"edge-3", "beat-edge-2", turn, turn + 1, watcher.Role{Direct: true}, nil},
		"other feed since failure":  {"edge-3", "beat-edge-2", 50, 20, watcher.Role{Feed: "beat-edge-3"}, nil},
		"store not reached": {
			"edge-3", "beat-edge-2", directReadPeriod, 3000, watcher.Role{Feed: "beat-edge-3"}, nil,
		},
		"failed feed is avoided":     {"edge-2", "beat-edge-2", directReadPeriod, 100, watcher.Role{}, nil},
		"failed feed is tried again": {"edge-2", "beat-edge-2", avoidPeriod, 100, watcher.Role{Feed: "beat-edge-2"}, nil},
		"feed closed, other feed":    {"edge-3", "beat-edge-2", 1, 100, watcher.Role{Feed: "beat-edge-3"}, relayer.ErrClosed},
		"feed closed, no other feed": {"edge-2", "beat-edge-2", 1, 100, watcher.Role{}, relayer.ErrClosed},
	}
	for name, tt := range tests {
		l.directUntil, l.noFeedSince = 0, 0
		l.avoidedAt = make(map[string]clock.Millis)
		if tt.failed != "" {
			err := tt.err
			if err == nil {
				err = relayer.ErrStale
			}
			l.handleFeedEnd(now, tt.failed, err, members(tt.feeding, 0))
		}
		if got := l.chooseRole(now+tt.after, members(tt.feeding, tt.age)); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}

// Guards against delays after which it is too late for a configuration to apply
// in time, and against all instances of a large data centre reading the store at
// once.
func TestReadTurn(t *testing.T) {
	s := newSite(t)
	l, err := New(s.settings("edge-5", "127.0.0.1", freePorts(t, 4)), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, bound := range []clock.Millis{2000, 3000, 6000} {
		b := *l.bounds.Load()
		b.ConfigApplyMs = float64(bound)
		l.bounds.Store(&b)
		atOnce := 0
		for position := range 46 {
			turn := l.readTurn(position)
			if turn == 0 {
				atOnce++
			}
			if got := l.feedTimeout() + turn + directReadTime; got > bound {
				t.Errorf("bound %d, position %d: read after %d ms", bound, position, got)
			}
		}
		if atOnce > firstReaders {
			t.Errorf("bound %d: %d instances read at once, want %d at most", bound, atOnce, firstReaders)
		}
	}
}
