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

// Guards against an instance that waits for its turn after its feed has
// failed: it must read the store at once, wherever it stands in the order.
// Found by a hunt (thekkedath-tabs-grown, scale-2, seed 924566556581).
func TestRole(t *testing.T) {
	s := newSite(t)
	p := ports(t, 4)
	l, err := New(s.settings("edge-5", "127.0.0.1", p), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	now := l.started + clock.Minute
	members := func(feeding string) []beater.Member {
		var list []beater.Member
		for i := range 8 {
			name := fmt.Sprint("edge-", i)
			list = append(list, beater.Member{Name: name, DataCentre: "a", Beat: "beat-" + name, Feeds: name == feeding})
		}
		return list
	}
	tests := map[string]struct {
		feeding string
		failed  string
		after   clock.Millis // since the end
		want    watcher.Role
		err     error // nil: relayer.ErrStale
	}{
		"a neighbour feeds":          {"edge-2", "", 0, watcher.Role{Feed: "beat-edge-2"}, nil},
		"nobody feeds, not its turn": {"", "", 0, watcher.Role{}, nil},
		"its feed has failed":        {"edge-2", "beat-edge-2", 1, watcher.Role{Direct: true}, nil},
		"another one feeds":          {"edge-3", "beat-edge-2", 1, watcher.Role{Direct: true}, nil},
		"the store is not reached":   {"edge-3", "beat-edge-2", urgentRead, watcher.Role{Feed: "beat-edge-3"}, nil},
		"the failed one is avoided":  {"edge-2", "beat-edge-2", urgentRead, watcher.Role{}, nil},
		"and tried again":            {"edge-2", "beat-edge-2", avoidFeed, watcher.Role{Feed: "beat-edge-2"}, nil},
		"its feed was closed":        {"edge-3", "beat-edge-2", 1, watcher.Role{Feed: "beat-edge-3"}, relayer.ErrClosed},
		"closed, nobody else feeds":  {"edge-2", "beat-edge-2", 1, watcher.Role{}, relayer.ErrClosed},
	}
	for name, tt := range tests {
		l.urgent, l.feedless = 0, 0
		l.avoided = make(map[string]clock.Millis)
		if tt.failed != "" {
			err := tt.err
			if err == nil {
				err = relayer.ErrStale
			}
			l.endFeed(now, tt.failed, err, members(tt.feeding))
		}
		if got := l.chooseRole(now+tt.after, members(tt.feeding)); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}
