package launcher

import (
	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
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
