package launcher

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/throttler"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// writeTurn is the delay between the turns of two instances, ordered by name,
	// for a write that one of them has to make.
	writeTurn = 600 * clock.Millis(1)
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * clock.Millis(1)
	// settingsCheckInterval is the time between two checks of the settings file.
	settingsCheckInterval = 2 * clock.Second
)

// memberListDelays are the times after the start at which the list of instances
// is read from the store. Afterwards it is read every memberListInterval.
// Heartbeats announce instances that are missing from the list.
var memberListDelays = []clock.Millis{700, 2500, 6000}

const memberListInterval = 20 * clock.Second

// republishSpread is the time over which the instances check after the return of the
// store from an older copy whether it has lost their objects.
const republishSpread = 2 * clock.Second

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}

// runPeriodicTasks runs the periodic tasks every taskInterval until ctx ends.
func (l *Launcher) runPeriodicTasks(ctx context.Context) {
	var sweptAt, settingsAt clock.Millis
	seen := settingsStamp(l.path)
	t := time.NewTicker(taskInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := l.clock.Now()
		l.heartbeater.SetReady(l.ready(), l.stopping.Load())
		l.announceFeeding()
		l.releaseRetained()
		l.catalog.Expire(now)
		if uses := l.stager.SessionUses(now); len(uses) > 0 {
			l.heartbeater.Broadcast(heartbeater.Message{SessionUses: uses})
		}
		if l.stager.TakeUrgent() && l.heartbeater.IsSmallFleet() {
			l.heartbeater.Broadcast(heartbeater.Message{Rollouts: l.stager.Reports(now), RolloutSums: l.stager.Sums(now)})
		}
		l.updateQuarantine(ctx, now)
		l.decideRollouts(ctx, now)
		l.recordEra(ctx, now)
		if now-sweptAt >= sweepInterval {
			sweptAt = now
			l.dispatcher.Sweep()
			l.reportSpeeds(now)
		}
		if now-settingsAt >= settingsCheckInterval {
			settingsAt = now
			if stamp := settingsStamp(l.path); stamp != seen {
				seen = stamp
				l.reload("file_changed")
			}
		}
	}
}

// settingsStamp returns the modification time and size of the settings file, or
// zeros if the file cannot be read, which the next reload reports.
func settingsStamp(path string) [2]int64 {
	info, err := os.Stat(path)
	if err != nil {
		return [2]int64{}
	}
	return [2]int64{info.ModTime().UnixNano(), info.Size()}
}

// reload applies the bounds of changed settings. Invalid settings are logged and
// ignored. Changed addresses take effect only after a restart.
func (l *Launcher) reload(cause string) {
	s, err := platform.LoadSettings(l.path)
	if err != nil {
		l.logger.LogUnlimited("settings_kept", logger.Text("cause", cause), logger.Text("error", err.Error()))
		return
	}
	l.bounds.Store(&s.Bounds)
	restart := s.Listen != l.settings.Listen || s.Store != l.settings.Store
	l.logger.LogUnlimited("settings_reloaded", logger.Text("cause", cause),
		logger.Text("needs_restart", map[bool]string{true: "yes", false: "no"}[restart]))
}

// once calls f unless once has been called with this name before.
func (l *Launcher) once(now clock.Millis, name string, f func()) {
	l.mu.Lock()
	_, done := l.dueAt[name]
	l.dueAt[name] = now
	l.mu.Unlock()
	if !done {
		f()
	}
}

// takeTurn reports whether it is this instance's turn for the write named task.
// The first turn comes writeTurn times the instance's position by name after the
// first call, and the next one after the turns of all instances, in case the
// write has failed. The lock is held.
func (l *Launcher) takeTurn(now clock.Millis, task string) bool {
	at, ok := l.dueAt[task]
	if !ok {
		at = now + clock.Millis(l.memberPosition())*writeTurn
		l.dueAt[task] = at
	}
	if now < at {
		return false
	}
	l.dueAt[task] = now + clock.Millis(max(2, len(l.heartbeater.Members())))*writeTurn
	return true
}

