package follower

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/gossiper"
)

// view is the part of the membership on which freshness, polls and hints depend.
type view struct {
	aliveCount, knownCount int
	aliveDataCentres       []string                     // those with an alive member, sorted
	aliveMembers           map[string][]gossiper.Member // by data centre, in descending order of rendezvous weight
	isWatcher              bool
}

// rendezvousWeight is the rendezvous hash by which a data centre elects its
// watchers.
func rendezvousWeight(dataCentre, id string) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + id)
}

// newView computes the view of the instance with the id self from the member table.
func newView(members []gossiper.Member, self string) view {
	v := view{aliveMembers: map[string][]gossiper.Member{}}
	for _, m := range members {
		if m.State == gossiper.Leaving && m.ID != self {
			continue
		}
		v.knownCount++
		if m.State == gossiper.Alive || m.ID == self {
			v.aliveCount++
			v.aliveMembers[m.DataCentre] = append(v.aliveMembers[m.DataCentre], m)
		}
	}
	for dc, alive := range v.aliveMembers {
		v.aliveDataCentres = append(v.aliveDataCentres, dc)
		weights := make(map[string]uint64, len(alive))
		for _, m := range alive {
			weights[m.ID] = rendezvousWeight(dc, m.ID)
		}
		sort.Slice(alive, func(i, j int) bool { return weights[alive[i].ID] > weights[alive[j].ID] })
		for _, m := range alive[:min(watchersPerDataCentre, len(alive))] {
			v.isWatcher = v.isWatcher || m.ID == self
		}
	}
	sort.Strings(v.aliveDataCentres)
	return v
}

// sameTable reports whether two member tables are the same slice, so that the view
// need not be computed again.
func sameTable(a, b []gossiper.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// findMember returns the member with the given id; members are sorted by id.
func findMember(members []gossiper.Member, id string) (gossiper.Member, bool) {
	i := sort.Search(len(members), func(i int) bool { return members[i].ID >= id })
	if i == len(members) || members[i].ID != id {
		return gossiper.Member{}, false
	}
	return members[i], true
}
