package decoder

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// expansion returns a text whose aliases expand to 9^levels values.
func expansion(levels int) string {
	var b strings.Builder
	b.WriteString("a0: &a0 [x,x,x,x,x,x,x,x,x]\n")
	for i := range levels {
		list := strings.Repeat(fmt.Sprintf("*a%d,", i), 9)
		fmt.Fprintf(&b, "a%d: &a%d [%s]\n", i+1, i+1, list)
	}
	return b.String()
}

// TestLimits guards against a hostile text that is accepted, ends the process or
// makes it use memory without bound: at most 256 bytes are allocated for each byte
// of the largest text.
func TestLimits(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"64 MB":          {strings.Repeat("# comment\n", 64<<20/10), "larger than"},
		"deep flow":      {"a: " + strings.Repeat("[", 33) + strings.Repeat("]", 33), "nested"},
		"deepest flow":   {"a: " + strings.Repeat("[", MaxBytes-3), "depth"},
		"deep block":     {strings.Repeat("- ", 9_000) + "x", "nested"},
		"expansion":      {expansion(30), "aliases"},
		"deep aliases":   {"a: &a [[[[[[[[[[[[[[[[[[x]]]]]]]]]]]]]]]]]]\nb: [[[[[[[[[[[[[[[[*a]]]]]]]]]]]]]]]]", "nested"},
		"alias to self":  {"a: &a [*a]", "contains itself"},
		"merge to self":  {"a: &a {<<: *a}", "contains itself"},
		"many values":    {"a: [" + strings.Repeat("x,", MaxBytes/2-10) + "x]", "more than 500000 values"},
		"many keys":      {"a: {" + strings.Repeat("x,", MaxBytes/2-10) + "x}", "more than 1000 keys"},
		"many documents": {"a: 1\n" + strings.Repeat("---\n", MaxBytes/4-10), "more than one document"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var out map[string]any
			_, err := Decode("f", []byte(test.text), &out)
			runtime.ReadMemStats(&after)
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want ErrInvalid with %q", err, test.want)
			}
			if got, want := after.TotalAlloc-before.TotalAlloc, uint64(256*MaxBytes); got > want {
				t.Errorf("got %d bytes allocated, want at most %d", got, want)
			}
		})
	}
	var out map[string]any
	if _, err := Decode("f", []byte("a: &a {x: [1]}\nb: [*a, *a]\n"), &out); err != nil {
		t.Errorf("a text with few aliases: got %v, want nil", err)
	}
}

// TestReadFile guards against a file that is read without end.
func TestReadFile(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large")
	if err := os.WriteFile(large, make([]byte, MaxBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]error{large: ErrTooLarge, "/dev/zero": ErrTooLarge, "none": os.ErrNotExist} {
		if _, err := ReadFile(name); !errors.Is(err, want) {
			t.Errorf("%s: got %v, want %v", name, err, want)
		}
	}
}
