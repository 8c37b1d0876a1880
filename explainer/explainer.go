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

// ErrNotFound tells that no line names the request.
var ErrNotFound = errors.New("explainer: no line names the request")

// maxLine bounds a log line.
const maxLine = 1 << 20

// around is the time before a request's start and after its end from which the
// lines of its instance and endpoints are shown.
const around = 3 * clock.Second

type line struct {
	at     time.Time
	event  string
	node   string
	text   string
	fields map[string]any
}

// Explainer holds the lines of some log files.
type Explainer struct{ lines []line }

// Read adds the lines of r. Text before the first brace, such as a collector's
// prefix, and lines that are no log lines are skipped; their number is
// returned.
func (x *Explainer) Read(r io.Reader) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		x.lines = append(x.lines, l)
	}
	return skipped, errors.Wrap(s.Err(), "read log")
}

func parse(text []byte) (line, bool) {
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
	l.at, l.text = at, describe(l.fields)
	return l, true
}

// describe returns the fields that are not shown otherwise, ordered by name.
func describe(fields map[string]any) string {
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

// span is where and when a request was in progress.
type span struct {
	first, last      time.Time
	nodes, endpoints map[string]bool
}

func (x *Explainer) span(id string) span {
	s := span{nodes: make(map[string]bool), endpoints: make(map[string]bool)}
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
	s.first, s.last = s.first.Add(-around.Duration()), s.last.Add(around.Duration())
	return s
}

// Explain writes the lines that concern the request, in order of time. Those
// that name it are marked.
func (x *Explainer) Explain(w io.Writer, id string) error {
	s := x.span(id)
	if len(s.nodes) == 0 {
		return errors.Wrapf(ErrNotFound, "request %q", id)
	}
	slices.SortStableFunc(x.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range x.lines {
		mark := "*"
		if l.fields["id"] != id {
			mark = " "
			if !s.concerns(l) {
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

// concerns reports whether a line of another subject may explain the request:
// it is about one of its endpoints or a state of its instance.
func (s span) concerns(l line) bool {
	if l.at.Before(s.first) || l.at.After(s.last) || !s.nodes[l.node] || l.event == "request" || l.event == "send" {
		return false
	}
	e, ok := l.fields["endpoint"].(string)
	return !ok || s.endpoints[e]
}
