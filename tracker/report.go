package tracker

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
)

// Report adopts a load report of an engine, received at the instant now.
func (t *Tracker) Report(id string, l engineclient.Load, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[id]
	if !ok {
		return
	}
	r := &t.rows[i]
	if now >= r.trustFrom {
		r.restart, r.warm = l.RestartID, l.Warm
	}
	r.loadAt, r.load = now, l.Running+l.Queued
	if !slices.Equal(r.versions, l.Versions) {
		r.versions = append([]string(nil), l.Versions...)
		t.table.SetVersions(i, t.classIndices(r.versions))
	}
	t.table.Report(i, float64(l.Running+l.Queued), min(l.AsOf, now), now)
}

// Distrust forgets which process runs at the endpoint with the given address,
// until a report shows it that cannot be older than now.
func (t *Tracker) Distrust(address string, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.rows {
		if t.rows[i].Address == address && t.rows[i].Service == "" {
			t.rows[i].distrust(now)
			t.refresh(i, now)
		}
	}
}

// Cached notes that the endpoint's cache holds or lost a prompt prefix.
func (t *Tracker) Cached(id string, events []engineclient.CacheEvent, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[id]
	if !ok {
		return
	}
	for _, e := range events {
		h := xxhash.Sum64String(e.Prefix)
		if e.Evicted {
			t.table.Evicted(h, i)
		} else {
			t.table.Cached(h, i, now)
		}
	}
}
