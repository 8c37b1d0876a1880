package decoder

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// ErrInvalid marks every error about the content of a document.
var ErrInvalid = errors.New("invalid document")

// Fault is the error in the content of a document. All errors marked with
// ErrInvalid have one in their chain.
type Fault struct {
	File    string
	Line    int
	Path    string // of the field, or empty
	Message string
}

func (f *Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// Document is a decoded YAML text with the line numbers of its fields.
type Document struct {
	file   string
	root   *yaml.Node
	secret bool // error messages must not quote the text
}

// Decode decodes text into out. It rejects unknown fields, duplicate keys and more
// than one document. The file name is used in error messages only.
func Decode(file string, text []byte, out any) (Document, error) {
	return decode(Document{file: file, root: &yaml.Node{}}, text, out)
}

// DecodeSecret is like Decode for a text that contains secrets. Its errors name
// the line and do not quote the text.
func DecodeSecret(file string, text []byte, out any) (Document, error) {
	return decode(Document{file: file, root: &yaml.Node{}, secret: true}, text, out)
}

func decode(d Document, text []byte, out any) (Document, error) {
	if len(text) > MaxBytes {
		return d, d.invalid(1, ErrTooLarge.Error())
	}
	if err := yaml.Unmarshal(text, d.root); err != nil {
		return d, d.yamlError(err)
	}
	if len(d.root.Content) == 0 {
		return d, d.invalid(1, "the document is empty")
	}
	if n, message := newMeasurer().check(d.root); message != "" {
		return d, d.invalid(n.Line, message)
	}
	strict := yaml.NewDecoder(bytes.NewReader(text))
	strict.KnownFields(true)
	if err := strict.Decode(out); err != nil {
		return d, d.yamlError(err)
	}
	var next yaml.Node
	if err := strict.Decode(&next); !errors.Is(err, io.EOF) {
		return d, d.invalid(max(next.Line, 1), "more than one document")
	}
	return d, nil
}

func (d Document) invalid(line int, message string) error {
	return errors.Mark(&Fault{File: d.file, Line: line, Message: shorten(message)}, ErrInvalid)
}

// Patterns of error messages of package yaml. The package quotes the start of an
// invalid value, which may be a secret.
var (
	lineErrorPattern = regexp.MustCompile(`^line (\d+): (.*)$`)
	typeErrorPattern = regexp.MustCompile(`^cannot unmarshal (!!\w+)(?: .*)? into ([\w.\[\]]+)`)
	// zeroBasedLinePattern matches the errors whose line numbers start at 0.
	zeroBasedLinePattern = regexp.MustCompile(`^did not find expected (<document start>|node|'-' indicator|key|',' or)`)
	unknownFieldPattern  = regexp.MustCompile(`^field (.*) not found in type`)
)

// yamlError converts an error of package yaml into one line with the file, the line
// and, where it is known, the field. Package yaml omits the line number if it is
// the first line.
func (d Document) yamlError(err error) error {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	message = strings.TrimPrefix(message, "unmarshal errors:\n")
	message = strings.TrimSpace(strings.SplitN(message, "\n", 2)[0])
	line := 1
	if m := lineErrorPattern.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = m[2]
		if zeroBasedLinePattern.MatchString(message) {
			line++
		}
	}
	if d.secret {
		return d.invalid(line, "not valid (the text is not shown, because it may hold a secret)")
	}
	if m := unknownFieldPattern.FindStringSubmatch(message); m != nil {
		return d.invalid(line, m[1]+": unknown field")
	}
	if m := typeErrorPattern.FindStringSubmatch(message); m != nil {
		field := fieldAt(d.root, "document", line, m[1])
		return d.invalid(line, fmt.Sprintf("%s: %s cannot be read as %s", field, m[1], m[2]))
	}
	return d.invalid(line, message)
}

// fieldAt returns the name of the last field below n whose value, or an item of
// whose list, is in the given line and has the given tag, or "" if there is none.
// name is the name of the field with the value n.
func fieldAt(n *yaml.Node, name string, line int, tag string) string {
	found := ""
	for i, c := range n.Content {
		field := name
		if n.Kind == yaml.MappingNode {
			if i%2 == 0 {
				continue
			}
			field = n.Content[i-1].Value
		}
		if c.Line == line && c.ShortTag() == tag {
			found = field
		}
		if below := fieldAt(c, field, line, tag); below != "" {
			found = below
		}
	}
	return found
}

// Errorf returns an error about the field at path, which consists of field names
// and list indices. A missing field is reported with the line of its parent.
func (d Document) Errorf(path []any, format string, args ...any) error {
	message := shorten(fmt.Sprintf(format, args...))
	return errors.Mark(&Fault{File: d.file, Line: d.Line(path), Path: PathText(path), Message: message}, ErrInvalid)
}

// Line returns the line of the field at path, or of its last existing parent.
func (d Document) Line(path []any) int {
	if len(d.root.Content) == 0 {
		return 1
	}
	node := d.root.Content[0]
	line := node.Line
	for _, step := range path {
		next, at := childNode(node, step)
		if next == nil {
			return line
		}
		node, line = next, at
	}
	return line
}

// childNode returns the child of n with the given key or index, and the line of its
// key or item.
func childNode(n *yaml.Node, step any) (*yaml.Node, int) {
	switch s := step.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && s < len(n.Content) {
			return n.Content[s], n.Content[s].Line
		}
	case string:
		if n.Kind != yaml.MappingNode {
			return nil, 0
		}
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == s {
				return n.Content[i+1], n.Content[i].Line
			}
		}
	}
	return nil, 0
}

// PathText formats a path, for example "models[0].name".
func PathText(path []any) string {
	var b strings.Builder
	for _, step := range path {
		switch s := step.(type) {
		case int:
			b.WriteString("[" + strconv.Itoa(s) + "]")
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(s)
		}
	}
	return b.String()
}
