package capper

import (
	"cmp"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// reportAge is the age up to which a statement is reported to other instances.
// It exceeds the time between two rounds of heartbeats.
const reportAge = 3 * clock.Second

// Report is a statement of an endpoint as one instance tells it to another.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64   // hash of the endpoint's id
	Rate     float32  // requests per second; negative: the endpoint states no limit any more
	Age      uint32   // ms since the statement
}

// Merge applies the reports of another instance.
func (c *Capper) Merge(now clock.Millis, reports []Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		rate := float64(r.Rate)
		if math.IsNaN(rate) || math.IsInf(rate, 0) {
			continue
		}
		c.set(r.Endpoint, max(noRate, rate), now-clock.Millis(r.Age), false)
	}
}

// Reports returns the recent statements, ordered by endpoint: those that this
// instance has received from endpoints, or all that it knows.
func (c *Capper) Reports(now clock.Millis, all bool) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Report
	for endpoint, l := range c.limits {
		if age := now - l.at; age < reportAge && (all || l.direct) {
			list = append(list, Report{Endpoint: endpoint, Rate: float32(l.rate), Age: uint32(max(0, age))})
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}
