package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat/distuv"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/promoter"
)

const (
	rolloutInstances  = 9
	rolloutTick       = 10 * clock.Second
	rolloutTicks      = 720 // two hours
	rolloutSpan       = 60  // ticks of a span in which the versions are compared
	rolloutRate       = 50  // requests per second of the fleet
	rolloutGossipLag  = 2   // ticks until other instances see a count, at most
	rolloutStopLag    = 1   // ticks until other instances see a stop record
	rolloutRated      = 0.2 // share of answers that are rated
	rolloutRatingLag  = 6   // ticks until a rating arrives, on average
	rolloutDeviation  = 0.15
	canaryShare       = 0.1
	goodRollouts      = 1000
	badRollouts       = 100
	rolloutGoroutines = 4
)

// rolloutCase is a kind of new version. The current version has an error rate of
// 1% and a mean quality of 0.8.
type rolloutCase struct {
	name      string
	runs      int
	good      bool
	errorRate float64
	quality   float64
	fromTick  int     // until then the version is as good as the current one
	drift     float64 // by which the quality of both versions falls and rises again
}

var rolloutCases = []rolloutCase{
	{name: "good", runs: goodRollouts, good: true, errorRate: 0.01, quality: 0.8},
	{name: "good_drift", runs: goodRollouts, good: true, errorRate: 0.01, quality: 0.8, drift: 0.1},
	{name: "errors_20%", runs: badRollouts, errorRate: 0.2, quality: 0.8},
	{name: "errors_5%", runs: badRollouts, errorRate: 0.05, quality: 0.8},
	{name: "quality_0.60", runs: badRollouts, errorRate: 0.01, quality: 0.6},
	{name: "quality_0.70", runs: badRollouts, errorRate: 0.01, quality: 0.7},
	{name: "quality_0.75", runs: badRollouts, errorRate: 0.01, quality: 0.75},
	{name: "late_quality", runs: badRollouts, errorRate: 0.01, quality: 0.6, fromTick: 360},
}

// Rollout returns the experiment on the roll-out of a new version. Nine
// instances share counts late, ratings arrive late and for a sample only. The
// baseline is a canary with 10% of the requests and without a test.
func Rollout() Experiment {
	return Experiment{
		Name:    "rollout",
		Summary: "requests exposed to bad versions and false stops against a fixed 10% canary",
		Run:     runRollout,
	}
}

// rolloutRun is the state of one roll-out.
type rolloutRun struct {
	kind    rolloutCase
	random  *rand.Rand
	roller  promoter.Promoter
	share   [rolloutInstances]float64
	sums    [rolloutInstances][]counted // counts before each tick
	pending [rolloutInstances][]counted // ratings by tick of arrival
	stops   []promoter.StopRecord
}

// counted holds the counts of the new and the current version.
type counted struct {
	fresh, old estimator.Estimate
}

func (c counted) plus(o counted) counted {
	return counted{fresh: c.fresh.Add(o.fresh), old: c.old.Add(o.old)}
}

func (c counted) minus(o counted) counted {
	return counted{fresh: c.fresh.Add(o.fresh.Scale(-1)), old: c.old.Add(o.old.Scale(-1))}
}

// rolloutOutcome is what one roll-out shows.
type rolloutOutcome struct {
	exposed float64 // requests on the new version while it is bad
	canary  float64 // those of the fixed canary
	stopped bool
	share   float64 // least share of an instance at the end
}

func newRolloutRun(kind rolloutCase, seed, number uint64) *rolloutRun {
	r := &rolloutRun{kind: kind, random: rand.New(rand.NewPCG(seed, 1000+number)), roller: promoter.Default("i0")}
	for i := range r.pending {
		r.pending[i] = make([]counted, rolloutTicks)
		r.sums[i] = make([]counted, rolloutTicks+1)
	}
	return r
}

func (r *rolloutRun) run() rolloutOutcome {
	var out rolloutOutcome
	for tick := range rolloutTicks {
		bad := !r.kind.good && tick >= r.kind.fromTick
		for i := range rolloutInstances {
			served, fresh := r.serve(i, tick, bad)
			if bad {
				out.exposed += fresh
				out.canary += canaryShare * served
			}
		}
		if r.decide(tick) {
			out.stopped = true
		}
	}
	out.share = slices.Min(r.share[:])
	return out
}

