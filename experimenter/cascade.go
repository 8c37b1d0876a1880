package experimenter

import (
	"fmt"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/planner"
)

const (
	cascadeInstances   = 9
	cascadeLength      = 3 * clock.Hour
	cascadeSteady      = clock.Hour // start of the steady part
	cascadeRate        = 30         // requests per second
	cascadeTick        = clock.Second
	cascadeGossip      = 30 * clock.Second
	cascadePlanEvery   = 60 * clock.Second
	cascadeHalfLife    = 2 * clock.Hour
	cascadeCells       = 1 << 16
	cascadeBytes       = 64 << 10 // largest snapshot
	cascadeRatingLost  = 0.1      // share of ratings that never arrive
	cascadeRatingLag   = 60 * clock.Second
	cascadeCheckCost   = 0.1
	cascadeCheckNoise  = 0.05
	cascadeThreshold   = 0.75 // quality at which the check passes
	cascadeAnswerNoise = 0.08
	cascadeKnown       = 300000 // requests from which the planner with known qualities learns
)

// cascadeModels are the versions, the cheapest first. The quality of an answer
// is base - slope·difficulty and noise.
var cascadeModels = []struct {
	version           string
	cost, base, slope float64
}{
	{"small@1", 1, 0.92, 0.55},
	{"medium@1", 4, 0.93, 0.30},
	{"large@1", 15, 0.95, 0.10},
}

// cascadeKinds are the kinds of requests with their shares and the exponents of
// the distribution of their difficulty, which is Beta(a, b) for whole a and b.
var cascadeKinds = []struct {
	name  string
	share float64
	a, b  int
}{
	{"question", 0.6, 2, 6},
	{"report", 0.25, 4, 4},
	{"assessment", 0.15, 6, 2},
}

// cascadeWorkspaces are the shares of the requests and the target qualities.
var cascadeWorkspaces = []struct {
	share, target float64
	versions      int     // first of the permitted versions
	harder        float64 // added to the difficulty of its requests
}{
	{0.3, 0.80, 0, 0}, {0.2, 0.82, 0, 0}, {0.15, 0.84, 0, 0}, {0.1, 0.80, 0, 0.15}, {0.07, 0.85, 0, 0},
	{0.06, 0.78, 0, 0}, {0.04, 0.82, 1, 0}, {0.03, 0.80, 0, 0.15}, {0.03, 0.84, 0, 0}, {0.02, 0.80, 0, 0.15},
}

// Cascade returns the experiment on the cost at the target quality. Nine
// instances share counts by gossip; ratings cover a sample, arrive late and are
// lost at times. The baselines are always the best version, and a fixed cascade
// from the cheapest permitted version to the best. The row known_qualities is the
// planner with nearly exact means of all chains, which no learning can beat.
func Cascade() Experiment {
	return Experiment{
		Name:    "cascade",
		Summary: "cost and met quality against always the best version and a fixed cascade",
		Run:     runCascade,
	}
}

// cascadeRequest is one request with all its random outcomes, so that every
// policy meets the same.
type cascadeRequest struct {
	workspace, kind int
	quality         []float64 // by version
	passes          []bool    // whether the check of that version's answer passes
	rated           float64   // rated if under the plan's probability
	lag             clock.Millis
}

