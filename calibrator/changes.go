package calibrator

import (
	"cmp"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Change is an endpoint that has become slow, or is no longer.
type Change struct {
	Endpoint string // id
	Speed    Speed
	Slow     bool
}

// Changes returns the endpoints whose factor has crossed slowFrom or fallen below
// notSlow since the last call, the largest factor, and the number of endpoints whose
// factor exceeds slowFrom.
func (c *Calibrator) Changes(now clock.Millis) (list []Change, largest float64, slow int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		c.refresh(now, s)
		for _, p := range s.endpoints {
			factor := p.speed.Factor
			largest = max(largest, factor)
			if factor > slowFrom {
				slow++
			}
			if p.slow && factor < notSlow || !p.slow && factor > slowFrom {
				p.slow = !p.slow
				list = append(list, Change{Endpoint: p.ID, Speed: p.speed, Slow: p.slow})
			}
		}
	}
	slices.SortFunc(list, func(x, y Change) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return list, largest, slow
}
