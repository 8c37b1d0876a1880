package dispatcher

import (
	"net/http"
	"strconv"
	"strings"
)

// prompt is what a request says of its size.
type prompt struct {
	tokens  float64 // of the whole prompt
	shared  float64 // tokens before the last part
	output  float64 // expected tokens
	subject string  // last shared part; empty: none
}

// readPrompt reads the sizes of a model request. Parts that cannot be read
// count as none: the header only helps the choice.
func readPrompt(h http.Header, n Names) prompt {
	var p prompt
	parts := strings.Split(h.Get(n.Prefix), ",")
	for i, part := range parts {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		count, err := strconv.ParseFloat(tokens, 64)
		if err != nil {
			break
		}
		p.tokens += count
		if i < len(parts)-1 {
			p.shared += count
			p.subject = id
		}
	}
	in, out, _ := strings.Cut(h.Get(n.Tokens), ",")
	if count, err := strconv.ParseFloat(in, 64); err == nil {
		p.tokens = max(count, p.tokens)
	}
	p.output, _ = strconv.ParseFloat(out, 64)
	if hint, err := strconv.ParseFloat(h.Get(n.LengthHint), 64); err == nil && hint > 0 {
		p.output = min(p.output, hint)
	}
	return p
}

// pace is the learned time per prompt token of one model.
type pace struct {
	perToken float64 // ms
	samples  int
}

const (
	// largestPerToken is the first guess in ms for the largest model of a
	// route; the deployment's engines read some 20 tokens in a ms with it.
	largestPerToken = 0.05
	// smallerBy is the first guess of the ratio between neighbouring sizes.
	smallerBy = 0.3
	// paceDown and paceUp are the parts by which the pace moves towards a smaller
	// or a larger sample, so that it settles where two fifths of the samples are
	// smaller. A mean would follow the first events that waited for other
	// requests, of which this instance knows late or nothing.
	paceDown = 0.03
	paceUp   = 0.02
	// firstSamples set the pace by their smallest one.
	firstSamples = 8
	// minSampleTokens keeps short prompts out, whose time is mostly overhead.
	minSampleTokens = 1500
)

// perToken returns the time in ms that an engine needs for a prompt token.
// below is the number of larger models on the route. The lock is held.
func (d *Dispatcher) perToken(model string, below int) float64 {
	if p := d.paces[model]; p != nil && p.samples >= firstSamples {
		return p.perToken
	}
	guess := largestPerToken
	for range below {
		guess *= smallerBy
	}
	return guess
}

// learnPace takes the time to the first event on an endpoint that had no
// other work. The lock is held.
func (d *Dispatcher) learnPace(model string, tokens, ms float64) {
	if tokens < minSampleTokens {
		return
	}
	sample := ms / tokens
	p := d.paces[model]
	if p == nil {
		p = &pace{perToken: sample}
		d.paces[model] = p
	}
	p.samples++
	switch {
	case p.samples <= firstSamples:
		p.perToken = min(p.perToken, sample)
	case sample < p.perToken:
		p.perToken = max(sample, p.perToken*(1-paceDown))
	default:
		p.perToken = min(sample, p.perToken*(1+paceUp))
	}
}
