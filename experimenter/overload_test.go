package experimenter

import (
	"fmt"
	"os"
	"testing"
)

// TestOverloadTargets guards against policy changes that miss the targets of these
// experiments, and against results that differ between runs with the same seed.
func TestOverloadTargets(t *testing.T) {
	for _, x := range []Experiment{Overload(), EndpointFailure(), ColdStart()} {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			again := make(chan Result)
			go func() { again <- x.Run(1) }()
			first, second := x.Run(1), <-again
			first.Name, first.Seed = x.Name, 1
			if testing.Verbose() {
				_ = first.WriteTable(os.Stdout)
			}
			for _, target := range first.Targets {
				if !target.Met() {
					t.Errorf("seed 1: %s: got %.4g, want the limit %.4g", target.Name, target.Measured, target.Limit)
				}
			}
			if got, want := fmt.Sprint(second.Rows), fmt.Sprint(first.Rows); got != want {
				t.Errorf("second run with seed 1: got %s, want %s", got, want)
			}
		})
	}
}
