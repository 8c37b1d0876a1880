package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

var options = Options{RetriesPerSuccess: 0.1, Burst: 5, InitialTokens: 2, MaxKeys: 3, BaseDelay: 50, MaxDelay: 1000}

// TestBudget guards against retries beyond the share of successful requests, and
// against a workspace that retries at another service after it has used up its
// own budget.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		successes, retries, want int
	}{
		"initial tokens":            {0, 10, 2},
		"tokens of successes":       {20, 10, 4},
		"limited by the burst":      {1000, 10, 5},
		"less than one token added": {9, 10, 2},
	}
	for name, c := range cases {
		l := New(options)
		for range c.successes {
			l.Succeeded("s", "w")
		}
		var got int
		for range c.retries {
			if l.AllowRetry("s", "w") {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: got %d retries, want %d", name, got, c.want)
		}
		if c.successes == 1000 && l.AllowRetry("t", "w") {
			t.Errorf("%s: the workspace retried at another service beyond its own budget", name)
		}
	}
}

// TestTablesAreBounded guards against tables that grow with the number of keys,
// and against a key that regains its initial tokens when its budget is evicted.
func TestTablesAreBounded(t *testing.T) {
	l := New(options)
	var got int
	for n := range 1000 {
		if l.AllowRetry("s", fmt.Sprintf("w%d", n%10)) {
			got++
		}
		l.Succeeded("s", "w")
	}
	if size, want := len(l.byWorkspace.byKey), options.MaxKeys; size != want || l.byWorkspace.byLastUse.Len() != want {
		t.Errorf("got %d workspaces with a budget, want %d", size, want)
	}
	if want := 2 * options.MaxKeys; got > want {
		t.Errorf("got %d retries of ten workspaces, want at most %d", got, want)
	}
}

// TestBackoff guards against delays outside the stated range and against delays
// without jitter.
func TestBackoff(t *testing.T) {
	l := New(options)
	r := rand.New(rand.NewPCG(1, 2))
	longest := []clock.Millis{50, 100, 200, 400, 800, 1000, 1000}
	for attempt, want := range longest {
		seen := map[clock.Millis]bool{}
		for range 200 {
			d := l.Backoff(attempt, r)
			if d < want/2 || d > want {
				t.Fatalf("attempt %d: got a delay of %d ms, want %d to %d", attempt, d, want/2, want)
			}
			seen[d] = true
		}
		if len(seen) < 20 {
			t.Errorf("attempt %d: got %d different delays of 200, want at least 20", attempt, len(seen))
		}
	}
}
