package router

import (
	"context"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// chain is the sequence of versions that a request runs on: one version, or a
// cascade of two, in which the answer of the first is checked before it is
// delivered and the second answers if the check fails.
type chain struct {
	versions          []string
	reason            string  // why the versions were chosen
	ratingProbability float64 // probability with which the answer should be rated; 0 stands for the service's share
	pinned            bool    // the request is bound to the version by its session or by a partial answer
	// displacedVersion is the version that the session was pinned to and can no
	// longer use, or "".
	displacedVersion string
}

// priceComparisonTokens is the length in tokens of the prompt and of the answer
// at which the prices of versions are compared.
const priceComparisonTokens = 256

// chooseChain returns the chain of versions for a request, or a refusal.
func (r *Router) chooseChain(
	ctx context.Context, config ConfigSnapshot, w *parser.Workspace, s *parser.Service, q Request,
) (chain, error) {
	if q.Partial != "" {
		return r.resumedChain(ctx, config, w, s, q)
	}
	if q.Session != "" {
		if pinned := r.opts.PinnedVersion(ctx, w.Name, q.Session, q.Token); pinned != "" {
			if config.usable(w, s, pinned) && matchesModel(q.Model, pinned) {
				return chain{versions: []string{pinned}, reason: "session", pinned: true}, nil
			}
			if config.usable(w, s, pinned) { // the caller requests another model than before
				return r.planChain(config, w, s, q)
			}
			r.opts.Meter.CountEvent("session_moved_" + config.unusableReason(pinned))
			c, err := r.planChain(config, w, s, q)
			c.displacedVersion = pinned
			return c, err
		}
	}
	return r.planChain(config, w, s, q)
}

// resumedChain returns the chain for a request that continues a partial answer.
// Only the version that began the answer can continue it.
func (r *Router) resumedChain(
	ctx context.Context, config ConfigSnapshot, w *parser.Workspace, s *parser.Service, q Request,
) (chain, error) {
	version := q.Model
	if q.Session != "" {
		if pinned := r.opts.PinnedVersion(ctx, w.Name, q.Session, q.Token); pinned != "" {
			version = pinned
		}
	}
	switch {
	case !strings.Contains(version, "@"):
		return chain{}, refuser.ErrInvalidBody.WithMessage("partial requires the version that began the answer")
	case config.Fleet.Permits(w, s, version) && config.Stopped[version]:
		return chain{}, refuser.ErrWithdrawn.WithMessage("version %s is stopped", version)
	case !config.usable(w, s, version):
		return chain{}, config.versionRefusal(w, version)
	}
	return chain{versions: []string{version}, reason: "resumed", pinned: true}, nil
}

// usable reports whether the workspace may use the version and no stop record
// names it.
func (c ConfigSnapshot) usable(w *parser.Workspace, s *parser.Service, version string) bool {
	return c.Fleet.Permits(w, s, version) && !c.Stopped[version]
}

// unusableReason returns the reason why a session cannot keep its version, as
// named in events.
func (c ConfigSnapshot) unusableReason(version string) string {
	known, ok := c.Fleet.Version(version)
	switch {
	case !ok:
		return "version_removed"
	case known.State == parser.StateWithdrawn:
		return "version_withdrawn"
	case c.Stopped[version]:
		return "version_stopped"
	default:
		return "version_not_permitted"
	}
}

// versionRefusal returns the refusal for a request of a version that is not
// usable.
func (c ConfigSnapshot) versionRefusal(w *parser.Workspace, version string) error {
	known, ok := c.Fleet.Version(version)
	switch {
	case !ok:
		return refuser.ErrUnknownModel.WithMessage("version %s does not exist", version)
	case known.State == parser.StateWithdrawn:
		return refuser.ErrWithdrawn.WithMessage("version %s is withdrawn", version)
	case c.Stopped[version]:
		return refuser.ErrWithdrawn.WithMessage("version %s is stopped", version)
	default:
		return refuser.ErrForbiddenVersion.WithMessage("workspace %q may not use %s", w.Name, version)
	}
}

// matchesModel reports whether a version satisfies the model field of a request,
// which is "", a model name, or model@version.
func matchesModel(requested, version string) bool {
	if requested == "" || requested == version {
		return true
	}
	model, _, _ := strings.Cut(version, "@")
	return requested == model
}

// planChain chooses the chain of a request that is not bound to a version: the
// version that the caller names, or else the chain that the planner chooses, with
// canaries in place of current versions according to their shares.
func (r *Router) planChain(config ConfigSnapshot, w *parser.Workspace, s *parser.Service, q Request) (chain, error) {
	if strings.Contains(q.Model, "@") {
		if !config.usable(w, s, q.Model) {
			return chain{}, config.versionRefusal(w, q.Model)
		}
		return chain{versions: []string{q.Model}, reason: "caller"}, nil
	}
	table, err := r.plannerTable(config, w, s, q)
	if err != nil {
		return chain{}, err
	}
	r.mu.Lock()
	plan := r.plannerFor(s).Plan(table, r.opts.Random)
	r.mu.Unlock()
	if plan.First < 0 {
		return chain{}, refuser.ErrForbiddenVersion.WithMessage("the workspace may use no version for the service")
	}
	c := chain{reason: plan.Reason, ratingProbability: plan.RatingProbability}
	for _, step := range []int{plan.First, plan.Second} {
		if step < 0 {
			continue
		}
		version := r.applyRollout(config, w, s, table.Version[step], q)
		c.versions = append(c.versions, version)
		if version != table.Version[step] {
			c.ratingProbability = 1 // the comparison of the canary uses every answer
		}
	}
	return c, nil
}

// plannerFor returns the planner with the share of answers that the service
// sends to the rating service.
func (r *Router) plannerFor(s *parser.Service) planner.Planner {
	p := r.opts.Planner
	p.RatingShare = s.RatingPercent / 100
	return p
}

// plannerTableKey identifies the requests that share one planner table.
type plannerTableKey struct {
	fleet                     *parser.Fleet
	workspace, service, model string
	checked                   bool // cascades are allowed
}

// cachedPlannerTable is a prepared planner table with the facts on which its
// validity depends.
type cachedPlannerTable struct {
	planner.Table
	stopped   int // number of stop records when the table was prepared
	expiresAt clock.Millis
}

const (
	// plannerTableLifetime is how long a prepared table is reused. The confidence
	// bounds in it take most of the time of a plan and change slowly.
	plannerTableLifetime = 200 * clock.Millis(1)
	// maxPlannerTables bounds the cache, which is cleared when it is full.
	maxPlannerTables = 4096
)

// plannerTable returns the prepared planner table for a request. Its counts are
// at most plannerTableLifetime old.
func (r *Router) plannerTable(
	config ConfigSnapshot, w *parser.Workspace, s *parser.Service, q Request,
) (*planner.Table, error) {
	now := r.opts.Now()
	// A session is pinned to the version that gives its first answer. A cascade could
	// pin it to its first version, whose later answers are not checked.
	checked := q.Session == "" && r.checkHealth.healthy(now)
	key := plannerTableKey{config.Fleet, w.Name, s.Name, q.Model, checked}
	r.mu.Lock()
	cached, ok := r.plannerTables[key]
	r.mu.Unlock()
	if ok && now < cached.expiresAt && cached.stopped == len(config.Stopped) {
		return &cached.Table, nil
	}
	table, err := r.candidates(config, w, s, q)
	if err != nil {
		return nil, err
	}
	var kinds []string
	for _, name := range w.Services {
		if other, ok := config.Fleet.Service(name); ok && other.Kind == parser.KindModel {
			kinds = append(kinds, name)
		}
	}
	table = table.WithCounts(r.opts.Estimator, w.Name, s.Name, kinds, now)
	table.HasCheck = checked && r.checkFitsFirstTokenLimit(config.Fleet, w, table.Version)
	entry := &cachedPlannerTable{
		Table: r.plannerFor(s).Prepare(table), stopped: len(config.Stopped), expiresAt: now + plannerTableLifetime,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.plannerTables) >= maxPlannerTables {
		clear(r.plannerTables)
	}
	r.plannerTables[key] = entry
	return &entry.Table, nil
}

// checkFitsFirstTokenLimit reports whether a cascade can meet the workspace's limit
// on the time to the first token. The first answer is buffered until its check, so
// the first token of the second version arrives after the time of a complete answer
// of the first and its own time to the first token.
func (r *Router) checkFitsFirstTokenLimit(f *parser.Fleet, w *parser.Workspace, versions []string) bool {
	if w.MaxFirstTokenMS == 0 {
		return true
	}
	var second clock.Millis
	for _, version := range versions {
		v, _ := f.Version(version)
		second = max(second, f.Models[v.ModelIndex].FirstTokenMS)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, version := range versions {
		if d := r.answerDuration[version]; d > 0 && d+second <= w.MaxFirstTokenMS {
			return true
		}
	}
	return false
}

// candidates returns a planner table without counts that lists the current
// version of each model which the request and the workspace permit.
func (r *Router) candidates(
	config ConfigSnapshot, w *parser.Workspace, s *parser.Service, q Request,
) (planner.Table, error) {
	table := planner.Table{Target: w.TargetQuality}
	modelExists := q.Model == ""
	for _, m := range config.Fleet.Models {
		if q.Model != "" && q.Model != m.Name {
			continue
		}
		modelExists = true
		version := config.currentVersion(w, s, m)
		if version == "" {
			continue
		}
		table.Version = append(table.Version, version)
		table.Permitted = append(table.Permitted, true)
		table.Cost = append(table.Cost, float64(config.Fleet.Cost(version, priceComparisonTokens, priceComparisonTokens)))
		table.Prior = append(table.Prior, m.PriorQuality)
	}
	switch {
	case !modelExists:
		return table, refuser.ErrUnknownModel.WithMessage("model %q does not exist", q.Model)
	case len(table.Version) == 0 && q.Model != "":
		return table, refuser.ErrForbiddenVersion.
			WithMessage("workspace %q may use no version of model %q", w.Name, q.Model)
	case len(table.Version) == 0:
		return table, refuser.ErrForbiddenVersion.
			WithMessage("workspace %q may use no version for service %q", w.Name, s.Name)
	}
	return table, nil
}

// bytesPerToken is the assumed mean length of a token, by which token counts are
// estimated from texts.
const bytesPerToken = 4

// currentVersion returns the newest serving version of a model that the workspace
// may use, or the oldest usable version in another state, such as a canary, if
// none is serving. It returns "" if no version is usable.
func (c ConfigSnapshot) currentVersion(w *parser.Workspace, s *parser.Service, m parser.Model) string {
	current := ""
	for _, candidate := range m.Versions {
		if !c.usable(w, s, candidate.Key) {
			continue
		}
		if candidate.State == parser.StateServing || current == "" {
			current = candidate.Key
		}
	}
	return current
}

// applyRollout returns the canary of the version's model if the session falls
// into the canary's share, or else the version itself. A request without a
// session counts as a session of its own.
func (r *Router) applyRollout(
	config ConfigSnapshot, w *parser.Workspace, s *parser.Service, version string, q Request,
) string {
	model, _, _ := strings.Cut(version, "@")
	session := q.Session
	if session == "" {
		session = q.ID
	}
	for _, m := range config.Fleet.Models {
		if m.Name != model {
			continue
		}
		for _, candidate := range m.Versions {
			share := config.Shares[candidate.Key]
			if candidate.State == parser.StateCanary && config.usable(w, s, candidate.Key) &&
				promoter.InShare(candidate.Key, w.Name+"/"+session, share) {
				return candidate.Key
			}
		}
	}
	return version
}

// estimatorKey returns the key under which the outcomes of one step of a chain are
// counted.
func (c chain) estimatorKey(w, s string, step int) estimator.Key {
	k := estimator.Key{Workspace: w, Kind: s, Version: c.versions[step]}
	switch {
	case len(c.versions) == 1:
		k.Step = estimator.StepOnly
	case step == 0:
		k.Step = estimator.StepFirst
	default:
		k.Step, k.From = estimator.StepEscalated, c.versions[0]
	}
	return k
}

// recordDuration updates the exponential moving average, with weight 1/8, of the
// time that a complete answer of a version takes.
func (r *Router) recordDuration(version string, duration clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if average := r.answerDuration[version]; average > 0 {
		duration = (average*7 + duration) / 8
	}
	r.answerDuration[version] = duration
}
