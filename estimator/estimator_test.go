package estimator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
)

const halfLife = 1000 * clock.Second

// drawEstimator returns an estimator of one instance with random counts up to now.
func drawEstimator(t *rapid.T, instance string, now clock.Millis, maxCells int) *Estimator {
	r := New(instance, 1, halfLife, maxCells)
	for range rapid.IntRange(0, 30).Draw(t, "counts") {
		k := Key{Workspace: "w", Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Version: "m@1",
			Step: uint8(rapid.IntRange(0, 2).Draw(t, "step"))}
		at := now - clock.Millis(rapid.IntRange(0, 7000).Draw(t, "age"))*clock.Second
		r.CountAnswer(k, at, now, rapid.Bool().Draw(t, "failed"))
		r.CountCheck(k, at, now, rapid.Bool().Draw(t, "passed"))
		r.CountRating(k, at, now, rapid.Float64Range(0, 1).Draw(t, "quality"))
	}
	return r
}

func mustMerge(t *rapid.T, into *Estimator, body []byte, now clock.Millis) {
	if body == nil {
		return
	}
	if _, err := into.Merge(body, now); err != nil {
		t.Fatal(err)
	}
}

// fullSnapshot returns a snapshot of all cells of r.
func fullSnapshot(t *rapid.T, r *Estimator) []byte {
	body, _, err := r.Snapshot(0, math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestMergeLaws guards against a merge that is not commutative, associative and idempotent,
// also when cells are evicted.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100000 * clock.Second
		maxCells := rapid.SampledFrom([]int{4, 1000}).Draw(t, "cells")
		var parts [][]byte
		for i := range 3 {
			r := drawEstimator(t, "i"+strconv.Itoa(i), now, maxCells)
			parts = append(parts, fullSnapshot(t, r))
			r.CountAnswer(Key{Workspace: "w", Version: "m@1"}, now, now, false)
			parts = append(parts, fullSnapshot(t, r))
		}
		merged := func(order []int) *Estimator {
			r := New("observer", 1, halfLife, maxCells)
			for _, i := range order {
				mustMerge(t, r, parts[i], now)
			}
			return r
		}
		want := merged([]int{0, 1, 2, 3, 4, 5}).Digest()
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(t, "order")
		if got := merged(append(order, order[:3]...)).Digest(); got != want {
			t.Fatalf("got digest %x in order %v with repetition, want %x", got, order, want)
		}
		grouped, left := merged(order[:3]), merged(order[3:])
		mustMerge(t, left, fullSnapshot(t, grouped), now)
		if got := left.Digest(); got != want {
			t.Fatalf("got digest %x when grouped, want %x", got, want)
		}
		if got := left.Cells(); got > maxCells {
			t.Fatalf("got %d cells, want at most %d", got, maxCells)
		}
	})
}

// TestSnapshotInParts guards against snapshots that exceed their size limit, and
// against cells that are left out when a table is sent in several snapshots.
func TestSnapshotInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100000 * clock.Second
		r, copied := drawEstimator(t, "a", now, 1000), New("b", 1, halfLife, 1000)
		limit := rapid.IntRange(200, 600).Draw(t, "bytes")
		for since := uint64(0); ; {
			body, next, err := r.Snapshot(since, limit)
			if err != nil || len(body) > limit {
				t.Fatalf("got %d bytes, error %v, want at most %d", len(body), err, limit)
			}
			if body == nil {
				break
			}
			mustMerge(t, copied, body, now)
			since = next
		}
		if got, want := copied.Digest(), r.Digest(); got != want {
			t.Fatalf("got digest %x, want %x", got, want)
		}
	})
}

