package matcher

import (
	"hash/fnv"
	"sort"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Kind tells whether the requests of a route may be executed more than once.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // may be executed more than once
	Unsafe Kind = "unsafe" // executed at most once for each attempt of the client
	Stream Kind = "stream" // an event stream, executed at most once unless it is resumable
)

// Backend is a service that serves a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64 // relative to the other backends of the route
}

// Route is one route of the configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // matched against the raw path
	Kind       Kind
	Timeout    clock.Millis // maximum time until the final response; 0 if unlimited
	Target     clock.Millis // target latency of a response, or of a stream's first event
	EventGap   clock.Millis // maximum time between events of a timely stream; 0 if unlimited
	Priority   int          // 0 is the most urgent
	Attempts   int          // maximum number of endpoints to which one request may be sent
	Public     bool         // requires no key
	Resumable  bool         // a broken stream may continue at another endpoint
	Models     []string     // in ascending order of size, if the router chooses the model
	Backends   []Backend
}

// Retryable reports whether a request may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Model is a model that the endpoints of a service run.
type Model struct {
	Name string
	Cost float64 // per 1,000 generated tokens
}

// Service holds the settings of a group of endpoints.
type Service struct {
	Name           string
	MaxConnections int          // to one endpoint, over all callers
	Warmup         clock.Millis // time after its start during which an endpoint is cold
	WarmupRate     float64      // requests per second that a cold endpoint can serve; 0 if unlimited
	Slots          int          // requests that one endpoint can run at the same time; 0 if unknown
	CacheTokens    int          // capacity in tokens of one endpoint's KV cache; 0 if it is not an engine
	Models         []Model
}

// Workspace is the owner of keys.
type Workspace struct {
	Name     string
	Priority int // overrides the route's priority if HasPriority is set

	HasPriority bool
}

// Limits are the bounds on what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is the configuration from which a Table is built.
type Config struct {
	Version    int64 // increases with each change
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces map[string]Workspace // by key
}

// Table is one immutable version of the configuration.
type Table struct {
	config   Config
	hosts    map[string][]*Route // by lower-case host; longest prefix first
	services map[string]*Service // by name
}

// New returns the table of c, which must not be changed afterwards.
func New(c Config) *Table {
	t := &Table{config: c, hosts: make(map[string][]*Route), services: make(map[string]*Service, len(c.Services))}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds on what a client may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route of a request, or nil if there is none. host may
// include a port; path is the raw path without the query.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the owner of a key and whether the key exists.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.config.Workspaces[key]
	return w, ok
}

// Service returns the settings of a service, or nil if it is not configured.
func (t *Table) Service(name string) *Service { return t.services[name] }

// LongestWarmup returns the longest warm-up of all services.
func (t *Table) LongestWarmup() clock.Millis {
	var longest clock.Millis
	for i := range t.config.Services {
		longest = max(longest, t.config.Services[i].Warmup)
	}
	return longest
}

// ServiceFor returns the service that serves a request. The shares of the
// services follow their weights, and requests with the same key get the same
// service as long as the weights do not change.
func (r *Route) ServiceFor(key string) string {
	var total float64
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	if total <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	point := Fraction("split", key) * total
	for _, b := range r.Backends {
		if point -= max(0, b.Weight); point < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Fraction maps a key to a number in [0, 1), uniformly distributed. Different
// salts give independent numbers.
func Fraction(salt, key string) float64 {
	return float64(Hash(salt, key)>>11) / (1 << 53)
}

// Hash returns the 64-bit hash of a key: FNV-1a with the finalizer of
// splitmix64, because the high bits of FNV depend little on the last bytes.
func Hash(salt, key string) uint64 { return HashBytes(salt, []byte(key)) }

// HashBytes is Hash of a key in bytes, which it does not copy.
func HashBytes(salt string, key []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(salt)) // hash.Hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(key)
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
