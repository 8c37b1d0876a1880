package meter

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/refuser"
)

// TestReasons guards against a reason that is missing in the metrics or in the
// docs, and against a documented status or execution state that differs from the
// one that callers get.
func TestReasons(t *testing.T) {
	page, err := os.ReadFile("../docs/REASONS.md")
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	New().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	type wanted struct{ counter, line string }
	reasons := map[string]wanted{}
	for _, r := range refuser.Refusals() {
		reasons[string(r.Reason)] = wanted{
			fmt.Sprintf("rosemaryarch_refusals_total{reason=%q} 0\n", r.Reason),
			fmt.Sprintf("\n| `%s` | %d | %s |", r.Reason, r.Status, r.Execution),
		}
	}
	for _, r := range refuser.RetryReasons() {
		reasons["retry "+string(r)] = wanted{
			fmt.Sprintf("rosemaryarch_retries_total{reason=%q} 0\n", r), fmt.Sprintf("\n| `%s` | ", r),
		}
	}
	for _, r := range refuser.DropReasons() {
		reasons["drop "+string(r)] = wanted{
			fmt.Sprintf("rosemaryarch_dropped_responses_total{reason=%q} 0\n", r), fmt.Sprintf("\n| `%s` | ", r),
		}
	}
	for name, want := range reasons {
		t.Run(name, func(t *testing.T) {
			if got := strings.Count(w.Body.String(), want.counter); got != 1 {
				t.Errorf("got %d counters %q, want 1", got, want.counter)
			}
			if got := strings.Count(string(page), want.line); got != 1 {
				t.Errorf("got %d lines %q in docs/REASONS.md, want 1", got, want.line)
			}
		})
	}
	if got, want := strings.Count(string(page), "\n| `"), len(reasons); got != want {
		t.Errorf("got %d lines of reasons in docs/REASONS.md, want %d", got, want)
	}
}
