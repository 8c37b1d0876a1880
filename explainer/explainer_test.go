package explainer

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const logText = `noise
 1.5 n1 {"time":"2026-01-01T10:00:00.000Z","node":"n1","event":"store_lost","error":"x"}
{"time":"2026-01-01T10:00:01.000Z","node":"n1","event":"send","id":"r1","endpoint":"e1","outcome":"lost","ms":300}
{"time":"2026-01-01T10:00:01.100Z","node":"n1","event":"endpoint_gone","endpoint":"e1"}
{"time":"2026-01-01T10:00:01.100Z","node":"n1","event":"endpoint_gone","endpoint":"e2"}
{"time":"2026-01-01T10:00:01.200Z","node":"n2","event":"store_lost"}
{"time":"2026-01-01T10:00:01.300Z","node":"n1","event":"request","id":"r2","status":200}
{"time":"2026-01-01T10:00:01.400Z","node":"n1","event":"request","id":"r1","status":502,"ms":700}
{"time":"2026-01-01T10:00:09.000Z","node":"n1","event":"store_regained"}
`

// TestExplain guards against an explanation that lacks a line of the request or
// one about a possible cause, or that contains unrelated lines.
func TestExplain(t *testing.T) {
	var x Explainer
	skipped, err := x.ReadLog(strings.NewReader(logText))
	if err != nil || skipped != 1 {
		t.Fatalf("got %d skipped, %v", skipped, err)
	}
	var out strings.Builder
	if err := x.Explain(&out, "r1"); err != nil {
		t.Fatal(err)
	}
	want := `  10:00:00.000 n1 store_lost error=x
* 10:00:01.000 n1 send endpoint=e1 id=r1 ms=300 outcome=lost
  10:00:01.100 n1 endpoint_gone endpoint=e1
* 10:00:01.400 n1 request id=r1 ms=700 status=502
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	if err := x.Explain(&out, "r9"); !errors.Is(err, ErrNotFound) {
		t.Errorf("unknown request: got %v, want %v", err, ErrNotFound)
	}
}
