package launcher

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/beater"
	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/recorder"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/throttler"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// dutyTurn is the head start of each instance over the next one for a
	// write that one of them has to make.
	dutyTurn = 600 * clock.Millis(1)
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * clock.Millis(1)
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = 2 * clock.Second
)

// joinDelays are the instants after the start at which the list of instances
// is read from the store; later on it is read every joinInterval. Instances
// that are not in the list yet are learnt from others' messages.
var joinDelays = []clock.Millis{700, 2500, 6000}

const joinInterval = 20 * clock.Second

// rolloutDuty is an order of the store with what is needed to write its status.
type rolloutDuty struct {
	name     string
	revision int64
	order    stager.Order
}

func (l *Launcher) replaceRollouts(list []watcher.Object) {
	listed := make(map[string]bool)
	for _, o := range list {
		listed[o.Name] = true
		l.changeRollout(o)
	}
	l.mu.Lock()
	var gone []string
	for service, d := range l.rollouts {
		if !listed[d.name] {
			delete(l.rollouts, service)
			gone = append(gone, service)
		}
	}
	l.mu.Unlock()
	for _, service := range gone {
		l.stager.Remove(service)
	}
}

func (l *Launcher) changeRollout(o watcher.Object) {
	if o.Deleted {
		l.mu.Lock()
		service := ""
		for s, d := range l.rollouts {
			if d.name == o.Name {
				service = s
			}
		}
		delete(l.rollouts, service)
		l.mu.Unlock()
		l.stager.Remove(service)
		l.recorder.Keep("rollout_withdrawn", recorder.Text("service", service))
		return
	}
	order, err := platform.DecodeRollout(o)
	if err != nil {
		l.recorder.Keep("rollout_unreadable", recorder.Text("name", o.Name), recorder.Text("error", err.Error()))
		return
	}
	l.mu.Lock()
	l.rollouts[order.Service] = rolloutDuty{name: o.Name, revision: o.Revision, order: order}
	l.mu.Unlock()
	l.stager.Set(l.clock.Now(), order)
	l.recorder.Keep("rollout_seen", recorder.Text("service", order.Service), recorder.Text("target", order.Target),
		recorder.Text("phase", string(order.Phase)), recorder.Number("revision", o.Revision))
}

// duties does what is due until ctx ends.
func (l *Launcher) duties(ctx context.Context) {
	var sweptAt, settingsAt clock.Millis
	seen := settingsStamp(l.path)
	t := time.NewTicker(dutyInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := l.clock.Now()
		l.beater.SetReady(l.ready(), l.stopping.Load())
		l.tellFeeds()
		l.catalog.Expire(now)
		if marks := l.stager.Marks(now); len(marks) > 0 {
			l.beater.Broadcast(beater.Message{Marks: marks})
		}
		l.judgeRollouts(ctx, now)
		if now-sweptAt >= sweepInterval {
			sweptAt = now
			l.dispatcher.Sweep()
		}
		if now-settingsAt >= settingsInterval {
			settingsAt = now
			if stamp := settingsStamp(l.path); stamp != seen {
				seen = stamp
				l.reload("file_changed")
			}
		}
	}
}

// settingsStamp changes with the settings file; it is zero if the file cannot
// be read, which the next reload reports.
func settingsStamp(path string) [2]int64 {
	info, err := os.Stat(path)
	if err != nil {
		return [2]int64{}
	}
	return [2]int64{info.ModTime().UnixNano(), info.Size()}
}

// reload takes changed settings. Invalid ones change nothing.
func (l *Launcher) reload(cause string) {
	s, err := platform.LoadSettings(l.path)
	if err != nil {
		l.recorder.Keep("settings_kept", recorder.Text("cause", cause), recorder.Text("error", err.Error()))
		return
	}
	l.bounds.Store(&s.Bounds)
	restart := s.Listen != l.settings.Listen || s.Store != l.settings.Store
	l.recorder.Keep("settings_reloaded", recorder.Text("cause", cause),
		recorder.Text("needs_restart", map[bool]string{true: "yes", false: "no"}[restart]))
}

