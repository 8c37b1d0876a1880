package pauser

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a malformed pause that excludes an endpoint for good, and against
// one that is shorter than asked for.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		value string
		want  clock.Millis
	}{
		"whole": {"3", 3000}, "fraction": {"0.25", 250}, "rounded up": {"0.0004", 1}, "spaces": {" 2 ", 2000},
		"missing": {"", 0}, "zero": {"0", 0}, "negative": {"-4", 0}, "date": {"Sat, 05 Dec 2026 02:00:00 GMT", 0},
		"not a number": {"NaN", 0}, "very long": {"1e300", clock.Hour}, "infinite": {"Inf", clock.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Parse(tt.value); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against requests within a pause, against a pause that a shorter one cuts
// short, and against one that outlasts the process that has asked for it.
func TestWait(t *testing.T) {
	p := New()
	p.Pause(1000, "a", 5, 3000)
	p.Pause(1500, "a", 5, 100)
	tests := map[string]struct {
		at        clock.Millis
		endpoint  string
		startedAt int64
		want      clock.Millis
	}{
		"within":            {1500, "a", 5, 2500},
		"at its end":        {4000, "a", 5, 0},
		"later":             {9000, "a", 5, 0},
		"another endpoint":  {1500, "b", 5, 0},
		"after its restart": {1500, "a", 6, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := p.Wait(tt.at, tt.endpoint, tt.startedAt); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
	p.Sweep(3999)
	if got := p.Wait(3000, "a", 5); got != 1000 {
		t.Errorf("after an early sweep: got %d, want 1000", got)
	}
	p.Sweep(4000)
	if got := len(p.until); got != 0 {
		t.Errorf("pauses after their end: got %d, want 0", got)
	}
}
