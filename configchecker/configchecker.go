package configchecker

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/decoder"
	"rosemaryarch.example/rosemaryarch/parser"
)

// Kinds of findings.
const (
	KindError         = "error"         // the text would be refused
	KindUnreachable   = "unreachable"   // the entry can never match
	KindContradiction = "contradiction" // two limits contradict each other
)

// maxListed bounds the findings and the differences of a hostile text.
const maxListed = 1_000

// Report is the result of a check. Its JSON form is described in
// docs/OPERATIONS.md.
type Report struct {
	File        string       `json:"file"`
	Summary     string       `json:"summary"`     // of a text without errors
	Findings    []Finding    `json:"findings"`    // by line, path, kind and message
	Differences []Difference `json:"differences"` // by path and change
	Omitted     int          `json:"omitted"`     // findings and differences beyond 1,000 each
}

// Finding is one fault of the text.
type Finding struct {
	Kind    string `json:"kind"`
	Path    string `json:"path,omitempty"` // of the entry, for example "models[0].name"
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// Check checks a text. inForce is the fleet in force, or nil if the text is not
// compared. A text with errors has no other findings and no differences.
func Check(file string, text []byte, inForce *parser.Fleet) Report {
	r := Report{File: file, Findings: []Finding{}, Differences: []Difference{}}
	inspection := parser.Inspect(file, text)
	for _, err := range inspection.Errors {
		f := Finding{Kind: KindError, Message: err.Error()}
		var fault *decoder.Fault
		if errors.As(err, &fault) {
			f.Path, f.Line, f.Message = fault.Path, fault.Line, fault.Message
		}
		f.Message = withoutHashes(f.Message)
		r.Findings = append(r.Findings, f)
	}
	if f := inspection.Fleet; f != nil {
		r.Summary = fmt.Sprintf("fleet %s: %d data centres, %d versions, %d services, %d workspaces", f.Name,
			len(f.DataCentres), len(f.VersionKeys()), len(f.Services), len(f.Workspaces))
		a := newAnalysis(f, inspection.Document)
		a.findUnreachable()
		a.findContradictions()
		r.Findings, r.Omitted = append(r.Findings, a.findings...), a.omitted
		if inForce != nil {
			found, omitted := differences(inForce, f)
			r.Differences, r.Omitted = found, r.Omitted+omitted
		}
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Message, b.Message))
	})
	slices.SortStableFunc(r.Differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Change, b.Change), cmp.Compare(a.Old, b.Old))
	})
	return r
}

// WriteText writes the report as lines of text. Characters that are not printable
// are escaped, since they could control a terminal.
func (r Report) WriteText(w io.Writer) error {
	var lines []string
	for _, f := range r.Findings {
		place := r.File
		if f.Line > 0 {
			place += ":" + strconv.Itoa(f.Line)
		}
		if f.Path != "" {
			f.Message = f.Path + ": " + f.Message
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %s", place, f.Kind, f.Message))
	}
	for _, d := range r.Differences {
		value := d.Old + " -> " + d.New
		if d.Change != Changed {
			value = d.Old + d.New
		}
		lines = append(lines, fmt.Sprintf("%s %s: %s", d.Change, d.Path, value))
	}
	if r.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more are not shown", r.Omitted))
	}
	end := fmt.Sprintf("%s: %d findings, %d differences", r.File, len(r.Findings), len(r.Differences))
	if r.Summary != "" {
		end += "; " + r.Summary
	}
	for _, line := range append(lines, end) {
		if _, err := fmt.Fprintln(w, printable(line)); err != nil {
			return err
		}
	}
	return nil
}

func printable(line string) string {
	var b strings.Builder
	for _, c := range line {
		if strconv.IsPrint(c) {
			b.WriteRune(c)
		} else {
			b.WriteString(strings.Trim(strconv.QuoteRuneToASCII(c), "'"))
		}
	}
	return b.String()
}

// hashPattern matches key hashes. Names are shorter.
var hashPattern = regexp.MustCompile(`[0-9a-fA-F]{64,}`)

// withoutHashes shortens key hashes, which are not shown in full.
func withoutHashes(text string) string {
	const shown = 8
	return hashPattern.ReplaceAllStringFunc(text, func(hash string) string { return hash[:shown] + "..." })
}
