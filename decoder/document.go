package decoder

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// ErrInvalid marks every error about the content of a document.
var ErrInvalid = errors.New("invalid document")

// Document is a decoded YAML text that remembers the line of each field.
type Document struct {
	file string
	root *yaml.Node
}

// Decode reads text into out and refuses unknown fields, duplicate keys and
// more than one document. The file name appears in errors only.
func Decode(file string, text []byte, out any) (Document, error) {
	d := Document{file: file, root: &yaml.Node{}}
	if err := yaml.Unmarshal(text, d.root); err != nil {
		return d, d.syntaxError(err)
	}
	if len(d.root.Content) == 0 {
		return d, errors.Mark(fmt.Errorf("%s:1: the document is empty", file), ErrInvalid)
	}
	strict := yaml.NewDecoder(bytes.NewReader(text))
	strict.KnownFields(true)
	if err := strict.Decode(out); err != nil {
		return d, d.syntaxError(err)
	}
	if err := strict.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return d, errors.Mark(fmt.Errorf("%s: more than one document", file), ErrInvalid)
	}
	return d, nil
}

// syntaxError turns "yaml: line 3: ..." into "file:3: ...", one line.
func (d Document) syntaxError(err error) error {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	message = strings.TrimPrefix(message, "unmarshal errors:\n")
	first := strings.TrimSpace(strings.SplitN(message, "\n", 2)[0])
	if rest, ok := strings.CutPrefix(first, "line "); ok {
		if i := strings.Index(rest, ":"); i > 0 {
			return errors.Mark(fmt.Errorf("%s:%s:%s", d.file, rest[:i], rest[i+1:]), ErrInvalid)
		}
	}
	return errors.Mark(fmt.Errorf("%s: %s", d.file, first), ErrInvalid)
}

// Errorf returns an error about the field at path, which consists of field
// names and list indices. A missing field is reported at its parent's line.
func (d Document) Errorf(path []any, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	return errors.Mark(fmt.Errorf("%s:%d: %s: %s", d.file, d.line(path), pathText(path), message), ErrInvalid)
}

func (d Document) line(path []any) int {
	if len(d.root.Content) == 0 {
		return 1
	}
	node := d.root.Content[0]
	line := node.Line
	for _, step := range path {
		next, at := child(node, step)
		if next == nil {
			return line
		}
		node, line = next, at
	}
	return line
}

// child returns the node below n and the line where its key or item stands.
func child(n *yaml.Node, step any) (*yaml.Node, int) {
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

func pathText(path []any) string {
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
