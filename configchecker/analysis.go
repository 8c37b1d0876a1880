package configchecker

import (
	"fmt"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/decoder"
	"rosemaryarch.example/rosemaryarch/parser"
)

// maxWork bounds the list items compared to find what workspaces may use: about a
// second. A fleet of 1,000 workspaces, 10 services, 10 models and 30 versions needs
// a fifth.
const maxWork = 50_000_000

// analysis finds the faults of a valid fleet.
type analysis struct {
	fleet    *parser.Fleet
	document decoder.Document
	models   map[string]parser.Model // by name
	findings []Finding
	omitted  int // findings beyond maxListed
	work     int // see maxWork
}

func newAnalysis(f *parser.Fleet, d decoder.Document) *analysis {
	a := &analysis{fleet: f, document: d, models: map[string]parser.Model{}}
	for _, m := range f.Models {
		a.models[m.Name] = m
	}
	return a
}

func (a *analysis) add(kind string, path []any, format string, args ...any) {
	if len(a.findings) == maxListed {
		a.omitted++
		return
	}
	a.findings = append(a.findings, Finding{
		Kind: kind, Path: decoder.PathText(path), Line: a.document.Line(path), Message: fmt.Sprintf(format, args...),
	})
}

func (a *analysis) findUnreachable() {
	f := a.fleet
	offered := map[string]bool{} // models that a service lists
	for i, s := range f.Services {
		a.checkRepeated(s.Models, "services", i, "models")
		for j, m := range s.Models {
			offered[m] = true
			if a.allWithdrawn(m) {
				a.add(KindUnreachable, []any{"services", i, "models", j},
					"service %q lists model %q, all versions of which are withdrawn", s.Name, m)
			}
		}
	}
	used, permitted := map[string]bool{}, map[string]bool{}
	complete := true
	for i := range f.Workspaces {
		for _, s := range f.Workspaces[i].Services {
			used[s] = true
		}
		complete = a.checkWorkspace(i, &f.Workspaces[i], permitted) && complete
	}
	for i, s := range f.Services {
		if !used[s.Name] {
			a.add(KindUnreachable, []any{"services", i}, "no workspace lists service %q", s.Name)
		}
	}
	for i, m := range f.Models {
		if !offered[m.Name] {
			a.add(KindUnreachable, []any{"models", i}, "no service lists model %q", m.Name)
			continue
		}
		for j, v := range m.Versions {
			if complete && v.State != parser.StateWithdrawn && !permitted[v.Key] {
				a.add(KindUnreachable, []any{"models", i, "versions", j}, "no workspace may use version %q", v.Key)
			}
		}
	}
}

// allWithdrawn reports whether all versions of the model are withdrawn.
func (a *analysis) allWithdrawn(model string) bool {
	for _, v := range a.models[model].Versions {
		if v.State != parser.StateWithdrawn {
			return false
		}
	}
	return true
}

// checkRepeated reports the items of a list that it has before.
func (a *analysis) checkRepeated(list []string, path ...any) {
	first := map[string]int{}
	for j, x := range list {
		if k, ok := first[x]; ok {
			a.add(KindUnreachable, append(path[:len(path):len(path)], j), "%q is listed already as item %d", x, k)
			continue
		}
		first[x] = j
	}
}

