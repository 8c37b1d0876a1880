package launcher

import (
	"maps"

	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/retainer"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// evacuationColdTime is added to the longest warm-up to give the time during which
// the endpoints of a data centre count as cold after its evacuation ends. They
// may have become cold without requests.
const evacuationColdTime = 2500 * clock.Millis(1)

// newKinds returns the followed kinds, with a retainer for each of them. What the
// retainers pass on also updates the hub while this instance reads the store. The
// configuration is the primary kind, since the age of its confirmation decides
// whether keys are accepted.
func (l *Launcher) newKinds() ([]watcher.Kind, map[string]*retainer.Retainer) {
	kinds := []watcher.Kind{
		{Name: platform.ConfigKind, Wait: configWait, Replace: l.replaceConfig, Change: l.changeConfig},
		{
			Name: platform.EndpointKind, Wait: defaultWait, Spacing: endpointSpacing,
			Replace: l.replaceEndpoints, Change: l.changeEndpoint,
		},
		{Name: platform.RolloutKind, Wait: defaultWait, Replace: l.replaceRollouts, Change: l.changeRollout},
		{Name: platform.EvacuationKind, Wait: defaultWait, Replace: l.replaceEvacuations, Change: l.changeEvacuation},
	}
	judges := map[string]func(known, shown watcher.Object) retainer.Verdict{
		platform.ConfigKind: platform.JudgeConfig, platform.EndpointKind: platform.JudgeEndpoint,
		platform.RolloutKind: platform.JudgeRollout,
	}
	retainers := make(map[string]*retainer.Retainer)
	for i, k := range kinds {
		r := retainer.New(retainer.Options{
			Clock: l.clock, Judge: judges[k.Name],
			Replace: func(list []watcher.Object) {
				k.Replace(list)
				if l.hub.IsReading() {
					l.hub.Replace(k.Name, list)
				}
			},
			Change: func(o watcher.Object) {
				k.Change(o)
				if l.hub.IsReading() {
					l.hub.Change(k.Name, o)
				}
			},
		})
		retainers[k.Name] = r
		kinds[i].Replace, kinds[i].Change = r.Replace, r.Change
	}
	return kinds, retainers
}

// releaseRetained passes on what the store shows of objects whose known state no
// longer counts.
func (l *Launcher) releaseRetained() {
	for _, r := range l.retainers {
		r.Release()
	}
}

func (l *Launcher) replaceConfig(list []watcher.Object) {
	for _, o := range list {
		l.changeConfig(o)
	}
}

// changeConfig applies a newer configuration. An older or unreadable one is
// ignored.
func (l *Launcher) changeConfig(o watcher.Object) {
	if o.Name != platform.ConfigName || o.Deleted {
		return
	}
	at := watcher.Position{Era: o.Era, Revision: o.Revision}
	if present := l.tableAt.Load(); present != nil && at.Era == present.Era && at.Revision <= present.Revision {
		return
	}
	t, err := platform.DecodeConfig(o)
	if err != nil {
		l.logger.LogUnlimited("configuration_unreadable", logger.Number("revision", o.Revision),
			logger.Text("error", err.Error()))
		return
	}
	if old := l.table.Load(); old != nil && t.Version() < old.Version() {
		l.logger.LogUnlimited("older_configuration_ignored", logger.Number("version", t.Version()),
			logger.Number("present", old.Version()))
		return
	}
	l.table.Store(t)
	l.tableAt.Store(&at)
	l.meter.SetGauge("configuration_version", float64(t.Version()))
	l.logger.LogUnlimited("configuration_adopted", logger.Number("version", t.Version()),
		logger.Number("revision", o.Revision), logger.Number("era", o.Era))
}

func (l *Launcher) replaceEndpoints(list []watcher.Object) {
	var endpoints []cataloger.Endpoint
	for _, o := range list {
		e, err := platform.DecodeEndpoint(o)
		if err != nil || o.Deleted {
			l.logIgnoredEndpoint(o, err)
			continue
		}
		endpoints = append(endpoints, e)
	}
	now := l.clock.Now()
	l.catalog.Replace(now, endpoints)
	l.endpointsAt.Store(int64(now))
	l.endpointsListed.Store(true)
	l.logger.LogUnlimited("endpoints_listed", logger.Number("count", len(endpoints)))
}

func (l *Launcher) logIgnoredEndpoint(o watcher.Object, err error) {
	text := "deleted"
	if err != nil {
		text = err.Error()
	}
	l.logger.Log("endpoint_ignored", logger.Text("endpoint", o.Name), logger.Number("revision", o.Revision),
		logger.Text("reason", text))
}

func (l *Launcher) changeEndpoint(o watcher.Object) {
	now := l.clock.Now()
	l.endpointsAt.Store(int64(now))
	e, err := platform.DecodeEndpoint(o)
	if o.Deleted {
		l.catalog.Remove(now, o.Name)
		l.logger.Log("endpoint_gone", logger.Text("endpoint", o.Name), logger.Number("revision", o.Revision))
		return
	}
	if err != nil {
		// The object no longer describes a usable endpoint, so an endpoint with
		// its name must receive no requests.
		e.ID, e.Draining = o.Name, true
		l.catalog.Put(now, e)
		l.logIgnoredEndpoint(o, err)
		return
	}
	l.catalog.Put(now, e)
	phase := "ready"
	if e.Draining {
		phase = "leaving"
	}
	l.logger.Log("endpoint_changed", logger.Text("endpoint", e.ID), logger.Text("phase", phase),
		logger.Text("version", e.Version), logger.Number("warmup_ms", e.WarmupLeft),
		logger.Number("revision", o.Revision))
}

func (l *Launcher) replaceEvacuations(list []watcher.Object) {
	next := make(map[string]bool)
	for _, o := range list {
		if !o.Deleted {
			next[o.Name] = true
		}
	}
	l.setEvacuations(next)
}

func (l *Launcher) changeEvacuation(o watcher.Object) {
	next := maps.Clone(*l.evacuated.Load())
	if o.Deleted {
		delete(next, o.Name)
	} else {
		next[o.Name] = true
	}
	l.setEvacuations(next)
}

func (l *Launcher) setEvacuations(next map[string]bool) {
	old := *l.evacuated.Load()
	for name := range old {
		if next[name] {
			continue
		}
		count := l.catalog.MarkCold(l.clock.Now()+l.longestWarmup()+evacuationColdTime, func(s *cataloger.State) bool {
			return s.DataCentre == name
		})
		l.logger.LogUnlimited("data_centre_taken_back", logger.Text("data_centre", name), logger.Number("cold", count))
	}
	for name := range next {
		if !old[name] {
			l.logger.LogUnlimited("data_centre_evacuated", logger.Text("data_centre", name))
		}
	}
	l.evacuated.Store(&next)
}

// longestWarmup returns the longest warm-up of the configured services, or 0 if
// there is no configuration yet.
func (l *Launcher) longestWarmup() clock.Millis {
	t := l.table.Load()
	if t == nil {
		return 0
	}
	return t.LongestWarmup()
}

func (l *Launcher) storeLost(err error) {
	now := l.clock.Now()
	l.storeUpSince.Store(0)
	l.catalog.StoreLost(now)
	l.logger.LogUnlimited("store_lost", logger.Text("error", err.Error()),
		logger.Number("confirmed_ms_ago", now-l.watcher.Confirmed()))
}

// eraChanged prepares for the objects of an era of the store: the known ones count
// until their authors have had time to write them again, and what this program has
// written may be gone.
func (l *Launcher) eraChanged(before, era int64) {
	l.hub.SetEra(era)
	l.settler.Begin(l.clock.Now(), era)
	if before == 0 {
		return
	}
	now := l.clock.Now()
	for _, r := range l.retainers {
		r.BeginEra(era)
	}
	l.storeUpSince.Store(int64(now))
	l.catalog.StoreRegainedAt(now)
	l.hub.StoreRegained(now)
	l.storedHolds.Store(nil)
	select {
	case l.republish <- struct{}{}:
	default:
	}
	l.meter.CountEvent("store_era_changed")
	l.logger.LogUnlimited("store_era", logger.Number("before", before), logger.Number("era", era))
}

func (l *Launcher) storeRegained(outage clock.Millis) {
	now := l.clock.Now()
	l.storeUpSince.Store(int64(now))
	l.catalog.StoreRegained(now)
	if outage > 0 && l.table.Load() != nil {
		l.hub.StoreRegained(now)
	}
	l.logger.LogUnlimited("store_regained", logger.Number("away_ms", outage))
}
