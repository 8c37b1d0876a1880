package experimenter

import (
	"fmt"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/planner"
)

// Parameters of the cascade experiment. Costs are relative to that of an answer of
// the cheapest version, qualities are between 0 and 1.
const (
	cascadeInstances        = 9
	cascadeDuration         = 3 * clock.Hour
	cascadeSteadyStart      = clock.Hour // after which steady_cost_share is measured
	cascadeRequestRate      = 30         // requests per second at all instances together
	cascadeTick             = clock.Second
	cascadeGossipInterval   = 30 * clock.Second // between two snapshots that an instance sends
	cascadePlanInterval     = 60 * clock.Second // between two updates of an instance's planning tables
	cascadeHalfLife         = 2 * clock.Hour    // of the counts
	cascadeMaxCells         = 1 << 16
	cascadeMaxSnapshotBytes = 64 << 10
	cascadeRatingLossShare  = 0.1 // share of ratings that never arrive
	cascadeMeanRatingLag    = 60 * clock.Second
	cascadeCheckCost        = 0.1
	cascadeCheckNoise       = 0.05   // standard deviation of the check's estimate of the quality
	cascadeCheckThreshold   = 0.75   // quality at which the check passes
	cascadeQualityNoise     = 0.08   // standard deviation of the quality of an answer
	cascadeKnownRequests    = 300000 // requests in the sample from which known_qualities takes its means
)

// cascadeModels are the versions, the cheapest first. The quality of an answer is
// base - slope·difficulty plus Gaussian noise, clipped to [0, 1].
var cascadeModels = []struct {
	version           string
	cost, base, slope float64
}{
	{"small@1", 1, 0.92, 0.55},
	{"medium@1", 4, 0.93, 0.30},
	{"large@1", 15, 0.95, 0.10},
}

// cascadeKinds are the kinds of requests, with their share of all requests and
// the parameters of their difficulty, which is distributed as Beta(a, b) with
// integer a and b.
var cascadeKinds = []struct {
	name  string
	share float64
	a, b  int
}{
	{"question", 0.6, 2, 6},
	{"report", 0.25, 4, 4},
	{"assessment", 0.15, 6, 2},
}

// cascadeWorkspaces are the workspaces, with their share of all requests and the
// target of their mean quality.
var cascadeWorkspaces = []struct {
	share, targetQuality float64
	firstVersion         int     // index of the cheapest permitted version; all better ones are permitted
	addedDifficulty      float64 // added to the difficulty of each request
}{
	{0.3, 0.80, 0, 0}, {0.2, 0.82, 0, 0}, {0.15, 0.84, 0, 0}, {0.1, 0.80, 0, 0.15}, {0.07, 0.85, 0, 0},
	{0.06, 0.78, 0, 0}, {0.04, 0.82, 1, 0}, {0.03, 0.80, 0, 0.15}, {0.03, 0.84, 0, 0}, {0.02, 0.80, 0, 0.15},
}

// Cascade returns the experiment on the cost of reaching the target quality. Nine
// instances exchange counts by gossip. A sample of the answers is rated; ratings
// arrive with a delay, and some are lost. One baseline always uses the best
// version, the other a fixed cascade from the cheapest permitted version to the
// best one. The row known_qualities is the planner with nearly exact means of all
// chains, which bounds what any learning planner can reach.
func Cascade() Experiment {
	return Experiment{
		Name:    "cascade",
		Summary: "cost and met quality against always the best version and a fixed cascade",
		Run:     runCascade,
	}
}

// cascadeRequest is a request with the random outcome of every choice, so that all
// policies are compared on the same outcomes.
type cascadeRequest struct {
	workspace, kind int
	quality         []float64    // of the answer, by version
	passes          []bool       // whether the answer passes the check, by version
	ratingDraw      float64      // the answer is rated if this is below the plan's probability
	ratingLag       clock.Millis // until the rating arrives
}

