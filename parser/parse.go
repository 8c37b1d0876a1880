package parser

import (
	"regexp"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/decoder"
)

const (
	defaultDeadline  = 30 * clock.Second
	maxDeadline      = clock.Hour
	defaultRetention = 24 * clock.Hour

	defaultMaxConcurrent = 32
	concurrentLimit      = 10_000

	// maxErrors bounds the memory for the errors of a hostile text.
	maxErrors = 1_000

	maxWeight = 1_000_000.0
	maxCost   = 1_000_000_000 // micro-units; keeps the cost of a request within an int64
)

// namePattern restricts names to characters valid in store keys, URLs and metric
// labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Inspection is the full result of parsing a text.
type Inspection struct {
	Fleet    *Fleet           // nil if there are errors
	Document decoder.Document // for the lines of fields
	Errors   []error          // the first maxErrors, one for each entry, marked with decoder.ErrInvalid
}

// Parse parses and validates a configuration text. The file name is used in error
// messages only. Errors are marked with decoder.ErrInvalid.
func Parse(file string, text []byte) (*Fleet, error) {
	r := Inspect(file, text)
	if len(r.Errors) > 0 {
		return nil, r.Errors[0]
	}
	return r.Fleet, nil
}

// Inspect is like Parse and returns the errors of all entries. A text that is not
// a valid document has one error.
func Inspect(file string, text []byte) Inspection {
	f := &Fleet{}
	d, err := decoder.Decode(file, text, f)
	if err != nil {
		return Inspection{Errors: []error{err}}
	}
	c := checker{document: d, fleet: f}
	c.add(c.checkGeneral())
	c.checkDataCentres()
	c.checkModels()
	c.checkServices()
	c.checkWorkspaces()
	if len(c.errors) > 0 {
		return Inspection{Document: d, Errors: c.errors}
	}
	return Inspection{Fleet: f, Document: d}
}

type checker struct {
	document decoder.Document
	fleet    *Fleet
	models   map[string]bool // names, also of models with errors
	errors   []error
}

// add records the error of one entry, unless it is nil or maxErrors are recorded.
func (c *checker) add(err error) {
	if err != nil && len(c.errors) < maxErrors {
		c.errors = append(c.errors, err)
	}
}

// inRange reports whether x is in [low, high]. It is false for NaN.
func inRange(x, low, high float64) bool { return x >= low && x <= high }

// fieldPath returns a path for decoder.Document.Errorf.
func fieldPath(path ...any) []any { return path }

func (c *checker) checkName(name string, seen map[string]bool, path []any) error {
	if !namePattern.MatchString(name) {
		return c.document.Errorf(path, "%q is not a name (lower-case letters, digits, '.', '_', '-')", name)
	}
	if seen[name] {
		return c.document.Errorf(path, "%q is listed twice", name)
	}
	seen[name] = true
	return nil
}

func (c *checker) checkGeneral() error {
	f := c.fleet
	if !namePattern.MatchString(f.Name) {
		return c.document.Errorf(fieldPath("fleet"), "%q is not a name", f.Name)
	}
	if f.Sessions.RetentionMS < 0 {
		return c.document.Errorf(fieldPath("sessions", "retention_ms"), "must not be negative")
	}
	if f.Sessions.RetentionMS == 0 {
		f.Sessions.RetentionMS = defaultRetention
	}
	return nil
}

func (c *checker) checkDataCentres() {
	if len(c.fleet.DataCentres) == 0 {
		c.add(c.document.Errorf(fieldPath("data_centres"), "at least one data centre is needed"))
	}
	seen := map[string]bool{}
	for i, d := range c.fleet.DataCentres {
		err := c.checkName(d.Name, seen, fieldPath("data_centres", i, "name"))
		if err == nil && d.Region == "" {
			err = c.document.Errorf(fieldPath("data_centres", i, "region"), "data centre %q needs a region", d.Name)
		}
		c.add(err)
	}
}

// checkModels registers the names and versions of models with errors too, so that
// an error causes no further ones where the model is used.
func (c *checker) checkModels() {
	f := c.fleet
	f.versions, c.models = map[string]Version{}, map[string]bool{}
	seen := map[string]bool{}
	for i := range f.Models {
		m := &f.Models[i]
		c.models[m.Name] = true
		err := c.checkName(m.Name, seen, fieldPath("models", i, "name"))
		if err == nil {
			err = c.checkModel(i, m)
		}
		c.add(err)
		c.checkVersions(i, m)
	}
}

func (c *checker) checkModel(i int, m *Model) error {
	if m.InputCost < 0 || m.OutputCost < 0 || m.InputCost+m.OutputCost == 0 {
		return c.document.Errorf(fieldPath("models", i), "model %q needs costs above zero", m.Name)
	}
	if m.FirstTokenMS <= 0 {
		return c.document.Errorf(fieldPath("models", i, "first_token_ms"), "model %q needs a time above zero", m.Name)
	}
	if m.InputCost > maxCost || m.OutputCost > maxCost {
		return c.document.Errorf(fieldPath("models", i), "model %q has a cost above %d", m.Name, maxCost)
	}
	if !inRange(m.PriorQuality, 0, 1) {
		return c.document.Errorf(fieldPath("models", i, "prior_quality"), "must be between 0 and 1")
	}
	return c.checkMaxConcurrent(&m.MaxConcurrent, fieldPath("models", i, "max_concurrent"))
}