// TestMergeInvalid guards against malformed or implausible snapshots that change the
// table or cause a panic.
func TestMergeInvalid(t *testing.T) {
	encode := func(names []string, cells ...any) []byte {
		b, err := cbor.Marshal(map[string]any{"names": names, "cells": cells})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	cell := func(name, step int, counts ...uint64) []any {
		return []any{name, 0, 0, 0, step, 0, 1, 0, counts}
	}
	valid := cell(0, 0, 1, 0, 1, 1, 500, 250000, 0, 0)
	tests := map[string][]byte{
		"not cbor":                 []byte("\xff\x00"),
		"name index":               encode([]string{"a"}, valid, cell(1, 0, 0, 0, 0, 0, 0, 0, 0, 0)),
		"negative name index":      encode([]string{"a"}, valid, cell(-1, 0, 0, 0, 0, 0, 0, 0, 0, 0)),
		"unknown step":             encode([]string{"a"}, valid, cell(0, 3, 0, 0, 0, 0, 0, 0, 0, 0)),
		"too few counters":         encode([]string{"a"}, valid, cell(0, 0, 1)),
		"more errors than answers": encode([]string{"a"}, valid, cell(0, 0, 1, 2, 0, 0, 0, 0, 0, 0)),
		"quality above 1":          encode([]string{"a"}, valid, cell(0, 0, 1, 0, 1, 1, 1001, 1, 0, 0)),
		"impossible count":         encode([]string{"a"}, valid, cell(0, 0, 1<<60, 0, 0, 0, 0, 0, 0, 0)),
		"name too long":            encode([]string{string(make([]byte, 300))}, valid),
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			r := New("b", 1, halfLife, 10)
			if _, err := r.Merge(body, 0); !errors.Is(err, ErrInvalidSnapshot) || r.Cells() != 0 {
				t.Errorf("got error %v, %d cells, want ErrInvalidSnapshot and none", err, r.Cells())
			}
		})
	}
	if _, err := New("b", 1, halfLife, 10).Merge(encode([]string{"a"}, valid), 0); err != nil {
		t.Errorf("got error %v for a valid snapshot", err)
	}
}

// TestAgeing guards against ratings that are counted after their bucket was removed,
// counts of an instance whose clock runs ahead, and counts that do not lose weight.
func TestAgeing(t *testing.T) {
	r, k := New("a", 1, halfLife, 100), Key{Workspace: "w", Version: "m@1"}
	at := 50 * halfLife
	r.CountRatingRequest(k, at, at)
	r.CountRatingRequest(k, at, at)
	if !r.CountRating(k, at, at+2*halfLife, 0.5) {
		t.Error("got a rating after two half-lives refused")
	}
	for name, test := range map[string]struct {
		age       clock.Millis
		low, high float64
	}{
		"fresh": {0, 1, 1}, "one half-life": {halfLife, 0.5, 0.75}, "four half-lives": {4 * halfLife, 0.05, 0.1},
	} {
		if got := r.Estimate(k, at+test.age).Rated; got < test.low || got > test.high {
			t.Errorf("%s: got weight %v, want %v to %v", name, got, test.low, test.high)
		}
	}
	if got := r.Estimate(k, at).MissingShare(); got != 0.5 {
		t.Errorf("got %v missing, want 0.5", got)
	}
	if r.CountRating(k, at, at+6*halfLife, 0.5) || r.LateCounts() != 1 {
		t.Errorf("got a rating after six half-lives counted, %d late, want 1", r.LateCounts())
	}
	totals := r.Totals(func(o Key) bool { return o == k }, at, at+halfLife)
	if len(totals) != 5 || totals[0].Rated != 1 || totals[0].Asked != 2 {
		t.Errorf("got totals %+v, want 5 with one rating in the first", totals)
	}
	body, _, _ := r.Snapshot(0, 10000)
	early := New("b", 1, halfLife, 100)
	if changed, err := early.Merge(body, 0); changed || err != nil || early.Cells() != 0 {
		t.Errorf("got cells from the future: changed %v, error %v", changed, err)
	}
}

// TestBounds guards against bounds that are violated more often than stated, or are
// too wide to be useful.
func TestBounds(t *testing.T) {
	const runs, n, delta = 2000, 200, 0.05
	r := rand.New(rand.NewPCG(1, 2))
	var qualityMisses, passMisses, meanWidth float64
	for range runs {
		var e Estimate
		for range n {
			q := min(1, max(0, 0.8+0.1*r.NormFloat64()))
			e.Rated++
			e.Sum += q
			e.Squares += q * q
			if r.Float64() < 0.9 {
				e.Passed++
			} else {
				e.Failed++
			}
		}
		lower, upper := e.QualityBounds(delta)
		meanWidth += (upper - lower) / runs
		if lower > 0.799 {
			qualityMisses++
		}
		if passLower, _ := e.PassRateBounds(delta); passLower > 0.9 {
			passMisses++
		}
	}
	if qualityMisses > delta*runs || passMisses > 1.3*delta*runs || meanWidth > 0.16 {
		t.Errorf("got %v and %v misses of %d, mean width %v", qualityMisses, passMisses, runs, meanWidth)
	}
}
