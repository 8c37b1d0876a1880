package demonstrator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/parser"
)

// ledger collects what callers saw, by phase. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	phase    string
	phases   []string
	counts   map[string]*phaseCounts
	answered map[string]string             // request id with workspace, to version
	sessions map[string][]string           // versions of a session's answers, in order
	quality  map[string][]float64          // by workspace
	spent    float64                       // cost of the versions that answered
	best     float64                       // cost if the best version had answered
	bookings map[string]bool               // by key: confirmed
	notRun   map[string]bool               // keys whose every delivery was refused with run "no"
	versions map[string]int                // answers by version
	faults   []string                      // properties that did not hold
	broken   map[string]int                // broken streams by address
	length   func(version, p string) int   // tokens of the whole answer
	score    func(id, v, t string) float64 // quality of an answer
	fleet    *parser.Fleet
}

type phaseCounts struct {
	asked, answered int
	first           *hdrhistogram.Histogram // microseconds
}

const (
	maxLatency = 60 * time.Second
	digits     = 3
)

func newLedger(f *parser.Fleet) *ledger {
	return &ledger{
		fleet: f, counts: map[string]*phaseCounts{}, answered: map[string]string{}, sessions: map[string][]string{},
		quality: map[string][]float64{}, bookings: map[string]bool{}, notRun: map[string]bool{},
		versions: map[string]int{}, broken: map[string]int{},
	}
}

func (l *ledger) begin(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phase
	if l.counts[phase] == nil {
		l.phases = append(l.phases, phase)
		l.counts[phase] = &phaseCounts{first: hdrhistogram.New(1, maxLatency.Microseconds(), digits)}
	}
}

// current returns the phase in which a request starts.
func (l *ledger) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// chat records the outcome of a request that started in the given phase.
func (l *ledger) chat(phase string, r request, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[phase]
	c.asked++
	for _, a := range o.brokenAt {
		l.broken[a]++
	}
	if !o.whole {
		l.faults = append(l.faults, fmt.Sprintf("request %s of %s got no whole answer in %v after %d attempts (%s)",
			r.id, r.workspace, o.took.Round(time.Millisecond), o.attempts, o.refusal.Reason))
		return
	}
	c.answered++
	_ = c.first.RecordValue(min(o.first.Microseconds(), maxLatency.Microseconds()))
	l.check(r, o)
}

// check compares an answer with the one right text and the rules.
func (l *ledger) check(r request, o outcome) {
	prompt := "user: " + r.prompt + "\n"
	tokens := l.length(o.version, prompt)
	text := strings.ReplaceAll(o.text, engineemulator.BadTokenPrefix, "")
	if text != engineemulator.Answer(o.version, prompt, tokens) {
		l.faults = append(l.faults, fmt.Sprintf("request %s got a wrong answer from %s", r.id, o.version))
	}
	model, _, _ := strings.Cut(o.version, "@")
	w, _ := l.fleet.Workspace(r.workspace)
	if !slices.Contains(w.Models, model) {
		l.faults = append(l.faults, fmt.Sprintf("%s ran on %s, which it may not use", r.workspace, o.version))
	}
	l.answered[r.workspace+"/"+r.id] = o.version
	l.versions[o.version]++
	if r.session != "" {
		key := r.workspace + "/" + r.session
		l.sessions[key] = append(l.sessions[key], o.version)
	}
	l.quality[r.workspace] = append(l.quality[r.workspace], l.score(r.id, o.version, o.text))
}

// sessionMoves returns the sessions that changed their version, except away
// from the given ones.
func (l *ledger) sessionMoves(allowed map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var moved []string
	for s, versions := range l.sessions {
		for i := 1; i < len(versions); i++ {
			if versions[i] != versions[i-1] && !allowed[versions[i-1]] {
				moved = append(moved, fmt.Sprintf("%s: %s to %s", s, versions[i-1], versions[i]))
			}
		}
	}
	slices.Sort(moved)
	return moved
}

// served returns the share of the phase's requests that were answered and the
// 50th and 95th percentiles of the time to the first token in milliseconds.
func (l *ledger) served(phase string) (share, p50, p95 float64, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[phase]
	if c == nil || c.asked == 0 {
		return 1, 0, 0, 0
	}
	const perMilli = 1000
	return float64(c.answered) / float64(c.asked), float64(c.first.ValueAtQuantile(50)) / perMilli,
		float64(c.first.ValueAtQuantile(95)) / perMilli, c.asked
}

// below returns the workspaces whose mean quality lies under the target by more
// than the sampling error (three standard errors).
func (l *ledger) below() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, w := range l.fleet.Workspaces {
		scores := l.quality[w.Name]
		if len(scores) < 2 {
			continue
		}
		mean, variance := 0.0, 0.0
		for _, s := range scores {
			mean += s / float64(len(scores))
		}
		for _, s := range scores {
			variance += (s - mean) * (s - mean) / float64(len(scores)-1)
		}
		if mean+3*math.Sqrt(variance/float64(len(scores))) < w.TargetQuality {
			found = append(found, fmt.Sprintf("%s (%.3f, target %.2f, %d answers)", w.Name, mean, w.TargetQuality, len(scores)))
		}
	}
	return found
}
