package picker

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The flags of an endpoint's state. An endpoint without flags is in service and
// warm.
const (
	StateOut         uint8 = 1 << iota // an operator took the endpoint or its data centre out of service
	StateLeaving                       // the instance list announces that the endpoint leaves
	StateBreakerOpen                   // its circuit breaker is open, or it is excluded for the moment
	StateCold                          // it accepts requests only up to Permit
)

const (
	wordBits    = 64
	unknownMean = -1 // value of a moving mean before its first sample
)

// Table holds the state of the endpoints as slices with one element per endpoint.
// Loads and limits are in concurrent requests. A Table is not safe for concurrent
// use.
type Table struct {
	ID         []string
	DataCentre []uint8 // index of the data centre
	State      []uint8 // set of State flags
	Limit      []int32 // concurrency limit of the endpoint for all instances together
	Permit     []int32 // concurrency limit of this instance at the endpoint while it is cold
	InFlight   []int32 // requests that this instance has at the endpoint

	distance         [][]float32    // ms between data centres
	hash             []uint64       // of the endpoint ID
	serves           []uint64       // bit sets of the versions served, wordsPerEndpoint words each
	wordsPerEndpoint int            // length of a bit set in 64-bit words
	byVersion        [][]int32      // indices of the endpoints that serve a version
	reported         []float32      // load in the last report
	reportedAt       []clock.Millis // instant at which that load was measured
	netSent          []float32      // requests sent less requests finished by this instance since the report
	meanReported     []float32      // moving mean of the reported loads by version
	meanEstimated    []float32      // moving mean of the estimated loads by version
	hints            hints

	nearScratch []int32 // scratch space of Pick
	farScratch  []int32
}

// NewTable returns a table without endpoints for a number of versions, which are
// identified by their index. The one-way distances between data centres are in ms,
// by their indices. The table keeps about hintCount hints on cached prefixes.
func NewTable(versions int, distance [][]float32, hintCount int) *Table {
	t := &Table{
		distance: distance, wordsPerEndpoint: (versions + wordBits - 1) / wordBits,
		byVersion: make([][]int32, versions), meanReported: make([]float32, versions),
		meanEstimated: make([]float32, versions), hints: newHints(hintCount),
	}
	for v := range t.meanReported {
		t.meanReported[v] = unknownMean
	}
	return t
}

// Add appends an endpoint and returns its index. Its initial state is StateCold,
// since an endpoint that is not known to be warm counts as cold.
func (t *Table) Add(id string, dataCentre uint8, limit int32, versions []int) int {
	e := len(t.ID)
	t.ID = append(t.ID, id)
	t.DataCentre = append(t.DataCentre, dataCentre)
	t.State = append(t.State, StateCold)
	t.Limit = append(t.Limit, limit)
	t.Permit = append(t.Permit, 0)
	t.InFlight = append(t.InFlight, 0)
	t.hash = append(t.hash, xxhash.Sum64String(id))
	t.serves = append(t.serves, make([]uint64, t.wordsPerEndpoint)...)
	t.reported = append(t.reported, 0)
	t.reportedAt = append(t.reportedAt, 0)
	t.netSent = append(t.netSent, 0)
	t.nearScratch = append(t.nearScratch, 0)
	t.farScratch = append(t.farScratch, 0)
	t.SetVersions(e, versions)
	return e
}

// SetVersions replaces the versions that an endpoint serves.
func (t *Table) SetVersions(e int, versions []int) {
	bits := t.serves[e*t.wordsPerEndpoint : (e+1)*t.wordsPerEndpoint]
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
	return t.serves[e*t.wordsPerEndpoint+v/wordBits]&(1<<(v%wordBits)) != 0
}

