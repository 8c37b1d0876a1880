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

// Fleet is the parsed configuration text. It is never changed after Parse.
type Fleet struct {
	Name        string       `yaml:"fleet"`
	DataCentres []DataCentre `yaml:"data_centres"`
	Models      []Model      `yaml:"models"`
	Services    []Service    `yaml:"services"`
	Workspaces  []Workspace  `yaml:"workspaces"`
	Sessions    Sessions     `yaml:"sessions"`

	versions   map[string]Version
	keyOwners  map[string]string
	workspaces map[string]*Workspace
	services   map[string]*Service
}

// DataCentre is a place where instances and endpoints run.
type DataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Model is a model with its price and its versions.
type Model struct {
	Name string `yaml:"name"`
	// Costs in micro-units of the fleet's currency for each 1,000 tokens.
	InputCost  int64 `yaml:"input_cost"`
	OutputCost int64 `yaml:"output_cost"`
	// FirstTokenMS is the usual time to the first token on a warm endpoint.
	FirstTokenMS clock.Millis `yaml:"first_token_ms"`
	// PriorQuality orders models that have no ratings yet, 0 to 1.
	PriorQuality float64 `yaml:"prior_quality"`
	// MaxConcurrent is how many requests one warm endpoint runs at once.
	MaxConcurrent int       `yaml:"max_concurrent"`
	Versions      []Version `yaml:"versions"`
}

// Version is one version of a model. Key and Model are set by Parse.
type Version struct {
	Name  string `yaml:"name"`
	State string `yaml:"state"`
	// SharePercent is the largest share of new sessions that a canary gets.
	SharePercent float64 `yaml:"share_percent"`
	// Attempt is raised to try a stopped version again.
	Attempt int `yaml:"attempt"`

	Key   string `yaml:"-"` // model@version
	Model int    `yaml:"-"` // index into Fleet.Models
}

// Service is what callers ask for: a model service or a plain service.
type Service struct {
	Name       string       `yaml:"name"`
	Kind       string       `yaml:"kind"`
	Models     []string     `yaml:"models"`
	Repeatable bool         `yaml:"repeatable"`
	LookUp     bool         `yaml:"look_up"`
	DeadlineMS clock.Millis `yaml:"deadline_ms"`
	// MaxConcurrent is how many calls one endpoint of a plain service runs at once.
	MaxConcurrent int `yaml:"max_concurrent"`
	// CallCost is the price of one call of a plain service, in micro-units.
	CallCost int64 `yaml:"call_cost"`
	// RatingPercent is the share of answers sent to the rating service.
	RatingPercent float64 `yaml:"rating_percent"`
}

// Workspace is a customer's area: what it may use and what it needs.
type Workspace struct {
	Name     string   `yaml:"name"`
	Services []string `yaml:"services"`
	// Models lists permitted models ("small") and single versions ("small@v1").
	Models   []string `yaml:"models"`
	Quality  float64  `yaml:"quality"` // target mean rating, 0 to 1
	Share    float64  `yaml:"share"`   // weight in the fair queue
	Priority int      `yaml:"priority"`
	// FirstTokenMS is the longest time to the first token of a streamed answer
	// that the workspace accepts for a lower price; 0 for any.
	FirstTokenMS clock.Millis `yaml:"first_token_ms"`
	KeySHA256    []string     `yaml:"key_sha256"`
}

// Sessions says how long a session keeps its version.
type Sessions struct {
	RetentionMS clock.Millis `yaml:"retention_ms"`
}

// Version returns the version with the key model@version.
func (f *Fleet) Version(key string) (Version, bool) {
	v, ok := f.versions[key]
	return v, ok
}

// VersionKeys returns the keys of all versions in the order of the text.
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

// DataCentre reports whether the text lists the data centre.
func (f *Fleet) DataCentre(name string) (DataCentre, bool) {
	for _, d := range f.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return DataCentre{}, false
}

// KeyOwner returns the workspace to which a caller's key belongs.
func (f *Fleet) KeyOwner(key string) (*Workspace, bool) {
	name, ok := f.keyOwners[HashKey(key)]
	if !ok {
		return nil, false
	}
	return f.workspaces[name], true
}

// HashKey returns the SHA-256 of a key in lower-case hexadecimal, the form in
// which the text holds keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Permits reports whether the workspace may use the version for the service
// and the version is not withdrawn.
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

// Cost returns the price of a request in micro-units.
func (f *Fleet) Cost(versionKey string, tokensIn, tokensOut int) int64 {
	v, ok := f.versions[versionKey]
	if !ok {
		return 0
	}
	m := f.Models[v.Model]
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
