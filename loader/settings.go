package loader

import (
	"net/netip"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/decoder"
)

// Settings are the settings of one instance.
type Settings struct {
	Instance     string `yaml:"instance"`
	DataCentre   string `yaml:"data_centre"`
	Region       string `yaml:"region"`
	Listen       string `yaml:"listen"`        // IP and port for callers and operators
	PeerListen   string `yaml:"peer_listen"`   // IP and port for other instances
	Store        string `yaml:"store"`         // base URL of the object API
	InstanceList string `yaml:"instance_list"` // base URL of the instance list
	Rating       string `yaml:"rating"`        // base URL of the rating service
	WeightStore  string `yaml:"weight_store"`  // base URL of the weight store
	KeysFile     string `yaml:"keys_file"`     // path of the keys file; see Keys
	Limits       Limits `yaml:"limits"`
	PeerTLS      TLS    `yaml:"peer_tls"`
	// Placement makes this instance load and unload versions on the model engines
	// of its data centre according to the configuration text. It is off by default,
	// so that it does not interfere in a fleet where versions are placed by other
	// means. It must be the same at all instances of a data centre.
	Placement bool `yaml:"placement"`
}

// Limits bound the load and the times of one instance. Zero fields take the default.
type Limits struct {
	MaxBodyBytes int64 `yaml:"max_body_bytes"` // largest body of a request
	MaxInFlight  int   `yaml:"max_in_flight"`  // largest number of running requests of one pool
	MaxQueued    int   `yaml:"max_queued"`     // largest number of waiting requests of one pool
	// EntryLifetimeMS is the time for which callers may cache the addresses of the
	// instances.
	EntryLifetimeMS clock.Millis `yaml:"entry_lifetime_ms"`
	// DrainMS is the longest time for which a shutdown waits for running requests
	// and commits. It is at least EntryLifetimeMS, because callers may use cached
	// addresses for that time.
	DrainMS clock.Millis `yaml:"drain_ms"`
	// MaxRequestMS bounds the deadline of every request. It must be the same
	// on all instances: after the crash of one, cold endpoints wait for this time.
	MaxRequestMS clock.Millis `yaml:"longest_request_ms"`
	// VersionsPerEndpoint is the largest number of versions loaded on a model
	// engine, and LoadsPerMinute this data centre's share of the rate limit of the
	// weight store. Both apply only with Settings.Placement.
	VersionsPerEndpoint int `yaml:"versions_per_endpoint"`
	LoadsPerMinute      int `yaml:"loads_per_minute"`
}

// TLS holds the names of the PEM files for mutual TLS between instances. TLS is
// off if all are empty.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Defaults of the limits.
const (
	DefaultMaxBodyBytes    = 1 << 20
	DefaultMaxInFlight     = 512
	DefaultMaxQueued       = 2048
	DefaultEntryLifetimeMS = 3 * clock.Second / 2
	DefaultDrainMS         = 60 * clock.Second

	DefaultLongestRequestMS = 60 * clock.Second

	DefaultVersionsPerEndpoint = 4
	DefaultLoadsPerMinute      = 6
)

// Load reads and validates the settings in file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse parses and validates the settings in text. Errors name the file, line and
// field.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	d, err := decoder.Decode(file, text, &s)
	if err != nil {
		return s, err
	}
	s.Limits = s.Limits.withDefaults()
	if err := checkNames(d, s); err != nil {
		return s, err
	}
	if err := checkAddresses(d, s); err != nil {
		return s, err
	}
	if err := checkTLS(d, s.PeerTLS); err != nil {
		return s, err
	}
	return s, checkLimits(d, s.Limits)
}

func (l Limits) withDefaults() Limits {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.MaxInFlight == 0 {
		l.MaxInFlight = DefaultMaxInFlight
	}
	if l.MaxQueued == 0 {
		l.MaxQueued = DefaultMaxQueued
	}
	if l.EntryLifetimeMS == 0 {
		l.EntryLifetimeMS = DefaultEntryLifetimeMS
	}
	if l.MaxRequestMS == 0 {
		l.MaxRequestMS = DefaultLongestRequestMS
	}
	if l.DrainMS == 0 {
		l.DrainMS = max(DefaultDrainMS, l.MaxRequestMS)
	}
	if l.VersionsPerEndpoint == 0 {
		l.VersionsPerEndpoint = DefaultVersionsPerEndpoint
	}
	if l.LoadsPerMinute == 0 {
		l.LoadsPerMinute = DefaultLoadsPerMinute
	}
	return l
}