// instanceSpec is the spec of an instance's object in the store.
type instanceSpec struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Front      string `json:"front"`
	Beat       string `json:"beat"`
}

func (l *Launcher) self() heartbeater.Member {
	s := l.settings
	return heartbeater.Member{
		Name: s.Instance, DataCentre: s.DataCentre, FrontendAddress: s.Listen.Front, PeerAddress: s.PeerAddress(),
		Incarnation: time.Now().UnixMilli(),
	}
}

// maintainMembership publishes this instance in the store and reads the list of
// the others periodically until ctx ends.
func (l *Launcher) maintainMembership(ctx context.Context) {
	start := l.clock.Now()
	published := false
	for i := 0; ctx.Err() == nil; i++ {
		at := start + memberListDelays[min(i, len(memberListDelays)-1)]
		if i >= len(memberListDelays) {
			at += clock.Millis(i-len(memberListDelays)+1) * memberListInterval
		}
		if i == 0 {
			// A restarted instance is still in the list, unless its addresses have
			// changed.
			published = !l.settings.FirstStart && l.readMembers(ctx) || l.publishInstance(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.republish:
			published = false
			sleep(ctx, clock.Millis(rand.Float64()*float64(republishSpread)))
		case <-time.After((at - l.clock.Now()).Duration()):
		}
		if !l.readMembers(ctx) && !published {
			published = l.publishInstance(ctx)
		}
	}
}

// spec returns this instance's object in the store.
func (l *Launcher) spec() instanceSpec {
	self := l.self()
	return instanceSpec{
		Name: self.Name, DataCentre: self.DataCentre, Front: self.FrontendAddress, Beat: self.PeerAddress,
	}
}

func (l *Launcher) publishInstance(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	spec := l.spec()
	err := l.writeInstanceObject(ctx, spec.Name, spec)
	if err != nil {
		l.logger.LogUnlimited("instance_not_published", logger.Text("error", err.Error()))
	}
	return err == nil
}

// writeInstanceObject creates an object of the kind of the instances, or replaces its spec.
func (l *Launcher) writeInstanceObject(ctx context.Context, name string, spec any) error {
	err := l.store.Create(ctx, platform.InstanceKind, name, spec)
	if errors.Is(err, watcher.ErrConflict) {
		err = l.store.Replace(ctx, platform.InstanceKind, name, spec)
	}
	return err
}

// readMembers adds the instances in the store to the known ones. It reports
// whether this instance is among them, as publishInstance would write it.
func (l *Launcher) readMembers(ctx context.Context) (published bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	list, err := l.store.ListStale(ctx, platform.InstanceKind)
	if err != nil {
		l.logger.LogUnlimited("instances_not_listed", logger.Text("error", err.Error()))
		return false
	}
	self := l.spec()
	for _, o := range list {
		switch o.Name {
		case heldPartsName:
			l.adoptStoredHolds(o)
			continue
		case eraRecordName:
			l.adoptEraRecord(o)
			continue
		}
		var m instanceSpec
		if err := json.Unmarshal(o.Spec, &m); err != nil || m.Name != o.Name || o.Deleted {
			l.logger.Log("instance_ignored", logger.Text("name", o.Name))
			continue
		}
		published = published || m == self
		l.heartbeater.AddMember(heartbeater.Member{
			Name: m.Name, DataCentre: m.DataCentre, FrontendAddress: m.Front, PeerAddress: m.Beat,
		})
	}
	l.heartbeater.Announce()
	return published
}

func (l *Launcher) fillMessage(m *heartbeater.Message) {
	now := l.clock.Now()
	m.Rollouts, m.RolloutSums = l.stager.Reports(now), l.stager.Sums(now)
	m.Rates = l.serviceRates()
	m.Demands = l.demands()
	m.Quarantine = l.heldParts(now)
	m.Limits, m.KnownLimits = l.capper.Reports(now, false), l.capper.Reports(now, true)
	l.dispatcher.Loads(func(endpoint string, work float64, running int, delay float64) {
		m.Loads = append(m.Loads, heartbeater.Load{
			Endpoint: matcher.Hash("endpoint", endpoint), Work: float32(work), Running: running,
			Delay: float32(delay),
		})
	})
	l.addSpeeds(now, m)
	if since := clock.Millis(l.storeUpSince.Load()); since > 0 {
		m.StoreUpFor = int64(now - since)
	}
}

// serviceRates returns the rates of each service that this instance reports to
// the others.
func (l *Launcher) serviceRates() []heartbeater.Rate {
	byService := make(map[string]heartbeater.Rate)
	l.dispatcher.Rates(func(service string, base, demand, long float64) {
		byService[service] = heartbeater.Rate{Base: float32(base), Demand: float32(demand), Long: float32(long)}
	})
	l.budget.Counts(l.clock.Now(), func(service string, requests, borrowed float64) {
		r := byService[service]
		r.Requests, r.Borrowed = float32(requests), float32(borrowed)
		byService[service] = r
	})
	list := make([]heartbeater.Rate, 0, len(byService))
	for service, r := range byService {
		r.Service = matcher.Hash("service", service)
		list = append(list, r)
	}
	return list
}

// peerRates returns the rates for a service that the other instances report.
func (l *Launcher) peerRates(service string) throttler.PeerRates {
	sum, instances, _ := l.heartbeater.Rates(matcher.Hash("service", service))
	return throttler.PeerRates{
		Base: float64(sum.Base), Demand: float64(sum.Demand), Long: float64(sum.Long), Instances: instances,
	}
}

// peerRetries returns the use of a service's retry budget that the other
// instances report.
func (l *Launcher) peerRetries(service string) budgeter.PeerCounts {
	sum, instances, age := l.heartbeater.Rates(matcher.Hash("service", service))
	return budgeter.PeerCounts{
		Requests: float64(sum.Requests), Borrowed: float64(sum.Borrowed), Instances: instances, Age: age,
	}
}

func (l *Launcher) receiveMessage(m *heartbeater.Message) {
	if m.StoreUpFor > 0 {
		now := l.clock.Now()
		l.catalog.StoreSeenUp(now, now-clock.Millis(m.StoreUpFor))
	}
	if len(m.SessionUses) > 0 {
		l.stager.MergeSessionUses(l.clock.Now(), m.SessionUses)
	}
	if m.Quarantine != nil {
		l.quarantine.Merge(l.clock.Now(), *m.Quarantine)
	}
	if len(m.Limits)+len(m.KnownLimits) > 0 {
		l.capper.Merge(l.clock.Now(), append(m.Limits, m.KnownLimits...))
	}
	if m.From.DataCentre == l.settings.DataCentre {
		l.mergeSpeeds(m)
	}
	if len(m.Rollouts) > 0 {
		key := m.From.Name + "/" + time.UnixMilli(m.From.Incarnation).UTC().Format(time.RFC3339Nano)
		l.stager.Merge(l.clock.Now(), stager.Source{Instance: key, DataCentre: m.From.DataCentre}, m.Rollouts)
	}
	if len(m.RolloutSums) > 0 && m.From.DataCentre != l.settings.DataCentre {
		l.stager.MergeSums(l.clock.Now(), m.From.DataCentre, m.RolloutSums)
	}
}

func (l *Launcher) memberChanged(name string, alive bool, age clock.Millis) {
	event := "instance_silent"
	if alive {
		event = "instance_alive"
	}
	l.logger.LogUnlimited(event, logger.Text("instance", name), logger.Number("age_ms", age))
}

func (l *Launcher) heartbeatFailed(err error) {
	l.meter.CountEvent("heartbeat_failed")
	l.logger.Log("heartbeat_failed", logger.Text("error", err.Error()))
}