// judgeRollouts writes the phase of roll-outs that begin or end. Every
// instance sees the need; they take turns so that one of them writes.
func (l *Launcher) judgeRollouts(ctx context.Context, now clock.Millis) {
	if !l.watcher.Up() {
		return
	}
	verdicts := make(map[string]stager.Phase)
	for _, v := range l.stager.Decide(now) {
		verdicts[v.Service] = v.Phase
		l.once(now, "verdict/"+v.Service+"/"+v.Target+"/"+string(v.Phase), func() {
			l.recorder.Keep("rollout_judged", recorder.Text("service", v.Service), recorder.Text("target", v.Target),
				recorder.Text("phase", string(v.Phase)), recorder.Number("new_served", v.New.Served),
				recorder.Number("new_bad", v.New.Bad), recorder.Number("old_served", v.Old.Served),
				recorder.Number("old_bad", v.Old.Bad))
		})
	}
	l.mu.Lock()
	var writes []rolloutDuty
	for service, d := range l.rollouts {
		phase, judged := verdicts[service]
		switch {
		case judged:
			d.order.Phase = phase
		case d.order.Phase == "":
			d.order.Phase = stager.Active
		default:
			continue
		}
		if l.turn(now, service+"/"+d.order.Target+"/"+string(d.order.Phase)) {
			writes = append(writes, d)
		}
	}
	l.mu.Unlock()
	for _, d := range writes {
		l.writePhase(ctx, d)
	}
}

// once calls f for the first time that a name is given.
func (l *Launcher) once(now clock.Millis, name string, f func()) {
	l.mu.Lock()
	_, done := l.due[name]
	l.due[name] = now
	l.mu.Unlock()
	if !done {
		f()
	}
}

// turn reports whether it is this instance's turn for a duty. The lock is held.
func (l *Launcher) turn(now clock.Millis, duty string) bool {
	at, ok := l.due[duty]
	if !ok {
		position := 0
		for i, m := range l.beater.Members() {
			if m.Name == l.settings.Instance {
				position = i
			}
		}
		at = now + clock.Millis(position)*dutyTurn
		l.due[duty] = at
	}
	if now < at {
		return false
	}
	l.due[duty] = now + clock.Millis(max(2, len(l.beater.Members())))*dutyTurn
	return true
}

func (l *Launcher) writePhase(ctx context.Context, d rolloutDuty) {
	status, err := platform.EncodeRolloutStatus(d.order.Target, d.order.Phase)
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, writeTimeout.Duration())
		defer cancel()
		err = l.store.SetStatus(ctx, platform.RolloutKind, d.name, d.revision, status)
	}
	outcome := "written"
	if err != nil {
		outcome = err.Error()
	}
	l.recorder.Keep("rollout_phase", recorder.Text("service", d.order.Service), recorder.Text("target", d.order.Target),
		recorder.Text("phase", string(d.order.Phase)), recorder.Number("revision", d.revision),
		recorder.Text("outcome", outcome))
}

// instance is our own object in the store.
type instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Front      string `json:"front"`
	Beat       string `json:"beat"`
}

func (l *Launcher) self() beater.Member {
	s := l.settings
	return beater.Member{
		Name: s.Instance, DataCentre: s.DataCentre, Front: s.Listen.Front, Beat: s.BeatAddress(),
		Incarnation: time.Now().UnixMilli(),
	}
}

