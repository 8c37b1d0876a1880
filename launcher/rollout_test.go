package launcher

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/stager"
)

// Guards against a finished roll-out that starts anew because the store, which has come
// back from an older copy, has lost its phase, and against a phase that an order of the
// operator inherits from an earlier one.
func TestPhaseIsKept(t *testing.T) {
	rollout := func(era int64, target string, p stager.Phase) storedRollout {
		return storedRollout{name: "s", era: era, order: stager.Rollout{Service: "s", Target: target, Phase: p}}
	}
	const active, completed, rolledBack = stager.Active, stager.Completed, stager.RolledBack
	lost := rollout(2, "v2", completed)
	lost.lost = true
	tests := map[string]struct {
		before, now storedRollout
		phase       stager.Phase
		lost        bool // the phase must be written again
	}{
		"first":                  {storedRollout{}, rollout(1, "v2", ""), "", false},
		"same era, new order":    {rollout(1, "v2", rolledBack), rollout(1, "v2", ""), "", false},
		"lost":                   {rollout(1, "v2", rolledBack), rollout(2, "v2", ""), rolledBack, true},
		"lost, started":          {rollout(1, "v2", completed), rollout(2, "v2", active), completed, true},
		"lost, not written yet":  {lost, rollout(2, "v2", ""), completed, true},
		"lost, written again":    {lost, rollout(2, "v2", completed), completed, false},
		"kept by the store":      {rollout(1, "v2", completed), rollout(2, "v2", completed), completed, false},
		"another target":         {rollout(1, "v2", completed), rollout(2, "v3", ""), "", false},
		"was not finished":       {rollout(1, "v2", active), rollout(2, "v2", ""), "", false},
		"reader states no era":   {rollout(1, "v2", completed), rollout(0, "v2", ""), "", false},
		"other phase since then": {rollout(1, "v2", completed), rollout(2, "v2", rolledBack), rolledBack, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := tt.now.withPhaseOf(tt.before)
			if got.order.Phase != tt.phase || got.lost != tt.lost {
				t.Errorf("got phase %q, lost %v, want %q, %v", got.order.Phase, got.lost, tt.phase, tt.lost)
			}
		})
	}
}
