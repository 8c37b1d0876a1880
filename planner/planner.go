package planner

import (
	"math"
	"math/rand/v2"
	"slices"

	"rosemaryarch.example/rosemaryarch/estimator"
)

// The reasons for a plan.
const (
	ReasonBound     = "bound"          // cheapest chain whose lower bound meets the target
	ReasonBest      = "best_version"   // no chain is known to meet the target; version of the highest prior
	ReasonExplore   = "explore"        // possibly cheaper chain of unknown quality, within MaxExplore
	ReasonMix       = "mix"            // chain below the target that is mixed with one above it
	ReasonTrial     = "trial"          // cheaper chain that meets the target over all workspaces pooled, within MaxTrial
	ReasonForbidden = "none_permitted" // no version is permitted
)

// belowTargetWeight is the weight in exploration of a chain that is below the
// target over all workspaces pooled; other chains have weight 1. It is positive
// since workspaces differ.
const belowTargetWeight = 0.1

// assumedQualityShare is the least quality that a chain of unknown quality is
// assumed to have, as a share of the target. If the assumption is wrong, the
// achieved quality falls and exploration ends.
const assumedQualityShare = 0.5

// Planner holds the parameters of the choice. Use Default and change fields as
// needed.
type Planner struct {
	Delta       float64 // error probability of each confidence bound
	PooledDelta float64 // the same for the bounds over all workspaces pooled, which only guide exploration
	MaxExplore  float64 // greatest share of requests that explore a chain of unknown quality
	MaxTrial    float64 // greatest share of requests that try a chain which meets the target over all workspaces pooled
	RatingShare float64 // approximate share of answers that can be sent to the rating service
	// Shortfall is the amount by which the lower bound of a chain may be below the
	// target if the chain is mixed with a better one such that the mean of their
	// lower bounds meets the target. With 0 every chain must meet the target itself.
	Shortfall float64
}

// Default returns the parameters of the daemon.
func Default() Planner {
	return Planner{Delta: 0.05, PooledDelta: 0.3, MaxExplore: 0.1, MaxTrial: 0.8, RatingShare: 0.2, Shortfall: 0.05}
}

// Plan is a chain of versions for one request.
type Plan struct {
	First             int     // index of the first version, -1 if no version is permitted
	Second            int     // index of the version that answers after a failed check, -1 for a single version
	Lower             float64 // lower confidence bound of the quality
	Cost              float64 // expected cost per request, at the lower bound of the pass rate
	RatingProbability float64 // probability with which the answer should be sent to the rating service
	Reason            string
}

// boundedChain is a chain with its confidence bounds.
type boundedChain struct {
	Plan
	upper             float64 // upper bound of the quality
	pooledLower       float64 // lower bound of the quality over all workspaces pooled
	pooledBelowTarget bool    // the upper bound over all workspaces pooled is below the target by more than Shortfall
	lowestCost        float64 // expected cost per request, at the upper bound of the pass rate
}

// Prepare returns a copy of t with the confidence bounds of all chains. Their
// computation takes most of the time of a plan, so a table should be prepared once
// after a change of its counts. The time grows with the square of the number of
// versions.
func (p Planner) Prepare(t Table) Table {
	t.prepared = slices.Clone(t.Permitted)
	t.chains = p.chains(&t)
	t.achieved = p.achievedQuality(t.Achieved)
	t.chosen = cheapestChain(&t, t.bestVersion())
	t.mixed, t.mixedShare = p.mix(&t)
	return t
}

