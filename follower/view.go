package follower

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/gossiper"
)

// view is what the rules need of the membership.
type view struct {
	alive, known int
	reachable    []string                     // data centres with an alive member, sorted
	live         map[string][]gossiper.Member // alive members by data centre, best watcher first
	watcher      bool
}

// weight is the rendezvous hash of a member as watcher of its data centre.
func weight(dataCentre, id string) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + id)
}

// look computes the view of an instance from the member table.
func look(members []gossiper.Member, self string) view {
	v := view{live: map[string][]gossiper.Member{}}
	for _, m := range members {
		if m.State == gossiper.Leaving && m.ID != self {
			continue
		}
		v.known++
		if m.State == gossiper.Alive || m.ID == self {
			v.alive++
			v.live[m.DataCentre] = append(v.live[m.DataCentre], m)
		}
	}
	for dc, live := range v.live {
		v.reachable = append(v.reachable, dc)
		weights := make(map[string]uint64, len(live))
		for _, m := range live {
			weights[m.ID] = weight(dc, m.ID)
		}
		sort.Slice(live, func(i, j int) bool { return weights[live[i].ID] > weights[live[j].ID] })
		for _, m := range live[:min(watchersEach, len(live))] {
			v.watcher = v.watcher || m.ID == self
		}
	}
	sort.Strings(v.reachable)
	return v
}

// same reports whether two tables are the same slice.
func same(a, b []gossiper.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// find returns the member with the given id.
func find(members []gossiper.Member, id string) (gossiper.Member, bool) {
	i := sort.Search(len(members), func(i int) bool { return members[i].ID >= id })
	if i == len(members) || members[i].ID != id {
		return gossiper.Member{}, false
	}
	return members[i], true
}
