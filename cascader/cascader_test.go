package cascader

import "testing"

// Guards against larger models that run although the answer is good enough, the
// engines are full or the result would be late anyway.
func TestAccept(t *testing.T) {
	tests := map[string]struct {
		answer Answer
		want   bool
	}{
		"confident, idle":                {Answer{Confidence: 80, Capacity: 1}, true},
		"not confident, idle":            {Answer{Confidence: 30, Capacity: 1}, false},
		"not stated":                     {Answer{Confidence: -1, Capacity: 1}, true},
		"not confident, full":            {Answer{Confidence: 10, Pressure: 2, Capacity: 1}, true},
		"half confident, late":           {Answer{Confidence: 30, Late: true, Capacity: 1}, true},
		"least confident, late":          {Answer{Confidence: 10, Late: true, Capacity: 1}, false},
		"not confident, little capacity": {Answer{Confidence: 30, Capacity: 0.3}, true},
		"least confident, some capacity": {Answer{Confidence: 10, Capacity: 0.3}, false},
		"not confident, half pressure":   {Answer{Confidence: 30, Pressure: 1, Capacity: 1}, true},
	}
	for name, tt := range tests {
		if got := Default().Accept(tt.answer); got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a threshold that rises with the load.
func TestThresholdFallsWithPressure(t *testing.T) {
	for _, late := range []bool{false, true} {
		previous := 100.0
		for p := 0.0; p < 3; p += 0.1 {
			got := Default().Threshold(Answer{Pressure: p, Late: late, Capacity: 1})
			if got > previous || got < 0 {
				t.Errorf("pressure %.1f, late %v: got %.1f after %.1f", p, late, got, previous)
			}
			previous = got
		}
	}
}