// CopyState copies the states, loads, permits, requests in flight and hints of the
// endpoints that are in both tables from an older table.
func (t *Table) CopyState(old *Table) {
	oldIndex := make(map[string]int, len(old.ID))
	for o, id := range old.ID {
		oldIndex[id] = o
	}
	for e, id := range t.ID {
		o, ok := oldIndex[id]
		if !ok {
			continue
		}
		t.State[e], t.Permit[e], t.InFlight[e] = old.State[o], old.Permit[o], old.InFlight[o]
		t.reported[e], t.reportedAt[e], t.netSent[e] = old.reported[o], old.reportedAt[o], old.netSent[o]
	}
	newIndex := make([]int32, len(old.ID))
	for o := range newIndex {
		newIndex[o] = noEndpoint
	}
	for e, id := range t.ID {
		if o, ok := oldIndex[id]; ok {
			newIndex[o] = int32(e)
		}
	}
	t.hints.copyFrom(&old.hints, newIndex)
}

// Sent counts a request that this instance sends to e.
func (t *Table) Sent(e int) {
	t.InFlight[e]++
	t.netSent[e]++
}

// Done counts the end of a request that this instance sent to e.
func (t *Table) Done(e int) {
	t.InFlight[e]--
	t.netSent[e]--
}

// Report records a load, in requests, that e measured at the instant at by the
// clock of this instance. Of the requests sent since the previous report, the
// part sent after at is kept, on the assumption that they were sent evenly.
// Reports that are not newer than the previous one are ignored.
func (t *Table) Report(e int, load float64, at, now clock.Millis) {
	previousAt := t.reportedAt[e]
	if at <= previousAt || at > now {
		return
	}
	t.netSent[e] *= float32(now-at) / float32(now-previousAt)
	t.reported[e], t.reportedAt[e] = float32(load), at
}

// RecordCached records that the cache of e probably holds the prompt prefix with
// the given hash.
func (t *Table) RecordCached(prefix uint64, e int, now clock.Millis) {
	t.hints.put(prefix, int32(e), now)
	t.hints.addHolder(prefix, t.hash[e])
}

// RecordEvicted records that the cache of e no longer holds the prefix.
func (t *Table) RecordEvicted(prefix uint64, e int) {
	t.hints.remove(prefix, int32(e))
	t.hints.removeHolder(prefix, t.hash[e])
}

// estimate returns the estimated load of e at the instant now. The weight of the
// last report falls linearly with its age and is 0 after 1/decayPerMilli ms; the
// mean of the version's reports has the remaining weight, unless it is negative,
// which means that it is unknown. Weight is that of the report. The comparisons
// replace the built-in max, whose handling of NaN took most of the time of a pick.
func (t *Table) estimate(e int32, mean float32, now clock.Millis, decayPerMilli float32) (load, weight float32) {
	weight = 1 - float32(now-t.reportedAt[e])*decayPerMilli
	if weight < 0 {
		weight = 0
	}
	load = t.reported[e] + t.netSent[e]
	if mean >= 0 {
		load -= (1 - weight) * (t.reported[e] - mean)
	}
	if own := float32(t.InFlight[e]); load < own {
		load = own
	}
	return load, weight
}

// updateMeans updates the moving means of a version with the load of a sampled
// endpoint. A report counts by its weight, so that old ones change little.
func (t *Table) updateMeans(version int, e int32, load, weight float32) {
	t.meanEstimated[version] += meanGain * (load - t.meanEstimated[version])
	switch mean := t.meanReported[version]; {
	case mean < 0 && weight > 0:
		t.meanReported[version] = t.reported[e]
	case mean >= 0:
		t.meanReported[version] += meanGain * weight * (t.reported[e] - mean)
	}
}

// inService reports whether the state of e permits requests.
func (t *Table) inService(e int32) bool {
	state := t.State[e]
	return state == 0 || state == StateCold && t.Permit[e] > 0
}

// hasCapacity reports whether e may receive one more request, given its estimated
// load, which is rounded to whole requests.
func (t *Table) hasCapacity(e int32, load float32) bool {
	limit := t.Limit[e]
	if t.State[e]&StateCold != 0 {
		return t.InFlight[e] < min(limit, t.Permit[e])
	}
	return t.InFlight[e] < limit && load < float32(limit)-0.5
}
