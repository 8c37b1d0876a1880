package roller

import "math"

// sample is what a test needs to know of n values in [0, 1].
type sample struct {
	n, sum, squares float64
}

// mean returns the mean of the values, or without values the given one.
func (s sample) mean(without float64) float64 {
	if s.n <= 0 {
		return without
	}
	return s.sum / s.n
}

// flip returns the sample of 1-x.
func (s sample) flip() sample {
	return sample{n: s.n, sum: s.n - s.sum, squares: s.n - 2*s.sum + s.squares}
}

// The alternatives of both mixtures form a geometric grid, so that small and
// large differences each have one nearby.
const (
	gridPoints = 12
	gridRatio  = 0.7
	boundSteps = 20 // halvings of the interval of a bound
)

// bets holds the grid, logBets the logarithms of k and logRests those of 1-k.
var bets, logBets, logRests = func() (k, log, rest [gridPoints]float64) {
	x := 1.0
	for i := range k {
		x *= gridRatio
		k[i], log[i], rest[i] = x, math.Log(x), math.Log1p(-x)
	}
	return k, log, rest
}()

// evidence returns the logarithm of an e-process against "the mean is at least
// m". Under that hypothesis it exceeds log(1/alpha) at any time with probability
// at most alpha (Ville's inequality). It depends on the values only through
// their sums, so merged counts are sufficient. It is the mean of two mixtures,
// each over a grid:
//
//   - the likelihood ratio of Bernoulli variables with means p < m and m, which
//     by convexity is a supermartingale for all values in [0, 1] (Robbins 1970;
//     Johari, Koomen, Pekelis, Walsh: Always Valid Inference, Operations
//     Research 70, 2022);
//   - exp(k·Σx + (k+log(1-k))·Σx²) for x = m - value, which adapts to a small
//     variance (Fan, Grama, Liu: Exponential inequalities for martingales,
//     Electronic Journal of Probability 20, 2015; Howard, Ramdas, McAuliffe,
//     Sekhon: Time-uniform, nonparametric, nonasymptotic confidence sequences,
//     Annals of Statistics 49, 2021).
func evidence(s sample, m float64) float64 {
	if s.n <= 0 || m <= 0 {
		return 0
	}
	m = min(m, 1-1e-9)
	drift := s.n*m - s.sum
	variation := max(0, s.n*m*m-2*m*s.sum+s.squares)
	var terms [2 * gridPoints]float64
	odds, top := m/(1-m), math.Inf(-1)
	for i, k := range bets {
		// With odds o of m and k·o of p, p/m = k·(1+o)/(1+k·o) and (1-p)/(1-m) = (1+o)/(1+k·o).
		ratio := s.sum*logBets[i] + s.n*math.Log((1+odds)/(1+k*odds))
		bet := k*drift + (k+logRests[i])*variation
		terms[2*i], terms[2*i+1] = ratio, bet
		top = max(top, ratio, bet)
	}
	var total float64
	for _, x := range terms {
		total += math.Exp(x - top)
	}
	return top + math.Log(total/(2*gridPoints))
}

// upper returns the upper end of an always-valid confidence sequence for the
// mean: the smallest value above the observed mean against which the evidence
// reaches 1/alpha.
func upper(s sample, alpha float64) float64 {
	if s.n <= 0 {
		return 1
	}
	goal := -math.Log(alpha)
	low, high := s.sum/s.n, 1.0
	if evidence(s, high) < goal {
		return 1
	}
	for range boundSteps {
		mid := (low + high) / 2
		if evidence(s, mid) >= goal {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// lower returns the lower end of an always-valid confidence sequence for the mean.
func lower(s sample, alpha float64) float64 { return 1 - upper(s.flip(), alpha) }
