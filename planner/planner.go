package planner

import (
	"math"
	"math/rand/v2"
	"slices"

	"rosemaryarch.example/rosemaryarch/rater"
)

// The reasons of a plan.
const (
	ReasonBound     = "bound"        // cheapest chain whose lower bound meets the target
	ReasonBest      = "best_version" // no chain is known to meet the target
	ReasonExplore   = "explore"      // cheaper chain with unknown quality, within the exploration share
	ReasonMix       = "mix"          // chain under the target, balanced by better ones of the same kind of request
	ReasonTrial     = "trial"        // cheaper chain that is proven over all workspaces, not yet for this one
	ReasonForbidden = "none_permitted"
)

// hopelessWeight is the weight in exploration of a chain that is under the target
// over all workspaces together. It is above 0 since workspaces differ.
const hopelessWeight = 0.1

// unknownQuality is the quality that an unknown chain is assumed to have at least,
// as a share of the target. The met quality is measured, so exploration ends if the
// assumption is wrong.
const unknownQuality = 0.5

// Planner holds the parameters. Use Default and change fields as needed.
type Planner struct {
	Delta      float64 // error probability of each bound
	PoolDelta  float64 // the same over all workspaces together, which only guides exploration
	MaxExplore float64 // largest share of requests spent on exploration
	MaxTrial   float64 // the same for a chain that is proven over all workspaces together
	Rate       float64 // share of all answers that the rating service can take, roughly
	// Shortfall is how far the lower bound of a chain may be under the target if the
	// chain is mixed with a better one, so that the mean of the lower bounds meets
	// the target. With 0 every chain must meet the target itself.
	Shortfall float64
}

// Default returns the usual parameters.
func Default() Planner {
	return Planner{Delta: 0.05, PoolDelta: 0.3, MaxExplore: 0.1, MaxTrial: 0.8, Rate: 0.2, Shortfall: 0.05}
}

// Plan is a chain: the index of the first version and that of the version
// after a failed check, each -1 if there is none.
type Plan struct {
	First  int
	Second int
	Lower  float64 // lower bound of the quality
	Cost   float64 // expected cost per request, at the lower bound of the pass rate
	Rate   float64 // probability with which the answer should be sent to the rating service
	Reason string
}

// option is a chain with its bounds.
type option struct {
	Plan
	upper    float64
	pooled   float64 // lower bound over all workspaces together
	hopeless bool    // over all workspaces together it is under the target
	cheapest float64 // expected cost at the upper bound of the pass rate
}

// Prepare returns a copy of t with the bounds of all chains. Prepare a table once
// after its counts change, since the bounds take most of the time of a plan. The
// time grows with the square of the number of versions.
func (p Planner) Prepare(t Table) Table {
	t.prepared = slices.Clone(t.Permitted)
	t.options = p.options(&t)
	t.met = p.metQuality(t.Met)
	t.chosen = cheapest(&t, t.best())
	t.mixed, t.mixedShare = p.mix(&t)
	return t
}

// Plan returns the chain for one request. The result depends only on t and r. A
// table that is not prepared, or of which Permitted has changed since, is prepared
// for this plan. If nothing is permitted, First is -1. Ratings are spent where they decide
// something: on all explored answers, and on trial answers and while the met quality
// is not known to have room more than on others.
func (p Planner) Plan(t *Table, r *rand.Rand) Plan {
	if t.best() < 0 {
		return Plan{First: -1, Second: -1, Reason: ReasonForbidden}
	}
	if !slices.Equal(t.prepared, t.Permitted) {
		prepared := p.Prepare(*t)
		t = &prepared
	}
	chosen := t.chosen
	if t.mixedShare > 0 && r.Float64() < t.mixedShare {
		chosen = t.mixed
	}
	chosen.Rate = p.Rate / 2
	if t.met <= t.Target {
		chosen.Rate = min(1, 2*p.Rate)
		return chosen
	}
	return p.explore(t, chosen, r)
}

// cheapest returns the cheapest chain whose lower bound meets the target, or the
// best version.
func cheapest(t *Table, best int) Plan {
	var chosen Plan
	for _, o := range t.options {
		if o.Lower >= t.Target && (chosen.Reason != ReasonBound || o.Cost < chosen.Cost) {
			chosen = o.Plan
			chosen.Reason = ReasonBound
		}
		if o.First == best && o.Second < 0 && chosen.Reason == "" {
			chosen = o.Plan
			chosen.Reason = ReasonBest
		}
	}
	return chosen
}

// mix replaces the chosen chain by the cheapest mixture of two chains, one of them
// under the target, whose mean lower bound meets the target. It returns the one
// under the target and its share. Cost and lower bound of both become those of
// the mixture.
func (p Planner) mix(t *Table) (under Plan, share float64) {
	if t.chosen.Reason != ReasonBound {
		return Plan{}, 0
	}
	over, cost := t.chosen, t.chosen.Cost
	for _, a := range t.options {
		if a.Lower >= t.Target || a.Lower < t.Target-p.Shortfall {
			continue
		}
		for _, b := range t.options {
			if b.Lower < t.Target {
				continue
			}
			w := (b.Lower - t.Target) / (b.Lower - a.Lower)
			if c := w*a.Cost + (1-w)*b.Cost; c < cost {
				under, over, share, cost = a.Plan, b.Plan, w, c
			}
		}
	}
	if share == 0 {
		return Plan{}, 0
	}
	under.Reason, over.Reason = ReasonMix, ReasonBound
	under.Cost, under.Lower = cost, t.Target
	over.Cost, over.Lower = cost, t.Target
	t.chosen = over
	return under, share
}

