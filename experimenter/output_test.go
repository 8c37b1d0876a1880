package experimenter

import (
	"bytes"
	"encoding/json"
	"image/png"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestOutput guards against invalid JSON and PNG output, and against a panic for a
// result without curves.
func TestOutput(t *testing.T) {
	want := Result{
		Name: "x", Seed: 7, Columns: []string{"p95_ms"}, Rows: []Row{{Label: "a", Values: []float64{1.5}}},
		Targets: []Target{{Name: "p95_ms", Measured: 1.5, Limit: 2}},
		Curves:  []Curve{{Label: "a", X: []float64{1, 2}, Y: []float64{3, 4}}},
	}
	var b bytes.Buffer
	if err := want.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	var got Result
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || got.Rows[0].Values[0] != 1.5 || !got.Targets[0].Met() {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	b.Reset()
	if err := want.WritePNG(&b); err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(&b); err != nil {
		t.Errorf("got an invalid PNG: %v", err)
	}
	if err := (Result{}).WritePNG(&b); !errors.Is(err, ErrNoCurves) {
		t.Errorf("got error %v, want ErrNoCurves", err)
	}
}

// TestEngineCache guards against hits on evicted prefixes, and on prefixes of which
// a shorter one was evicted.
func TestEngineCache(t *testing.T) {
	e := newEngine()
	prefixes, tokens := []uint64{1, 2}, []int32{1000, 1300}
	if got := e.prefixHit(prefixes, tokens); got != 0 {
		t.Errorf("got hit of %d tokens in an empty cache", got)
	}
	e.store(prefixes, tokens)
	if got := e.prefixHit(prefixes, tokens); got != 1300 {
		t.Errorf("got hit of %d tokens, want 1300", got)
	}
	if got := e.store([]uint64{3}, []int32{cacheCapacityTokens - 1000}); len(got) != 1 || got[0] != 2 {
		t.Errorf("got evictions %v, want [2]", got)
	}
	if got := e.prefixHit(prefixes, tokens); got != 1000 {
		t.Errorf("got hit of %d tokens after the eviction, want 1000", got)
	}
}
