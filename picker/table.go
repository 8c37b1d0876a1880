package picker

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The flags of an endpoint's state. An endpoint without flags is in service.
const (
	StateOut     uint8 = 1 << iota // its data centre is taken out
	StateLeaving                   // it is leaving, or taken out by itself
	StateOpen                      // its circuit breaker is open
	StateCold                      // it takes work only within Permit
)

const (
	wordBits    = 64
	unknownMean = -1 // before the first pick
)

// Table holds the endpoints, one index per endpoint in every slice. It is not
// safe for concurrent use.
type Table struct {
	ID         []string
	DataCentre []uint8
	State      []uint8
	Limit      []int32 // requests that the endpoint runs at once, over all instances
	Permit     []int32 // requests that this instance may have at a cold endpoint
	InFlight   []int32 // requests of this instance at the endpoint

	distance   [][]float32 // ms between data centres
	hash       []uint64    // of the id
	serves     []uint64    // bit set of versions, words per endpoint
	words      int
	byVersion  [][]int32
	reported   []float32 // load of the last report
	reportedAt []clock.Millis
	change     []float32 // requests sent less requests finished by this instance since the report
	mean       []float32 // moving mean of the reported loads by version
	meanLoad   []float32 // moving mean of the estimated loads by version
	hints      hints

	near []int32 // scratch space of a pick
	far  []int32
}

// NewTable returns a table without endpoints for a number of versions, which
// are named by index. Distance holds the milliseconds between data centres, by
// their indices. The table keeps about hintCount hints on cached prefixes.
func NewTable(versions int, distance [][]float32, hintCount int) *Table {
	t := &Table{
		distance: distance, words: (versions + wordBits - 1) / wordBits,
		byVersion: make([][]int32, versions), mean: make([]float32, versions),
		meanLoad: make([]float32, versions), hints: newHints(hintCount),
	}
	for v := range t.mean {
		t.mean[v] = unknownMean
	}
	return t
}

// Add appends an endpoint and returns its index. Its state is StateCold, since
// an endpoint that is not known to be warm counts as cold.
func (t *Table) Add(id string, dataCentre uint8, limit int32, versions []int) int {
	e := len(t.ID)
	t.ID = append(t.ID, id)
	t.DataCentre = append(t.DataCentre, dataCentre)
	t.State = append(t.State, StateCold)
	t.Limit = append(t.Limit, limit)
	t.Permit = append(t.Permit, 0)
	t.InFlight = append(t.InFlight, 0)
	t.hash = append(t.hash, xxhash.Sum64String(id))
	t.serves = append(t.serves, make([]uint64, t.words)...)
	t.reported = append(t.reported, 0)
	t.reportedAt = append(t.reportedAt, 0)
	t.change = append(t.change, 0)
	t.near = append(t.near, 0)
	t.far = append(t.far, 0)
	t.SetVersions(e, versions)
	return e
}

// SetVersions replaces the versions that an endpoint serves.
func (t *Table) SetVersions(e int, versions []int) {
	bits := t.serves[e*t.words : (e+1)*t.words]
	for v, list := range t.byVersion {
		if bits[v/wordBits]&(1<<(v%wordBits)) == 0 {
			continue
		}
		kept := list[:0]
		for _, o := range list {
			if o != int32(e) {
				kept = append(kept, o)
			}
		}
		t.byVersion[v] = kept
	}
	clear(bits)
	for _, v := range versions {
		bit := uint64(1) << (v % wordBits)
		if bits[v/wordBits]&bit == 0 {
			bits[v/wordBits] |= bit
			t.byVersion[v] = append(t.byVersion[v], int32(e))
		}
	}
}

// Serves reports whether endpoint e serves version v.
func (t *Table) Serves(e, v int) bool {
	return t.serves[e*t.words+v/wordBits]&(1<<(v%wordBits)) != 0
}

