package dispatcher

import (
	"net/http"
	"testing"
)

// Guards against token counts that make loads and averages NaN, infinite or negative.
func TestImpossibleTokens(t *testing.T) {
	for _, count := range []string{"nan", "inf", "-inf", "-5", "1e300", "1e999", "0x1p900"} {
		for name, h := range map[string]http.Header{
			"tokens": {names.Tokens: {count + "," + count}},
			"prefix": {names.Prefix: {"a:" + count + ",b:" + count}},
			"hint":   {names.Tokens: {"100,10"}, names.LengthHint: {count}},
		} {
			canonical := http.Header{}
			for k, v := range h {
				canonical.Set(k, v[0])
			}
			p := readPrompt(canonical, names)
			for field, got := range map[string]float64{"tokens": p.tokens, "shared": p.shared, "output": p.output} {
				if !(got >= 0 && got <= maxTokens) {
					t.Errorf("%s %s: %s: got %v, want 0 to %v", name, count, field, got, float64(maxTokens))
				}
			}
		}
	}
}
