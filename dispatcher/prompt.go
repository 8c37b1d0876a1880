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
	// paceWeight is the weight of a new sample.
	paceWeight = 0.05
	// minSampleTokens keeps short prompts out, whose time is mostly overhead.
	minSampleTokens = 1500
)

// perToken returns the time in ms that an engine needs for a prompt token.
// below is the number of larger models on the route. The lock is held.
func (d *Dispatcher) perToken(model string, below int) float64 {
	if p := d.paces[model]; p != nil && p.samples >= 8 {
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
	p := d.paces[model]
	if p == nil {
		p = &pace{perToken: ms / tokens}
		d.paces[model] = p
	}
	p.samples++
	p.perToken += (ms/tokens - p.perToken) * max(paceWeight, 1/float64(p.samples))
}
