package rater

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is the weighted sum of the counts behind one decision. A count of an
// old bucket has a weight under 1. The weighted sums are used as sample sizes;
// that is conservative, since Kish's effective size is at least as large for
// weights of at most 1.
type Estimate struct {
	Served  float64 // answers
	Errors  float64 // answers that failed
	Asked   float64 // answers sent to the rating service
	Rated   float64 // ratings received
	Sum     float64 // sum of the rated qualities, each in [0, 1]
	Squares float64 // sum of their squares
	Passed  float64 // checks passed
	Failed  float64 // checks failed
}

// Plus returns the sum of both estimates.
func (e Estimate) Plus(o Estimate) Estimate {
	return Estimate{
		Served: e.Served + o.Served, Errors: e.Errors + o.Errors,
		Asked: e.Asked + o.Asked, Rated: e.Rated + o.Rated,
		Sum: e.Sum + o.Sum, Squares: e.Squares + o.Squares,
		Passed: e.Passed + o.Passed, Failed: e.Failed + o.Failed,
	}
}

// Scale returns the estimate with all counts multiplied by w.
func (e Estimate) Scale(w float64) Estimate {
	return Estimate{
		Served: w * e.Served, Errors: w * e.Errors, Asked: w * e.Asked, Rated: w * e.Rated,
		Sum: w * e.Sum, Squares: w * e.Squares, Passed: w * e.Passed, Failed: w * e.Failed,
	}
}

// Mean returns the mean rated quality, or 0 without ratings.
func (e Estimate) Mean() float64 {
	if e.Rated <= 0 {
		return 0
	}
	return e.Sum / e.Rated
}

// Missing returns the share of asked ratings that have not arrived, in [0, 1].
// Missing ratings count neither for nor against a version.
func (e Estimate) Missing() float64 {
	if e.Asked <= 0 {
		return 0
	}
	return max(0, 1-e.Rated/e.Asked)
}

// PassRate returns the share of passed checks, or 0 without checks.
func (e Estimate) PassRate() float64 {
	n := e.Passed + e.Failed
	if n <= 0 {
		return 0
	}
	return e.Passed / n
}

// Quality returns bounds of the mean quality, each of which fails with
// probability at most delta, also if it is looked at after every rating. The
// lower bound is the smallest m that is not refuted by the mean, over a grid of
// bets k, of exp(k·Σx + (k+log(1-k))·Σx²) with x = m - quality. For qualities in
// [0, 1] with mean m or more that is a supermartingale with start 1 (Fan, Grama,
// Liu: Exponential inequalities for martingales, Electronic Journal of
// Probability 20, 2015), so it reaches 1/delta with probability at most delta
// (Ville's inequality). The upper bound is that of 1 - quality. Without ratings
// the bounds are 0 and 1.
func (e Estimate) Quality(delta float64) (lower, upper float64) {
	if e.Rated <= 0 {
		return 0, 1
	}
	upper = upperMean(e.Rated, e.Sum, e.Squares, delta)
	lower = 1 - upperMean(e.Rated, e.Rated-e.Sum, e.Rated-2*e.Sum+e.Squares, delta)
	return lower, upper
}

const (
	betRatio   = 0.7 // between neighbours of the grid
	boundSteps = 20  // halvings of the interval of a bound
)

// bets holds the grid, and logRests the logarithms of 1-k.
var bets, logRests = func() (k, rest [12]float64) {
	x := 1.0
	for i := range k {
		x *= betRatio
		k[i], rest[i] = x, math.Log1p(-x)
	}
	return k, rest
}()

// upperMean returns the smallest m above the observed mean for which the values
// refute a mean of m or more.
func upperMean(n, sum, squares, delta float64) float64 {
	goal := float64(len(bets)) / delta
	low, high := min(1, max(0, sum/n)), 1.0
	if wealth(n, sum, squares, high) < goal {
		return 1
	}
	for range boundSteps {
		if mid := (low + high) / 2; wealth(n, sum, squares, mid) >= goal {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

func wealth(n, sum, squares, m float64) float64 {
	drift := n*m - sum
	variation := max(0, n*m*m-2*m*sum+squares)
	var total float64
	for i, k := range bets {
		total += math.Exp(k*drift + (k+logRests[i])*variation)
	}
	return total
}

// Pass returns bounds of the pass rate of the check; see Wilson.
func (e Estimate) Pass(delta float64) (lower, upper float64) {
	return Wilson(e.Passed, e.Passed+e.Failed, delta)
}

// ErrorRate returns bounds of the error rate; see Wilson.
func (e Estimate) ErrorRate(delta float64) (lower, upper float64) {
	return Wilson(e.Errors, e.Served, delta)
}

// Wilson returns the one-sided score bounds of a proportion, each at level delta
// (Wilson: Probable Inference, the Law of Succession, and Statistical Inference,
// JASA 22, 1927). Without trials they are 0 and 1.
func Wilson(successes, trials, delta float64) (lower, upper float64) {
	if trials <= 0 {
		return 0, 1
	}
	z := distuv.UnitNormal.Quantile(1 - delta)
	p := successes / trials
	z2 := z * z / trials
	centre := p + z2/2
	width := z * math.Sqrt(p*(1-p)/trials+z2/(4*trials))
	return max(0, (centre-width)/(1+z2)), min(1, (centre+width)/(1+z2))
}
