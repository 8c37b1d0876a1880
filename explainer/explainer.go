package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// ErrNotFound is returned if no log line has the id of the request.
var ErrNotFound = errors.New("explainer: no log line has the id of the request")

// maxLineBytes is the longest log line that is accepted.
const maxLineBytes = 1 << 20

// contextWindow is the time before the start and after the end of a request in
// which the lines about its instances and endpoints are shown.
const contextWindow = 3 * clock.Second

// line is a parsed log line.
type line struct {
	at     time.Time
	event  string
	node   string         // instance that wrote the line
	text   string         // the other fields as text
	fields map[string]any // all fields
}

// Explainer holds the lines of all log files that were read.
type Explainer struct{ lines []line }

// ReadLog adds the log lines of r. In each line it ignores the text before the
// first brace, such as the prefix of a log collector. It skips lines that are not
// log lines and returns their number. The error is that of r, or states that a
// line exceeds 1 MiB.
func (x *Explainer) ReadLog(r io.Reader) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		l, ok := parseLine(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		x.lines = append(x.lines, l)
	}
	return skipped, errors.Wrap(s.Err(), "read log")
}

func parseLine(text []byte) (line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return line{}, false
	}
	l := line{fields: make(map[string]any)}
	if json.Unmarshal(text[i:], &l.fields) != nil {
		return line{}, false
	}
	l.event, _ = l.fields["event"].(string)
	l.node, _ = l.fields["node"].(string)
	stamp, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || l.event == "" {
		return line{}, false
	}
	l.at, l.text = at, formatFields(l.fields)
	return l, true
}

// formatFields returns all fields that have no column of their own and are not
// empty, ordered by name.
func formatFields(fields map[string]any) string {
	var parts []string
	for name, v := range fields {
		if name == "time" || name == "node" || name == "event" || v == "" {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, v))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// scope is the time span, the instances and the endpoints of a request. The time
// span includes contextWindow at both ends.
type scope struct {
	first, last      time.Time
	nodes, endpoints map[string]bool
}

// scopeOf computes the scope of a request from the lines with its id. A line with a
// duration in its field ms, in milliseconds, is written at the end of that time.
func (x *Explainer) scopeOf(id string) scope {
	s := scope{nodes: make(map[string]bool), endpoints: make(map[string]bool)}
	for _, l := range x.lines {
		if l.fields["id"] != id {
			continue
		}
		begin := l.at
		if ms, ok := l.fields["ms"].(float64); ok {
			begin = begin.Add(-clock.Millis(ms).Duration())
		}
		if s.first.IsZero() || begin.Before(s.first) {
			s.first = begin
		}
		if l.at.After(s.last) {
			s.last = l.at
		}
		s.nodes[l.node] = true
		if e, ok := l.fields["endpoint"].(string); ok && e != "" {
			s.endpoints[e] = true
		}
	}
	s.first, s.last = s.first.Add(-contextWindow.Duration()), s.last.Add(contextWindow.Duration())
	return s
}

// Explain writes the lines that concern the request in the order of time. Lines
// with its id are marked with an asterisk. It returns ErrNotFound if no line has
// the id.
func (x *Explainer) Explain(w io.Writer, id string) error {
	s := x.scopeOf(id)
	if len(s.nodes) == 0 {
		return errors.Wrapf(ErrNotFound, "request %q", id)
	}
	slices.SortStableFunc(x.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range x.lines {
		mark := "*"
		if l.fields["id"] != id {
			mark = " "
			if !s.includes(l) {
				continue
			}
		}
		_, err := fmt.Fprintf(w, "%s %s %s %s %s\n", mark, l.at.Format("15:04:05.000"), l.node, l.event, l.text)
		if err != nil {
			return errors.Wrap(err, "write explanation")
		}
	}
	return nil
}

// includes reports whether a line without the id of the request may explain it:
// the line is within the time span, comes from an instance of the request, is not
// about another request, and names no endpoint or one of the request's endpoints.
func (s scope) includes(l line) bool {
	if l.at.Before(s.first) || l.at.After(s.last) || !s.nodes[l.node] || l.event == "request" || l.event == "send" {
		return false
	}
	e, ok := l.fields["endpoint"].(string)
	return !ok || s.endpoints[e]
}
