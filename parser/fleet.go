package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
)

// States of a version.
const (
	StateServing   = "serving"
	StateCanary    = "canary"
	StateWithdrawn = "withdrawn"
)

// Kinds of a service.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Fleet is the parsed configuration text. It is not modified after Parse.
type Fleet struct {
	Name        string       `yaml:"fleet"`
	DataCentres []DataCentre `yaml:"data_centres"`
	Models      []Model      `yaml:"models"`
	Services    []Service    `yaml:"services"`
	Workspaces  []Workspace  `yaml:"workspaces"`
	Sessions    Sessions     `yaml:"sessions"`

	versions   map[string]Version    // by Version.Key
	keyOwners  map[string]string     // workspace name, by SHA-256 of a caller's key
	workspaces map[string]*Workspace // by name
	services   map[string]*Service   // by name
}

// DataCentre is a location where instances and endpoints run.
type DataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Model is a model with its price and its versions.
type Model struct {
	Name string `yaml:"name"`
	// InputCost and OutputCost are prices per 1,000 tokens in micro-units of the
	// fleet's currency.
	InputCost  int64 `yaml:"input_cost"`
	OutputCost int64 `yaml:"output_cost"`
	// FirstTokenMS is the typical time to the first token on a warm endpoint.
	FirstTokenMS clock.Millis `yaml:"first_token_ms"`
	// PriorQuality is the assumed quality while there are no ratings, 0 to 1. It
	// orders models without ratings.
	PriorQuality float64 `yaml:"prior_quality"`
	// MaxConcurrent is the largest number of concurrent requests of one warm endpoint.
	MaxConcurrent int       `yaml:"max_concurrent"`
	Versions      []Version `yaml:"versions"`
}

// Version is one version of a model. Key and ModelIndex are set by
// Parse.
type Version struct {
	Name  string `yaml:"name"`
	State string `yaml:"state"`
	// SharePercent is the largest share of new sessions routed to a canary.
	SharePercent float64 `yaml:"share_percent"`
	// RolloutAttempt numbers the roll-outs of the version. Operators increase it to
	// start a stopped roll-out again.
	RolloutAttempt int `yaml:"attempt"`

	Key        string `yaml:"-"` // "<model>@<version>"
	ModelIndex int    `yaml:"-"` // index into Fleet.Models
}

// Service is a service that callers request: a model service or a plain service.
type Service struct {
	Name       string       `yaml:"name"`
	Kind       string       `yaml:"kind"`
	Models     []string     `yaml:"models"`      // model names; for a model service only
	Retryable  bool         `yaml:"repeatable"`  // calls of a plain service are idempotent and may be retried
	LookUp     bool         `yaml:"look_up"`     // a plain service reports the outcome of an earlier call
	DeadlineMS clock.Millis `yaml:"deadline_ms"` // time from the arrival of a request to its deadline
	// MaxConcurrent is the largest number of concurrent calls of one endpoint of a
	// plain service.
	MaxConcurrent int `yaml:"max_concurrent"`
	// CallCost is the price of one call of a plain service, in micro-units.
	CallCost int64 `yaml:"call_cost"`
	// RatingPercent is the percentage of answers sent to the rating service.
	RatingPercent float64 `yaml:"rating_percent"`
}

// Workspace holds the permissions and requirements of a customer.
type Workspace struct {
	Name     string   `yaml:"name"`
	Services []string `yaml:"services"` // permitted services
	// Models lists permitted models ("small") and versions ("small@v1").
	Models        []string `yaml:"models"`
	TargetQuality float64  `yaml:"quality"` // target mean rating, 0 to 1
	Weight        float64  `yaml:"share"`   // weight in the fair queue
	Priority      int      `yaml:"priority"`
	// MaxFirstTokenMS is the longest time to the first token of a streamed answer
	// that the workspace accepts for a lower price; 0 means any.
	MaxFirstTokenMS clock.Millis `yaml:"first_token_ms"`
	KeySHA256       []string     `yaml:"key_sha256"` // callers' keys, in the form of HashKey
}

// Sessions holds the settings of sessions. RetentionMS is the time for which a
// session keeps its version.
type Sessions struct {
	RetentionMS clock.Millis `yaml:"retention_ms"`
}

// Version returns the version with the given key "<model>@<version>".
func (f *Fleet) Version(key string) (Version, bool) {
	v, ok := f.versions[key]
	return v, ok
}

// VersionKeys returns the keys of all versions in the order of the configuration
// text.
func (f *Fleet) VersionKeys() []string {
	var keys []string
	for _, m := range f.Models {
		for _, v := range m.Versions {
			keys = append(keys, v.Key)
		}
	}
	return keys
}

// Workspace returns the workspace with the given name.
func (f *Fleet) Workspace(name string) (*Workspace, bool) {
	w, ok := f.workspaces[name]
	return w, ok
}

// Service returns the service with the given name.
func (f *Fleet) Service(name string) (*Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// DataCentre returns the data centre with the given name.
func (f *Fleet) DataCentre(name string) (DataCentre, bool) {
	for _, d := range f.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return DataCentre{}, false
}

// KeyOwner returns the workspace that a caller's key belongs to.
func (f *Fleet) KeyOwner(key string) (*Workspace, bool) {
	name, ok := f.keyOwners[HashKey(key)]
	if !ok {
		return nil, false
	}
	return f.workspaces[name], true
}

// HashKey returns the SHA-256 of a key in lower-case hexadecimal, the form of keys
// in the configuration text.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Permits reports whether the workspace may use the version for the service. A
// withdrawn version is never permitted.
func (f *Fleet) Permits(w *Workspace, s *Service, versionKey string) bool {
	v, ok := f.versions[versionKey]
	if !ok || v.State == StateWithdrawn || !contains(w.Services, s.Name) {
		return false
	}
	model, _, _ := strings.Cut(versionKey, "@")
	if !contains(s.Models, model) {
		return false
	}
	return contains(w.Models, model) || contains(w.Models, versionKey)
}

// Cost returns the price of a request in micro-units of the fleet's currency, or 0
// if the version is unknown.
func (f *Fleet) Cost(versionKey string, tokensIn, tokensOut int) int64 {
	v, ok := f.versions[versionKey]
	if !ok {
		return 0
	}
	m := f.Models[v.ModelIndex]
	return (m.InputCost*int64(tokensIn) + m.OutputCost*int64(tokensOut)) / 1000
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
