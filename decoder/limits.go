package decoder

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Limits of a document. The configuration of a fleet of 1,000 workspaces has about
// 250 KB, 30,000 nodes and a depth of 6.
const (
	// MaxBytes is the largest size of a document.
	MaxBytes = 2 << 20
	// maxNodes is the largest number of scalars, lists and mappings after the
	// expansion of aliases.
	maxNodes = 500_000
	// maxDepth is the largest number of nested lists and mappings.
	maxDepth = 32
	// maxKeys is the largest number of keys of one mapping. Package yaml compares
	// all keys of a mapping with each other.
	maxKeys = 1_000
	// maxMessageBytes is the largest size of a message, which may quote the text.
	maxMessageBytes = 500
)

// ErrTooLarge states that a document has more than MaxBytes.
var ErrTooLarge = errors.Newf("the document is larger than %d bytes", MaxBytes)

// ReadFile reads the file of a document. It returns ErrTooLarge without reading
// more than MaxBytes and one byte, also for a device that never ends.
func ReadFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MaxBytes {
		return nil, errors.Wrap(ErrTooLarge, name)
	}
	return text, nil
}

// shorten cuts a message to maxMessageBytes.
func shorten(message string) string {
	if len(message) <= maxMessageBytes {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
}

// measurer computes the size and depth of a node tree with expanded aliases. Each
// node is visited once.
type measurer struct {
	sizes map[*yaml.Node]size // of the targets of aliases
	fault *yaml.Node
	text  string
}

type size struct{ nodes, depth int }

func newMeasurer() *measurer { return &measurer{sizes: map[*yaml.Node]size{}} }

// check returns the first node that exceeds a limit and a message, or an empty
// message.
func (m *measurer) check(root *yaml.Node) (*yaml.Node, string) {
	m.measure(root, -1) // the document node itself is no level
	return m.fault, m.text
}

// measure returns the size of n, which has the given number of parents. It is not
// meaningful after a fault.
func (m *measurer) measure(n *yaml.Node, parents int) size {
	if n.Kind == yaml.AliasNode {
		return m.measureAlias(n, parents)
	}
	if parents >= maxDepth && len(n.Content) > 0 {
		return m.fail(n, fmt.Sprintf("more than %d nested lists and mappings", maxDepth))
	}
	if n.Kind == yaml.MappingNode && len(n.Content) > 2*maxKeys {
		return m.fail(n, fmt.Sprintf("a mapping with more than %d keys", maxKeys))
	}
	total := size{nodes: 1}
	for _, c := range n.Content {
		s := m.measure(c, parents+1)
		if m.fault != nil {
			return total
		}
		total.nodes += s.nodes
		total.depth = max(total.depth, s.depth+1)
		if total.nodes > maxNodes {
			return m.fail(c, fmt.Sprintf("more than %d values after the expansion of aliases", maxNodes))
		}
	}
	if n.Anchor != "" {
		m.sizes[n] = total
	}
	return total
}

// measureAlias returns the size of the target. An alias inside its own target
// counts as nothing; package yaml rejects it.
func (m *measurer) measureAlias(n *yaml.Node, parents int) size {
	s := m.sizes[n.Alias]
	if parents+s.depth > maxDepth {
		return m.fail(n, fmt.Sprintf("more than %d nested lists and mappings", maxDepth))
	}
	return s
}

func (m *measurer) fail(n *yaml.Node, text string) size {
	m.fault, m.text = n, text
	return size{}
}
