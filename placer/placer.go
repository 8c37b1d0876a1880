package placer

import (
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Kind is the kind of a command.
type Kind string

// The kinds of commands.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Command tells an engine to load or unload a version. Number is the fencing
// number.
type Command struct {
	Endpoint string
	Kind     Kind
	Version  string
	Number   uint64
}

// Endpoint is what was last read back from an endpoint.
type Endpoint struct {
	ID       string
	Slots    int      // versions that fit
	Fenced   bool     // rejects old numbers and checks who sends
	Versions []string // loaded
	Read     clock.Millis
}

// Options are the settings of a placer.
type Options struct {
	CommandTimeout clock.Millis       // a command takes effect within this time or never
	LoadTimeout    clock.Millis       // a load that has not shown by then is commanded again
	Sizes          map[string]float64 // weight-store units of each version; 1 if not listed
	Rate           float64            // weight-store units per second
	Burst          float64            // most units at once; larger versions are never loaded
	Stages         []float64          // shares of a returning data centre that are filled step by step
	StageTime      clock.Millis       // shortest time in each stage
}

// Placer turns the record and the states read back into commands. It is not
// safe for concurrent use.
type Placer struct {
	options Options
	bucket  bucket
	term    clock.Millis
	sent    map[string]sent // newest command by endpoint
	stage   int
	staged  clock.Millis
}

type sent struct {
	command Command
	at      clock.Millis
}

// New returns the placer of a term that begins now.
func New(now clock.Millis, o Options) *Placer {
	return &Placer{
		options: o, bucket: bucket{rate: o.Rate, burst: o.Burst, at: now},
		term: now, sent: map[string]sent{}, staged: now,
	}
}

// Tick returns the commands to send now under the record. The caller holds the
// lease, and checks it again before each send. At most one command is under way
// at each endpoint.
func (p *Placer) Tick(now clock.Millis, r Record, endpoints []Endpoint) []Command {
	var commands []Command
	idle := true
	filled := p.filled(r.Stage, endpoints)
	loaded := copies(endpoints)
	for _, e := range endpoints {
		if !p.ready(now, e) {
			idle = false
			continue
		}
		c, ok := p.next(now, r, e, loaded, filled[e.ID])
		if !ok {
			continue
		}
		if c.Kind == Unload {
			loaded[c.Version]--
		}
		commands = append(commands, p.record(now, r, c))
	}
	if c, ok := exchange(r, endpoints, filled); ok && idle && len(commands) == 0 {
		commands = append(commands, p.record(now, r, c))
	}
	return commands
}

func (p *Placer) record(now clock.Millis, r Record, c Command) Command {
	c.Number = r.Number
	p.sent[c.Endpoint] = sent{command: c, at: now}
	return c
}

// exchange breaks a cycle: full endpoints that are each to hold what the others
// hold the last copy of. One of them unloads first.
func exchange(r Record, endpoints []Endpoint, filled map[string]bool) (Command, bool) {
	for _, e := range endpoints {
		extra := missing(e.Versions, r.Desired[e.ID])
		wanted := missing(r.Desired[e.ID], e.Versions)
		if filled[e.ID] && len(extra) > 0 && len(wanted) > 0 && len(e.Versions) >= e.Slots {
			return Command{Endpoint: e.ID, Kind: Unload, Version: extra[0]}, true
		}
	}
	return Command{}, false
}

// Stage returns the stage that the record should have: one more if the present
// one has lasted long enough and its endpoints hold what they should. The
// caller stores it through Lease.Change.
func (p *Placer) Stage(now clock.Millis, r Record, endpoints []Endpoint) int {
	if r.Stage != p.stage {
		p.stage, p.staged = r.Stage, now
	}
	if r.Stage >= len(p.options.Stages) || now < p.staged+p.options.StageTime {
		return r.Stage
	}
	filled := p.filled(r.Stage, endpoints)
	for _, e := range endpoints {
		if filled[e.ID] && len(missing(r.Desired[e.ID], e.Versions)) > 0 {
			return r.Stage
		}
	}
	return r.Stage + 1
}

// Share returns the share of the data centre's endpoints that the record's
// stage fills.
func (p *Placer) Share(r Record) float64 {
	if r.Stage < len(p.options.Stages) {
		return p.options.Stages[r.Stage]
	}
	return 1
}

// LoadWait returns how long the weight-store budget delays a load of the
// version, or -1 if it never allows it.
func (p *Placer) LoadWait(now clock.Millis, version string) clock.Millis {
	return p.bucket.wait(now, p.size(version))
}

// ready reports whether the endpoint may get a command: its state was read
// back after everything that could still change it.
func (p *Placer) ready(now clock.Millis, e Endpoint) bool {
	if !e.Fenced && e.Read < p.term+p.options.CommandTimeout {
		return false
	}
	s, ok := p.sent[e.ID]
	if !ok {
		return true
	}
	if e.Read <= s.at {
		return false
	}
	if slices.Contains(e.Versions, s.command.Version) == (s.command.Kind == Load) {
		return true
	}
	return now >= s.at+p.options.LoadTimeout
}

// next returns the next command for an endpoint. It unloads what is not
// desired, but of a version that another endpoint is to hold never the last
// copy, and loads what is missing as slots and the budget allow.
func (p *Placer) next(now clock.Millis, r Record, e Endpoint, loaded map[string]int, fill bool) (Command, bool) {
	wanted := missing(r.Desired[e.ID], e.Versions)
	for _, v := range missing(e.Versions, r.Desired[e.ID]) {
		if loaded[v] > 1 || !desired(r, v) {
			return Command{Endpoint: e.ID, Kind: Unload, Version: v}, true
		}
	}
	if !fill || len(wanted) == 0 || len(e.Versions) >= e.Slots {
		return Command{}, false
	}
	for _, v := range wanted {
		if p.bucket.take(now, p.size(v)) {
			return Command{Endpoint: e.ID, Kind: Load, Version: v}, true
		}
	}
	return Command{}, false
}

// filled returns the endpoints that may load in a stage: a share of them, in
// the order of their ids. After the last stage, all may.
func (p *Placer) filled(stage int, endpoints []Endpoint) map[string]bool {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	n := len(ids)
	if stage < len(p.options.Stages) {
		n = min(int(math.Ceil(p.options.Stages[stage]*float64(n))), n)
	}
	filled := make(map[string]bool, n)
	for _, id := range ids[:n] {
		filled[id] = true
	}
	return filled
}

func (p *Placer) size(version string) float64 {
	if s, ok := p.options.Sizes[version]; ok {
		return s
	}
	return 1
}

// missing returns the elements of a that are not in b.
func missing(a, b []string) []string {
	var m []string
	for _, v := range a {
		if !slices.Contains(b, v) {
			m = append(m, v)
		}
	}
	return m
}

func desired(r Record, version string) bool {
	for _, versions := range r.Desired {
		if slices.Contains(versions, version) {
			return true
		}
	}
	return false
}

// copies returns how many endpoints hold each version.
func copies(endpoints []Endpoint) map[string]int {
	n := map[string]int{}
	for _, e := range endpoints {
		for _, v := range e.Versions {
			n[v]++
		}
	}
	return n
}
