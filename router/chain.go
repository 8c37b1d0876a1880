package router

import (
	"context"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/planner"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/roller"
)

// chain is the versions that a request runs on, in order. The answer of the
// first of two is checked before it is delivered.
type chain struct {
	versions []string
	reason   string
	rate     float64 // probability with which the answer should be rated; 0: the service's share
	pinned   bool    // the session keeps its version
	// displaced is the version that the session had to leave, or "".
	displaced string
}

// expectedTokens is the length of a prompt and of an answer that prices are
// compared at.
const expectedTokens = 256

// chain returns the versions for a request, or a refusal.
func (r *Router) chain(ctx context.Context, v View, w *parser.Workspace, s *parser.Service, q Request) (chain, error) {
	if q.Partial != "" {
		return r.resumedChain(ctx, v, w, s, q)
	}
	if q.Session != "" {
		if pinned := r.o.Pinned(ctx, w.Name, q.Session, q.Token); pinned != "" {
			if v.usable(w, s, pinned) && matches(q.Model, pinned) {
				return chain{versions: []string{pinned}, reason: "session", pinned: true}, nil
			}
			if v.usable(w, s, pinned) { // the caller asks for another model this time
				return r.newChain(v, w, s, q)
			}
			r.o.Meter.Event("session_moved_" + v.whyNot(pinned))
			c, err := r.newChain(v, w, s, q)
			c.displaced = pinned
			return c, err
		}
	}
	return r.newChain(v, w, s, q)
}

// resumedChain continues a broken answer: only the version that began it can.
func (r *Router) resumedChain(
	ctx context.Context, v View, w *parser.Workspace, s *parser.Service, q Request,
) (chain, error) {
	version := q.Model
	if q.Session != "" {
		if pinned := r.o.Pinned(ctx, w.Name, q.Session, q.Token); pinned != "" {
			version = pinned
		}
	}
	switch {
	case !strings.Contains(version, "@"):
		return chain{}, refuser.ErrInvalidBody.WithMessage("partial needs the version that began the answer")
	case v.Fleet.Permits(w, s, version) && v.Stopped[version]:
		return chain{}, refuser.ErrWithdrawn.WithMessage("version %s is stopped", version)
	case !v.usable(w, s, version):
		return chain{}, v.refusal(w, version)
	}
	return chain{versions: []string{version}, reason: "resumed", pinned: true}, nil
}

// usable reports whether the workspace may use the version now.
func (v View) usable(w *parser.Workspace, s *parser.Service, version string) bool {
	return v.Fleet.Permits(w, s, version) && !v.Stopped[version]
}

// whyNot names why a session cannot keep its version.
func (v View) whyNot(version string) string {
	known, ok := v.Fleet.Version(version)
	switch {
	case !ok:
		return "version_removed"
	case known.State == parser.StateWithdrawn:
		return "version_withdrawn"
	case v.Stopped[version]:
		return "version_stopped"
	default:
		return "version_not_permitted"
	}
}

// refusal tells why a version cannot be used.
func (v View) refusal(w *parser.Workspace, version string) error {
	known, ok := v.Fleet.Version(version)
	switch {
	case !ok:
		return refuser.ErrUnknownModel.WithMessage("version %s does not exist", version)
	case known.State == parser.StateWithdrawn:
		return refuser.ErrWithdrawn.WithMessage("version %s is withdrawn", version)
	case v.Stopped[version]:
		return refuser.ErrWithdrawn.WithMessage("version %s is stopped", version)
	default:
		return refuser.ErrForbiddenVersion.WithMessage("workspace %q may not use %s", w.Name, version)
	}
}

// matches reports whether a version is what the caller asked for: "", a model,
// or model@version.
func matches(wish, version string) bool {
	if wish == "" || wish == version {
		return true
	}
	model, _, _ := strings.Cut(version, "@")
	return wish == model
}

// newChain plans the versions of a request that has no version yet.
func (r *Router) newChain(v View, w *parser.Workspace, s *parser.Service, q Request) (chain, error) {
	if strings.Contains(q.Model, "@") {
		if !v.usable(w, s, q.Model) {
			return chain{}, v.refusal(w, q.Model)
		}
		return chain{versions: []string{q.Model}, reason: "caller"}, nil
	}
	t, err := r.table(v, w, s, q)
	if err != nil {
		return chain{}, err
	}
	r.mu.Lock()
	p := r.planner(s).Plan(t, r.o.Random)
	r.mu.Unlock()
	if p.First < 0 {
		return chain{}, refuser.ErrForbiddenVersion.WithMessage("no version is permitted")
	}
	c := chain{reason: p.Reason, rate: p.Rate}
	for _, step := range []int{p.First, p.Second} {
		if step < 0 {
			continue
		}
		version := r.rollOut(v, w, s, t.Version[step], q)
		c.versions = append(c.versions, version)
		if version != t.Version[step] {
			c.rate = 1 // the test of the new version learns from every answer
		}
	}
	return c, nil
}

// planner returns the planner for a service, which may send a share of its
// answers to the rating service.
func (r *Router) planner(s *parser.Service) planner.Planner {
	p := r.o.Planner
	p.Rate = s.RatingPercent / 100
	return p
}

// planKey names the requests that share one planner's table.
type planKey struct {
	fleet                     *parser.Fleet
	workspace, service, model string
	checked                   bool
}

