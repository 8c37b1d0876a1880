package archiver

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/storeclient"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// TestCountsSurviveReplacement guards against counts that are lost when all
// instances are replaced, against a save that overwrites the counts saved by
// another instance, and against a save that keeps failing after the store's answer
// was lost.
func TestCountsSurviveReplacement(t *testing.T) {
	ctx := context.Background()
	now := 1000 * clock.Hour
	emulator := storeemulator.New()
	key := estimator.Key{Workspace: "w", Kind: "k", Version: "m@v1"}
	for i, instance := range []string{"i1", "i2"} {
		e := estimator.New(instance, 1, clock.Hour, 100)
		for range 10 {
			e.CountAnswer(key, now, now, false)
			e.CountRating(key, now, now, 0.8)
		}
		a := New(emulator.Store(), e)
		if i == 1 {
			emulator.SetFaults(storeemulator.Faults{LoseWriteAnswers: 1})
			if err := a.Save(ctx, now); !errors.Is(err, storeclient.ErrUnknown) {
				t.Errorf("save with a lost answer: got %v, want ErrUnknown", err)
			}
		}
		if err := a.Save(ctx, now); err != nil {
			t.Fatal(err)
		}
	}
	restored := estimator.New("i3", 1, clock.Hour, 100)
	if err := New(emulator.Store(), restored).Load(ctx, now); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.Estimate(key, now).Rated, 20.0; got != want {
		t.Errorf("ratings after all instances were replaced: got %v, want %v", got, want)
	}
	before := emulator.Counts().Writes
	a := New(emulator.Store(), restored)
	for range 3 {
		if err := a.Save(ctx, now); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := emulator.Counts().Writes-before, 1; got != want {
		t.Errorf("writes without a change: got %d, want %d", got, want)
	}
}
