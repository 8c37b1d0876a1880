package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// heldPartsName is the name of the object in the store that holds the held
	// parts, among those of the instances, which each instance reads when it starts.
	heldPartsName = "held-parts"
	// heldPartsWriters is the number of instances that write it, the first ones by
	// name, in case one of them is cut off from the store.
	heldPartsWriters = 2
	// heldPartsReadFor is the time after its start in which an instance uses the
	// object. Later it knows more from the others.
	heldPartsReadFor = 10 * clock.Second
	// heldPartsMaxAge is the age from which an entry of the object is not used.
	heldPartsMaxAge = clock.Hour
)

// storedHold is a held part in the store.
type storedHold struct {
	Part        string `json:"part"`
	SinceUnixMS int64  `json:"since_unix_ms"`
	Trials      int    `json:"trials"`
}

// heldPartsSpec is the spec of the object with the held parts.
type heldPartsSpec struct {
	HeldParts []storedHold `json:"held_parts"`
}

// updateQuarantine tells the other instances of new observations about prompts
// that crash endpoints and decides what is held. Endpoints that a held request has ended
// are no evidence against their version.
func (l *Launcher) updateQuarantine(ctx context.Context, now clock.Millis) {
	if report := l.quarantine.Outgoing(now); !report.Empty() {
		l.heartbeater.Broadcast(heartbeater.Message{Quarantine: &report})
	}
	for _, v := range l.quarantine.Decide(now) {
		if !v.Held {
			l.logger.LogUnlimited("part_released", logger.Text("part", v.Part))
			continue
		}
		l.logger.LogUnlimited("part_held", logger.Text("part", v.Part), logger.Number("crashes", v.Crashes),
			logger.Number("requests", v.Requests))
	}
	for _, end := range l.quarantine.Explained() {
		l.stager.Excuse(end.Endpoint, end.At)
	}
	holds := l.quarantine.Held(now)
	l.meter.SetGauge("held_parts", float64(len(holds)))
	if l.watcher.StoreUp() && l.storingHolds.CompareAndSwap(false, true) {
		go func() {
			defer l.storingHolds.Store(false)
			l.storeHeldParts(ctx, now, holds)
		}()
	}
}

// heldParts returns the parts of prompts that are held, or nil if there are none.
func (l *Launcher) heldParts(now clock.Millis) *quarantiner.Report {
	holds := l.quarantine.Held(now)
	if len(holds) == 0 {
		return nil
	}
	return &quarantiner.Report{Holds: holds}
}

// storeHeldParts writes the held parts to the store if it is this instance's turn
// and they have changed since it last wrote them: if all instances restart at the
// same time, none of them remembers.
func (l *Launcher) storeHeldParts(ctx context.Context, now clock.Millis, holds []quarantiner.Hold) {
	slices.SortFunc(holds, func(x, y quarantiner.Hold) int { return strings.Compare(x.Part, y.Part) })
	spec := heldPartsSpec{HeldParts: make([]storedHold, 0, len(holds))}
	for _, h := range holds {
		spec.HeldParts = append(spec.HeldParts, storedHold{
			Part: h.Part, SinceUnixMS: time.Now().UnixMilli() - int64(h.Age), Trials: h.Trials,
		})
	}
	key := spec.key()
	if stored := l.storedHolds.Load(); stored == nil && key == "" || stored != nil && key == *stored ||
		l.memberPosition() >= heldPartsWriters {
		return
	}
	l.mu.Lock()
	due := l.takeTurn(now, heldPartsName+"/"+key)
	l.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	if err := l.writeInstanceObject(ctx, heldPartsName, spec); err != nil {
		l.logger.LogUnlimited("held_parts_not_stored", logger.Text("error", err.Error()))
		return
	}
	l.storedHolds.Store(&key)
	l.mu.Lock()
	delete(l.dueAt, heldPartsName+"/"+key)
	l.mu.Unlock()
}

// key returns the held parts and their trials as text.
func (s heldPartsSpec) key() string {
	var b strings.Builder
	for _, h := range s.HeldParts {
		fmt.Fprintf(&b, "%s %d,", h.Part, h.Trials)
	}
	return b.String()
}

// adoptStoredHolds holds the parts that the store lists, if this instance has just
// started.
func (l *Launcher) adoptStoredHolds(o watcher.Object) {
	now := l.clock.Now()
	if o.Deleted || now-l.startedAt > heldPartsReadFor {
		return
	}
	var spec heldPartsSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		l.logger.LogUnlimited("held_parts_unreadable", logger.Text("error", err.Error()))
		return
	}
	var report quarantiner.Report
	for _, h := range spec.HeldParts {
		age := max(0, clock.Millis(time.Now().UnixMilli()-h.SinceUnixMS))
		if age < heldPartsMaxAge {
			report.Holds = append(report.Holds, quarantiner.Hold{Part: h.Part, Age: age, CrashAge: age, Trials: h.Trials})
		}
	}
	l.quarantine.Merge(now, report)
	key := spec.key()
	l.storedHolds.Store(&key)
	l.logger.LogUnlimited("held_parts_read", logger.Number("count", len(report.Holds)))
}

// memberPosition returns the position of this instance by name among the live ones.
func (l *Launcher) memberPosition() int {
	return slices.IndexFunc(l.heartbeater.Members(), func(m heartbeater.Member) bool {
		return m.Name == l.settings.Instance
	})
}
