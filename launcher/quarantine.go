package launcher

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/quarantiner"
)

// updateQuarantine tells the other instances of new observations about prompts
// that crash endpoints and decides which parts are held.
func (l *Launcher) updateQuarantine(now clock.Millis) {
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
	l.meter.SetGauge("held_parts", float64(len(l.quarantine.Held(now))))
}

// heldParts returns the parts of prompts that are held, or nil if there are none.
func (l *Launcher) heldParts(now clock.Millis) *quarantiner.Report {
	holds := l.quarantine.Held(now)
	if len(holds) == 0 {
		return nil
	}
	return &quarantiner.Report{Holds: holds}
}
