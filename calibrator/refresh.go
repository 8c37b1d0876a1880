package calibrator

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// slowFrom is the factor from which an endpoint is reported as slow, until its
	// factor falls below notSlow.
	slowFrom = 1.5
	notSlow  = 1.25
	// minTrust is the trust in an endpoint's latest samples from which they count for
	// the median of the service at present.
	minTrust = 0.2
)

// refresh computes the speeds of a service's endpoints. The lock is held.
func (c *Calibrator) refresh(now clock.Millis, s *service) {
	if s.fresh && now-s.refreshedAt < refreshInterval {
		return
	}
	s.fresh, s.refreshedAt = true, now
	var longs, shorts []float64
	for _, p := range s.endpoints {
		p.knee.update(now, p.Slots)
		if p.sampled(now) {
			longs = append(longs, p.long.mean())
		}
		if p.short.trust(now, shortHalfLife) >= minTrust {
			shorts = append(shorts, p.short.mean())
		}
	}
	if len(s.endpoints) < minEndpoints || len(longs) < minSampled {
		for _, p := range s.endpoints {
			p.speed = Speed{Factor: 1, Limit: p.Slots, Samples: int(p.long.weight)}
		}
		return
	}
	long := median(longs)
	short := long
	if len(shorts) >= minSampled {
		short = median(shorts)
	}
	for _, p := range s.endpoints {
		factor := 1 + (p.long.mean()/long-1)*p.long.trust(now, longHalfLife)
		factor += (p.short.mean()/short - factor) * p.short.trust(now, shortHalfLife)
		p.speed = Speed{
			Factor: min(maxFactor, max(minFactor, factor)), Limit: p.Slots, Samples: int(p.long.weight),
		}
		if p.knee.limit > 0 {
			p.speed.Limit, p.speed.Confidence = p.knee.limit, p.knee.confidence
		}
	}
}

// median returns the median of a list, which it sorts.
func median(list []float64) float64 {
	slices.Sort(list)
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}
