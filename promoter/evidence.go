package promoter

import (
	"math"

	"rosemaryarch.example/rosemaryarch/estimator"
)

// sample holds the number, sum and sum of squares of values in [0, 1].
type sample struct {
	n, sum, sumOfSquares float64
}

// complement returns the sample of the values 1-x.
func (s sample) complement() sample {
	return sample{n: s.n, sum: s.n - s.sum, sumOfSquares: s.n - 2*s.sum + s.sumOfSquares}
}

// ratingSample returns the sample of the rated qualities.
func ratingSample(e estimator.Estimate) sample {
	return sample{n: e.Rated, sum: e.Sum, sumOfSquares: e.Squares}
}

// failureSample returns the sample of the answers, as 1 for a failure and 0 for a
// success.
func failureSample(e estimator.Estimate) sample {
	return sample{n: e.Served, sum: e.Errors, sumOfSquares: e.Errors}
}

// The alternatives of both mixtures form a geometric grid, so that there is one
// close to every difference between the versions, small or large.
const (
	gridPoints = 12
	gridRatio  = 0.7
)

// bets holds the grid of bets k, logBets the values of log(k) and logComplements
// those of log(1-k).
var bets, logBets, logComplements = func() (k, log, complement [gridPoints]float64) {
	x := 1.0
	for i := range k {
		x *= gridRatio
		k[i], log[i], complement[i] = x, math.Log(x), math.Log1p(-x)
	}
	return k, log, complement
}()

const (
	minBaselineSamples = 30   // least number of values of the current version in a stratum
	meanEpsilon        = 1e-9 // least distance of a reference mean from 0 and 1
)

// strata holds the values of a candidate (the new version) and a baseline (the
// current version) by span of time, in order of time. The versions are compared
// within each span, so that a drift common to both has no effect: as the share of
// the candidate changes with time, the spans have different weights for the two
// versions.
type strata struct {
	candidate      []sample  // values of the candidate in each stratum
	baseline       []float64 // mean of the baseline in each stratum
	baselineError  []float64 // standard error of the baseline mean over this and all later strata, weighted by candidate
	candidateMean  float64   // mean of the candidate over all strata
	baselineMean   float64   // mean of the baseline over all strata, weighted by the candidate's numbers of values
	candidateCount float64   // number of values of the candidate
}

// stratify returns the strata in which the candidate has values and the baseline
// has at least minBaselineSamples. The function sampleOf selects
// what is compared.
func stratify(candidate, baseline []estimator.Estimate, sampleOf func(estimator.Estimate) sample) strata {
	var s strata
	var variance []float64
	for i := range candidate {
		c, b := sampleOf(candidate[i]), sampleOf(baseline[i])
		if c.n <= 0 || b.n < minBaselineSamples {
			continue
		}
		mean := b.sum / b.n
		s.candidate = append(s.candidate, c)
		s.baseline = append(s.baseline, mean)
		s.candidateCount += c.n
		s.candidateMean += c.sum
		s.baselineMean += c.n * mean
		// The term 1/n keeps the estimated variance positive for an event that is too
		// rare to occur in the sample.
		variance = append(variance, c.n*c.n*(max(0, b.sumOfSquares/b.n-mean*mean)+1/b.n)/b.n)
	}
	if s.candidateCount > 0 {
		s.candidateMean /= s.candidateCount
		s.baselineMean /= s.candidateCount
	}
	s.baselineError = make([]float64, len(s.candidate))
	var n, sum float64
	for i := len(s.candidate) - 1; i >= 0; i-- {
		n += s.candidate[i].n
		sum += variance[i]
		s.baselineError[i] = math.Sqrt(sum) / n
	}
	return s
}

// complement returns the strata of the values 1-x.
func (s strata) complement() strata {
	complement := strata{
		baselineError: s.baselineError, candidateMean: 1 - s.candidateMean, baselineMean: 1 - s.baselineMean,
		candidateCount: s.candidateCount,
	}
	for i := range s.candidate {
		complement.candidate = append(complement.candidate, s.candidate[i].complement())
		complement.baseline = append(complement.baseline, 1-s.baseline[i])
	}
	return complement
}

// logEValue returns the logarithm of an e-process against the null hypothesis "in
// every stratum the mean of the candidate is at least that of the baseline less
// margin", where the baseline mean may deviate by a number of standard errors.
// Under the null hypothesis it ever exceeds log(1/alpha) with probability at most
// alpha (Ville's inequality), so it may be evaluated after every merge of counts.
// It depends on the values only through their sums. It is the mean of two
// mixtures over the grid of bets k, where m is the reference mean of a stratum,
// that is the baseline mean less margin and allowed deviation:
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
// It is also averaged over the first stratum that is included, so that good early
// values of a version do not mask a later decline (Shin, Ramdas, Rinaldo:
// E-detectors, New England Journal of Statistics in Data Science 2, 2024).
func (s strata) logEValue(margin, standardErrors float64) float64 {
	if len(s.candidate) == 0 {
		return 0
	}
	highest, scaledSum := math.Inf(-1), 0.0
	for first := range s.candidate {
		var logs [2 * gridPoints]float64
		// The standard error of the baseline mean depends on the strata that are
		// included, and is larger for fewer of them.
		slack := margin + standardErrors*s.baselineError[first]
		for i := first; i < len(s.candidate); i++ {
			addStratum(&logs, s.candidate[i], min(1-meanEpsilon, max(meanEpsilon, s.baseline[i]-slack)))
		}
		for _, x := range logs {
			if x > highest {
				scaledSum *= math.Exp(highest - x)
				highest = x
			}
			scaledSum += math.Exp(x - highest)
		}
	}
	return highest + math.Log(scaledSum/float64(2*gridPoints*len(s.candidate)))
}

// addStratum adds the logarithms of the factors of one stratum with reference mean
// m: for each bet that of the likelihood ratio and then that of the exponential.
func addStratum(logs *[2 * gridPoints]float64, x sample, m float64) {
	deviationSum := x.n*m - x.sum
	squaredDeviationSum := max(0, x.n*m*m-2*m*x.sum+x.sumOfSquares)
	odds := m / (1 - m)
	for i, k := range bets {
		// With odds o of m and k·o of p, p/m = k·(1+o)/(1+k·o) and (1-p)/(1-m) = (1+o)/(1+k·o).
		logs[2*i] += x.sum*logBets[i] + x.n*math.Log((1+odds)/(1+k*odds))
		logs[2*i+1] += k*deviationSum + (k+logComplements[i])*squaredDeviationSum
	}
}
