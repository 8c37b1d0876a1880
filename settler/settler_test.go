package settler

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a process that takes an older copy for the present state because it has just
// started, and against one that waits although the state is known to be present (CONFIG,
// review/8).
func TestSettled(t *testing.T) {
	type step func(s *Settler)
	begin := func(at clock.Millis, era int64) step { return func(s *Settler) { s.Begin(at, era) } }
	adopt := func(era int64) step { return func(s *Settler) { s.Adopt(era) } }
	tests := map[string]struct {
		steps      []step
		now        clock.Millis
		want       bool
		unrecorded int64
	}{
		"no era":                       {nil, 0, true, 0},
		"first era":                    {[]step{begin(1000, 1)}, 1000, true, 0},
		"first era, much later":        {[]step{begin(1000, 1)}, 90000, true, 0},
		"started in a later era":       {[]step{begin(1000, 2)}, 1000, false, 0},
		"started, just before":         {[]step{begin(1000, 2)}, 1000 + settleTime - 1, false, 0},
		"started, long enough ago":     {[]step{begin(1000, 2)}, 1000 + settleTime, true, 2},
		"recorded":                     {[]step{begin(1000, 2), adopt(2)}, 1001, true, 0},
		"recorded before it was known": {[]step{adopt(2), begin(1000, 2)}, 1001, true, 0},
		"record of the copy":           {[]step{begin(1000, 3), adopt(2)}, 1001, false, 0},
		"lived through the change":     {[]step{begin(1000, 1), begin(9000, 2)}, 9000, true, 0},
		"lived, to be recorded":        {[]step{begin(1000, 1), begin(9000, 2)}, 9000 + settleTime, true, 2},
		"started, changed at once":     {[]step{begin(1000, 2), begin(2000, 3)}, 1000 + settleTime, false, 0},
		"started, changed later":       {[]step{begin(1000, 2), begin(9000, 3)}, 9000, true, 0},
		"recorded, changed":            {[]step{begin(1000, 2), adopt(2), begin(2000, 3)}, 2000, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s Settler
			for _, f := range tt.steps {
				f(&s)
			}
			if got := s.Settled(tt.now); got != tt.want {
				t.Errorf("settled: got %v, want %v", got, tt.want)
			}
			if got := s.Unrecorded(tt.now); got != tt.unrecorded {
				t.Errorf("era to record: got %d, want %d", got, tt.unrecorded)
			}
		})
	}
}