// drawCascadeRequest draws a request with all its outcomes.
func drawCascadeRequest(r *rand.Rand) cascadeRequest {
	q := cascadeRequest{ratingDraw: r.Float64()}
	for u := r.Float64(); q.workspace < len(cascadeWorkspaces)-1; q.workspace++ {
		if u -= cascadeWorkspaces[q.workspace].share; u < 0 {
			break
		}
	}
	for u := r.Float64(); q.kind < len(cascadeKinds)-1; q.kind++ {
		if u -= cascadeKinds[q.kind].share; u < 0 {
			break
		}
	}
	d := beta(r, cascadeKinds[q.kind].a, cascadeKinds[q.kind].b) + cascadeWorkspaces[q.workspace].addedDifficulty
	for _, m := range cascadeModels {
		quality := min(1, max(0, m.base-m.slope*d+cascadeQualityNoise*r.NormFloat64()))
		q.quality = append(q.quality, quality)
		q.passes = append(q.passes, quality+cascadeCheckNoise*r.NormFloat64() >= cascadeCheckThreshold)
	}
	q.ratingLag = clock.Millis(float64(cascadeMeanRatingLag) * r.ExpFloat64())
	if r.Float64() < cascadeRatingLossShare {
		q.ratingLag = 10 * cascadeDuration
	}
	return q
}

// beta draws from Beta(a, b) as a ratio of sums of exponential variables.
func beta(r *rand.Rand, a, b int) float64 {
	var x, y float64
	for range a {
		x += r.ExpFloat64()
	}
	for range b {
		y += r.ExpFloat64()
	}
	return x / (x + y)
}

// cascadeTotals holds the totals of one policy over a part of the run.
type cascadeTotals struct {
	cost, requests, escalated float64   // escalated: requests that a second version answered
	qualitySum, answers       []float64 // by workspace
}

func newCascadeTotals() *cascadeTotals {
	n := len(cascadeWorkspaces)
	return &cascadeTotals{qualitySum: make([]float64, n), answers: make([]float64, n)}
}

// serve adds a request that is answered by the first version and, if second is not
// negative and the check fails, by the second. It returns the key under which the
// answer is counted, and its quality.
func (t *cascadeTotals) serve(q *cascadeRequest, first, second int) (estimator.Key, float64) {
	k := estimator.Key{
		Workspace: cascadeWorkspaceName(q.workspace), Kind: cascadeKinds[q.kind].name,
		Version: cascadeModels[first].version, Step: estimator.StepOnly,
	}
	t.cost += cascadeModels[first].cost
	answer := first
	if second >= 0 {
		t.cost += cascadeCheckCost
		k.Step = estimator.StepFirst
		if !q.passes[first] {
			t.cost += cascadeModels[second].cost
			t.escalated++
			answer = second
			k.From, k.Version, k.Step = k.Version, cascadeModels[second].version, estimator.StepEscalated
		}
	}
	t.requests++
	t.qualitySum[q.workspace] += q.quality[answer]
	t.answers[q.workspace]++
	return k, q.quality[answer]
}

func cascadeWorkspaceName(w int) string { return fmt.Sprintf("workspace-%d", w) }

// belowTarget returns the number of workspaces whose mean quality is below their
// target, and the smallest margin above the target of all workspaces.
func (t *cascadeTotals) belowTarget() (count, margin float64) {
	margin = 1
	for w, workspace := range cascadeWorkspaces {
		d := t.qualitySum[w]/t.answers[w] - workspace.targetQuality
		margin = min(margin, d)
		if d < 0 {
			count++
		}
	}
	return count, margin
}

// cascadeRun is the state of the policy that uses the planner.
type cascadeRun struct {
	random           *rand.Rand
	planner          planner.Planner
	estimators       []*estimator.Estimator
	sentChange       [cascadeInstances][cascadeInstances]uint64 // last change sent, by sender and receiver
	tables           [][]planner.Table                          // by instance, then workspace and kind
	pendingRatings   map[clock.Millis][]cascadeRating           // by tick of arrival
	ratingsRequested float64
}

// cascadeRating is a rating that has not arrived yet.
type cascadeRating struct {
	instance int
	key      estimator.Key
	at       clock.Millis // of the answer
	quality  float64
}

func newCascadeRun(seed uint64) *cascadeRun {
	c := &cascadeRun{
		random: rand.New(rand.NewPCG(seed, 21)), planner: planner.Default(),
		pendingRatings: map[clock.Millis][]cascadeRating{},
	}
	for i := range cascadeInstances {
		c.estimators = append(c.estimators, estimator.New(fmt.Sprintf("i%d", i), 1, cascadeHalfLife, cascadeMaxCells))
		c.tables = append(c.tables, newCascadeTables())
	}
	return c
}

