package cascader

import "testing"

// Guards against larger models that run where the answer is good enough, where
// engines are full or where the answer would be late anyway.
func TestAccept(t *testing.T) {
	tests := map[string]struct {
		answer Answer
		want   bool
	}{
		"sure, idle":             {Answer{Confidence: 80, Room: 1}, true},
		"unsure, idle":           {Answer{Confidence: 30, Room: 1}, false},
		"not stated":             {Answer{Confidence: -1, Room: 1}, true},
		"unsure, full":           {Answer{Confidence: 10, Pressure: 2, Room: 1}, true},
		"half sure, late":        {Answer{Confidence: 30, Late: true, Room: 1}, true},
		"very unsure, late":      {Answer{Confidence: 10, Late: true, Room: 1}, false},
		"unsure, little room":    {Answer{Confidence: 30, Room: 0.3}, true},
		"very unsure, some room": {Answer{Confidence: 10, Room: 0.3}, false},
		"unsure, half pressure":  {Answer{Confidence: 30, Pressure: 1, Room: 1}, true},
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
		before := 100.0
		for p := 0.0; p < 3; p += 0.1 {
			got := Default().Threshold(Answer{Pressure: p, Late: late, Room: 1})
			if got > before || got < 0 {
				t.Errorf("pressure %.1f, late %v: got %.1f after %.1f", p, late, got, before)
			}
			before = got
		}
	}
}
