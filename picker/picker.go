package picker

import (
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// The reasons for the choice of an endpoint, or for there being none.
const (
	ReasonPrefix        = "prefix"          // the endpoint's cache probably holds the prompt prefix
	ReasonAffinity      = "affinity"        // chosen by a consistent hash of the prompt prefix
	ReasonRandom        = "two_choices"     // the best of the random candidates
	ReasonNone          = "none_of_version" // no endpoint serves the version
	ReasonNoneInService = "none_in_service" // all endpoints of the version have a state that excludes them
	ReasonAllAtLimit    = "all_at_limit"    // all endpoints in service are at their concurrency limits
)

// Query describes one request for which an endpoint is chosen.
type Query struct {
	Version    int   // index of the version in the table
	DataCentre uint8 // index of the data centre of this instance
	Now        clock.Millis
	Prompt     int32 // length of the prompt in tokens
	// Prefix holds the hashes of prefixes of the prompt, the shortest first, and
	// Tokens the length of each in tokens.
	Prefix []uint64
	Tokens []int32
}

// Picker holds the parameters of the choice. Use Default and change fields as
// needed.
type Picker struct {
	MaxAge                 clock.Millis // age from which a load report has no weight
	MaxNearMillis          float32      // greatest one-way distance in ms of a data centre that counts as near
	HalfLoadWaitMillis     float32      // expected wait in ms at an endpoint that runs half of its limit
	TokenMillis            float32      // time in ms to prefill one token
	AffinityHitProbability float32      // assumed probability that the endpoint chosen by affinity holds the prefix
	LoadBoundFactor        float32      // highest load for affinity and cached prefixes, as a multiple of the mean load
}

// Default returns the parameters of the daemon.
func Default() Picker {
	return Picker{
		MaxAge: 3 * clock.Second, MaxNearMillis: 3, HalfLoadWaitMillis: 150, TokenMillis: 0.2,
		AffinityHitProbability: 0.5, LoadBoundFactor: 1.25,
	}
}

const (
	maxSamples = 16      // random endpoints sampled before all endpoints are scanned
	meanGain   = 1. / 16 // weight of a sampled load in the moving means
)

// pickContext holds the values that are the same for all endpoints in one call of
// Pick.
type pickContext struct {
	meanReported  float32   // moving mean of the reported loads, unknownMean if there is none
	decayPerMilli float32   // weight that a load report loses for each ms of its age
	distance      []float32 // ms from the data centre of this instance, by data centre
	affinityBound float32   // highest load for affinity and cached prefixes
}

// choice is the best candidate so far.
type choice struct {
	endpoint int32   // index, or noEndpoint
	cost     float32 // expected time in ms to the first token
	reason   string
}

// Pick returns the index of an endpoint and the reason for its choice, or -1 and
// the reason why there is none. It does not allocate. The candidates are the
// endpoints whose caches probably hold a prefix, the endpoint that the prefix
// maps to by highest random weight (Thaler and Ravishankar 1998) with bounded
// load (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads,
// SODA 2018), and up to three random ones (Mitzenmacher: The Power of Two
// Choices, IEEE TPDS 12, 2001). The candidate with the shortest expected time to
// the first token is chosen.
func (p *Picker) Pick(t *Table, q *Query, r *rand.Rand) (endpoint int, reason string) {
	list := t.byVersion[q.Version]
	if len(list) == 0 {
		return -1, ReasonNone
	}
	pc := pickContext{
		meanReported: t.meanReported[q.Version], decayPerMilli: 1 / float32(p.MaxAge),
		distance: t.distance[q.DataCentre], affinityBound: p.LoadBoundFactor * (t.meanEstimated[q.Version] + 1),
	}
	best := choice{endpoint: noEndpoint}
	if !p.sampleRandom(t, q, &pc, list, r, &best) {
		near, far, inService := p.scanAll(t, q, &pc, list)
		switch {
		case inService == 0:
			return -1, ReasonNoneInService
		case near+far == 0:
			return -1, ReasonAllAtLimit
		}
		p.considerRandom(t, q, &pc, r, near, far, &best)
	}
	p.considerAffinity(t, q, &pc, list, &best)
	p.considerHinted(t, q, &pc, &best)
	return int(best.endpoint), best.reason
}

// sampleRandom samples random endpoints, at most maxSamples, until two near ones
// and a far one with free capacity are considered. It updates the moving means of
// the version with their loads and reports whether it found a near endpoint.
func (p *Picker) sampleRandom(t *Table, q *Query, pc *pickContext, list []int32, r *rand.Rand, best *choice) bool {
	near, far := 0, 0
	for range maxSamples {
		e := list[r.IntN(len(list))]
		if !t.inService(e) {
			continue
		}
		load, weight := t.estimate(e, pc.meanReported, q.Now, pc.decayPerMilli)
		t.updateMeans(q.Version, e, load, weight)
		if !t.hasCapacity(e, load) {
			continue
		}
		isNear := pc.distance[t.DataCentre[e]] <= p.MaxNearMillis
		switch {
		case isNear && near < 2:
			near++
		case !isNear && far < 1:
			far++
		default:
			continue
		}
		p.consider(t, q, e, load, t.cachedTokens(q, e), ReasonRandom, best)
		if near == 2 && far == 1 {
			break
		}
	}
	return near > 0
}

// scanAll collects all endpoints with free capacity into t.nearScratch and
// t.farScratch, and returns their numbers and the number of endpoints in service.
// It is used if sampling finds no near endpoint.
func (p *Picker) scanAll(t *Table, q *Query, pc *pickContext, list []int32) (near, far, inService int) {
	for _, e := range list {
		if !t.inService(e) {
			continue
		}
		inService++
		load, _ := t.estimate(e, pc.meanReported, q.Now, pc.decayPerMilli)
		if !t.hasCapacity(e, load) {
			continue
		}
		if pc.distance[t.DataCentre[e]] <= p.MaxNearMillis {
			t.nearScratch[near] = e
			near++
		} else {
			t.farScratch[far] = e
			far++
		}
	}
	return near, far, inService
}

// considerRandom considers two random endpoints of those that scanAll collected:
// near ones or, if there is none, far ones.
func (p *Picker) considerRandom(t *Table, q *Query, pc *pickContext, r *rand.Rand, near, far int, best *choice) {
	candidates := t.nearScratch[:near]
	if near == 0 {
		candidates = t.farScratch[:far]
	}
	for range 2 {
		e := candidates[r.IntN(len(candidates))]
		load, _ := t.estimate(e, pc.meanReported, q.Now, pc.decayPerMilli)
		p.consider(t, q, e, load, t.cachedTokens(q, e), ReasonRandom, best)
	}
}

// considerAffinity considers the endpoint that the shortest prefix maps to by
// highest random weight among the near endpoints within the load bound or, if
// there is none, among the far ones.
func (p *Picker) considerAffinity(t *Table, q *Query, pc *pickContext, list []int32, best *choice) {
	if len(q.Prefix) == 0 {
		return
	}
	holder, load := p.highestWeight(t, q, pc, list, true)
	if holder == noEndpoint {
		holder, load = p.highestWeight(t, q, pc, list, false)
	}
	if holder != noEndpoint {
		cached := max(t.cachedTokens(q, holder), p.AffinityHitProbability*float32(q.Tokens[0]))
		p.consider(t, q, holder, load, cached, ReasonAffinity, best)
	}
}

// highestWeight returns the near or far endpoint within the load bound that has
// the highest random weight for the shortest prefix, and its load. It returns
// noEndpoint if there is none.
func (p *Picker) highestWeight(
	t *Table, q *Query, pc *pickContext, list []int32, near bool,
) (endpoint int32, load float32) {
	endpoint, highest := noEndpoint, uint64(0)
	for _, e := range list {
		weight := fmix64(t.hash[e] ^ q.Prefix[0])
		if weight < highest || (pc.distance[t.DataCentre[e]] <= p.MaxNearMillis) != near {
			continue
		}
		if endpointLoad, ok := p.boundedLoad(t, q, pc, e); ok {
			endpoint, highest, load = e, weight, endpointLoad
		}
	}
	return endpoint, load
}

// boundedLoad returns the estimated load of e and whether e is in service, has
// free capacity and is within the load bound.
func (p *Picker) boundedLoad(t *Table, q *Query, pc *pickContext, e int32) (load float32, ok bool) {
	if !t.inService(e) {
		return 0, false
	}
	load, _ = t.estimate(e, pc.meanReported, q.Now, pc.decayPerMilli)
	return load, load <= pc.affinityBound && t.hasCapacity(e, load)
}

// considerHinted considers the endpoints that the hints name as holders of a
// prefix, those of the longest prefix first.
func (p *Picker) considerHinted(t *Table, q *Query, pc *pickContext, best *choice) {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		firstWay := t.hints.firstWay(q.Prefix[i])
		for way := firstWay; way < firstWay+hintWays; way++ {
			e := t.hints.endpoint[way]
			if e == noEndpoint || t.hints.prefix[way] != q.Prefix[i] || !t.Serves(int(e), q.Version) {
				continue
			}
			if load, ok := p.boundedLoad(t, q, pc, e); ok {
				p.consider(t, q, e, load, float32(q.Tokens[i]), ReasonPrefix, best)
			}
		}
	}
}

// cachedTokens returns the length in tokens of the longest prefix that the cache
// of e probably holds.
func (t *Table) cachedTokens(q *Query, e int32) float32 {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		if t.hints.hasHolder(q.Prefix[i], t.hash[e]) {
			return float32(q.Tokens[i])
		}
	}
	return 0
}

// consider replaces the best choice by e if the expected time to the first token
// is shorter at e. That time is the sum of the wait, modelled as that of a queue
// at the endpoint's utilisation, the round trip and the prefill. Cached is the
// number of prompt tokens that e need not prefill.
func (p *Picker) consider(t *Table, q *Query, e int32, load, cached float32, reason string, best *choice) {
	utilisation := load / float32(t.Limit[e])
	if t.State[e]&StateCold != 0 {
		utilisation = float32(t.InFlight[e]) / float32(t.Permit[e])
	}
	cost := p.HalfLoadWaitMillis*utilisation/max(0.05, 1-utilisation) +
		2*t.distance[q.DataCentre][t.DataCentre[e]] +
		p.TokenMillis*max(0, float32(q.Prompt)-cached)
	if best.endpoint == noEndpoint || cost < best.cost {
		*best = choice{endpoint: e, cost: cost, reason: reason}
	}
}
