package stager

import "math"

// Evidence counts the answers of one version.
type Evidence struct {
	Served     int     `cbor:"1,keyasint,omitempty"`
	Bad        int     `cbor:"2,keyasint,omitempty"`
	Timed      int     `cbor:"3,keyasint,omitempty"` // answers with a latency
	LogSum     float64 `cbor:"4,keyasint,omitempty"` // of the logarithms of the latencies in ms
	LogSquares float64 `cbor:"5,keyasint,omitempty"`
}

// Report is what one instance has seen of a roll-out.
type Report struct {
	Service string   `cbor:"1,keyasint"`
	Target  string   `cbor:"2,keyasint"`
	Elapsed int64    `cbor:"3,keyasint"` // ms since the instance saw the order
	Stopped bool     `cbor:"4,keyasint,omitempty"`
	OldBusy int      `cbor:"5,keyasint,omitempty"` // requests that run on the former version
	New     Evidence `cbor:"6,keyasint"`
	Old     Evidence `cbor:"7,keyasint"`
}

func (e Evidence) plus(o Evidence) Evidence {
	return Evidence{
		Served: e.Served + o.Served, Bad: e.Bad + o.Bad, Timed: e.Timed + o.Timed,
		LogSum: e.LogSum + o.LogSum, LogSquares: e.LogSquares + o.LogSquares,
	}
}

func (e Evidence) rate() float64 { return float64(e.Bad) / float64(max(1, e.Served)) }

// mean returns the mean and the variance of the mean of the log latencies.
func (e Evidence) mean() (m, v float64) {
	n := float64(e.Timed)
	m = e.LogSum / n
	return m, max(0.05, e.LogSquares/n-m*m) / n
}

// The bounds of a verdict. A bad version fails a third or more of its requests
// of one kind at least, or takes several times as long; three and a half
// standard errors make a false verdict in some thirty looks unlikely.
const (
	minBad      = 5   // failures before the rate counts
	minRise     = 0.1 // of the rate of failures over the former version's
	minSlower   = 2.2 // times the former version's latency
	minTimed    = 10  // latencies of each version
	minStandard = 3.5 // standard errors
)

// bad reports whether the new version is worse than the old one.
func bad(fresh, old Evidence) bool {
	if fresh.Bad >= minBad {
		p := old.plus(fresh).rate()
		n, m := float64(fresh.Served), float64(max(1, old.Served))
		standard := math.Sqrt(p * (1 - p) * (1/n + 1/m))
		rise := fresh.rate() - old.rate()
		if rise > minRise && rise > minStandard*standard || old.Served == 0 && fresh.rate() > 1.0/3 {
			return true
		}
	}
	if fresh.Timed < minTimed || old.Timed < minTimed {
		return false
	}
	fm, fv := fresh.mean()
	om, ov := old.mean()
	slower := fm - om
	return slower > math.Log(minSlower) && slower > minStandard*math.Sqrt(fv+ov)
}
