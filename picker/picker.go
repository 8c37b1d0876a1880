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
		MaxAge: 3 * clock.Second, Near: 3, LoadMillis: 150, TokenMillis: 0.2, Guess: 0.5, BoundedLoad: 1.25,
	}
}

const (
	sampleTries = 16      // random endpoints looked at before all are
	meanStep    = 1. / 16 // by which the means move towards a sampled load
)

// view holds what is the same for all endpoints during one pick.
type view struct {
	mean     float32 // of the reported loads
	perMilli float32
	distance []float32
	bound    float32 // largest load for affinity
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
	v := view{
		mean: t.mean[q.Version], perMilli: 1 / float32(p.MaxAge),
		distance: t.distance[q.DataCentre], bound: p.BoundedLoad * (t.meanLoad[q.Version] + 1),
	}
	best := choice{endpoint: noEndpoint}
	if !p.sample(t, q, &v, list, r, &best) {
		near, far, inService := p.scan(t, q, &v, list)
		switch {
		case inService == 0:
			return -1, ReasonState
		case near+far == 0:
			return -1, ReasonLimit
		}
		p.random(t, q, &v, r, near, far, &best)
	}
	p.affine(t, q, &v, list, &best)
	p.hinted(t, q, &v, &best)
	return int(best.endpoint), best.reason
}

// sample tries random endpoints until two near ones and a far one have room, and
// moves the means of the version towards their loads. It reports whether it found
// a near one.
func (p *Picker) sample(t *Table, q *Query, v *view, list []int32, r *rand.Rand, best *choice) bool {
	near, far := 0, 0
	for range sampleTries {
		e := list[r.IntN(len(list))]
		if !t.inService(e) {
			continue
		}
		load, weight := t.estimate(e, v.mean, q.Now, v.perMilli)
		t.learn(q.Version, e, load, weight)
		if !t.room(e, load) {
			continue
		}
		isNear := v.distance[t.DataCentre[e]] <= p.Near
		switch {
		case isNear && near < 2:
			near++
		case !isNear && far < 1:
			far++
		default:
			continue
		}
		p.offer(t, q, e, load, t.cached(q, e), ReasonRandom, best)
		if near == 2 && far == 1 {
			break
		}
	}
	return near > 0
}

// scan collects all endpoints with room into t.near and t.far, and counts those
// in service. It serves when sampling finds no near endpoint.
func (p *Picker) scan(t *Table, q *Query, v *view, list []int32) (near, far, inService int) {
	for _, e := range list {
		if !t.inService(e) {
			continue
		}
		inService++
		load, _ := t.estimate(e, v.mean, q.Now, v.perMilli)
		if !t.room(e, load) {
			continue
		}
		if v.distance[t.DataCentre[e]] <= p.Near {
			t.near[near] = e
			near++
		} else {
			t.far[far] = e
			far++
		}
	}
	return near, far, inService
}

// random tries two near endpoints, or two far ones if there is no near one.
func (p *Picker) random(t *Table, q *Query, v *view, r *rand.Rand, near, far int, best *choice) {
	among := t.near[:near]
	if near == 0 {
		among = t.far[:far]
	}
	for range 2 {
		e := among[r.IntN(len(among))]
		load, _ := t.estimate(e, v.mean, q.Now, v.perMilli)
		p.offer(t, q, e, load, t.cached(q, e), ReasonRandom, best)
	}
}

// affine tries the endpoint of the shortest prefix by highest random weight among
// the near ones within the bound or, without these, the far ones.
func (p *Picker) affine(t *Table, q *Query, v *view, list []int32, best *choice) {
	if len(q.Prefix) == 0 {
		return
	}
	top, load := p.top(t, q, v, list, true)
	if top == noEndpoint {
		top, load = p.top(t, q, v, list, false)
	}
	if top != noEndpoint {
		cached := max(t.cached(q, top), p.Guess*float32(q.Tokens[0]))
		p.offer(t, q, top, load, cached, ReasonAffinity, best)
	}
}

// top returns the near or far endpoint within the bound that has the highest
// random weight, and its load.
func (p *Picker) top(t *Table, q *Query, v *view, list []int32, near bool) (top int32, load float32) {
	top, weight := noEndpoint, uint64(0)
	for _, e := range list {
		w := mix(t.hash[e] ^ q.Prefix[0])
		if w < weight || (v.distance[t.DataCentre[e]] <= p.Near) != near {
			continue
		}
		if l, ok := p.bounded(t, q, v, e); ok {
			top, weight, load = e, w, l
		}
	}
	return top, load
}

// bounded returns the load of e and whether it is in service, has room and is
// within the bound for affinity.
func (p *Picker) bounded(t *Table, q *Query, v *view, e int32) (load float32, ok bool) {
	if !t.inService(e) {
		return 0, false
	}
	load, _ = t.estimate(e, v.mean, q.Now, v.perMilli)
	return load, load <= v.bound && t.room(e, load)
}

// hinted tries the endpoints that probably hold a prefix, the longest first.
func (p *Picker) hinted(t *Table, q *Query, v *view, best *choice) {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		first := t.hints.set(q.Prefix[i])
		for h := first; h < first+hintWays; h++ {
			e := t.hints.endpoint[h]
			if e == noEndpoint || t.hints.prefix[h] != q.Prefix[i] || !t.Serves(int(e), q.Version) {
				continue
			}
			if load, ok := p.bounded(t, q, v, e); ok {
				p.offer(t, q, e, load, float32(q.Tokens[i]), ReasonPrefix, best)
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
// sooner. Cached is the number of prompt tokens that e need not prefill.
func (p *Picker) offer(t *Table, q *Query, e int32, load, cached float32, reason string, best *choice) {
	used := load / float32(t.Limit[e])
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
