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

// Parameters of the roll-out experiment. Time advances in ticks.
const (
	rolloutInstances        = 9
	rolloutTick             = 10 * clock.Second
	rolloutTicks            = 720  // two hours
	rolloutBinTicks         = 60   // length of a bin in which the versions are compared, in ticks
	rolloutRequestRate      = 50   // requests per second at all instances together
	rolloutMaxGossipLag     = 2    // maximum delay until another instance sees a count, in ticks
	rolloutStopLag          = 1    // ticks until other instances see a stop record
	rolloutRatedShare       = 0.2  // share of the answers that are rated
	rolloutMeanRatingLag    = 6    // mean delay until a rating arrives, in ticks
	rolloutQualityDeviation = 0.15 // standard deviation of the quality of an answer
	rolloutCanaryShare      = 0.1  // share of the requests that go to the canary of the baseline
	rolloutGoodRuns         = 1000
	rolloutBadRuns          = 100
	rolloutGoroutines       = 4
)

// rolloutScenario describes a new version. The current version has an error rate
// of 1% and a mean quality of 0.8.
type rolloutScenario struct {
	name         string
	runs         int
	good         bool // not worse than the current version
	errorRate    float64
	quality      float64 // mean
	fromTick     int     // tick from which a bad version is worse than the current one
	qualityDrift float64 // amount by which the mean quality of both versions falls and then recovers during the run
}

var rolloutScenarios = []rolloutScenario{
	{name: "good", runs: rolloutGoodRuns, good: true, errorRate: 0.01, quality: 0.8},
	{name: "good_drift", runs: rolloutGoodRuns, good: true, errorRate: 0.01, quality: 0.8, qualityDrift: 0.1},
	{name: "errors_20%", runs: rolloutBadRuns, errorRate: 0.2, quality: 0.8},
	{name: "errors_5%", runs: rolloutBadRuns, errorRate: 0.05, quality: 0.8},
	{name: "quality_0.60", runs: rolloutBadRuns, errorRate: 0.01, quality: 0.6},
	{name: "quality_0.70", runs: rolloutBadRuns, errorRate: 0.01, quality: 0.7},
	{name: "quality_0.75", runs: rolloutBadRuns, errorRate: 0.01, quality: 0.75},
	{name: "late_quality", runs: rolloutBadRuns, errorRate: 0.01, quality: 0.6, fromTick: 360},
}

// Rollout returns the experiment on the roll-out of a new version. It measures the
// requests that a bad version gets, and how often a good version is stopped. Nine
// instances exchange counts with a delay, and a sample of the answers is rated
// with a delay. The baseline is a canary with a fixed share of 10% of the requests
// and no statistical test.
func Rollout() Experiment {
	return Experiment{
		Name:    "rollout",
		Summary: "requests exposed to bad versions and false stops against a fixed 10% canary",
		Run:     runRollout,
	}
}

// rolloutRun is the state of one roll-out.
type rolloutRun struct {
	scenario       rolloutScenario
	random         *rand.Rand
	promoter       promoter.Promoter
	share          [rolloutInstances]float64         // of requests on the new version, by instance
	cumulative     [rolloutInstances][]versionCounts // counts before each tick, by instance
	pendingRatings [rolloutInstances][]versionCounts // by instance and tick of arrival
	stops          []promoter.StopRecord
}

// versionCounts holds the counts of the new (candidate) and the current version.
type versionCounts struct {
	candidate, current estimator.Estimate
}

func (c versionCounts) add(o versionCounts) versionCounts {
	return versionCounts{candidate: c.candidate.Add(o.candidate), current: c.current.Add(o.current)}
}

func (c versionCounts) sub(o versionCounts) versionCounts {
	return versionCounts{
		candidate: c.candidate.Add(o.candidate.Scale(-1)), current: c.current.Add(o.current.Scale(-1))}
}

// rolloutOutcome is the result of one roll-out.
type rolloutOutcome struct {
	exposed       float64 // requests on the new version while it is worse than the current one
	canaryExposed float64 // the same for the fixed canary of the baseline
	stopped       bool
	minShare      float64 // smallest share of the new version at any instance at the end
}

func newRolloutRun(scenario rolloutScenario, seed, number uint64) *rolloutRun {
	r := &rolloutRun{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 1000+number)), promoter: promoter.Default("i0")}
	for i := range r.pendingRatings {
		r.pendingRatings[i] = make([]versionCounts, rolloutTicks)
		r.cumulative[i] = make([]versionCounts, rolloutTicks+1)
	}
	return r
}

func (r *rolloutRun) run() rolloutOutcome {
	var out rolloutOutcome
	for tick := range rolloutTicks {
		bad := !r.scenario.good && tick >= r.scenario.fromTick
		for i := range rolloutInstances {
			served, candidate := r.serve(i, tick, bad)
			if bad {
				out.exposed += candidate
				out.canaryExposed += rolloutCanaryShare * served
			}
		}
		if r.decide(tick) {
			out.stopped = true
		}
	}
	out.minShare = slices.Min(r.share[:])
	return out
}

