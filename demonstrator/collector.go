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

// collector collects the outcomes that callers saw, and the violated properties. It
// is safe for concurrent use.
type collector struct {
	mu               sync.Mutex
	phase            string                                 // current phase
	phases           []string                               // all phases, in order
	counts           map[string]*phaseCounts                // by phase
	versionByRequest map[string]string                      // version that answered, by workspace/request id
	sessionVersions  map[string][]string                    // versions of the answers in order, by workspace/session id
	scores           map[string][]float64                   // ratings of the answers, by workspace
	actualCost       float64                                // cost of all bills for model answers, in micro-units
	bestCost         float64                                // the same if the best version had answered everything
	confirmed        map[string]bool                        // whether the booking was confirmed, by key
	notExecuted      map[string]bool                        // whether all deliveries were refused with run "no", by key
	answersByVersion map[string]int                         // number of answers, by version
	violations       []string                               // descriptions of the properties that did not hold
	brokenStreams    map[string]int                         // number of streams that broke off, by address of the instance
	answerTokens     func(version, prompt string) int       // length of the complete answer, in tokens
	score            func(id, version, text string) float64 // rating of an answer
	fleet            *parser.Fleet
}

// phaseCounts holds the measurements of a phase.
type phaseCounts struct {
	requests, answered int
	firstToken         *hdrhistogram.Histogram // time to the first token, microseconds
}

const (
	maxLatency      = 60 * time.Second // longer latencies are counted as this one
	histogramDigits = 3
)

func newCollector(f *parser.Fleet) *collector {
	return &collector{
		fleet: f, counts: map[string]*phaseCounts{}, versionByRequest: map[string]string{},
		sessionVersions: map[string][]string{}, scores: map[string][]float64{},
		confirmed: map[string]bool{}, notExecuted: map[string]bool{},
		answersByVersion: map[string]int{}, brokenStreams: map[string]int{},
	}
}

// beginPhase makes the given phase the current one.
func (c *collector) beginPhase(phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	if c.counts[phase] == nil {
		c.phases = append(c.phases, phase)
		c.counts[phase] = &phaseCounts{firstToken: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)}
	}
}

// currentPhase returns the phase in which a request that starts now is counted.
func (c *collector) currentPhase() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// addViolation records a property that did not hold.
func (c *collector) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addChat records the outcome of a request that started in the given phase.
func (c *collector) addChat(phase string, r request, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[phase]
	counts.requests++
	for _, a := range o.brokenAddresses {
		c.brokenStreams[a]++
	}
	if !o.complete {
		c.violations = append(c.violations, fmt.Sprintf(
			"request %s of %s got no complete answer in %v after %d attempts (%s)",
			r.id, r.workspace, o.duration.Round(time.Millisecond), o.attempts, o.refusal.Reason))
		return
	}
	counts.answered++
	_ = counts.firstToken.RecordValue(min(o.firstToken.Microseconds(), maxLatency.Microseconds()))
	c.checkAnswer(r, o)
}

// checkAnswer checks that the answer has the text that the version computes for the
// prompt and comes from a model that the workspace may use, and records it.
func (c *collector) checkAnswer(r request, o outcome) {
	prompt := "user: " + r.prompt + "\n"
	tokens := c.answerTokens(o.version, prompt)
	text := strings.ReplaceAll(o.text, engineemulator.BadTokenPrefix, "")
	if text != engineemulator.Answer(o.version, prompt, tokens) {
		c.violations = append(c.violations, fmt.Sprintf("request %s got a wrong answer from %s", r.id, o.version))
	}
	model, _, _ := strings.Cut(o.version, "@")
	w, _ := c.fleet.Workspace(r.workspace)
	if !slices.Contains(w.Models, model) {
		c.violations = append(c.violations, fmt.Sprintf("%s ran on %s, which it may not use", r.workspace, o.version))
	}
	c.versionByRequest[r.workspace+"/"+r.id] = o.version
	c.answersByVersion[o.version]++
	if r.session != "" {
		key := r.workspace + "/" + r.session
		c.sessionVersions[key] = append(c.sessionVersions[key], o.version)
	}
	c.scores[r.workspace] = append(c.scores[r.workspace], c.score(r.id, o.version, o.text))
}

// sessionMoves returns a description of each change of a session's version. Changes
// away from the versions in allowed are left out.
func (c *collector) sessionMoves(allowed map[string]bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var moved []string
	for s, versions := range c.sessionVersions {
		for i := 1; i < len(versions); i++ {
			if versions[i] != versions[i-1] && !allowed[versions[i-1]] {
				moved = append(moved, fmt.Sprintf("%s: %s to %s", s, versions[i-1], versions[i]))
			}
		}
	}
	slices.Sort(moved)
	return moved
}

// phaseSummary returns the share of the phase's requests that were answered, the
// 50th and 95th percentiles of the time to the first token in milliseconds, and the
// number of requests.
func (c *collector) phaseSummary(phase string) (share, p50, p95 float64, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[phase]
	if counts == nil || counts.requests == 0 {
		return 1, 0, 0, 0
	}
	const perMilli = 1000
	return float64(counts.answered) / float64(counts.requests), float64(counts.firstToken.ValueAtQuantile(50)) / perMilli,
		float64(counts.firstToken.ValueAtQuantile(95)) / perMilli, counts.requests
}

// belowTarget returns a description of each workspace whose mean quality is below
// its target by more than the sampling error (three standard errors).
func (c *collector) belowTarget() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for _, w := range c.fleet.Workspaces {
		scores := c.scores[w.Name]
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
