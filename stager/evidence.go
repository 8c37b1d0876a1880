package stager

import "math"

// Evidence summarises the responses of one version.
type Evidence struct {
	Served     int     `cbor:"1,keyasint,omitempty"` // responses that count
	Failures   int     `cbor:"2,keyasint,omitempty"` // responses that failed
	Timed      int     `cbor:"3,keyasint,omitempty"` // responses with a latency
	LogSum     float64 `cbor:"4,keyasint,omitempty"` // sum of the logarithms of the latencies in ms
	LogSquares float64 `cbor:"5,keyasint,omitempty"` // sum of the squares of these logarithms
}

// Report is the evidence of one instance about a roll-out.
type Report struct {
	Service     string   `cbor:"1,keyasint"`
	Target      string   `cbor:"2,keyasint"`
	Elapsed     int64    `cbor:"3,keyasint"`           // ms since any instance first saw the roll-out
	Stopped     bool     `cbor:"4,keyasint,omitempty"` // the target was judged bad
	OldInFlight int      `cbor:"5,keyasint,omitempty"` // requests in progress on the old version
	New         Evidence `cbor:"6,keyasint"`           // of the target
	Old         Evidence `cbor:"7,keyasint"`           // of all other versions
}

func (e Evidence) add(o Evidence) Evidence {
	return Evidence{
		Served: e.Served + o.Served, Failures: e.Failures + o.Failures, Timed: e.Timed + o.Timed,
		LogSum: e.LogSum + o.LogSum, LogSquares: e.LogSquares + o.LogSquares,
	}
}

func (e Evidence) failureRate() float64 { return float64(e.Failures) / float64(max(1, e.Served)) }

// logMean returns the mean of the logarithms of the latencies and the variance
// of that mean.
func (e Evidence) logMean() (m, v float64) {
	n := float64(e.Timed)
	m = e.LogSum / n
	return m, max(0.05, e.LogSquares/n-m*m) / n
}

// The bounds from which the target is worse. A bad version fails at least a third of its requests
// of one kind, or takes several times as long. The evidence is evaluated about
// thirty times in a roll-out, for which three and a half standard errors make a
// false verdict unlikely.
const (
	minFailures       = 5   // failures of the target, below which the rate does not count
	minRateIncrease   = 0.1 // failure rate of the target minus that of the old version
	minSlowdown       = 2.2 // ratio of the mean latencies
	minTimed          = 10  // latencies of each version
	minStandardErrors = 3.5 // of the difference between the versions
)

// isWorse reports whether the target is significantly worse than the old
// version, by its failure rate or by its latency. If the old version has served
// nothing, a failure rate above a third is enough.
func isWorse(target, old Evidence) bool {
	if target.Failures >= minFailures {
		p := old.add(target).failureRate()
		n, m := float64(target.Served), float64(max(1, old.Served))
		standardError := math.Sqrt(p * (1 - p) * (1/n + 1/m))
		increase := target.failureRate() - old.failureRate()
		if increase > minRateIncrease && increase > minStandardErrors*standardError ||
			old.Served == 0 && target.failureRate() > 1.0/3 {
			return true
		}
	}
	if target.Timed < minTimed || old.Timed < minTimed {
		return false
	}
	targetMean, targetVariance := target.logMean()
	oldMean, oldVariance := old.logMean()
	logRatio := targetMean - oldMean
	return logRatio > math.Log(minSlowdown) && logRatio > minStandardErrors*math.Sqrt(targetVariance+oldVariance)
}
