package placer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Desire returns a placement of versions on endpoints. Load is the share of the
// traffic of each version that may be placed; every one of them gets at least
// one copy while slots last, the others in proportion to their load. Copies stay
// where they are in the former placement as far as possible; new ones go to the
// endpoint with the most free slots, ties by rendezvous hash. Versions that are
// not in load, such as withdrawn ones, disappear.
func Desire(endpoints []Endpoint, load map[string]float64, former map[string][]string) map[string][]string {
	free := map[string]int{}
	var slots int
	var sum float64
	for _, e := range endpoints {
		free[e.ID] = e.Slots
		slots += e.Slots
	}
	versions := make([]string, 0, len(load))
	for v, l := range load {
		versions = append(versions, v)
		sum += l
	}
	slices.SortFunc(versions, func(a, b string) int {
		if load[a] != load[b] {
			if load[a] > load[b] {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	placed := map[string][]string{}
	place := func(v string, want int) {
		for n := count(placed, v); n < want; n++ {
			id := best(endpoints, free, placed, former, v)
			if id == "" {
				return
			}
			placed[id] = append(placed[id], v)
			free[id]--
		}
	}
	for _, v := range versions {
		place(v, 1)
	}
	for _, v := range versions {
		if sum > 0 {
			place(v, min(int(math.Round(load[v]/sum*float64(slots))), len(endpoints)))
		}
	}
	for _, p := range placed {
		slices.Sort(p)
	}
	return placed
}

// best returns the endpoint for another copy of a version, or "".
func best(
	endpoints []Endpoint, free map[string]int, placed, former map[string][]string, version string,
) string {
	var id string
	var kept bool
	var hash uint64
	for _, e := range endpoints {
		if free[e.ID] == 0 || slices.Contains(placed[e.ID], version) {
			continue
		}
		k := slices.Contains(former[e.ID], version)
		h := xxhash.Sum64String(e.ID + "\x00" + version)
		better := id == "" || k && !kept
		if !better && k == kept {
			better = free[e.ID] > free[id] || free[e.ID] == free[id] && h > hash
		}
		if better {
			id, kept, hash = e.ID, k, h
		}
	}
	return id
}

func count(placed map[string][]string, version string) int {
	var n int
	for _, versions := range placed {
		if slices.Contains(versions, version) {
			n++
		}
	}
	return n
}
