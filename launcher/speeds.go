package launcher

import (
	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
)

// addSpeeds adds to a message what the neighbours have not been told yet about the
// speeds of endpoints.
func (l *Launcher) addSpeeds(now clock.Millis, m *heartbeater.Message) {
	positions := make(map[uint64]int, len(m.Loads))
	for i := range m.Loads {
		positions[m.Loads[i].Endpoint] = i
	}
	l.calibrator.Reports(now, func(r calibrator.Report) {
		i, ok := positions[r.Key]
		if !ok {
			i = len(m.Loads)
			m.Loads = append(m.Loads, heartbeater.Load{Endpoint: r.Key})
		}
		m.Loads[i].Ratios, m.Loads[i].Samples, m.Loads[i].Long = float32(r.Sum), r.Count, float32(r.Long)
	})
}

// mergeSpeeds takes over what a neighbour has learnt about the speeds of endpoints.
func (l *Launcher) mergeSpeeds(m *heartbeater.Message) {
	now := l.clock.Now()
	for _, e := range m.Loads {
		if e.Samples > 0 || e.Long > 0 {
			l.calibrator.Merge(now, calibrator.Report{
				Key: e.Endpoint, Sum: float64(e.Ratios), Count: e.Samples, Long: float64(e.Long),
			})
		}
	}
}

// reportSpeeds logs the endpoints that have become slow, or are no longer, and updates
// the gauges.
func (l *Launcher) reportSpeeds(now clock.Millis) {
	changes, largest, slow := l.calibrator.Changes(now)
	for _, c := range changes {
		l.meter.CountEvent("endpoint_speed_changed")
		l.logger.Log("endpoint_speed", logger.Text("endpoint", c.Endpoint), logger.Number("factor", c.Speed.Factor),
			logger.Number("samples", c.Speed.Samples), logger.Number("limit", c.Speed.Limit))
	}
	l.meter.SetGauge("endpoint_factor_largest", largest)
	l.meter.SetGauge("endpoints_slow", float64(slow))
}