// newCascadeTables returns a planning table without counts for each pair of
// workspace and kind.
func newCascadeTables() []planner.Table {
	var tables []planner.Table
	for _, w := range cascadeWorkspaces {
		for range cascadeKinds {
			t := planner.Table{HasCheck: true, CheckCost: cascadeCheckCost, Target: w.targetQuality}
			for v, m := range cascadeModels {
				t.Version = append(t.Version, m.version)
				t.Permitted = append(t.Permitted, v >= w.firstVersion)
				t.Cost = append(t.Cost, m.cost)
				t.Prior = append(t.Prior, m.base)
			}
			tables = append(tables, t)
		}
	}
	return tables
}

// tick delivers the ratings that are due, and runs the periodic gossip and table
// updates. It is called before the requests of the tick.
func (c *cascadeRun) tick(now clock.Millis) {
	for _, x := range c.pendingRatings[now] {
		c.estimators[x.instance].CountRating(x.key, x.at, now, x.quality)
		x.key.Workspace = planner.AllWorkspaces
		c.estimators[x.instance].CountRating(x.key, x.at, now, x.quality)
	}
	delete(c.pendingRatings, now)
	for i := range cascadeInstances {
		offset := clock.Millis(i) * cascadeTick
		if (now+offset)%cascadeGossipInterval == 0 {
			c.gossip(i, now)
		}
		if (now+offset)%cascadePlanInterval == 0 {
			c.updateTables(i, now)
		}
	}
}

// gossip sends the changed counts of one instance to a random other one.
func (c *cascadeRun) gossip(from int, now clock.Millis) {
	to := (from + 1 + c.random.IntN(cascadeInstances-1)) % cascadeInstances
	body, next, err := c.estimators[from].Snapshot(c.sentChange[from][to], cascadeMaxSnapshotBytes)
	if err != nil {
		panic(err)
	}
	if body == nil {
		return
	}
	if _, err := c.estimators[to].Merge(body, now); err != nil {
		panic(err)
	}
	c.sentChange[from][to] = next
}

// updateTables recomputes the planning tables of an instance from its counts.
func (c *cascadeRun) updateTables(i int, now clock.Millis) {
	var kinds []string
	for _, k := range cascadeKinds {
		kinds = append(kinds, k.name)
	}
	for n := range c.tables[i] {
		workspace, kind := cascadeWorkspaceName(n/len(kinds)), kinds[n%len(kinds)]
		c.tables[i][n] = c.planner.Prepare(c.tables[i][n].WithCounts(c.estimators[i], workspace, kind, kinds, now))
	}
}

// request plans and serves one request at a random instance.
func (c *cascadeRun) request(q *cascadeRequest, totals *cascadeTotals, now clock.Millis) {
	i := c.random.IntN(cascadeInstances)
	t := &c.tables[i][q.workspace*len(cascadeKinds)+q.kind]
	if t.Only == nil {
		c.updateTables(i, now)
	}
	plan := c.planner.Plan(t, c.random)
	k, quality := totals.serve(q, plan.First, plan.Second)
	instanceEstimator, pooled := c.estimators[i], k
	pooled.Workspace = planner.AllWorkspaces
	for _, k := range []estimator.Key{k, pooled} {
		instanceEstimator.CountAnswer(k, now, now, false)
		if plan.Second >= 0 {
			checked := k
			checked.Version, checked.From, checked.Step = t.Version[plan.First], "", estimator.StepFirst
			instanceEstimator.CountCheck(checked, now, now, k.Step == estimator.StepFirst)
		}
	}
	if q.ratingDraw < plan.RatingProbability {
		instanceEstimator.CountRatingRequest(k, now, now)
		instanceEstimator.CountRatingRequest(pooled, now, now)
		c.ratingsRequested++
		due := (now + q.ratingLag + cascadeTick) / cascadeTick * cascadeTick
		c.pendingRatings[due] = append(c.pendingRatings[due], cascadeRating{instance: i, key: k, at: now, quality: quality})
	}
}