func drawCascadeRequest(r *rand.Rand) cascadeRequest {
	q := cascadeRequest{rated: r.Float64()}
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
	d := beta(r, cascadeKinds[q.kind].a, cascadeKinds[q.kind].b) + cascadeWorkspaces[q.workspace].harder
	for _, m := range cascadeModels {
		quality := min(1, max(0, m.base-m.slope*d+cascadeAnswerNoise*r.NormFloat64()))
		q.quality = append(q.quality, quality)
		q.passes = append(q.passes, quality+cascadeCheckNoise*r.NormFloat64() >= cascadeThreshold)
	}
	q.lag = clock.Millis(float64(cascadeRatingLag) * r.ExpFloat64())
	if r.Float64() < cascadeRatingLost {
		q.lag = 10 * cascadeLength
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

// cascadeMeter sums up what one policy did in one part of the run.
type cascadeMeter struct {
	cost, requests, twice float64
	quality, answers      []float64 // by workspace
}

func newCascadeMeter() *cascadeMeter {
	n := len(cascadeWorkspaces)
	return &cascadeMeter{quality: make([]float64, n), answers: make([]float64, n)}
}

// serve carries out a plan and returns the key of the answer and its quality.
func (m *cascadeMeter) serve(q *cascadeRequest, first, second int) (estimator.Key, float64) {
	k := estimator.Key{
		Workspace: cascadeWorkspace(q.workspace), Kind: cascadeKinds[q.kind].name,
		Version: cascadeModels[first].version, Step: estimator.StepOnly,
	}
	m.cost += cascadeModels[first].cost
	answer := first
	if second >= 0 {
		m.cost += cascadeCheckCost
		k.Step = estimator.StepFirst
		if !q.passes[first] {
			m.cost += cascadeModels[second].cost
			m.twice++
			answer = second
			k.From, k.Version, k.Step = k.Version, cascadeModels[second].version, estimator.StepEscalated
		}
	}
	m.requests++
	m.quality[q.workspace] += q.quality[answer]
	m.answers[q.workspace]++
	return k, q.quality[answer]
}

func cascadeWorkspace(w int) string { return fmt.Sprintf("workspace-%d", w) }

// below returns the number of workspaces under their target, and the least
// margin of all.
func (m *cascadeMeter) below() (count, margin float64) {
	margin = 1
	for w, x := range cascadeWorkspaces {
		d := m.quality[w]/m.answers[w] - x.target
		margin = min(margin, d)
		if d < 0 {
			count++
		}
	}
	return count, margin
}

// cascadeRun is the state of the planned policy.
type cascadeRun struct {
	random  *rand.Rand
	planner planner.Planner
	raters  []*estimator.Estimator
	since   [cascadeInstances][cascadeInstances]uint64 // change sent, by sender and receiver
	tables  [][]planner.Table                          // by instance, then workspace and kind
	pending map[clock.Millis][]cascadeRating           // by tick of arrival
	asked   float64
}

type cascadeRating struct {
	instance int
	key      estimator.Key
	at       clock.Millis
	quality  float64
}

func newCascadeRun(seed uint64) *cascadeRun {
	c := &cascadeRun{
		random: rand.New(rand.NewPCG(seed, 21)), planner: planner.Default(),
		pending: map[clock.Millis][]cascadeRating{},
	}
	for i := range cascadeInstances {
		c.raters = append(c.raters, estimator.New(fmt.Sprintf("i%d", i), 1, cascadeHalfLife, cascadeCells))
		c.tables = append(c.tables, newCascadeTables())
	}
	return c
}

// newCascadeTables returns a table without counts for each workspace and kind.
func newCascadeTables() []planner.Table {
	var tables []planner.Table
	for _, w := range cascadeWorkspaces {
		for range cascadeKinds {
			t := planner.Table{HasCheck: true, CheckCost: cascadeCheckCost, Target: w.target}
			for v, m := range cascadeModels {
				t.Version = append(t.Version, m.version)
				t.Permitted = append(t.Permitted, v >= w.versions)
				t.Cost = append(t.Cost, m.cost)
				t.Prior = append(t.Prior, m.base)
			}
			tables = append(tables, t)
		}
	}
	return tables
}

// tick handles what is due before the requests of the tick.
func (c *cascadeRun) tick(now clock.Millis) {
	for _, x := range c.pending[now] {
		c.raters[x.instance].CountRating(x.key, x.at, now, x.quality)
		x.key.Workspace = planner.AllWorkspaces
		c.raters[x.instance].CountRating(x.key, x.at, now, x.quality)
	}
	delete(c.pending, now)
	for i := range cascadeInstances {
		offset := clock.Millis(i) * cascadeTick
		if (now+offset)%cascadeGossip == 0 {
			c.gossip(i, now)
		}
		if (now+offset)%cascadePlanEvery == 0 {
			c.refresh(i, now)
		}
	}
}

// gossip sends the changes of one instance to a random other one.
func (c *cascadeRun) gossip(from int, now clock.Millis) {
	to := (from + 1 + c.random.IntN(cascadeInstances-1)) % cascadeInstances
	body, next, err := c.raters[from].Snapshot(c.since[from][to], cascadeBytes)
	if err != nil {
		panic(err)
	}
	if body == nil {
		return
	}
	if _, err := c.raters[to].Merge(body, now); err != nil {
		panic(err)
	}
	c.since[from][to] = next
}

func (c *cascadeRun) refresh(i int, now clock.Millis) {
	var kinds []string
	for _, k := range cascadeKinds {
		kinds = append(kinds, k.name)
	}
	for n := range c.tables[i] {
		workspace, kind := cascadeWorkspace(n/len(kinds)), kinds[n%len(kinds)]
		c.tables[i][n] = c.planner.Prepare(c.tables[i][n].WithCounts(c.raters[i], workspace, kind, kinds, now))
	}
}

// request plans and serves one request at a random instance.
func (c *cascadeRun) request(q *cascadeRequest, m *cascadeMeter, now clock.Millis) {
	i := c.random.IntN(cascadeInstances)
	t := &c.tables[i][q.workspace*len(cascadeKinds)+q.kind]
	if t.Only == nil {
		c.refresh(i, now)
	}
	plan := c.planner.Plan(t, c.random)
	k, quality := m.serve(q, plan.First, plan.Second)
	r, pooled := c.raters[i], k
	pooled.Workspace = planner.AllWorkspaces
	for _, k := range []estimator.Key{k, pooled} {
		r.CountAnswer(k, now, now, false)
		if plan.Second >= 0 {
			checked := k
			checked.Version, checked.From, checked.Step = t.Version[plan.First], "", estimator.StepFirst
			r.CountCheck(checked, now, now, k.Step == estimator.StepFirst)
		}
	}
	if q.rated < plan.RatingProbability {
		r.CountRatingRequest(k, now, now)
		r.CountRatingRequest(pooled, now, now)
		c.asked++
		due := (now + q.lag + cascadeTick) / cascadeTick * cascadeTick
		c.pending[due] = append(c.pending[due], cascadeRating{instance: i, key: k, at: now, quality: quality})
	}
}

// knownTables returns tables whose bounds are close to the true means.
func knownTables(r *rand.Rand, p planner.Planner) []planner.Table {
	tables := newCascadeTables()
	n := len(cascadeModels)
	for i := range tables {
		t := &tables[i]
		t.Only, t.First = make([]estimator.Estimate, n), make([]estimator.Estimate, n)
		t.Escalated = make([]estimator.Estimate, n*n)
	}
	for range cascadeKnown {
		q := drawCascadeRequest(r)
		t := &tables[q.workspace*len(cascadeKinds)+q.kind]
		for i, x := range q.quality {
			one := estimator.Estimate{Rated: 1, Sum: x, Squares: x * x}
			t.Only[i] = t.Only[i].Add(one)
			if q.passes[i] {
				one.Passed = 1
				t.First[i] = t.First[i].Add(one)
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
	r, run := rand.New(rand.NewPCG(seed, 20)), newCascadeRun(seed)
	choices := rand.New(rand.NewPCG(seed, 23))
	known := knownTables(rand.New(rand.NewPCG(seed, 22)), run.planner)
	best := len(cascadeModels) - 1
	names := []string{"always_best", "fixed_cascade", "planner", "known_qualities"}
	var all, steady [4]*cascadeMeter
	for i := range all {
		all[i], steady[i] = newCascadeMeter(), newCascadeMeter()
	}
	result := Result{
		Columns: []string{"cost_per_request", "cost_share", "steady_cost_share", "paid_twice_share",
			"workspaces_below", "least_margin", "rated_share"},
		XAxis: "minutes", YAxis: "cost per request", Curves: make([]Curve, len(names)),
	}
	for now := clock.Millis(0); now < cascadeLength; now += cascadeTick {
		run.tick(now)
		for range cascadeRate {
			q := drawCascadeRequest(r)
			run.request(&q, all[2], now)
			all[0].serve(&q, best, -1)
			all[1].serve(&q, cascadeWorkspaces[q.workspace].versions, best)
			plan := run.planner.Plan(&known[q.workspace*len(cascadeKinds)+q.kind], choices)
			all[3].serve(&q, plan.First, plan.Second)
		}
		if now == cascadeSteady {
			for i := range all {
				steady[i].cost, steady[i].requests = all[i].cost, all[i].requests
			}
		}
		if (now+cascadeTick)%(5*clock.Minute) == 0 {
			for i := range all {
				c := &result.Curves[i]
				c.Label = names[i]
				c.X = append(c.X, float64((now+cascadeTick)/clock.Minute))
				c.Y = append(c.Y, all[i].cost/all[i].requests)
			}
		}
	}
	asked := [4]float64{2: run.asked}
	for i, m := range all {
		below, margin := m.below()
		steadyShare := (m.cost - steady[i].cost) / (all[0].cost - steady[0].cost)
		result.Rows = append(result.Rows, Row{Label: names[i], Values: []float64{
			m.cost / m.requests, m.cost / all[0].cost, steadyShare, m.twice / m.requests, below, margin, asked[i] / m.requests}})
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
