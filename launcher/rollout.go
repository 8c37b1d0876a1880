package launcher

import (
	"context"
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// storedRollout is a roll-out order with the name and revision of its object in
// the store, which are needed to write its status.
type storedRollout struct {
	name     string
	era      int64
	revision int64
	order    stager.Rollout
	lost     bool // the store has lost the phase, which must be written again
}

// withPhaseOf returns r with the final phase that the same order had, if the store
// has lost it: it has come back from an older copy, or has not got the phase again
// since then.
func (r storedRollout) withPhaseOf(before storedRollout) storedRollout {
	final := func(p stager.Phase) bool { return p == stager.Completed || p == stager.RolledBack }
	if before.order.Target != r.order.Target || !final(before.order.Phase) || final(r.order.Phase) ||
		!before.lost && before.era >= r.era {
		return r
	}
	r.order.Phase, r.lost = before.order.Phase, true
	return r
}

// isPlain reports whether the configuration names a service that has no engines.
func (l *Launcher) isPlain(service string) bool {
	t := l.table.Load()
	if t == nil {
		return false
	}
	s := t.Service(service)
	return s != nil && s.CacheTokens == 0
}

func (l *Launcher) replaceRollouts(list []watcher.Object) {
	listed := make(map[string]bool)
	for _, o := range list {
		listed[o.Name] = true
		l.changeRollout(o)
	}
	l.mu.Lock()
	var removed []string
	for service, r := range l.rollouts {
		if !listed[r.name] {
			delete(l.rollouts, service)
			removed = append(removed, service)
		}
	}
	l.mu.Unlock()
	for _, service := range removed {
		l.stager.Remove(service)
	}
}

func (l *Launcher) changeRollout(o watcher.Object) {
	if o.Deleted {
		l.mu.Lock()
		service := ""
		for s, r := range l.rollouts {
			if r.name == o.Name {
				service = s
			}
		}
		delete(l.rollouts, service)
		l.mu.Unlock()
		l.stager.Remove(service)
		l.logger.LogUnlimited("rollout_withdrawn", logger.Text("service", service))
		return
	}
	order, err := platform.DecodeRollout(o)
	if err != nil {
		l.logger.LogUnlimited("rollout_unreadable", logger.Text("name", o.Name), logger.Text("error", err.Error()))
		return
	}
	l.mu.Lock()
	r := storedRollout{name: o.Name, era: o.Era, revision: o.Revision, order: order}.withPhaseOf(l.rollouts[order.Service])
	l.rollouts[order.Service] = r
	l.mu.Unlock()
	order = r.order
	l.stager.Set(l.clock.Now(), order)
	l.logger.LogUnlimited("rollout_seen", logger.Text("service", order.Service), logger.Text("target", order.Target),
		logger.Text("phase", string(order.Phase)), logger.Number("revision", o.Revision))
}

// decideRollouts writes the phase of roll-outs that start or end. Every instance
// decides by itself; staggered turns make one of them write the phase.
func (l *Launcher) decideRollouts(ctx context.Context, now clock.Millis) {
	if !l.watcher.StoreUp() {
		return
	}
	verdicts := make(map[string]stager.Phase)
	for _, v := range l.stager.Decide(now) {
		verdicts[v.Service] = v.Phase
		l.once(now, "verdict/"+v.Service+"/"+v.Target+"/"+string(v.Phase), func() {
			l.logger.LogUnlimited("rollout_judged", logger.Text("service", v.Service), logger.Text("target", v.Target),
				logger.Text("phase", string(v.Phase)), logger.Number("new_served", v.New.Served),
				logger.Number("new_bad", v.New.Failures), logger.Number("new_broken", v.New.Breaks),
				logger.Number("loaded_served", v.LoadedServed), logger.Number("loaded_bad", v.LoadedFailed),
				logger.Number("old_served", v.Old.Served),
				logger.Number("old_bad", v.Old.Failures), logger.Number("old_broken", v.Old.Breaks),
				logger.Number("compared", v.Slow.Compared),
				logger.Number("slow", v.Slow.Slow), logger.Number("slow_expected", v.Slow.Expected),
				logger.Number("slow_score", v.Slow.Score), logger.Number("shift", v.Slow.Shift),
				logger.Number("shift_score", v.Slow.ShiftScore))
		})
	}
	l.mu.Lock()
	var writes []storedRollout
	for service, r := range l.rollouts {
		phase, decided := verdicts[service]
		switch {
		case decided:
			r.order.Phase = phase
		case r.order.Phase == "":
			r.order.Phase = stager.Active
		case r.lost:
		default:
			continue
		}
		if r.era != 0 && r.era < l.watcher.Era() {
			continue // its revision says nothing about the object in the present era
		}
		if l.takeTurn(now, fmt.Sprintf("%s/%s/%s/%d", service, r.order.Target, r.order.Phase, r.era)) {
			writes = append(writes, r)
		}
	}
	l.mu.Unlock()
	for _, r := range writes {
		l.writePhase(ctx, r)
	}
}

func (l *Launcher) writePhase(ctx context.Context, r storedRollout) {
	status, err := platform.EncodeRolloutStatus(r.order.Target, r.order.Phase)
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, writeTimeout.Duration())
		defer cancel()
		err = l.store.SetStatus(ctx, platform.RolloutKind, r.name, r.revision, status)
	}
	outcome := "written"
	if err != nil {
		outcome = err.Error()
	}
	l.logger.LogUnlimited("rollout_phase", logger.Text("service", r.order.Service), logger.Text("target", r.order.Target),
		logger.Text("phase", string(r.order.Phase)), logger.Number("revision", r.revision),
		logger.Text("outcome", outcome))
}