// Plan returns the chain for one request. The result depends only on t and r. A
// table that is not prepared, or whose Permitted has changed since, is prepared
// for this call only. If no version is permitted, First is -1. Ratings are
// requested where they affect the choice: for all explored answers, and more often
// than usual for trial answers and while the achieved quality is not known to
// exceed the target.
func (p Planner) Plan(t *Table, r *rand.Rand) Plan {
	if t.bestVersion() < 0 {
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
	chosen.RatingProbability = p.RatingShare / 2
	if t.achieved <= t.Target {
		chosen.RatingProbability = min(1, 2*p.RatingShare)
		return chosen
	}
	return p.explore(t, chosen, r)
}

// cheapestChain returns the cheapest chain whose lower bound meets the target, or
// the best version alone if there is none.
func cheapestChain(t *Table, best int) Plan {
	var cheapest Plan
	for _, chain := range t.chains {
		if chain.Lower >= t.Target && (cheapest.Reason != ReasonBound || chain.Cost < cheapest.Cost) {
			cheapest = chain.Plan
			cheapest.Reason = ReasonBound
		}
		if chain.First == best && chain.Second < 0 && cheapest.Reason == "" {
			cheapest = chain.Plan
			cheapest.Reason = ReasonBest
		}
	}
	return cheapest
}

// mix replaces t.chosen by the cheapest mixture of a chain below the target and
// one that meets it such that the mean of their lower bounds equals the target, if
// that is cheaper. It returns the chain below the target and its share of the
// requests, which is 0 without a mixture. Cost and lower bound of both chains
// become those of the mixture.
func (p Planner) mix(t *Table) (belowTarget Plan, share float64) {
	if t.chosen.Reason != ReasonBound {
		return Plan{}, 0
	}
	aboveTarget, cost := t.chosen, t.chosen.Cost
	for _, below := range t.chains {
		if below.Lower >= t.Target || below.Lower < t.Target-p.Shortfall {
			continue
		}
		for _, above := range t.chains {
			if above.Lower < t.Target {
				continue
			}
			belowShare := (above.Lower - t.Target) / (above.Lower - below.Lower)
			if c := belowShare*below.Cost + (1-belowShare)*above.Cost; c < cost {
				belowTarget, aboveTarget, share, cost = below.Plan, above.Plan, belowShare, c
			}
		}
	}
	if share == 0 {
		return Plan{}, 0
	}
	belowTarget.Reason, aboveTarget.Reason = ReasonMix, ReasonBound
	belowTarget.Cost, belowTarget.Lower = cost, t.Target
	aboveTarget.Cost, aboveTarget.Lower = cost, t.Target
	t.chosen = aboveTarget
	return belowTarget, share
}

// explore returns chosen or, with the probability of explorationShare, a chain that
// may be cheaper and may meet the target but is not yet known to: the cheapest of
// those that meet the target over all workspaces pooled (proven) or, if there is
// none, a random one by weight.
func (p Planner) explore(t *Table, chosen Plan, r *rand.Rand) Plan {
	var selected boundedChain
	totalWeight, proven := 0.0, false
	for _, chain := range t.chains {
		if chain.Lower >= t.Target || chain.lowestCost >= chosen.Cost || chain.upper < t.Target-p.Shortfall {
			continue
		}
		if chain.pooledLower >= t.Target {
			if !proven || chain.lowestCost < selected.lowestCost {
				selected, proven = chain, true
			}
			continue
		}
		weight := 1.0
		if chain.pooledBelowTarget {
			weight = belowTargetWeight
		}
		totalWeight += weight
		if !proven && r.Float64()*totalWeight < weight {
			selected = chain
		}
	}
	if totalWeight == 0 && !proven || r.Float64() >= p.explorationShare(t, &selected, proven) {
		return chosen
	}
	selected.Reason, selected.RatingProbability = ReasonExplore, 1
	if proven {
		selected.Reason, selected.RatingProbability = ReasonTrial, min(1, 2*p.RatingShare)
	}
	return selected.Plan
}

// explorationShare returns the share of requests that may try the chain. It is so
// small that the achieved quality stays above the target if the quality of the
// chain is only the greatest of its lower bound, that over all workspaces pooled,
// and assumedQualityShare of the target.
func (p Planner) explorationShare(t *Table, chain *boundedChain, proven bool) float64 {
	limit := p.MaxExplore
	if proven {
		limit = p.MaxTrial
	}
	loss := t.achieved - max(chain.Lower, chain.pooledLower, assumedQualityShare*t.Target)
	if loss <= 0 {
		return limit
	}
	return min(limit, (t.achieved-t.Target)/loss)
}

// chains returns all permitted chains with their bounds.
func (p Planner) chains(t *Table) []boundedChain {
	var all []boundedChain
	pooledPlanner := p
	pooledPlanner.Delta = p.PooledDelta
	for i := range t.Version {
		if !t.Permitted[i] {
			continue
		}
		chain := p.singleVersion(t, i)
		if t.Pooled != nil {
			chain = p.withPooledBounds(t, chain, pooledPlanner.singleVersion(t.Pooled, i))
		}
		all = append(all, chain)
		if !t.HasCheck {
			continue
		}
		for j := range t.Version {
			if !t.Permitted[j] || t.Cost[j] <= t.Cost[i] {
				continue
			}
			chain := p.cascade(t, i, j)
			if t.Pooled != nil {
				chain = p.withPooledBounds(t, chain, pooledPlanner.cascade(t.Pooled, i, j))
			}
			all = append(all, chain)
		}
	}
	return all
}

// withPooledBounds returns the chain with the bounds over all workspaces pooled.
func (p Planner) withPooledBounds(t *Table, chain, pooled boundedChain) boundedChain {
	chain.pooledLower = pooled.Lower
	chain.pooledBelowTarget = pooled.upper < t.Target-p.Shortfall
	return chain
}

// singleVersion returns the chain of version i alone.
func (p Planner) singleVersion(t *Table, i int) boundedChain {
	chain := boundedChain{Plan: Plan{First: i, Second: -1, Cost: t.Cost[i]}, lowestCost: t.Cost[i]}
	chain.Lower, chain.upper = t.Only[i].QualityBounds(p.Delta)
	return chain
}

// cascade returns the chain of version i, and version j if the check fails. With
// pass rate s its quality is s times that of the answers that passed plus 1-s times
// that of the answers of j after a failed check. The three estimates are
// independent, so their deviations are added as those of independent sub-Gaussian
// variables (Boucheron, Lugosi, Massart: Concentration Inequalities, 2013, section
// 2.3).
func (p Planner) cascade(t *Table, i, j int) boundedChain {
	firstCounts, escalatedCounts := &t.First[i], &t.Escalated[i*len(t.Version)+j]
	passLower, passUpper := firstCounts.PassRateBounds(p.Delta)
	firstLower, firstUpper := firstCounts.QualityBounds(p.Delta)
	escalatedLower, escalatedUpper := escalatedCounts.QualityBounds(p.Delta)
	cost := func(passRate float64) float64 { return t.Cost[i] + t.CheckCost + (1-passRate)*t.Cost[j] }
	chain := boundedChain{Plan: Plan{First: i, Second: j, Cost: cost(passLower)}, lowestCost: cost(passUpper)}
	passRate := firstCounts.PassRate()
	passedMean, escalatedMean := firstCounts.Mean(), escalatedCounts.Mean()
	mean := passRate*passedMean + (1-passRate)*escalatedMean
	meanDifference := math.Abs(passedMean - escalatedMean)
	deviation := func(pass, first, escalated float64) float64 {
		return math.Sqrt(square(pass*meanDifference) + square(passRate*first) + square((1-passRate)*escalated))
	}
	passRateDeviation := max(passRate-passLower, passUpper-passRate)
	chain.Lower = max(0, mean-deviation(passRateDeviation, passedMean-firstLower, escalatedMean-escalatedLower))
	chain.upper = min(1, mean+deviation(passRateDeviation, firstUpper-passedMean, escalatedUpper-escalatedMean))
	return chain
}

// achievedQuality returns a lower bound of the mean quality of all answers. Each
// chain is weighted by its answers and not by its ratings, since chains are rated
// at different rates. The deviations are added as in cascade. A chain without
// ratings counts as quality 0.
func (p Planner) achievedQuality(chains []estimator.Estimate) float64 {
	var served, mean, variation float64
	for _, e := range chains {
		lower, _ := e.QualityBounds(p.Delta)
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

// bestVersion returns the index of the permitted version of the highest prior
// quality, the more expensive one of equal priors, or -1 if none is permitted.
func (t *Table) bestVersion() int {
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
