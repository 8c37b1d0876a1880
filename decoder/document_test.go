package decoder

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// TestErrors guards against errors that do not locate the fault: each must be one
// line with the file, the line and, where package yaml reports it, the field.
func TestErrors(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"empty":         {"", "f:1: the document is empty"},
		"unknown field": {"a: 1\nc: 2\n", "f:2: c: unknown field"},
		"two unknown":   {"c: 2\nd: 3\n", "f:1: c: unknown field"},
		"duplicate":     {"a: 1\na: 2\n", `f:2: mapping key "a" already defined at line 1`},
		"wrong type":    {"a: 1\nb: text\n", "f:2: b: !!str cannot be read as []int"},
		"wrong item":    {"a: 1\nb: [1, text]\n", "f:2: b: !!str cannot be read as int"},
		"list document": {"- 1\n", "f:1: document: !!seq cannot be read as struct"},
		"syntax":        {"a: 1\nb: [1\n", "f:2: did not find expected ',' or ']'"},
		"first line":    {"\tx", "f:1: found character that cannot start any token"},
		"two documents": {"a: 1\n---\na: 2\n", "f:2: more than one document"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out struct {
				A int   `yaml:"a"`
				B []int `yaml:"b"`
			}
			_, err := Decode("f", []byte(test.text), &out)
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
			if got := err.Error(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