func (c *checker) checkMaxConcurrent(n *int, path []any) error {
	if *n < 0 || *n > concurrentLimit {
		return c.document.Errorf(path, "must be between 1 and %d, or left out", concurrentLimit)
	}
	if *n == 0 {
		*n = defaultMaxConcurrent
	}
	return nil
}

func (c *checker) checkVersions(i int, m *Model) {
	if len(m.Versions) == 0 {
		c.add(c.document.Errorf(fieldPath("models", i, "versions"), "model %q needs a version", m.Name))
	}
	seen := map[string]bool{}
	for j := range m.Versions {
		v := &m.Versions[j]
		path := fieldPath("models", i, "versions", j)
		err := c.checkName(v.Name, seen, append(path, "name"))
		if err == nil {
			err = c.checkState(v, path)
		}
		c.add(err)
		v.Key, v.ModelIndex = m.Name+"@"+v.Name, i
		c.fleet.versions[v.Key] = *v
	}
}

func (c *checker) checkState(v *Version, path []any) error {
	switch v.State {
	case StateServing, StateWithdrawn:
	case StateCanary:
		if v.SharePercent == 0 || !inRange(v.SharePercent, 0, 100) {
			return c.document.Errorf(append(path, "share_percent"), "a canary needs a share above 0 and up to 100")
		}
	default:
		return c.document.Errorf(append(path, "state"), "%q is not one of %s, %s, %s",
			v.State, StateServing, StateCanary, StateWithdrawn)
	}
	return nil
}

func (c *checker) checkServices() {
	f := c.fleet
	f.services = map[string]*Service{}
	seen := map[string]bool{}
	for i := range f.Services {
		s := &f.Services[i]
		err := c.checkName(s.Name, seen, fieldPath("services", i, "name"))
		if err == nil {
			err = c.checkService(i, s)
		}
		c.add(err)
		f.services[s.Name] = s
	}
}

func (c *checker) checkService(i int, s *Service) error {
	path := fieldPath("services", i)
	switch {
	case s.Kind != KindModel && s.Kind != KindPlain:
		return c.document.Errorf(append(path, "kind"), "%q is not one of %s, %s", s.Kind, KindModel, KindPlain)
	case s.Kind == KindModel && len(s.Models) == 0:
		return c.document.Errorf(append(path, "models"), "model service %q needs models", s.Name)
	case s.Kind == KindPlain && len(s.Models) > 0:
		return c.document.Errorf(append(path, "models"), "plain service %q cannot have models", s.Name)
	case s.DeadlineMS < 0 || s.DeadlineMS > maxDeadline:
		return c.document.Errorf(append(path, "deadline_ms"), "must be between 0 and %d", maxDeadline)
	case s.CallCost < 0 || s.CallCost > maxCost:
		return c.document.Errorf(append(path, "call_cost"), "must be between 0 and %d", maxCost)
	case !inRange(s.RatingPercent, 0, 100):
		return c.document.Errorf(append(path, "rating_percent"), "must be between 0 and 100")
	}
	if s.DeadlineMS == 0 {
		s.DeadlineMS = defaultDeadline
	}
	if err := c.checkMaxConcurrent(&s.MaxConcurrent, append(path, "max_concurrent")); err != nil {
		return err
	}
	for j, m := range s.Models {
		if !c.models[m] {
			return c.document.Errorf(append(path, "models", j), "model %q is not listed under models", m)
		}
	}
	return nil
}

func (c *checker) checkWorkspaces() {
	f := c.fleet
	f.workspaces, f.keyOwners = map[string]*Workspace{}, map[string]string{}
	seen := map[string]bool{}
	for i := range f.Workspaces {
		w := &f.Workspaces[i]
		err := c.checkName(w.Name, seen, fieldPath("workspaces", i, "name"))
		if err == nil {
			err = c.checkWorkspace(i, w)
		}
		c.add(err)
		f.workspaces[w.Name] = w
	}
}

func (c *checker) checkWorkspace(i int, w *Workspace) error {
	path := fieldPath("workspaces", i)
	if !inRange(w.TargetQuality, 0, 1) || w.TargetQuality == 1 {
		return c.document.Errorf(append(path, "quality"), "must be at least 0 and below 1")
	}
	if w.MaxFirstTokenMS < 0 {
		return c.document.Errorf(append(path, "first_token_ms"), "must not be negative")
	}
	if !inRange(w.Weight, 0, maxWeight) {
		return c.document.Errorf(append(path, "share"), "must be between 0 and %.0f", maxWeight)
	}
	if w.Weight == 0 {
		w.Weight = 1
	}
	for j, s := range w.Services {
		if _, ok := c.fleet.services[s]; !ok {
			return c.document.Errorf(append(path, "services", j), "service %q is not listed under services", s)
		}
	}
	for j, m := range w.Models {
		if _, ok := c.fleet.versions[m]; !ok && (strings.Contains(m, "@") || !c.models[m]) {
			return c.document.Errorf(append(path, "models", j), "%q is neither a model nor a version", m)
		}
	}
	for j, h := range w.KeySHA256 {
		if !hashPattern.MatchString(h) {
			return c.document.Errorf(append(path, "key_sha256", j), "not a SHA-256 in lower-case hexadecimal")
		}
		if owner, taken := c.fleet.keyOwners[h]; taken {
			return c.document.Errorf(append(path, "key_sha256", j), "the key belongs to workspace %q already", owner)
		}
		c.fleet.keyOwners[h] = w.Name
	}
	return nil
}
