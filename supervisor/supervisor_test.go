package supervisor

import (
	"context"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

const fleetText = `
fleet: test
data_centres: [{name: a, region: r}]
models:
  - name: m
    input_cost: 1
    output_cost: 1
    first_token_ms: 10
    versions:
      - {name: v1, state: serving}
      - {name: v2, state: canary, share_percent: 50%s}
services: [{name: s, kind: model, models: [m], repeatable: true}]
workspaces: [{name: w, services: [s], models: [m], quality: 0.5}]
`

// fleet returns the parsed configuration with extra fields for version v2.
func fleet(t *testing.T, extra string) *parser.Fleet {
	t.Helper()
	text := []byte(replace(fleetText, extra))
	f, err := parser.Parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func replace(text, extra string) string {
	const placeholder = "%s"
	for i := 0; i+len(placeholder) <= len(text); i++ {
		if text[i:i+len(placeholder)] == placeholder {
			return text[:i] + extra + text[i+len(placeholder):]
		}
	}
	return text
}

// TestStopIsSharedAndCleared guards against a bad version that keeps its share on
// other instances, after a store outage or after a restart, and against a stop
// that a change of the version's entry does not clear.
func TestStopIsSharedAndCleared(t *testing.T) {
	ctx := context.Background()
	emulator := storeemulator.New()
	now := 100 * clock.Hour
	counts := estimator.New("i1", 1, clock.Hour, 1000)
	first := New(emulator.Store(), counts, promoter.Default("i1"))
	second := New(emulator.Store(), estimator.New("i2", 1, clock.Hour, 1000), promoter.Default("i2"))
	f := fleet(t, "")
	first.Tick(f, now)
	for range 2000 {
		now++
		for version, quality := range map[string]float64{"m@v1": 0.9, "m@v2": 0.4} {
			k := estimator.Key{Workspace: "w", Kind: "s", Version: version}
			counts.CountAnswer(k, now, now, false)
			counts.CountRating(k, now, now, quality)
		}
	}
	emulator.SetFaults(storeemulator.Faults{Down: true})
	if !first.Tick(f, now) {
		t.Fatal("a bad version was not stopped")
	}
	if err := first.Sync(ctx); err == nil {
		t.Error("sync in an outage: got no error")
	}
	if got := second.Merge(first.Records()); !got {
		t.Error("merge at another instance: got nothing new")
	}
	if got, want := second.Stopped(f)["m@v2"], promoter.ReasonQuality; got != want {
		t.Errorf("stop at another instance: got %q, want %q", got, want)
	}
	emulator.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1})
	_ = first.Sync(ctx) // the response is lost; the next call reads the object again
	if err := first.Sync(ctx); err != nil {
		t.Errorf("sync after the outage: %v", err)
	}
	third := New(emulator.Store(), estimator.New("i3", 1, clock.Hour, 1000), promoter.Default("i3"))
	if err := third.Sync(ctx); err != nil {
		t.Fatal(err)
	}
	third.Tick(f, now)
	if shares, _ := third.Shares(); shares["m@v2"] != 0 {
		t.Errorf("share after a restart: got %v, want 0", shares["m@v2"])
	}
	if got := len(third.Stopped(fleet(t, ", attempt: 2"))); got != 0 {
		t.Errorf("stops after the entry changed: got %d, want 0", got)
	}
}
