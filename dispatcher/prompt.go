package dispatcher

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"rosemaryarch.example/rosemaryarch/matcher"
)

// prompt holds the numbers of tokens that a model request states about itself.
type prompt struct {
	tokens float64  // of the whole prompt
	shared float64  // of all parts but the last, which other requests may share
	output float64  // expected
	prefix string   // id of the last shared part; empty if there is none
	parts  []string // ids of the shared parts, in order
}

const (
	// maxPromptParts limits the shared parts of which the ids are kept, and
	// maxPartID the length of an id in bytes. A longer id, or one that no message can
	// carry as text, is replaced by its hash.
	maxPromptParts = 64
	maxPartID      = 32
	// maxTokens is the largest number of tokens that is read; it is far above any prompt.
	maxTokens = 1e9
)

// readParts returns the ids of the parts of a prompt that other requests may
// share: all but the last one.
func readParts(header string) (shared []string) {
	last := ""
	for part := range strings.SplitSeq(header, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		if id == "" {
			continue
		}
		if len(id) > maxPartID || !utf8.ValidString(id) {
			id = strconv.FormatUint(matcher.Hash("part", id), 16)
		}
		if last != "" && len(shared) < maxPromptParts {
			shared = append(shared, last)
		}
		last = id
	}
	return shared
}

// readPrompt reads the sizes of a model request. It ignores the prompt's parts
// from the first unreadable one on and takes other unreadable numbers as 0, since
// the sizes only affect the choice of the endpoint.
func readPrompt(h http.Header, n HeaderNames) prompt {
	var p prompt
	header := strings.Join(h.Values(n.Prefix), ",")
	p.parts = readParts(header)
	parts := strings.Split(h.Get(n.Prefix), ",")
	for i, part := range parts {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		count, ok := readCount(tokens)
		if !ok {
			break
		}
		p.tokens = min(maxTokens, p.tokens+count)
		if i < len(parts)-1 {
			p.shared = p.tokens
			p.prefix = id
		}
	}
	in, out, _ := strings.Cut(h.Get(n.Tokens), ",")
	if count, ok := readCount(in); ok {
		p.tokens = max(count, p.tokens)
	}
	p.output, _ = readCount(out)
	if hint, ok := readCount(h.Get(n.LengthHint)); ok && hint > 0 {
		p.output = min(p.output, hint)
	}
	return p
}

// readCount reads a number of tokens, at most maxTokens. A number that is negative or not
// finite is unreadable: it would make averages and the loads in heartbeats impossible.
func readCount(text string) (float64, bool) {
	count, err := strconv.ParseFloat(text, 64)
	if err != nil || !(count >= 0) || math.IsInf(count, 1) {
		return 0, false
	}
	return min(maxTokens, count), true
}
