package placer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ComputePlacement computes a placement, which maps endpoint ids to the sorted
// versions that the endpoints are to hold. The argument shares holds the share of the
// traffic of each version that may be placed. Each of them gets one copy as long as
// there are free slots; the remaining slots are divided in proportion to the shares.
// Copies stay where the previous placement has them as far as possible; a new copy
// goes to the endpoint with the most free slots, and among equal ones to that with
// the highest rendezvous hash. Versions that are not in shares, such as withdrawn
// ones, are not placed.
func ComputePlacement(
	endpoints []Endpoint, shares map[string]float64, previous map[string][]string,
) map[string][]string {
	free := map[string]int{}
	var slots int
	var sum float64
	for _, e := range endpoints {
		free[e.ID] = e.Slots
		slots += e.Slots
	}
	versions := make([]string, 0, len(shares))
	for v, s := range shares {
		versions = append(versions, v)
		sum += s
	}
	slices.SortFunc(versions, func(a, b string) int {
		if shares[a] != shares[b] {
			if shares[a] > shares[b] {
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
		for n := countCopies(placed, v); n < want; n++ {
			id := bestEndpoint(endpoints, free, placed, previous, v)
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
			place(v, min(int(math.Round(shares[v]/sum*float64(slots))), len(endpoints)))
		}
	}
	for _, p := range placed {
		slices.Sort(p)
	}
	return placed
}

// bestEndpoint returns the id of the endpoint for another copy of a version, or ""
// if no endpoint without a copy has a free slot.
func bestEndpoint(
	endpoints []Endpoint, free map[string]int, placed, previous map[string][]string, version string,
) string {
	var id string
	var keepsCopy bool
	var hash uint64
	for _, e := range endpoints {
		if free[e.ID] == 0 || slices.Contains(placed[e.ID], version) {
			continue
		}
		keeps := slices.Contains(previous[e.ID], version)
		h := xxhash.Sum64String(e.ID + "\x00" + version)
		better := id == "" || keeps && !keepsCopy
		if !better && keeps == keepsCopy {
			better = free[e.ID] > free[id] || free[e.ID] == free[id] && h > hash
		}
		if better {
			id, keepsCopy, hash = e.ID, keeps, h
		}
	}
	return id
}

// countCopies returns the number of endpoints that are to hold the version.
func countCopies(placed map[string][]string, version string) int {
	var n int
	for _, versions := range placed {
		if slices.Contains(versions, version) {
			n++
		}
	}
	return n
}