// knownTables returns planning tables whose bounds are close to the true means,
// from a large sample in which every chain of versions is rated.
func knownTables(r *rand.Rand, p planner.Planner) []planner.Table {
	tables := newCascadeTables()
	n := len(cascadeModels)
	for i := range tables {
		t := &tables[i]
		t.Only, t.First = make([]estimator.Estimate, n), make([]estimator.Estimate, n)
		t.Escalated = make([]estimator.Estimate, n*n)
	}
	for range cascadeKnownRequests {
		q := drawCascadeRequest(r)
		t := &tables[q.workspace*len(cascadeKinds)+q.kind]
		for i, x := range q.quality {
			rated := estimator.Estimate{Rated: 1, Sum: x, Squares: x * x}
			t.Only[i] = t.Only[i].Add(rated)
			if q.passes[i] {
				rated.Passed = 1
				t.First[i] = t.First[i].Add(rated)
				continue
			}
			t.First[i].Failed++
			for j, y := range q.quality {
				e := &t.Escalated[i*n+j]
				*e = e.Add(estimator.Estimate{Rated: 1, Sum: y, Squares: y * y})
			}
		}
	}
	for i := range tables {
		for _, list := range [][]estimator.Estimate{tables[i].Only, tables[i].First, tables[i].Escalated} {
			for k := range list {
				list[k] = list[k].Scale(1000)
			}
		}
		tables[i] = p.Prepare(tables[i])
	}
	return tables
}

func runCascade(seed uint64) Result {
	requests, run := rand.New(rand.NewPCG(seed, 20)), newCascadeRun(seed)
	choices := rand.New(rand.NewPCG(seed, 23))
	known := knownTables(rand.New(rand.NewPCG(seed, 22)), run.planner)
	best := len(cascadeModels) - 1
	names := []string{"always_best", "fixed_cascade", "planner", "known_qualities"}
	var totals, steady [4]*cascadeTotals
	for i := range totals {
		totals[i], steady[i] = newCascadeTotals(), newCascadeTotals()
	}
	result := Result{
		Columns: []string{"cost_per_request", "cost_share", "steady_cost_share", "paid_twice_share",
			"workspaces_below", "least_margin", "rated_share"},
		XAxis: "minutes", YAxis: "cost per request", Curves: make([]Curve, len(names)),
	}
	for now := clock.Millis(0); now < cascadeDuration; now += cascadeTick {
		run.tick(now)
		for range cascadeRequestRate {
			q := drawCascadeRequest(requests)
			run.request(&q, totals[2], now)
			totals[0].serve(&q, best, -1)
			totals[1].serve(&q, cascadeWorkspaces[q.workspace].firstVersion, best)
			plan := run.planner.Plan(&known[q.workspace*len(cascadeKinds)+q.kind], choices)
			totals[3].serve(&q, plan.First, plan.Second)
		}
		if now == cascadeSteadyStart {
			for i := range totals {
				steady[i].cost, steady[i].requests = totals[i].cost, totals[i].requests
			}
		}
		if (now+cascadeTick)%(5*clock.Minute) == 0 {
			for i := range totals {
				c := &result.Curves[i]
				c.Label = names[i]
				c.X = append(c.X, float64((now+cascadeTick)/clock.Minute))
				c.Y = append(c.Y, totals[i].cost/totals[i].requests)
			}
		}
	}
	ratingsRequested := [4]float64{2: run.ratingsRequested}
	for i, m := range totals {
		below, margin := m.belowTarget()
		steadyShare := (m.cost - steady[i].cost) / (totals[0].cost - steady[0].cost)
		result.Rows = append(result.Rows, Row{Label: names[i], Values: []float64{
			m.cost / m.requests, m.cost / totals[0].cost, steadyShare, m.escalated / m.requests, below, margin,
			ratingsRequested[i] / m.requests}})
	}
	planned := result.Rows[2].Values
	result.Targets = []Target{
		{Name: "cost_share_of_always_best", Measured: planned[1], Limit: 0.4},
		{Name: "steady_cost_share_of_always_best", Measured: planned[2], Limit: 0.4},
		{Name: "workspaces_below_target", Measured: planned[4], Limit: 0},
		{Name: "cost_share_of_fixed_cascade", Measured: planned[0] / result.Rows[1].Values[0], Limit: 1},
	}
	return result
}
