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

// Command instructs an engine to load or unload a version.
type Command struct {
	Endpoint string // id
	Kind     Kind
	Version  string
	Number   uint64 // fencing number
}

// Endpoint is the state of an endpoint as it was last read back.
type Endpoint struct {
	ID       string
	Slots    int          // number of versions that fit
	Fenced   bool         // rejects commands with old numbers and checks their sender
	Versions []string     // loaded versions
	ReadAt   clock.Millis // when the state was current
}

// Options are the settings of a placer.
type Options struct {
	CommandTimeout clock.Millis       // a command takes effect within this time or never
	LoadTimeout    clock.Millis       // a command without visible effect after this time may be sent again
	Sizes          map[string]float64 // weight-store units of each version; 1 if not listed
	Rate           float64            // weight-store units per second
	Burst          float64            // largest number of units at once; larger versions are never loaded
	Stages         []float64          // share of the endpoints that may load in each stage of a return to service
	StageTime      clock.Millis       // shortest time in each stage
}

// Placer computes commands from the record and the states of the endpoints, for
// one term of the lease. It is not safe for concurrent use.
type Placer struct {
	options    Options
	bucket     tokenBucket
	termStart  clock.Millis
	sent       map[string]sentCommand // newest command by endpoint
	stage      int                    // last known stage of the record
	stageSince clock.Millis
}

// sentCommand is a command with the time at which it was returned by Tick.
type sentCommand struct {
	command Command
	at      clock.Millis
}

// New returns a placer for a term that begins now.
func New(now clock.Millis, o Options) *Placer {
	return &Placer{
		options: o, bucket: tokenBucket{rate: o.Rate, burst: o.Burst, filledAt: now},
		termStart: now, sent: map[string]sentCommand{}, stageSince: now,
	}
}

// Tick returns the commands to send now under the record, at most one for each
// endpoint. An endpoint gets no command until the previous one has taken effect or
// timed out. The caller must hold the lease, and must check it again before each
// send.
func (p *Placer) Tick(now clock.Millis, r Record, endpoints []Endpoint) []Command {
	var commands []Command
	idle := true
	mayLoad := p.mayLoad(r.Stage, endpoints)
	loaded := countByVersion(endpoints)
	for _, e := range endpoints {
		if !p.isReady(now, e) {
			idle = false
			continue
		}
		c, ok := p.nextCommand(now, r, e, loaded, mayLoad[e.ID])
		if !ok {
			continue
		}
		if c.Kind == Unload {
			loaded[c.Version]--
		}
		commands = append(commands, p.recordSent(now, r, c))
	}
	if c, ok := breakCycle(r, endpoints, mayLoad); ok && idle && len(commands) == 0 {
		commands = append(commands, p.recordSent(now, r, c))
	}
	return commands
}

// recordSent sets the number of the command and records it as sent.
func (p *Placer) recordSent(now clock.Millis, r Record, c Command) Command {
	c.Number = r.FencingNumber
	p.sent[c.Endpoint] = sentCommand{command: c, at: now}
	return c
}

// breakCycle returns an unload command that resolves a deadlock between full
// endpoints, each of which is to load a version whose last copy another one holds.
func breakCycle(r Record, endpoints []Endpoint, mayLoad map[string]bool) (Command, bool) {
	for _, e := range endpoints {
		undesired := missing(e.Versions, r.Desired[e.ID])
		absent := missing(r.Desired[e.ID], e.Versions)
		if mayLoad[e.ID] && len(undesired) > 0 && len(absent) > 0 && len(e.Versions) >= e.Slots {
			return Command{Endpoint: e.ID, Kind: Unload, Version: undesired[0]}, true
		}
	}
	return Command{}, false
}

// NextStage returns the stage that the record should have: the next one if the
// present one has lasted for Options.StageTime and its endpoints hold their desired
// versions. The caller stores it with Lease.Change.
func (p *Placer) NextStage(now clock.Millis, r Record, endpoints []Endpoint) int {
	if r.Stage != p.stage {
		p.stage, p.stageSince = r.Stage, now
	}
	if r.Stage >= len(p.options.Stages) || now < p.stageSince+p.options.StageTime {
		return r.Stage
	}
	mayLoad := p.mayLoad(r.Stage, endpoints)
	for _, e := range endpoints {
		if mayLoad[e.ID] && len(missing(r.Desired[e.ID], e.Versions)) > 0 {
			return r.Stage
		}
	}
	return r.Stage + 1
}

// StageShare returns the share of the data centre's endpoints that may load in the
// record's stage, in [0, 1].
func (p *Placer) StageShare(r Record) float64 {
	if r.Stage < len(p.options.Stages) {
		return p.options.Stages[r.Stage]
	}
	return 1
}

// LoadWait returns the time until the weight-store budget allows a load of the
// version, or -1 if it never does.
func (p *Placer) LoadWait(now clock.Millis, version string) clock.Millis {
	return p.bucket.wait(now, p.size(version))
}

// isReady reports whether the endpoint may get a command: its state was read back
// after the end of every command that could still change it.
func (p *Placer) isReady(now clock.Millis, e Endpoint) bool {
	if !e.Fenced && e.ReadAt < p.termStart+p.options.CommandTimeout {
		return false
	}
	s, ok := p.sent[e.ID]
	if !ok {
		return true
	}
	if e.ReadAt <= s.at {
		return false
	}
	if slices.Contains(e.Versions, s.command.Version) == (s.command.Kind == Load) {
		return true
	}
	return now >= s.at+p.options.LoadTimeout
}

// nextCommand returns the next command for an endpoint. It unloads versions that are
// not desired there, except the last copy of a version that another endpoint is to
// hold. It loads missing versions if there is a free slot and the budget allows it.
func (p *Placer) nextCommand(
	now clock.Millis, r Record, e Endpoint, loaded map[string]int, mayLoad bool,
) (Command, bool) {
	absent := missing(r.Desired[e.ID], e.Versions)
	for _, v := range missing(e.Versions, r.Desired[e.ID]) {
		if loaded[v] > 1 || !isDesired(r, v) {
			return Command{Endpoint: e.ID, Kind: Unload, Version: v}, true
		}
	}
	if !mayLoad || len(absent) == 0 || len(e.Versions) >= e.Slots {
		return Command{}, false
	}
	for _, v := range absent {
		if p.bucket.take(now, p.size(v)) {
			return Command{Endpoint: e.ID, Kind: Load, Version: v}, true
		}
	}
	return Command{}, false
}

// mayLoad returns the endpoints that may load in a stage: a share of them, in the
// order of their ids. After the last stage, all may load.
func (p *Placer) mayLoad(stage int, endpoints []Endpoint) map[string]bool {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	n := len(ids)
	if stage < len(p.options.Stages) {
		n = min(int(math.Ceil(p.options.Stages[stage]*float64(n))), n)
	}
	mayLoad := make(map[string]bool, n)
	for _, id := range ids[:n] {
		mayLoad[id] = true
	}
	return mayLoad
}

// size returns the weight-store units of a version.
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

// isDesired reports whether any endpoint is to hold the version.
func isDesired(r Record, version string) bool {
	for _, versions := range r.Desired {
		if slices.Contains(versions, version) {
			return true
		}
	}
	return false
}

// countByVersion returns the number of endpoints that hold each version.
func countByVersion(endpoints []Endpoint) map[string]int {
	n := map[string]int{}
	for _, e := range endpoints {
		for _, v := range e.Versions {
			n[v]++
		}
	}
	return n
}
