package launcher

import (
	"fmt"
	"io"
	"testing"

	"rosemaryarch.example/rosemaryarch/beater"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/relayer"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// Guards against an instance that learns too late of a change after its feed
// has failed: it may follow only what was heard since then, and reads the store
// at its turn. Found by a hunt (thekkedath-tabs-grown, scale-2, seed
// 924566556581).
func TestRole(t *testing.T) {
	s := newSite(t)
	p := ports(t, 4)
	l, err := New(s.settings("edge-5", "127.0.0.1", p), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	now := l.started + clock.Minute
	members := func(feeding string, age clock.Millis) []beater.Member {
		var list []beater.Member
		for i := range 8 {
			name := fmt.Sprint("edge-", i)
			list = append(list, beater.Member{
				Name: name, DataCentre: "a", Beat: "beat-" + name, Feeds: name == feeding, Age: int64(age),
			})
		}
		return list
	}
	turn := l.readTurn(4) // edge-2 is avoided
	tests := map[string]struct {
		feeding string
		failed  string
		after   clock.Millis // since the end
		age     clock.Millis // of what is known of the neighbours
		want    watcher.Role
		err     error // nil: relayer.ErrStale
	}{
		"a neighbour feeds":          {"edge-2", "", 0, 100, watcher.Role{Feed: "beat-edge-2"}, nil},
		"nobody feeds, not its turn": {"", "", 0, 100, watcher.Role{}, nil},
		"its feed has failed":        {"edge-2", "beat-edge-2", 1, 100, watcher.Role{}, nil},
		"its turn":                   {"edge-2", "beat-edge-2", turn, 1000, watcher.Role{Direct: true}, nil},
		"another one fed before":     {"edge-3", "beat-edge-2", turn, turn + 1, watcher.Role{Direct: true}, nil},
		"another one feeds since":    {"edge-3", "beat-edge-2", 50, 20, watcher.Role{Feed: "beat-edge-3"}, nil},
		"the store is not reached":   {"edge-3", "beat-edge-2", urgentRead, 3000, watcher.Role{Feed: "beat-edge-3"}, nil},
		"the failed one is avoided":  {"edge-2", "beat-edge-2", urgentRead, 100, watcher.Role{}, nil},
		"and tried again":            {"edge-2", "beat-edge-2", avoidFeed, 100, watcher.Role{Feed: "beat-edge-2"}, nil},
		"its feed was closed":        {"edge-3", "beat-edge-2", 1, 100, watcher.Role{Feed: "beat-edge-3"}, relayer.ErrClosed},
		"closed, nobody else feeds":  {"edge-2", "beat-edge-2", 1, 100, watcher.Role{}, relayer.ErrClosed},
	}
	for name, tt := range tests {
		l.urgent, l.feedless = 0, 0
		l.avoided = make(map[string]clock.Millis)
		if tt.failed != "" {
			err := tt.err
			if err == nil {
				err = relayer.ErrStale
			}
			l.endFeed(now, tt.failed, err, members(tt.feeding, 0))
		}
		if got := l.chooseRole(now+tt.after, members(tt.feeding, tt.age)); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}

// Guards against turns that end after a configuration has to be in force, and
// against all instances of a large data centre reading the store at once.
func TestReadTurn(t *testing.T) {
	s := newSite(t)
	l, err := New(s.settings("edge-5", "127.0.0.1", ports(t, 4)), io.Discard)
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
			if got := l.feedBound() + turn + directTime; got > bound {
				t.Errorf("bound %d, position %d: read after %d ms", bound, position, got)
			}
		}
		if atOnce > firstReaders {
			t.Errorf("bound %d: %d instances read at once, want %d at most", bound, atOnce, firstReaders)
		}
	}
}
