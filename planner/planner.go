package planner

import "math/rand/v2"

// The reasons of a plan.
const (
	ReasonBound     = "bound"        // cheapest chain whose lower bound meets the target
	ReasonBest      = "best_version" // no chain is known to meet the target
	ReasonExplore   = "explore"      // cheaper chain with unknown quality, within the exploration share
	ReasonForbidden = "none_permitted"
)

// Planner holds the parameters. Use Default and change fields as needed.
type Planner struct {
	Delta         float64 // error probability of each bound
	MaxExplore    float64 // upper limit of the share of requests spent on exploration
	MinExploreMet float64 // ratings needed before the met quality counts as known
}

// Default returns the usual parameters.
func Default() Planner {
	return Planner{Delta: 0.05, MaxExplore: 0.05, MinExploreMet: 50}
}

// Plan is a chain: the index of the first version and that of the version
// after a failed check, each -1 if there is none.
type Plan struct {
	First  int
	Second int
	Lower  float64 // lower bound of the quality
	Cost   float64 // expected cost per request, at the lower bound of the pass rate
	Reason string
}

// option is a chain with its bounds.
type option struct {
	Plan
	upper    float64
	cheapest float64 // expected cost at the upper bound of the pass rate
}

// Plan returns the chain for one request. The result depends only on t and r.
// If nothing is permitted, First is -1.
func (p Planner) Plan(t *Table, r *rand.Rand) Plan {
	best := t.best()
	if best < 0 {
		return Plan{First: -1, Second: -1, Reason: ReasonForbidden}
	}
	chosen := p.single(t, best)
	chosen.Reason = ReasonBest
	meets := chosen.Lower >= t.Target
	if meets {
		chosen.Reason = ReasonBound
	}
	p.each(t, func(o option) {
		if o.Lower < t.Target {
			return
		}
		if !meets || o.Cost < chosen.Cost {
			meets = true
			chosen = o
			chosen.Reason = ReasonBound
		}
	})
	if r.Float64() >= p.ExploreShare(t) {
		return chosen.Plan
	}
	return p.explore(t, chosen, r)
}

// ExploreShare returns the share of requests that may try unproven chains. Even
// if each of them had quality 0, the met quality would stay above the target.
func (p Planner) ExploreShare(t *Table) float64 {
	if t.Met.Rated < p.MinExploreMet {
		return 0
	}
	lower, _ := t.Met.Quality(p.Delta)
	if lower <= t.Target {
		return 0
	}
	return min(p.MaxExplore, (lower-t.Target)/lower)
}

// explore returns a chain that may be cheaper than chosen and may meet the
// target, each with equal probability, or chosen if there is none.
func (p Planner) explore(t *Table, chosen option, r *rand.Rand) Plan {
	picked, seen := chosen.Plan, 0
	p.each(t, func(o option) {
		if o.cheapest >= chosen.Cost || o.upper < t.Target {
			return
		}
		seen++
		if r.IntN(seen) == 0 {
			picked = o.Plan
			picked.Reason = ReasonExplore
		}
	})
	return picked
}

// each calls f with every permitted chain.
func (p Planner) each(t *Table, f func(option)) {
	for i := range t.Version {
		if !t.Permitted[i] {
			continue
		}
		f(p.single(t, i))
		if !t.HasCheck {
			continue
		}
		for j := range t.Version {
			if t.Permitted[j] && t.Cost[j] > t.Cost[i] {
				f(p.cascade(t, i, j))
			}
		}
	}
}

func (p Planner) single(t *Table, i int) option {
	o := option{Plan: Plan{First: i, Second: -1, Cost: t.Cost[i]}, cheapest: t.Cost[i]}
	o.Lower, o.upper = t.Only[i].Quality(p.Delta)
	return o
}

// cascade bounds the quality of "i, and j if the check fails": with pass rate s
// it is s times the quality of passed answers plus 1-s times that of escalated
// ones. It is linear in s, so its extremes are at the bounds of s.
func (p Planner) cascade(t *Table, i, j int) option {
	passLower, passUpper := t.First[i].Pass(p.Delta)
	firstLower, firstUpper := t.First[i].Quality(p.Delta)
	nextLower, nextUpper := t.Escalated[i*len(t.Version)+j].Quality(p.Delta)
	mix := func(s, a, b float64) float64 { return s*a + (1-s)*b }
	cost := func(s float64) float64 { return t.Cost[i] + t.CheckCost + (1-s)*t.Cost[j] }
	return option{
		Plan: Plan{
			First: i, Second: j, Cost: cost(passLower),
			Lower: min(mix(passLower, firstLower, nextLower), mix(passUpper, firstLower, nextLower)),
		},
		upper:    max(mix(passLower, firstUpper, nextUpper), mix(passUpper, firstUpper, nextUpper)),
		cheapest: cost(passUpper),
	}
}

// best returns the permitted version of the highest prior, the dearer one at
// equal priors, or -1.
func (t *Table) best() int {
	best := -1
	for i := range t.Version {
		if !t.Permitted[i] {
			continue
		}
		if best < 0 || t.Prior[i] > t.Prior[best] ||
			t.Prior[i] == t.Prior[best] && t.Cost[i] > t.Cost[best] {
			best = i
		}
	}
	return best
}