// Adopt copies state, loads, permits, requests in flight and hints from an older
// table for the endpoints that both hold.
func (t *Table) Adopt(old *Table) {
	index := make(map[string]int, len(old.ID))
	for o, id := range old.ID {
		index[id] = o
	}
	for e, id := range t.ID {
		o, ok := index[id]
		if !ok {
			continue
		}
		t.State[e], t.Permit[e], t.InFlight[e] = old.State[o], old.Permit[o], old.InFlight[o]
		t.reported[e], t.reportedAt[e], t.change[e] = old.reported[o], old.reportedAt[o], old.change[o]
	}
	place := make([]int32, len(old.ID))
	for o := range place {
		place[o] = noEndpoint
	}
	for e, id := range t.ID {
		if o, ok := index[id]; ok {
			place[o] = int32(e)
		}
	}
	t.hints.adopt(&old.hints, place)
}

// Sent counts a request of this instance that starts at e.
func (t *Table) Sent(e int) {
	t.InFlight[e]++
	t.change[e]++
}

// Done counts a request of this instance that ended at e.
func (t *Table) Done(e int) {
	t.InFlight[e]--
	t.change[e]--
}

// Report adopts a load, in requests, that e measured at the instant at, by the
// clock of this instance. Of the
// requests sent since the earlier report, the part that falls after at is kept,
// as if they were sent evenly. Reports that are not newer are ignored.
func (t *Table) Report(e int, load float64, at, now clock.Millis) {
	before := t.reportedAt[e]
	if at <= before || at > now {
		return
	}
	t.change[e] *= float32(now-at) / float32(now-before)
	t.reported[e], t.reportedAt[e] = float32(load), at
}

// Cached notes that e probably holds the prompt prefix with the given hash.
func (t *Table) Cached(prefix uint64, e int, now clock.Millis) {
	t.hints.put(prefix, int32(e), now)
	t.hints.hold(prefix, t.hash[e])
}

// Evicted notes that e no longer holds the prefix.
func (t *Table) Evicted(prefix uint64, e int) {
	t.hints.remove(prefix, int32(e))
	t.hints.drop(prefix, t.hash[e])
}

// estimate returns the load of e at the instant now. The report counts less
// with its age, down to nothing after 1/perMilli, in favour of the mean of the
// version's reports, which is negative if it is unknown. Weight is the part that
// the report has. The comparisons replace the built-in max, whose handling of
// NaN took most of the time of a pick.
func (t *Table) estimate(e int32, mean float32, now clock.Millis, perMilli float32) (load, weight float32) {
	weight = 1 - float32(now-t.reportedAt[e])*perMilli
	if weight < 0 {
		weight = 0
	}
	load = t.reported[e] + t.change[e]
	if mean >= 0 {
		load -= (1 - weight) * (t.reported[e] - mean)
	}
	if own := float32(t.InFlight[e]); load < own {
		load = own
	}
	return load, weight
}

// learn moves the means of a version towards the load of a sampled endpoint.
func (t *Table) learn(version int, e int32, load, weight float32) {
	t.meanLoad[version] += meanStep * (load - t.meanLoad[version])
	switch mean := t.mean[version]; {
	case mean < 0 && weight > 0:
		t.mean[version] = t.reported[e]
	case mean >= 0:
		t.mean[version] += meanStep * weight * (t.reported[e] - mean)
	}
}

// inService reports whether e may take work at all.
func (t *Table) inService(e int32) bool {
	state := t.State[e]
	return state == 0 || state == StateCold && t.Permit[e] > 0
}

// room reports whether e may take one more request, given its estimated load
// rounded to whole requests.
func (t *Table) room(e int32, load float32) bool {
	limit := t.Limit[e]
	if t.State[e]&StateCold != 0 {
		return t.InFlight[e] < min(limit, t.Permit[e])
	}
	return t.InFlight[e] < limit && load < float32(limit)-0.5
}
