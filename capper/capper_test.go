package capper

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a malformed limit that is taken for one, such as a limit of 0
// that excludes an endpoint.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		value string
		rate  float64
		ok    bool
	}{
		"decimal":          {"1.8", 1.8, true},
		"whole":            {"12", 12, true},
		"zero":             {"0", 0, true},
		"spaces":           {" 2.5 ", 2.5, true},
		"missing":          {"", 0, false},
		"negative":         {"-1", 0, false},
		"text":             {"many", 0, false},
		"infinite":         {"Inf", 0, false},
		"not a number":     {"NaN", 0, false},
		"number with unit": {"3/s", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rate, ok := Parse(tt.value)
			if ok != tt.ok || ok && rate != tt.rate {
				t.Errorf("got %v %v, want %v %v", rate, ok, tt.rate, tt.ok)
			}
		})
	}
}

// Guards against a limit that outlasts its statement, or that an endpoint without
// one is said to have.
func TestObserve(t *testing.T) {
	type statement struct {
		at      clock.Millis
		rate    float64
		limited bool
		changed bool
	}
	tests := map[string]struct {
		statements []statement
		limited    int
	}{
		"none":      {[]statement{{1000, 0, false, false}}, 0},
		"begins":    {[]statement{{1000, 2, true, true}, {1100, 2, true, false}}, 1},
		"changes":   {[]statement{{1000, 2, true, true}, {1100, 3, true, true}}, 1},
		"ends":      {[]statement{{1000, 2, true, true}, {1100, 0, false, true}, {1200, 0, false, false}}, 0},
		"again":     {[]statement{{1000, 2, true, true}, {1100, 0, false, true}, {1200, 2, true, true}}, 1},
		"zero rate": {[]statement{{1000, 0, true, true}}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			for i, s := range tt.statements {
				if got := c.Observe(s.at, 7, s.rate, s.limited); got != s.changed {
					t.Errorf("statement %d changed: got %v, want %v", i, got, s.changed)
				}
			}
			if got := c.Limited(); got != tt.limited {
				t.Errorf("limited endpoints: got %d, want %d", got, tt.limited)
			}
		})
	}
}
