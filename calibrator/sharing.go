package calibrator

import (
	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// longInterval is the time between two reports of an endpoint's long-term value,
	// which give a restarted neighbour its factors back.
	longInterval = 5 * clock.Second
	// adoptedWeight is the number of samples as which a neighbour's long-term value
	// counts where this instance has none. It rests on many of the neighbour's.
	adoptedWeight = 32
	// maxReported bounds the samples of one report, which an instance cannot exceed
	// between two heartbeats.
	maxReported = 1000
	// maxEndpoints is the number of endpoints from which on those that only neighbours
	// know are not recorded.
	maxEndpoints = 4096
)

// Report is what an instance tells its neighbours of an endpoint.
type Report struct {
	Key   uint64  // hash of the endpoint's id
	Sum   float64 // of the ratios of the samples since the last report
	Count int     // number of these samples
	Long  float64 // long-term mean of the ratios; 0: not reported this time
}

// Reports calls each with what the neighbours have not been told yet about the
// endpoints of this data centre.
func (c *Calibrator) Reports(now clock.Millis, each func(Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.endpoints {
		if !p.Local {
			continue
		}
		r := Report{Key: key, Sum: p.newSum, Count: p.newCount}
		if p.observed(now) && now-p.longReportedAt >= longInterval {
			r.Long, p.longReportedAt = p.long.mean(), now
		}
		p.newSum, p.newCount = 0, 0
		if r.Count > 0 || r.Long > 0 {
			each(r)
		}
	}
}

// Merge adds what a neighbour has reported.
func (c *Calibrator) Merge(now clock.Millis, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean := r.Sum / float64(max(1, r.Count))
	hasSamples := r.Count > 0 && r.Count <= maxReported && mean >= minRatio && mean <= maxRatio
	hasLong := r.Long >= minRatio && r.Long <= maxRatio
	if !hasSamples && !hasLong {
		return
	}
	p := c.endpoints[r.Key]
	if p == nil {
		if len(c.endpoints) >= maxEndpoints {
			return
		}
		p = &endpoint{}
		c.endpoints[r.Key] = p
	}
	if hasLong && p.long.weight < minSamples {
		p.long.add(now, longHalfLife, adoptedWeight*r.Long, adoptedWeight)
		p.adoptedAt, p.adopted = now, true
	}
	if hasSamples {
		p.add(now, r.Sum, r.Count)
	}
}
