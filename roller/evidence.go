package roller

import (
	"math"

	"rosemaryarch.example/rosemaryarch/rater"
)

// sample is what a test needs to know of n values in [0, 1].
type sample struct {
	n, sum, squares float64
}

// flip returns the sample of 1-x.
func (s sample) flip() sample {
	return sample{n: s.n, sum: s.n - s.sum, squares: s.n - 2*s.sum + s.squares}
}

func ratings(e rater.Estimate) sample { return sample{n: e.Rated, sum: e.Sum, squares: e.Squares} }

func failures(e rater.Estimate) sample {
	return sample{n: e.Served, sum: e.Errors, squares: e.Errors}
}

// The alternatives of both mixtures form a geometric grid, so that small and
// large differences each have one nearby.
const (
	gridPoints = 12
	gridRatio  = 0.7
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

const (
	minBaseline = 30   // values of the current version that a stratum needs
	edge        = 1e-9 // distance of a reference mean from 0 and 1
)

// strata compares two versions within spans of time, so that a common drift of
// both does not count: the share changes with time, so the spans weigh
// differently for the two versions.
type strata struct {
	fresh []sample
	old   []float64 // mean of the current version
	error []float64 // standard error of the mean of old from this stratum on, weighted like fresh
	mean  float64   // of fresh
	base  float64   // mean of old, weighted like fresh
	n     float64   // values in fresh
}

// compare returns the strata in which the current version has enough values.
func compare(candidate, baseline []rater.Estimate, of func(rater.Estimate) sample) strata {
	var s strata
	var variance []float64
	for i := range candidate {
		c, b := of(candidate[i]), of(baseline[i])
		if c.n <= 0 || b.n < minBaseline {
			continue
		}
		mean := b.sum / b.n
		s.fresh = append(s.fresh, c)
		s.old = append(s.old, mean)
		s.n += c.n
		s.mean += c.sum
		s.base += c.n * mean
		// The added 1/n keeps the variance of a rare event above 0.
		variance = append(variance, c.n*c.n*(max(0, b.squares/b.n-mean*mean)+1/b.n)/b.n)
	}
	if s.n > 0 {
		s.mean /= s.n
		s.base /= s.n
	}
	s.error = make([]float64, len(s.fresh))
	var n, sum float64
	for i := len(s.fresh) - 1; i >= 0; i-- {
		n += s.fresh[i].n
		sum += variance[i]
		s.error[i] = math.Sqrt(sum) / n
	}
	return s
}

// flip returns the strata of 1-x.
func (s strata) flip() strata {
	f := strata{error: s.error, mean: 1 - s.mean, base: 1 - s.base, n: s.n}
	for i := range s.fresh {
		f.fresh = append(f.fresh, s.fresh[i].flip())
		f.old = append(f.old, 1-s.old[i])
	}
	return f
}

// below returns the logarithm of an e-process against "in every stratum the mean
// of the new version is at least that of the current one less margin", where the
// current mean may be wrong by a number of standard errors. Under
// that hypothesis it exceeds log(1/alpha) at any time with probability at most
// alpha (Ville's inequality), so it may be looked at after every merge. It
// depends on the values only through their sums. It is the mean of two mixtures
// over a grid of bets k, with m the reference mean of a stratum:
//
//   - the likelihood ratio of Bernoulli variables whose odds are k times those
//     of m, which by convexity is a supermartingale for all values in [0, 1]
//     (Robbins 1970; Johari, Koomen, Pekelis, Walsh: Always Valid Inference,
//     Operations Research 70, 2022);
//   - exp(k·Σx + (k+log(1-k))·Σx²) for x = m - value, which adapts to a small
//     variance (Fan, Grama, Liu: Exponential inequalities for martingales,
//     Electronic Journal of Probability 20, 2015; Howard, Ramdas, McAuliffe,
//     Sekhon: Time-uniform, nonparametric, nonasymptotic confidence sequences,
//     Annals of Statistics 49, 2021).
//
// It is also a mean over the stratum from which values count, so that a version
// that turns bad late is not excused by its past (Shin, Ramdas, Rinaldo:
// E-detectors, New England Journal of Statistics in Data Science 2, 2024).
func (s strata) below(margin, errors float64) float64 {
	if len(s.fresh) == 0 {
		return 0
	}
	top, total := math.Inf(-1), 0.0
	for first := range s.fresh {
		var logs [2 * gridPoints]float64
		// The error of the current mean is larger for fewer strata, so each start has its own.
		slack := margin + errors*s.error[first]
		for i := first; i < len(s.fresh); i++ {
			addStratum(&logs, s.fresh[i], min(1-edge, max(edge, s.old[i]-slack)))
		}
		for _, x := range logs {
			if x > top {
				total *= math.Exp(top - x)
				top = x
			}
			total += math.Exp(x - top)
		}
	}
	return top + math.Log(total/float64(2*gridPoints*len(s.fresh)))
}

// addStratum adds the logarithms of one stratum with reference mean m for every bet.
func addStratum(logs *[2 * gridPoints]float64, x sample, m float64) {
	drift := x.n*m - x.sum
	variation := max(0, x.n*m*m-2*m*x.sum+x.squares)
	odds := m / (1 - m)
	for i, k := range bets {
		// With odds o of m and k·o of p, p/m = k·(1+o)/(1+k·o) and (1-p)/(1-m) = (1+o)/(1+k·o).
		logs[2*i] += x.sum*logBets[i] + x.n*math.Log((1+odds)/(1+k*odds))
		logs[2*i+1] += k*drift + (k+logRests[i])*variation
	}
}
