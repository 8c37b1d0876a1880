package refuser

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestReasonsAreUsed guards against a reason that is defined and documented but
// never used, and against one that is missing in Refusals or RetryReasons.
func TestReasonsAreUsed(t *testing.T) {
	source, err := os.ReadFile("refusal.go")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") || filepath.Base(filepath.Dir(f)) == "refuser" {
			continue
		}
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		code.Write(text)
	}
	names := regexp.MustCompile(`(?m)^\t(Err\w+) += sentinel|^\t(Retry\w+) +RetryReason =`)
	found := names.FindAllStringSubmatch(string(source), -1)
	for _, m := range found {
		name := m[1] + m[2]
		if name == "ErrInternal" { // used by From
			continue
		}
		if !regexp.MustCompile(`refuser\.` + name + `\b`).MatchString(code.String()) {
			t.Errorf("no code uses refuser.%s", name)
		}
	}
	if got, want := len(Refusals())+len(RetryReasons()), len(found); got != want {
		t.Errorf("got %d reasons in the lists, want the %d of the source", got, want)
	}
}
