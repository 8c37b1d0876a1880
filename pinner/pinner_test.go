package pinner

import (
	"context"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// TestChoose guards against a session that moves to another version without a
// reason, and against the use of a withdrawn version.
func TestChoose(t *testing.T) {
	all := []Candidate{{"m@1", 1, false}, {"m@2", 0, false}, {"m@3", 1, true}}
	cases := map[string]struct {
		token, pin string
		candidates []Candidate
		want       Choice
	}{
		"token":                   {"m@2", "m@1", all, Choice{"m@2", ByToken, ""}},
		"pin":                     {"", "m@2", all, Choice{"m@2", ByPin, ""}},
		"new":                     {"", "", all, Choice{"m@1", ByShare, ""}},
		"token withdrawn":         {"m@3", "", all, Choice{"m@1", ByShare, "m@3"}},
		"token withdrawn, pinned": {"m@3", "m@2", all, Choice{"m@2", ByPin, "m@3"}},
		"pin withdrawn":           {"", "m@3", all, Choice{"m@1", ByShare, "m@3"}},
		"no longer permitted":     {"m@9", "", all, Choice{"m@1", ByShare, "m@9"}},
		"none accepts sessions":   {"", "", all[1:], Choice{"", ByNone, ""}},
		"all withdrawn":           {"m@3", "", all[2:], Choice{"", ByNone, "m@3"}},
		"no candidates":           {"", "", nil, Choice{"", ByNone, ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := Choose("w", "s", c.token, c.pin, c.candidates); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestRaisedShare guards against a roll-out that moves existing sessions: with a
// token or pin a session stays, and if its pin cannot be read it moves to the
// version with the raised share or stays.
func TestRaisedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 8).Draw(t, "shares")
		var before []Candidate
		for i, s := range shares {
			before = append(before, Candidate{fmt.Sprint("m@", i), s, rapid.IntRange(0, 4).Draw(t, "w") == 0})
		}
		raised := rapid.IntRange(0, len(before)-1).Draw(t, "raised")
		after := append([]Candidate(nil), before...)
		after[raised].Share += rapid.Float64Range(0, 1000).Draw(t, "by")
		workspace, session := rapid.String().Draw(t, "workspace"), rapid.String().Draw(t, "session")
		old := Choose(workspace, session, "", "", before)
		if old.Reason == ByNone {
			return
		}
		for _, known := range [][2]string{{old.Version, ""}, {"", old.Version}} {
			got := Choose(workspace, session, known[0], known[1], after)
			if got.Version != old.Version || got.Displaced != "" {
				t.Fatalf("session moved: got %+v, want %q", got, old.Version)
			}
		}
		got := Choose(workspace, session, "", "", after).Version
		if got != old.Version && got != after[raised].Version {
			t.Fatalf("session without pin: got %q, want %q or %q", got, old.Version, after[raised].Version)
		}
	})
}

// TestShares guards against a distribution of new sessions that differs from the
// configured shares by more than four standard deviations.
func TestShares(t *testing.T) {
	candidates := []Candidate{{"m@1", 90, false}, {"m@2", 9, false}, {"m@3", 1, false}}
	const sessions = 100_000
	got := map[string]int{}
	for i := range sessions {
		got[Choose("w", fmt.Sprint(i), "", "", candidates).Version]++
	}
	for _, c := range candidates {
		p := c.Share / 100
		if want := p * sessions; math.Abs(float64(got[c.Version])-want) > 4*math.Sqrt(want*(1-p)) {
			t.Errorf("%s: got %d sessions, want about %.0f", c.Version, got[c.Version], want)
		}
	}
}

// TestPins guards against two instances that pin one session to two versions, a
// pin that is visible in another workspace, and a pin that is not replaced after
// its version is withdrawn.
func TestPins(t *testing.T) {
	ctx := context.Background()
	e, m := storeemulator.New(), clock.NewManual(0)
	newPinner := func(name string) *Pinner {
		return New(committer.New(e.Store(), m.Clock(), committer.Options{Instance: name}), m.Clock())
	}
	a, b := newPinner("a"), newPinner("b")
	steps := []struct {
		name string
		do   func() (string, error)
		want string
	}{
		{"no pin", func() (string, error) { return b.Lookup(ctx, "w", "s") }, ""},
		{"first", func() (string, error) { return a.Pin(ctx, "w", "s", "m@1", "") }, "m@1"},
		{"second", func() (string, error) { return b.Pin(ctx, "w", "s", "m@2", "") }, "m@1"},
		{"lookup", func() (string, error) { return b.Lookup(ctx, "w", "s") }, "m@1"},
		{"other workspace", func() (string, error) { return a.Lookup(ctx, "w/", "s") }, ""},
		{"displaced", func() (string, error) { return b.Pin(ctx, "w", "s", "m@3", "m@1") }, "m@3"},
		{"displaced twice", func() (string, error) { return a.Pin(ctx, "w", "s", "m@4", "m@1") }, "m@3"},
		{"read again", func() (string, error) { m.Advance(a.CacheAge); return a.Lookup(ctx, "w", "s") }, "m@3"},
	}
	for _, s := range steps {
		if got, err := s.do(); err != nil || got != s.want {
			t.Errorf("%s: got %q, %v, want %q", s.name, got, err, s.want)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	var candidates []Candidate
	for i := range 33 {
		candidates = append(candidates, Candidate{fmt.Sprint("m@", i), 1, false})
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose("workspace", "session-0123456789", "", "", candidates)
	}
}