type planTable struct {
	planner.Table
	stopped int // stop records when the table was made
	until   clock.Millis
}

const (
	// planLifetime is how long a table is used: its bounds take most of the time
	// of a plan and change slowly.
	planLifetime = 200 * clock.Millis(1)
	maxPlans     = 4096
)

// table returns the planner's table for a request, with the counts of a moment ago.
func (r *Router) table(v View, w *parser.Workspace, s *parser.Service, q Request) (*planner.Table, error) {
	now := r.o.Now()
	// A session keeps the version that answers it first, so a chain of two would
	// bind it to a version whose later answers nobody checks.
	checked := q.Session == "" && r.checks.healthy(now)
	key := planKey{v.Fleet, w.Name, s.Name, q.Model, checked}
	r.mu.Lock()
	known, ok := r.plans[key]
	r.mu.Unlock()
	if ok && now < known.until && known.stopped == len(v.Stopped) {
		return &known.Table, nil
	}
	t, err := r.candidates(v, w, s, q)
	if err != nil {
		return nil, err
	}
	var kinds []string
	for _, name := range w.Services {
		if other, ok := v.Fleet.Service(name); ok && other.Kind == parser.KindModel {
			kinds = append(kinds, name)
		}
	}
	t = t.With(r.o.Rater, w.Name, s.Name, kinds, now)
	t.HasCheck = checked && r.mayBuffer(v.Fleet, w, t.Version)
	made := &planTable{Table: r.planner(s).Prepare(t), stopped: len(v.Stopped), until: now + planLifetime}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.plans) >= maxPlans {
		clear(r.plans)
	}
	r.plans[key] = made
	return &made.Table, nil
}

// mayBuffer reports whether a checked first step keeps the workspace's limit on
// the time to the first token: the step's answer is held until the check, and
// the first token of the second step comes after it.
func (r *Router) mayBuffer(f *parser.Fleet, w *parser.Workspace, versions []string) bool {
	if w.FirstTokenMS == 0 {
		return true
	}
	var second clock.Millis
	for _, version := range versions {
		v, _ := f.Version(version)
		second = max(second, f.Models[v.Model].FirstTokenMS)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, version := range versions {
		if d := r.duration[version]; d > 0 && d+second <= w.FirstTokenMS {
			return true
		}
	}
	return false
}

// candidates returns the planner's table: the current version of each model.
func (r *Router) candidates(v View, w *parser.Workspace, s *parser.Service, q Request) (planner.Table, error) {
	t := planner.Table{Target: w.Quality}
	known := q.Model == ""
	for _, m := range v.Fleet.Models {
		if q.Model != "" && q.Model != m.Name {
			continue
		}
		known = true
		version := v.current(w, s, m)
		if version == "" {
			continue
		}
		t.Version = append(t.Version, version)
		t.Permitted = append(t.Permitted, true)
		t.Cost = append(t.Cost, float64(v.Fleet.Cost(version, expectedTokens, expectedTokens)))
		t.Prior = append(t.Prior, m.PriorQuality)
	}
	switch {
	case !known:
		return t, refuser.ErrUnknownModel.WithMessage("model %q does not exist", q.Model)
	case len(t.Version) == 0 && q.Model != "":
		return t, refuser.ErrForbiddenVersion.WithMessage("workspace %q may use no version of %q", w.Name, q.Model)
	case len(t.Version) == 0:
		return t, refuser.ErrForbiddenVersion.WithMessage("workspace %q may use no version for %q", w.Name, s.Name)
	}
	return t, nil
}

const bytesPerToken = 4

// current returns the newest serving version of a model that the workspace may
// use, or a canary if there is no serving one.
func (v View) current(w *parser.Workspace, s *parser.Service, m parser.Model) string {
	found := ""
	for _, x := range m.Versions {
		if !v.usable(w, s, x.Key) {
			continue
		}
		if x.State == parser.StateServing || found == "" {
			found = x.Key
		}
	}
	return found
}

// rollOut replaces a model's current version by its canary if the session falls
// into the canary's share. Requests without a session count as one each.
func (r *Router) rollOut(v View, w *parser.Workspace, s *parser.Service, version string, q Request) string {
	model, _, _ := strings.Cut(version, "@")
	session := q.Session
	if session == "" {
		session = q.ID
	}
	for _, m := range v.Fleet.Models {
		if m.Name != model {
			continue
		}
		for _, x := range m.Versions {
			share := v.Shares[x.Key]
			if x.State == parser.StateCanary && v.usable(w, s, x.Key) && roller.Takes(x.Key, w.Name+"/"+session, share) {
				return x.Key
			}
		}
	}
	return version
}

// key names the counts of one step of a chain.
func (c chain) key(w, s string, step int) rater.Key {
	k := rater.Key{Workspace: w, Kind: s, Version: c.versions[step]}
	switch {
	case len(c.versions) == 1:
		k.Step = rater.StepOnly
	case step == 0:
		k.Step = rater.StepFirst
	default:
		k.Step, k.From = rater.StepEscalated, c.versions[0]
	}
	return k
}

// learnDuration remembers how long whole answers of a version take.
func (r *Router) learnDuration(version string, took clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.duration[version]; old > 0 {
		took = (old*7 + took) / 8
	}
	r.duration[version] = took
}