// checkWorkspace reports the services and models of a workspace that no request
// can use, and adds the versions that it may use to permitted. The result is
// false if that would take more than maxWork.
func (a *analysis) checkWorkspace(i int, w *parser.Workspace, permitted map[string]bool) bool {
	if len(w.KeySHA256) == 0 {
		a.add(KindUnreachable, []any{"workspaces", i}, "workspace %q has no key, so no caller belongs to it", w.Name)
	}
	if len(w.Services) == 0 {
		a.add(KindUnreachable, []any{"workspaces", i}, "workspace %q lists no service", w.Name)
	}
	a.checkRepeated(w.Services, "workspaces", i, "services")
	a.checkRepeated(w.Models, "workspaces", i, "models")
	matched := map[string]bool{} // models and versions that some service of the workspace uses
	for j, name := range w.Services {
		s, _ := a.fleet.Service(name)
		if s.Kind != parser.KindModel {
			continue
		}
		found := false
		for _, m := range s.Models {
			for _, v := range a.models[m].Versions {
				if a.work += 1 + len(w.Services) + len(s.Models) + len(w.Models); a.work > maxWork {
					a.add(KindError, []any{"workspaces", i}, "too many combinations of workspaces, services and versions "+
						"to find what workspace %q and the following ones may use", w.Name)
					return false
				}
				if a.fleet.Permits(w, s, v.Key) {
					found = true
					matched[m], matched[v.Key], permitted[v.Key] = true, true, true
				}
			}
		}
		if !found {
			a.add(KindUnreachable, []any{"workspaces", i, "services", j},
				"workspace %q may use no version of the models of service %q (%s)", w.Name, name, cut(strings.Join(s.Models, ", ")))
		}
	}
	listed := map[string]bool{}
	for _, m := range w.Models {
		listed[m] = true
	}
	for j, m := range w.Models {
		model, _, isVersion := strings.Cut(m, "@")
		switch {
		case !matched[m]:
			a.add(KindUnreachable, []any{"workspaces", i, "models", j},
				"no service of workspace %q has a version of %q that is not withdrawn", w.Name, m)
		case isVersion && listed[model]:
			a.add(KindUnreachable, []any{"workspaces", i, "models", j}, "%q is permitted already by %q", m, model)
		}
	}
	return true
}

func (a *analysis) findContradictions() {
	for i, m := range a.fleet.Models {
		a.checkShares(i, m)
	}
	for i, s := range a.fleet.Services {
		for j, name := range s.Models {
			if m := a.models[name]; m.FirstTokenMS >= s.DeadlineMS {
				a.add(KindContradiction, []any{"services", i, "models", j},
					"first_token_ms %d of model %q is not below deadline_ms %d of service %q",
					m.FirstTokenMS, name, s.DeadlineMS, s.Name)
			}
		}
		if r := a.fleet.Sessions.RetentionMS; r < s.DeadlineMS {
			a.add(KindContradiction, []any{"sessions", "retention_ms"},
				"retention_ms %d is below deadline_ms %d of service %q", r, s.DeadlineMS, s.Name)
		}
	}
	for i, w := range a.fleet.Workspaces {
		a.checkFirstToken(i, w)
	}
}

// checkShares checks the shares of canaries. A canary gets at most its share of the
// sessions only if another version serves the rest.
func (a *analysis) checkShares(i int, m parser.Model) {
	serving, sum := false, 0.0
	for _, v := range m.Versions {
		serving = serving || v.State == parser.StateServing
		if v.State == parser.StateCanary {
			sum += v.SharePercent
		}
	}
	if sum > 100 {
		a.add(KindContradiction, []any{"models", i, "versions"},
			"the share_percent of the canaries of model %q add up to %g", m.Name, sum)
	}
	for j, v := range m.Versions {
		path := []any{"models", i, "versions", j, "share_percent"}
		switch {
		case v.State == parser.StateCanary && !serving && v.SharePercent < 100:
			a.add(KindContradiction, path, "share_percent %g of canary %q has no effect, since model %q has no serving version",
				v.SharePercent, v.Key, m.Name)
		case v.State != parser.StateCanary && v.SharePercent != 0:
			a.add(KindContradiction, path, "share_percent %g has no effect in state %s of version %q",
				v.SharePercent, v.State, v.Key)
		}
	}
}

// checkFirstToken checks that a model which the workspace lists can meet its limit
// on the time to the first token.
func (a *analysis) checkFirstToken(i int, w parser.Workspace) {
	if w.MaxFirstTokenMS == 0 || len(w.Models) == 0 {
		return
	}
	var least clock.Millis
	fastest := ""
	for _, entry := range w.Models {
		name, _, _ := strings.Cut(entry, "@")
		if m := a.models[name]; fastest == "" || m.FirstTokenMS < least {
			fastest, least = name, m.FirstTokenMS
		}
	}
	if w.MaxFirstTokenMS < least {
		a.add(KindContradiction, []any{"workspaces", i, "first_token_ms"},
			"first_token_ms %d of workspace %q is below first_token_ms %d of its fastest model %q",
			w.MaxFirstTokenMS, w.Name, least, fastest)
	}
}
