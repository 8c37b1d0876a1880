package picker

import (
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The reasons of a choice.
const (
	ReasonPrefix   = "prefix"          // its cache probably holds the prompt prefix
	ReasonAffinity = "affinity"        // consistent hash of the prompt prefix
	ReasonRandom   = "two_choices"     // the better of random endpoints
	ReasonNone     = "none_of_version" // no endpoint serves the version
	ReasonState    = "none_in_service" // all are out, leaving, cold or behind an open breaker
	ReasonLimit    = "all_at_limit"    // all in service are at their limits
)

// Query describes one request.
type Query struct {
	Version    int
	DataCentre uint8 // of this instance
	Now        clock.Millis
	Prompt     int32 // tokens of the prompt
	// Prefix holds the hashes of the prompt's prefixes, the shortest first, and
	// Tokens the length of each.
	Prefix []uint64
	Tokens []int32
}

// Picker holds the parameters. Use Default and change fields as needed.
type Picker struct {
	MaxAge      clock.Millis // age at which a load report counts nothing
	Near        float32      // ms of distance up to which a data centre is near
	LoadMillis  float32      // expected wait at an endpoint that is at half of its limit
	TokenMillis float32      // time to prefill one token
	Guess       float32      // probability that the endpoint of the hash holds the prefix
	BoundedLoad float32      // largest load for affinity, as a multiple of the mean
}

// Default returns the usual parameters.
func Default() Picker {
	return Picker{
		MaxAge: 3 * clock.Second, Near: 3, LoadMillis: 100, TokenMillis: 0.2, Guess: 0.5, BoundedLoad: 1.25,
	}
}

// scanned sums up the endpoints of one version.
type scanned struct {
	near, far int     // endpoints with room in t.near and t.far
	inService int     // endpoints that may take work at all
	bound     float32 // largest load for affinity
}

// choice is the best endpoint so far.
type choice struct {
	endpoint int32
	cost     float32
	reason   string
}

// Pick returns the index of an endpoint and the reason, or -1 and the reason
// why there is none. It allocates nothing. Candidates are the endpoints whose
// caches probably hold a prefix, the endpoint of the prefix by highest random
// weight (Thaler and Ravishankar 1998) with bounded load (Mirrokni, Thorup,
// Zadimoghaddam: Consistent Hashing with Bounded Loads, SODA 2018), and two
// random ones (Mitzenmacher: The Power of Two Choices, IEEE TPDS 12, 2001). The
// one with the lowest expected time to the first token is taken.
func (p *Picker) Pick(t *Table, q *Query, r *rand.Rand) (endpoint int, reason string) {
	list := t.byVersion[q.Version]
	if len(list) == 0 {
		return -1, ReasonNone
	}
	s := p.scan(t, q, list)
	switch {
	case s.inService == 0:
		return -1, ReasonState
	case s.near+s.far == 0:
		return -1, ReasonLimit
	}
	best := choice{endpoint: noEndpoint}
	p.random(t, q, r, s, &best)
	p.affine(t, q, s, &best)
	p.hinted(t, q, s.bound, &best)
	return int(best.endpoint), best.reason
}

// scan estimates the load of all endpoints of the version and collects those
// with room into t.near and t.far.
func (p *Picker) scan(t *Table, q *Query, list []int32) scanned {
	mean := t.mean[q.Version]
	distance := t.distance[q.DataCentre]
	perMilli := 1 / float32(p.MaxAge)
	var s scanned
	var load, reported, weights float32
	for _, e := range list {
		t.load[e] = -1
		if !t.inService(e) {
			continue
		}
		l, weight := t.estimate(e, mean, q.Now, perMilli)
		s.inService++
		load += l
		reported += weight * t.reported[e]
		weights += weight
		if !t.room(e, l) {
			continue
		}
		t.load[e] = l
		if distance[t.DataCentre[e]] <= p.Near {
			t.near[s.near] = e
			s.near++
		} else {
			t.far[s.far] = e
			s.far++
		}
	}
	if weights > 0 {
		t.mean[q.Version] = reported / weights
	}
	if s.inService > 0 {
		s.bound = p.BoundedLoad * (load/float32(s.inService) + 1)
	}
	return s
}

// random tries two near endpoints, and one far endpoint or, without near ones, two.
func (p *Picker) random(t *Table, q *Query, r *rand.Rand, s scanned, best *choice) {
	fromFar := 1
	if s.near > 0 {
		p.offer(t, q, t.near[r.IntN(s.near)], 0, ReasonRandom, best)
		p.offer(t, q, t.near[r.IntN(s.near)], 0, ReasonRandom, best)
	} else {
		fromFar = 2
	}
	for range fromFar {
		if s.far > 0 {
			p.offer(t, q, t.far[r.IntN(s.far)], 0, ReasonRandom, best)
		}
	}
}

// affine tries the endpoint of the shortest prefix by highest random weight
// among those within the bound, near ones first.
func (p *Picker) affine(t *Table, q *Query, s scanned, best *choice) {
	if len(q.Prefix) == 0 {
		return
	}
	among := t.near[:s.near]
	if s.near == 0 {
		among = t.far[:s.far]
	}
	top, weight := int32(noEndpoint), uint64(0)
	for _, e := range among {
		if t.load[e] > s.bound {
			continue
		}
		if w := mix(t.hash[e] ^ q.Prefix[0]); w >= weight {
			top, weight = e, w
		}
	}
	if top != noEndpoint {
		p.offer(t, q, top, p.Guess*float32(q.Tokens[0]), ReasonAffinity, best)
	}
}

// hinted tries the endpoints that probably hold a prefix, the longest first.
func (p *Picker) hinted(t *Table, q *Query, bound float32, best *choice) {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		first := t.hints.set(q.Prefix[i])
		for h := first; h < first+hintWays; h++ {
			e := t.hints.endpoint[h]
			if e == noEndpoint || t.hints.prefix[h] != q.Prefix[i] || !t.Serves(int(e), q.Version) {
				continue
			}
			if t.load[e] >= 0 && t.load[e] <= bound {
				p.offer(t, q, e, float32(q.Tokens[i]), ReasonPrefix, best)
			}
		}
	}
}

// cached returns the length in tokens of the longest prefix that e probably holds.
func (t *Table) cached(q *Query, e int32) float32 {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		if t.hints.holds(q.Prefix[i], t.hash[e]) {
			return float32(q.Tokens[i])
		}
	}
	return 0
}

// offer replaces the best choice if e is expected to give the first token
// sooner. Guess is the least number of prompt tokens that e holds.
func (p *Picker) offer(t *Table, q *Query, e int32, guess float32, reason string, best *choice) {
	cached := t.cached(q, e)
	if cached < guess {
		cached = guess
	}
	used := t.load[e] / float32(t.Limit[e])
	if t.State[e]&StateCold != 0 {
		used = float32(t.InFlight[e]) / float32(t.Permit[e])
	}
	cost := p.LoadMillis*used/max(0.05, 1-used) +
		2*t.distance[q.DataCentre][t.DataCentre[e]] +
		p.TokenMillis*max(0, float32(q.Prompt)-cached)
	if best.endpoint == noEndpoint || cost < best.cost {
		*best = choice{endpoint: e, cost: cost, reason: reason}
	}
}
