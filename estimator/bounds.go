package estimator

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate holds the weighted sums of the counts from which quality, error rate
// and pass rate are estimated. Counts of old buckets have weights below 1. The
// weighted sums serve as sample sizes, which is conservative: for weights of at
// most 1, Kish's effective sample size is at least as large.
type Estimate struct {
	Served  float64 // answers
	Errors  float64 // answers that failed
	Asked   float64 // answers for which a rating was requested
	Rated   float64 // ratings received
	Sum     float64 // sum of the rated qualities, each in [0, 1]
	Squares float64 // sum of their squares
	Passed  float64 // checks passed
	Failed  float64 // checks failed
}

// Add returns the sum of the two estimates.
func (e Estimate) Add(o Estimate) Estimate {
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

// MissingShare returns the share of the requested ratings that have not arrived, in
// [0, 1], or 0 if none was requested. Missing ratings count neither for nor against
// a version.
func (e Estimate) MissingShare() float64 {
	if e.Asked <= 0 {
		return 0
	}
	return max(0, 1-e.Rated/e.Asked)
}

// PassRate returns the share of checks that passed, or 0 without checks.
func (e Estimate) PassRate() float64 {
	n := e.Passed + e.Failed
	if n <= 0 {
		return 0
	}
	return e.Passed / n
}

// QualityBounds returns one-sided confidence bounds of the mean quality. Each is
// violated with probability at most delta, also if it is evaluated after every
// rating. The upper bound is the smallest m that is refuted by the mean, over a
// grid of bets k, of exp(k·Σx + (k+log(1-k))·Σx²) with x = m - quality. If the
// qualities are in [0, 1] and their mean is m or more, that is a supermartingale
// with initial value 1 (Fan, Grama, Liu: Exponential inequalities for
// martingales, Electronic Journal of Probability 20, 2015), so it reaches
// 1/delta with probability at most delta (Ville's inequality). The lower bound
// follows from the upper bound of 1 - quality. Without ratings the bounds are 0
// and 1.
func (e Estimate) QualityBounds(delta float64) (lower, upper float64) {
	if e.Rated <= 0 {
		return 0, 1
	}
	upper = upperMean(e.Rated, e.Sum, e.Squares, delta)
	lower = 1 - upperMean(e.Rated, e.Rated-e.Sum, e.Rated-2*e.Sum+e.Squares, delta)
	return lower, upper
}

const (
	betRatio       = 0.7 // between neighbours of the grid
	bisectionSteps = 20  // resolves a bound to 2^-20
)

// bets holds the geometric grid of the bets k, and logComplements the values
// log(1-k).
var bets, logComplements = func() (k, logs [12]float64) {
	x := 1.0
	for i := range k {
		x *= betRatio
		k[i], logs[i] = x, math.Log1p(-x)
	}
	return k, logs
}()

// upperMean returns, by bisection, the smallest m above the observed mean such
// that n values with the given sum and sum of squares refute a mean of m or more
// at level delta. It returns 1 if there is none.
func upperMean(n, sum, squares, delta float64) float64 {
	threshold := float64(len(bets)) / delta
	low, high := min(1, max(0, sum/n)), 1.0
	if wealth(n, sum, squares, high) < threshold {
		return 1
	}
	for range bisectionSteps {
		if mid := (low + high) / 2; wealth(n, sum, squares, mid) >= threshold {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// wealth returns the sum, over the grid of bets, of the supermartingales for the
// hypothesis that the mean is m or more; see Estimate.QualityBounds.
func wealth(n, sum, squares, m float64) float64 {
	drift := n*m - sum
	variation := max(0, n*m*m-2*m*sum+squares)
	var total float64
	for i, k := range bets {
		total += math.Exp(k*drift + (k+logComplements[i])*variation)
	}
	return total
}

// PassRateBounds returns one-sided bounds of the pass rate of the check, each at
// level delta; see Wilson.
func (e Estimate) PassRateBounds(delta float64) (lower, upper float64) {
	return Wilson(e.Passed, e.Passed+e.Failed, delta)
}

// ErrorRateBounds returns one-sided bounds of the error rate, each at level delta;
// see Wilson.
func (e Estimate) ErrorRateBounds(delta float64) (lower, upper float64) {
	return Wilson(e.Errors, e.Served, delta)
}

// Wilson returns the one-sided score bounds of a proportion, each at level delta
// (Wilson: Probable Inference, the Law of Succession, and Statistical Inference,
// JASA 22, 1927). Without trials the bounds are 0 and 1.
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