// explore returns chosen, or at times a chain that is not proven yet, may be
// cheaper and may meet the target: the cheapest that is proven over all workspaces
// together, else any, those that all workspaces speak against more rarely.
func (p Planner) explore(t *Table, chosen Plan, r *rand.Rand) Plan {
	var picked option
	seen, proven := 0.0, false
	for _, o := range t.options {
		if o.Lower >= t.Target || o.cheapest >= chosen.Cost || o.upper < t.Target-p.Shortfall {
			continue
		}
		if o.pooled >= t.Target {
			if !proven || o.cheapest < picked.cheapest {
				picked, proven = o, true
			}
			continue
		}
		weight := 1.0
		if o.hopeless {
			weight = hopelessWeight
		}
		seen += weight
		if !proven && r.Float64()*seen < weight {
			picked = o
		}
	}
	if seen == 0 && !proven || r.Float64() >= p.share(t, &picked, proven) {
		return chosen
	}
	picked.Reason, picked.Rate = ReasonExplore, 1
	if proven {
		picked.Reason, picked.Rate = ReasonTrial, min(1, 2*p.Rate)
	}
	return picked.Plan
}

// share returns the share of requests that may try o. Even if its quality were at
// its lower bound, or at unknownQuality of the target, the met quality would stay
// above the target.
func (p Planner) share(t *Table, o *option, proven bool) float64 {
	most := p.MaxExplore
	if proven {
		most = p.MaxTrial
	}
	loss := t.met - max(o.Lower, o.pooled, unknownQuality*t.Target)
	if loss <= 0 {
		return most
	}
	return min(most, (t.met-t.Target)/loss)
}

// options returns every permitted chain with its bounds.
func (p Planner) options(t *Table) []option {
	var all []option
	pool := p
	pool.Delta = p.PoolDelta
	for i := range t.Version {
		if !t.Permitted[i] {
			continue
		}
		o := p.single(t, i)
		if t.Pooled != nil {
			o = p.guide(t, o, pool.single(t.Pooled, i))
		}
		all = append(all, o)
		if !t.HasCheck {
			continue
		}
		for j := range t.Version {
			if !t.Permitted[j] || t.Cost[j] <= t.Cost[i] {
				continue
			}
			o := p.cascade(t, i, j)
			if t.Pooled != nil {
				o = p.guide(t, o, pool.cascade(t.Pooled, i, j))
			}
			all = append(all, o)
		}
	}
	return all
}

// guide adds to o what is known of the chain over all workspaces together.
func (p Planner) guide(t *Table, o, pooled option) option {
	o.pooled = pooled.Lower
	o.hopeless = pooled.upper < t.Target-p.Shortfall
	return o
}

func (p Planner) single(t *Table, i int) option {
	o := option{Plan: Plan{First: i, Second: -1, Cost: t.Cost[i]}, cheapest: t.Cost[i]}
	o.Lower, o.upper = t.Only[i].Quality(p.Delta)
	return o
}

// cascade bounds the quality of "i, and j if the check fails": with pass rate s
// it is s times the quality of passed answers plus 1-s times that of escalated
// ones. The three estimates are independent, so their deviations are added as
// those of independent sub-Gaussian variables (Boucheron, Lugosi, Massart:
// Concentration Inequalities, 2013, section 2.3).
func (p Planner) cascade(t *Table, i, j int) option {
	first, next := &t.First[i], &t.Escalated[i*len(t.Version)+j]
	passLower, passUpper := first.Pass(p.Delta)
	firstLower, firstUpper := first.Quality(p.Delta)
	nextLower, nextUpper := next.Quality(p.Delta)
	cost := func(s float64) float64 { return t.Cost[i] + t.CheckCost + (1-s)*t.Cost[j] }
	o := option{Plan: Plan{First: i, Second: j, Cost: cost(passLower)}, cheapest: cost(passUpper)}
	s := first.PassRate()
	passed, escalated := first.Mean(), next.Mean()
	mean := s*passed + (1-s)*escalated
	gap := math.Abs(passed - escalated)
	deviation := func(pass, first, next float64) float64 {
		return math.Sqrt(square(pass*gap) + square(s*first) + square((1-s)*next))
	}
	pass := max(s-passLower, passUpper-s)
	o.Lower = max(0, mean-deviation(pass, passed-firstLower, escalated-nextLower))
	o.upper = min(1, mean+deviation(pass, firstUpper-passed, nextUpper-escalated))
	return o
}

// metQuality returns a lower bound of the mean quality of all answers. Chains are
// rated at different rates, so each counts by its answers, not by its ratings. The
// deviations are added as in cascade; an unrated chain counts as quality 0.
func (p Planner) metQuality(chains []rater.Estimate) float64 {
	var served, mean, variation float64
	for _, e := range chains {
		lower, _ := e.Quality(p.Delta)
		served += e.Served
		mean += e.Served * e.Mean()
		variation += square(e.Served * (e.Mean() - lower))
	}
	if served <= 0 {
		return 0
	}
	return max(0, (mean-math.Sqrt(variation))/served)
}

func square(x float64) float64 { return x * x }

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
