package partitioner

import (
	"cmp"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Options are the settings of a Partitioner.
type Options struct {
	// Utilisation is the share of a reserved endpoint's time that long prompts take.
	Utilisation float64
	// MaxShare is the largest share of a data centre's endpoints that is reserved.
	MaxShare float64
	// MinEndpoints is the number of a data centre's endpoints below which none is reserved.
	MinEndpoints int
	// ShrinkAfter is the time in ms after which the number decreases by one while the
	// demand calls for fewer endpoints.
	ShrinkAfter clock.Millis
}

// Default returns the settings of the platform deployment. At a utilisation of a third,
// long prompts often waited for each other or interrupted each other's streams. Five
// seconds are longer than the gaps between clustered arrivals, so that the number
// does not follow each of them.
//
// With three to five endpoints in a data centre, one is a large part of them: on the
// deployments of that size, requests waited for each other in both groups.
func Default() Options {
	return Options{Utilisation: 0.22, MaxShare: 1.0 / 3, MinEndpoints: 8, ShrinkAfter: 5 * clock.Second}
}

// Endpoint is a usable endpoint of the service.
type Endpoint struct{ ID, DataCentre string }

// Partitioner holds the reserved endpoints of one service. It is not safe for
// concurrent use.
type Partitioner struct {
	options  Options
	service  string
	counts   map[string]*count // by data centre
	reserved map[string]bool   // by id of the endpoint
}

// count is the number of reserved endpoints of a data centre.
type count struct {
	current int
	// lowerSince is the time since which the demand calls for fewer, or that of the
	// last decrease; 0: it does not.
	lowerSince clock.Millis
}

// New returns a Partitioner without reserved endpoints. It panics if an option is
// not positive.
func New(service string, o Options) *Partitioner {
	if o.Utilisation <= 0 || o.MaxShare <= 0 || o.ShrinkAfter <= 0 {
		panic("partitioner: Options.Utilisation, Options.MaxShare and Options.ShrinkAfter must be positive")
	}
	return &Partitioner{options: o, service: service, counts: make(map[string]*count), reserved: make(map[string]bool)}
}

// Reserved reports whether an endpoint is reserved for long prompts.
func (p *Partitioner) Reserved(endpoint string) bool { return p.reserved[endpoint] }

// Count returns the number of reserved endpoints.
func (p *Partitioner) Count() int { return len(p.reserved) }

// CountIn returns the number of reserved endpoints of a data centre.
func (p *Partitioner) CountIn(dataCentre string) int {
	if c := p.counts[dataCentre]; c != nil {
		return c.current
	}
	return 0
}

// Update chooses the reserved endpoints among the usable ones and reports whether
// their number changed. demand is the prefill time of long prompts of all
// instances in ms per ms; 0 means that none was sent recently.
func (p *Partitioner) Update(now clock.Millis, demand float64, endpoints []Endpoint) bool {
	before := p.Count()
	clear(p.reserved)
	if demand <= 0 || math.IsNaN(demand) {
		clear(p.counts)
		return before > 0
	}
	byDataCentre := make(map[string][]string)
	for _, e := range endpoints {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e.ID)
	}
	for dc := range p.counts {
		if byDataCentre[dc] == nil {
			delete(p.counts, dc)
		}
	}
	for dc, ids := range byDataCentre {
		c := p.counts[dc]
		if c == nil {
			c = new(count)
			p.counts[dc] = c
		}
		most := int(p.options.MaxShare*float64(len(ids)) + 1e-9)
		if len(ids) < p.options.MinEndpoints {
			most = 0
		}
		needed := demand * float64(len(ids)) / float64(len(endpoints)) / p.options.Utilisation
		c.update(now, int(min(float64(most), math.Ceil(needed))), most, p.options.ShrinkAfter)
		if c.current > 0 {
			p.reserve(ids, c.current)
		}
	}
	return p.Count() != before
}

// reserve reserves the first n of a data centre's endpoints.
func (p *Partitioner) reserve(ids []string, n int) {
	salt := "long prompts " + p.service
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(matcher.Hash(salt, a), matcher.Hash(salt, b)) })
	for _, id := range ids[:n] {
		p.reserved[id] = true
	}
}

// update sets the number to the wanted one if that is larger, and decreases it by
// one for each shrinkAfter during which that is smaller. It is never above most.
func (c *count) update(now clock.Millis, wanted, most int, shrinkAfter clock.Millis) {
	c.current = min(c.current, most)
	if wanted >= c.current {
		c.current, c.lowerSince = wanted, 0
		return
	}
	if c.lowerSince == 0 {
		c.lowerSince = now
	}
	for c.current > wanted && now-c.lowerSince >= shrinkAfter {
		c.current--
		c.lowerSince += shrinkAfter
	}
}
