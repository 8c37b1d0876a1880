package tracker

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
)

// Report records a load report of an engine that was received at the instant now.
// Reports of unknown endpoints are ignored.
func (t *Tracker) Report(id string, load engineclient.Load, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.rowIndex[id]
	if !ok {
		return
	}
	r := &t.rows[i]
	if now >= r.identityValidFrom {
		r.restartID, r.reportedWarm = load.RestartID, load.Warm
	}
	r.reportedAt, r.reportedLoad = now, load.Running+load.Queued
	if !slices.Equal(r.versions, load.Versions) {
		r.versions = append([]string(nil), load.Versions...)
		t.table.SetVersions(i, t.classIndices(r.versions))
	}
	t.table.Report(i, float64(load.Running+load.Queued), min(load.AsOf, now), now)
}

// ForgetProcess discards the identity of the process that runs at the given
// address until a load report arrives that was certainly measured after now.
// Without the identity the endpoint receives no requests.
func (t *Tracker) ForgetProcess(address string, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.rows {
		if t.rows[i].Address == address && t.rows[i].Service == "" {
			t.rows[i].forgetProcess(now)
			t.updateState(i, now)
		}
	}
}

// RecordCacheEvents records cache events of an endpoint: prompt prefixes that were
// added to its cache or evicted from it. Those of unknown endpoints are ignored.
func (t *Tracker) RecordCacheEvents(id string, events []engineclient.CacheEvent, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.rowIndex[id]
	if !ok {
		return
	}
	for _, e := range events {
		prefixHash := xxhash.Sum64String(e.Prefix)
		if e.Evicted {
			t.table.RecordEvicted(prefixHash, i)
		} else {
			t.table.RecordCached(prefixHash, i, now)
		}
	}
}