// serve counts the requests of one instance and tick, and its ratings that
// arrive now. It returns the requests of both versions and of the new one.
func (r *rolloutRun) serve(i, tick int, bad bool) (served, fresh float64) {
	served = distuv.Poisson{Lambda: rolloutRate * float64(rolloutTick) / 1000 / rolloutInstances, Src: r.random}.Rand()
	fresh = r.binomial(served, r.share[i])
	errorRate, quality := 0.01, 0.8
	if bad {
		errorRate, quality = r.kind.errorRate, r.kind.quality
	}
	shift := -r.kind.drift * math.Sin(math.Pi*float64(tick)/rolloutTicks)
	now := counted{
		fresh: estimator.Estimate{Served: fresh, Errors: r.binomial(fresh, errorRate)},
		old:   estimator.Estimate{Served: served - fresh, Errors: r.binomial(served-fresh, 0.01)},
	}
	for range int(r.binomial(fresh, rolloutRated)) {
		if at := r.arrival(tick); at < rolloutTicks {
			r.pending[i][at].fresh = r.pending[i][at].fresh.Add(r.rating(quality + shift))
		}
	}
	for range int(r.binomial(served-fresh, rolloutRated)) {
		if at := r.arrival(tick); at < rolloutTicks {
			r.pending[i][at].old = r.pending[i][at].old.Add(r.rating(0.8 + shift))
		}
	}
	r.sums[i][tick+1] = r.sums[i][tick].plus(now).plus(r.pending[i][tick])
	return served, fresh
}

func (r *rolloutRun) binomial(n, p float64) float64 {
	if n <= 0 || p <= 0 {
		return 0
	}
	return distuv.Binomial{N: n, P: min(1, p), Src: r.random}.Rand()
}

func (r *rolloutRun) arrival(tick int) int {
	return tick + int(rolloutRatingLag*r.random.ExpFloat64())
}

func (r *rolloutRun) rating(mean float64) estimator.Estimate {
	q := min(1, max(0, mean+rolloutDeviation*r.random.NormFloat64()))
	return estimator.Estimate{Rated: 1, Sum: q, Squares: q * q}
}

// decide lets one instance decide, in turn, from its own counts and the late
// ones of the others. It reports whether the version is stopped everywhere.
func (r *rolloutRun) decide(tick int) bool {
	now := clock.Millis(tick+1) * rolloutTick
	if n := len(r.stops); n > 0 {
		if now >= r.stops[0].At+rolloutStopLag*rolloutTick {
			r.share = [rolloutInstances]float64{}
		}
		return true
	}
	i := tick % rolloutInstances
	t := r.view(i, tick)
	share, _, stop := r.roller.Decide(&t, now)
	r.share[i] = share
	if stop != nil {
		r.stops = append(r.stops, *stop)
	}
	return len(r.stops) > 0
}

// view returns the roll-out as instance i knows it after a tick: its own counts
// and the late ones of the others.
func (r *rolloutRun) view(i, tick int) promoter.Rollout {
	t := promoter.Rollout{Version: "m@2", Current: "m@1", Ceiling: 1}
	var known [rolloutInstances]int
	for j := range known {
		known[j] = tick + 1
		if j != i {
			known[j] = max(0, tick+1-r.random.IntN(rolloutGossipLag+1))
		}
	}
	for from := 0; from <= tick; from += rolloutSpan {
		var sum counted
		for j, last := range known {
			if last > from {
				sum = sum.plus(r.sums[j][min(last, from+rolloutSpan)].minus(r.sums[j][from]))
			}
		}
		t.Candidate = append(t.Candidate, sum.fresh)
		t.Baseline = append(t.Baseline, sum.old)
	}
	return t
}

func runRollout(seed uint64) Result {
	result := Result{
		Columns: []string{"runs", "stopped_share", "exposed_mean", "canary_mean", "exposed_ratio", "end_share"},
		XAxis:   "case", YAxis: "exposed requests as a share of the canary's",
		Curves: []Curve{{Label: "roller"}},
	}
	for k, kind := range rolloutCases {
		outcomes := make([]rolloutOutcome, kind.runs)
		var group errgroup.Group
		group.SetLimit(rolloutGoroutines)
		for n := range outcomes {
			group.Go(func() error {
				outcomes[n] = newRolloutRun(kind, seed, uint64(k)<<32|uint64(n)).run()
				return nil
			})
		}
		_ = group.Wait() // the runs return no error
		result.addRollout(kind, outcomes)
	}
	return result
}

func (r *Result) addRollout(kind rolloutCase, outcomes []rolloutOutcome) {
	var stopped, exposed, canary, share float64
	runs := float64(len(outcomes))
	for _, o := range outcomes {
		if o.stopped {
			stopped++
		}
		exposed += o.exposed
		canary += o.canary
		share += o.share
	}
	ratio := 0.0
	if canary > 0 {
		ratio = exposed / canary
	}
	r.Rows = append(r.Rows, Row{Label: kind.name, Values: []float64{
		runs, stopped / runs, exposed / runs, canary / runs, ratio, share / runs}})
	if kind.good {
		r.Targets = append(r.Targets, Target{Name: "false_stops_" + kind.name, Measured: stopped / runs, Limit: 0.01})
		return
	}
	c := &r.Curves[0]
	c.X, c.Y = append(c.X, float64(len(c.X))), append(c.Y, ratio)
	r.Targets = append(r.Targets, Target{Name: "exposed_ratio_" + kind.name, Measured: ratio, Limit: 0.1})
}
