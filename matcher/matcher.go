package matcher

import (
	"hash/fnv"
	"sort"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Kind tells what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once for each attempt of the client
	Stream Kind = "stream" // an event stream, at most once unless it may be resumed
)

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64 // relative to the other backends of the route
}

// Route is one route of the configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Timeout    clock.Millis // longest time until the final answer; 0: none
	Target     clock.Millis // latency of a timely answer, or of a stream's first event
	EventGap   clock.Millis // longest pause between events of a timely stream; 0: none
	Priority   int          // 0 is the most urgent
	Attempts   int          // most endpoints to which one request may be sent
	Public     bool         // needs no key
	Resumable  bool         // a stream may go on at another endpoint
	Models     []string     // smallest first, where the router chooses the model
	Backends   []Backend
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Model is a model that the endpoints of a service run.
type Model struct {
	Name string
	Cost float64 // per 1,000 generated tokens
}

// Service is a group of endpoints.
type Service struct {
	Name           string
	MaxConnections int          // of one endpoint, over all callers
	Warmup         clock.Millis // how long an endpoint is cold after its start
	WarmupRate     float64      // requests per second that a cold endpoint bears; 0: no limit
	Slots          int          // requests that one endpoint runs at once; 0: unknown
	CacheTokens    int          // memory of one endpoint; 0: not an engine
	Models         []Model
}

// Workspace is the owner of keys.
type Workspace struct {
	Name     string
	Priority int // goes before the route's priority where HasPriority is set

	HasPriority bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is the text from which a Table is made.
type Config struct {
	Version    int64 // increases with each change
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces map[string]Workspace // by key
}

// Table is one immutable version of the configuration. A nil Table holds
// nothing.
type Table struct {
	config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
}

// New returns the table of c. The caller does not change c afterwards.
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

// Match returns the route of a request, nil if there is none. The host may
// carry a port; path is the raw path without the query.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the owner of a key.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.config.Workspaces[key]
	return w, ok
}

// Service returns the settings of a service, nil if the configuration has none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// LongestWarmup returns the longest warm-up of the services.
func (t *Table) LongestWarmup() clock.Millis {
	var longest clock.Millis
	for i := range t.config.Services {
		longest = max(longest, t.config.Services[i].Warmup)
	}
	return longest
}

// ServiceFor returns the service that takes a request. Requests with the same
// key get the same service as long as the weights stay the same.
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
	at := Fraction("split", key) * total
	for _, b := range r.Backends {
		if at -= max(0, b.Weight); at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Fraction maps a key to a fixed number in [0, 1). Different salts give
// independent numbers.
func Fraction(salt, key string) float64 {
	return float64(Hash(salt, key)>>11) / (1 << 53)
}

// Hash maps a key to a fixed number. It is FNV-1a with the finalizer of
// splitmix64, since FNV's high bits depend little on the last bytes.
func Hash(salt, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(salt)) // a hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