// joinMembers makes this instance known in the store and learns of others.
func (l *Launcher) joinMembers(ctx context.Context) {
	start := l.clock.Now()
	known := false
	for i := 0; ctx.Err() == nil; i++ {
		at := start + joinDelays[min(i, len(joinDelays)-1)]
		if i >= len(joinDelays) {
			at += clock.Millis(i-len(joinDelays)+1) * joinInterval
		}
		if i == 0 {
			if !l.settings.FirstStart {
				l.learnMembers(ctx)
			}
			known = l.publish(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After((at - l.clock.Now()).Duration()):
		}
		if !known {
			known = l.publish(ctx)
		}
		l.learnMembers(ctx)
	}
}

func (l *Launcher) publish(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	self := l.self()
	spec := instance{Name: self.Name, DataCentre: self.DataCentre, Front: self.Front, Beat: self.Beat}
	err := l.store.Create(ctx, platform.InstanceKind, self.Name, spec)
	if errors.Is(err, watcher.ErrConflict) {
		err = l.store.Replace(ctx, platform.InstanceKind, self.Name, spec)
	}
	if err != nil {
		l.recorder.Keep("instance_not_published", recorder.Text("error", err.Error()))
	}
	return err == nil
}

func (l *Launcher) learnMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	list, err := l.store.ListStale(ctx, platform.InstanceKind)
	if err != nil {
		l.recorder.Keep("instances_not_listed", recorder.Text("error", err.Error()))
		return
	}
	for _, o := range list {
		var m instance
		if err := json.Unmarshal(o.Spec, &m); err != nil || m.Name != o.Name || o.Deleted {
			l.recorder.Line("instance_ignored", recorder.Text("name", o.Name))
			continue
		}
		l.beater.Learn(beater.Member{Name: m.Name, DataCentre: m.DataCentre, Front: m.Front, Beat: m.Beat})
	}
	l.beater.Announce()
}

func (l *Launcher) fill(m *beater.Message) {
	m.Rollouts = l.stager.Reports(l.clock.Now())
	m.Rates = l.rates()
	l.dispatcher.Loads(func(endpoint string, work float64, running int, delay float64) {
		m.Loads = append(m.Loads, beater.Load{
			Endpoint: matcher.Hash("endpoint", endpoint), Work: float32(work), Running: running,
			Delay: float32(delay),
		})
	})
}

// rates returns what this instance tells others of each service.
func (l *Launcher) rates() []beater.Rate {
	byService := make(map[string]beater.Rate)
	l.dispatcher.Rates(func(service string, base, demand float64) {
		byService[service] = beater.Rate{Base: float32(base), Demand: float32(demand)}
	})
	l.budget.Counts(l.clock.Now(), func(service string, requests, borrowed float64) {
		r := byService[service]
		r.Requests, r.Borrowed = float32(requests), float32(borrowed)
		byService[service] = r
	})
	list := make([]beater.Rate, 0, len(byService))
	for service, r := range byService {
		r.Service = matcher.Hash("service", service)
		list = append(list, r)
	}
	return list
}

// peerRates returns what the neighbours have told of their work for a service.
func (l *Launcher) peerRates(service string) throttler.Others {
	sum, instances, _ := l.beater.Rates(matcher.Hash("service", service))
	return throttler.Others{Base: float64(sum.Base), Demand: float64(sum.Demand), Instances: instances}
}

// peerRepeats returns what the neighbours have told of the retry budget of a
// service.
func (l *Launcher) peerRepeats(service string) budgeter.Others {
	sum, instances, age := l.beater.Rates(matcher.Hash("service", service))
	return budgeter.Others{
		Requests: float64(sum.Requests), Borrowed: float64(sum.Borrowed), Instances: instances, Age: age,
	}
}

func (l *Launcher) heard(m *beater.Message) {
	if len(m.Marks) > 0 {
		l.stager.MergeMarks(l.clock.Now(), m.Marks)
	}
	if len(m.Rollouts) > 0 {
		key := m.From.Name + "/" + time.UnixMilli(m.From.Incarnation).UTC().Format(time.RFC3339Nano)
		l.stager.Merge(l.clock.Now(), key, m.Rollouts)
	}
}

func (l *Launcher) memberChanged(name string, alive bool, age clock.Millis) {
	event := "instance_silent"
	if alive {
		event = "instance_alive"
	}
	l.recorder.Keep(event, recorder.Text("instance", name), recorder.Number("age_ms", age))
}

func (l *Launcher) beatFailed(err error) {
	l.meter.Event("heartbeat_failed")
	l.recorder.Line("heartbeat_failed", recorder.Text("error", err.Error()))
}