// serve draws and counts the requests at one instance in a tick, and counts the
// ratings that arrive in it. It returns the number of requests on both versions
// together and on the new version.
func (r *rolloutRun) serve(i, tick int, bad bool) (served, candidate float64) {
	served = distuv.Poisson{
		Lambda: rolloutRequestRate * float64(rolloutTick) / 1000 / rolloutInstances, Src: r.random}.Rand()
	candidate = r.binomial(served, r.share[i])
	errorRate, quality := 0.01, 0.8
	if bad {
		errorRate, quality = r.scenario.errorRate, r.scenario.quality
	}
	shift := -r.scenario.qualityDrift * math.Sin(math.Pi*float64(tick)/rolloutTicks)
	now := versionCounts{
		candidate: estimator.Estimate{Served: candidate, Errors: r.binomial(candidate, errorRate)},
		current:   estimator.Estimate{Served: served - candidate, Errors: r.binomial(served-candidate, 0.01)},
	}
	for range int(r.binomial(candidate, rolloutRatedShare)) {
		if at := r.ratingTick(tick); at < rolloutTicks {
			r.pendingRatings[i][at].candidate = r.pendingRatings[i][at].candidate.Add(r.rating(quality + shift))
		}
	}
	for range int(r.binomial(served-candidate, rolloutRatedShare)) {
		if at := r.ratingTick(tick); at < rolloutTicks {
			r.pendingRatings[i][at].current = r.pendingRatings[i][at].current.Add(r.rating(0.8 + shift))
		}
	}
	r.cumulative[i][tick+1] = r.cumulative[i][tick].add(now).add(r.pendingRatings[i][tick])
	return served, candidate
}

// binomial draws how many of n requests have an outcome of probability p.
func (r *rolloutRun) binomial(n, p float64) float64 {
	if n <= 0 || p <= 0 {
		return 0
	}
	return distuv.Binomial{N: n, P: min(1, p), Src: r.random}.Rand()
}

// ratingTick draws the tick at which the rating of an answer arrives.
func (r *rolloutRun) ratingTick(tick int) int {
	return tick + int(rolloutMeanRatingLag*r.random.ExpFloat64())
}

// rating draws the rating of one answer.
func (r *rolloutRun) rating(mean float64) estimator.Estimate {
	q := min(1, max(0, mean+rolloutQualityDeviation*r.random.NormFloat64()))
	return estimator.Estimate{Rated: 1, Sum: q, Squares: q * q}
}

// decide updates the share of the new version at one instance, a different one in
// each tick. It reports whether an instance has stopped the version. The stop
// reaches the other instances after rolloutStopLag.
func (r *rolloutRun) decide(tick int) bool {
	now := clock.Millis(tick+1) * rolloutTick
	if n := len(r.stops); n > 0 {
		if now >= r.stops[0].At+rolloutStopLag*rolloutTick {
			r.share = [rolloutInstances]float64{}
		}
		return true
	}
	i := tick % rolloutInstances
	rollout := r.rolloutAt(i, tick)
	share, _, stop := r.promoter.Decide(&rollout, now)
	r.share[i] = share
	if stop != nil {
		r.stops = append(r.stops, *stop)
	}
	return len(r.stops) > 0
}

// rolloutAt returns the roll-out as instance i knows it after a tick: its own
// counts, and the counts of the others up to an earlier tick.
func (r *rolloutRun) rolloutAt(i, tick int) promoter.Rollout {
	rollout := promoter.Rollout{Version: "m@2", Current: "m@1", Ceiling: 1}
	var lastTick [rolloutInstances]int
	for j := range lastTick {
		lastTick[j] = tick + 1
		if j != i {
			lastTick[j] = max(0, tick+1-r.random.IntN(rolloutMaxGossipLag+1))
		}
	}
	for from := 0; from <= tick; from += rolloutBinTicks {
		var sum versionCounts
		for j, last := range lastTick {
			if last > from {
				sum = sum.add(r.cumulative[j][min(last, from+rolloutBinTicks)].sub(r.cumulative[j][from]))
			}
		}
		rollout.Candidate = append(rollout.Candidate, sum.candidate)
		rollout.Baseline = append(rollout.Baseline, sum.current)
	}
	return rollout
}

func runRollout(seed uint64) Result {
	result := Result{
		Columns: []string{"runs", "stopped_share", "exposed_mean", "canary_mean", "exposed_ratio", "end_share"},
		XAxis:   "case", YAxis: "exposed requests as a share of the canary's",
		Curves: []Curve{{Label: "roller"}},
	}
	for k, scenario := range rolloutScenarios {
		outcomes := make([]rolloutOutcome, scenario.runs)
		var group errgroup.Group
		group.SetLimit(rolloutGoroutines)
		for n := range outcomes {
			group.Go(func() error {
				outcomes[n] = newRolloutRun(scenario, seed, uint64(k)<<32|uint64(n)).run()
				return nil
			})
		}
		_ = group.Wait() // the runs return no error
		result.addRollout(scenario, outcomes)
	}
	return result
}

// addRollout adds the row of a scenario, and its target.
func (r *Result) addRollout(scenario rolloutScenario, outcomes []rolloutOutcome) {
	var stopped, exposed, canary, share float64
	runs := float64(len(outcomes))
	for _, o := range outcomes {
		if o.stopped {
			stopped++
		}
		exposed += o.exposed
		canary += o.canaryExposed
		share += o.minShare
	}
	ratio := 0.0
	if canary > 0 {
		ratio = exposed / canary
	}
	r.Rows = append(r.Rows, Row{Label: scenario.name, Values: []float64{
		runs, stopped / runs, exposed / runs, canary / runs, ratio, share / runs}})
	if scenario.good {
		r.Targets = append(r.Targets, Target{Name: "false_stops_" + scenario.name, Measured: stopped / runs, Limit: 0.01})
		return
	}
	c := &r.Curves[0]
	c.X, c.Y = append(c.X, float64(len(c.X))), append(c.Y, ratio)
	r.Targets = append(r.Targets, Target{Name: "exposed_ratio_" + scenario.name, Measured: ratio, Limit: 0.1})
}
