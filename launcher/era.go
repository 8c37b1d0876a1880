package launcher

import (
	"context"
	"encoding/json"
	"strconv"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// eraRecordName is the name of the object in the store that holds the latest era that has
	// settled, among those of the instances, which each instance reads when it starts.
	eraRecordName = "settled-era"
	// eraWriters is the number of instances that write it, the first ones by name.
	eraWriters = 2
)

// eraRecord is the spec of that object.
type eraRecord struct {
	Era int64 `json:"settled_era"`
}

// current reports whether what the store shows may be taken for the present state.
func (l *Launcher) current() bool {
	return l.settler.Settled(l.clock.Now()) && !l.retainers[platform.ConfigKind].Behind()
}

// recordEra writes the present era to the store once it has settled, if it is this instance's
// turn.
func (l *Launcher) recordEra(ctx context.Context, now clock.Millis) {
	era := l.settler.Unrecorded(now)
	if era == 0 || !l.watcher.StoreUp() || l.memberPosition() >= eraWriters ||
		!l.recordingEra.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	due := l.takeTurn(now, eraRecordName+"/"+strconv.FormatInt(era, 10))
	l.mu.Unlock()
	if !due {
		l.recordingEra.Store(false)
		return
	}
	go func() {
		defer l.recordingEra.Store(false)
		ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		defer cancel()
		if err := l.writeInstanceObject(ctx, eraRecordName, eraRecord{Era: era}); err != nil {
			l.logger.LogUnlimited("era_not_recorded", logger.Text("error", err.Error()))
			return
		}
		l.settler.Adopt(era)
		l.logger.LogUnlimited("era_recorded", logger.Number("era", era))
	}()
}

// adoptEraRecord reads the record that the store lists.
func (l *Launcher) adoptEraRecord(o watcher.Object) {
	var r eraRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil || o.Deleted {
		l.logger.Log("instance_ignored", logger.Text("name", o.Name))
		return
	}
	l.settler.Adopt(r.Era)
}