func checkNames(d decoder.Document, s Settings) error {
	for _, f := range []struct{ field, value string }{
		{"instance", s.Instance}, {"data_centre", s.DataCentre}, {"region", s.Region}, {"keys_file", s.KeysFile},
	} {
		if f.value == "" {
			return d.Errorf([]any{f.field}, "is missing")
		}
	}
	return nil
}

func checkAddresses(d decoder.Document, s Settings) error {
	for _, a := range []struct{ field, value string }{
		{"listen", s.Listen}, {"peer_listen", s.PeerListen},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return d.Errorf([]any{a.field}, "%q is not an IP address with a port", a.value)
		}
	}
	if s.Listen == s.PeerListen {
		return d.Errorf([]any{"peer_listen"}, "must differ from listen")
	}
	for _, a := range []struct{ field, value string }{
		{"store", s.Store}, {"instance_list", s.InstanceList}, {"rating", s.Rating}, {"weight_store", s.WeightStore},
	} {
		if err := checkURL(a.value); err != nil {
			return d.Errorf([]any{a.field}, "%q: %v", a.value, err)
		}
	}
	return nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return errors.New("not a URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return errors.New("needs http:// or https://")
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return errors.New("the host must be an IP address with a port")
	}
	return nil
}

func checkTLS(d decoder.Document, t TLS) error {
	set := 0
	for _, f := range []string{t.Certificate, t.Key, t.Authority} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return d.Errorf([]any{"peer_tls"}, "needs certificate, key and authority together")
	}
	return nil
}

const (
	minBodyBytes       = 1 << 10
	maxBodyBytes       = 64 << 20
	maxInFlight        = 100_000 // bound of max_in_flight and of max_queued
	minEntryLifetimeMS = 500 * clock.Millis(1)
)

func checkLimits(d decoder.Document, l Limits) error {
	switch {
	case l.MaxBodyBytes < minBodyBytes || l.MaxBodyBytes > maxBodyBytes:
		return d.Errorf([]any{"limits", "max_body_bytes"}, "must be between %d and %d", minBodyBytes, maxBodyBytes)
	case l.MaxInFlight < 1 || l.MaxInFlight > maxInFlight:
		return d.Errorf([]any{"limits", "max_in_flight"}, "must be between 1 and %d", maxInFlight)
	case l.MaxQueued < 1 || l.MaxQueued > maxInFlight:
		return d.Errorf([]any{"limits", "max_queued"}, "must be between 1 and %d", maxInFlight)
	case l.EntryLifetimeMS < minEntryLifetimeMS || l.EntryLifetimeMS > clock.Minute:
		return d.Errorf([]any{"limits", "entry_lifetime_ms"}, "must be between %d and %d", minEntryLifetimeMS, clock.Minute)
	case l.VersionsPerEndpoint < 1:
		return d.Errorf([]any{"limits", "versions_per_endpoint"}, "must be at least 1")
	case l.LoadsPerMinute < 1:
		return d.Errorf([]any{"limits", "loads_per_minute"}, "must be at least 1")
	case l.MaxRequestMS < clock.Second || l.MaxRequestMS > clock.Hour:
		return d.Errorf([]any{"limits", "longest_request_ms"}, "must be between %d and %d", clock.Second, clock.Hour)
	case l.DrainMS < l.EntryLifetimeMS:
		return d.Errorf([]any{"limits", "drain_ms"}, "must be at least entry_lifetime_ms (%d)", l.EntryLifetimeMS)
	}
	return nil
}

// Validated returns s with the defaults filled in, or the error that Parse returns
// for its YAML form, with the instance in place of the file name.
func (s Settings) Validated() (Settings, error) {
	text, err := yaml.Marshal(s)
	if err != nil {
		return s, errors.Wrap(err, "encode settings")
	}
	return Parse(s.Instance, text)
}
